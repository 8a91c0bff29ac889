#include <fulmaryard/configuration_state.hpp>

#include <utility>

namespace fulmaryard
{

configuration_state::configuration_state() : m_current(std::make_shared<const configuration>()) {}

bool configuration_state::offer(std::shared_ptr<const configuration> candidate)
{
    // Serialises offers: comparing and publishing must be one step, or a lower generation that
    // was compared first could be published last.
    const std::lock_guard lock(m_mutex);
    if (candidate->m_generation <= m_current.load()->m_generation)
        return false;
    m_current.publish(std::move(candidate));
    return true;
}

std::uint64_t configuration_state::generation() const
{
    return m_current.load()->m_generation;
}

const snapshot<configuration>& configuration_state::published() const
{
    return m_current;
}

} // namespace fulmaryard
