#include <fulmaryard/request_memory.hpp>
#include <fulmaryard/request_share.hpp>

namespace fulmaryard
{

namespace
{

bool is_large(std::size_t bytes)
{
    return bytes > request_memory::small_bytes;
}

} // namespace

std::size_t request_memory::used() const
{
    const std::lock_guard lock(m_mutex);
    return m_used;
}

bool request_share::try_hold(std::size_t bytes)
{
    const std::lock_guard lock(m_memory.m_mutex);
    const std::size_t others = m_memory.m_used - m_bytes;
    const std::size_t other_large = m_memory.m_large_requests - (is_large(m_bytes) ? 1 : 0);
    if (bytes > m_bytes)
    {
        const std::size_t available =
            is_large(bytes) ? m_memory.m_limit - m_memory.m_limit / 4 : m_memory.m_limit;
        const bool only_large = is_large(bytes) && other_large == 0;
        if (others + bytes > available && !only_large)
            return false;
    }
    m_memory.m_used = others + bytes;
    m_memory.m_large_requests = other_large + (is_large(bytes) ? 1 : 0);
    m_bytes = bytes;
    return true;
}

void request_share::release()
{
    try_hold(0);
}

} // namespace fulmaryard
