#include <fulmaryard/store_read_schedule.hpp>

namespace fulmaryard
{

store_read::call_kind store_read_schedule::next_call(time_point now) const
{
    const bool may_have_missed = m_behind || now - m_last_answer > max_watch_age;
    if (!m_has_revision || (m_need == need::newest_version && may_have_missed))
        return store_read::call_kind::listing;
    return store_read::call_kind::watch;
}

void store_read_schedule::on_answer(
    store_read::call_kind call, std::size_t events, bool is_news, time_point now)
{
    m_has_revision = true;
    m_last_answer = now;
    // While versions follow each other closely, the next answer would hold several of them again.
    m_behind = call == store_read::call_kind::watch ? events > 1 : is_news && m_behind;
}

} // namespace fulmaryard
