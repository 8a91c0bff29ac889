#include "connection_registry.hpp"

#include <fulmaryard/log.hpp>

#include <boost/asio/post.hpp>

#include <utility>

namespace fulmaryard
{

namespace
{

// Callers under whose pressure connections are closed would otherwise fill the log.
constexpr std::chrono::seconds log_interval{1};

} // namespace

std::shared_ptr<connection_registry::connection>
connection_registry::add(std::uint64_t id, boost::beast::tcp_stream& stream)
{
    auto added = std::make_shared<connection>();
    added->m_executor = stream.get_executor();
    added->m_stream = &stream;
    const std::lock_guard lock(m_mutex);
    m_connections[id] = added;
    return added;
}

void connection_registry::wait(std::uint64_t id, connection& waiting, state now_in)
{
    waiting.m_waiting = true;
    const std::lock_guard lock(m_mutex);
    m_activity.on_bytes(id, now_in, std::chrono::steady_clock::now());
}

void connection_registry::stop_waiting(std::uint64_t id, connection& waiting)
{
    waiting.m_waiting = false;
    const std::lock_guard lock(m_mutex);
    m_activity.remove(id);
}

void connection_registry::remove(std::uint64_t id, connection& ended)
{
    ended.m_stream = nullptr;
    const std::lock_guard lock(m_mutex);
    m_activity.remove(id);
    m_connections.erase(id);
}

bool connection_registry::close_longest_incomplete()
{
    const std::lock_guard lock(m_mutex);
    return close(
        m_activity.longest_incomplete(min_silence, std::chrono::steady_clock::now()), "memory");
}

bool connection_registry::close_longest()
{
    const std::lock_guard lock(m_mutex);
    return close(m_activity.longest(), "connections");
}

void connection_registry::on_refused()
{
    const std::lock_guard lock(m_mutex);
    ++m_refused;
    log_pressure("memory");
}

bool connection_registry::close(std::optional<std::uint64_t> id, std::string_view reason)
{
    if (!id)
        return false;
    m_activity.remove(*id);
    boost::asio::post(
        m_connections[*id]->m_executor,
        [closed = m_connections[*id]]
        {
            if (closed->m_stream == nullptr || !closed->m_waiting)
                return;
            closed->m_closed = true;
            boost::beast::error_code ignored;
            closed->m_stream->socket().cancel(ignored);
        });
    ++m_closed;
    log_pressure(reason);
    return true;
}

void connection_registry::log_pressure(std::string_view reason)
{
    const auto now = std::chrono::steady_clock::now();
    if (now < m_next_log)
        return;
    m_next_log = now + log_interval;
    log_event(log_level::warning, "callers_make_room")
        .with("reason", reason)
        .with("closed", std::exchange(m_closed, 0))
        .with("refused", std::exchange(m_refused, 0));
}

} // namespace fulmaryard
