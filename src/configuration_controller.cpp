#include "use_tuple_inl.hpp"

#include <fulmaryard/configuration_controller.hpp>
#include <fulmaryard/configuration_state.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/platform_client.hpp>

#include <algorithm>
#include <random>

namespace fulmaryard
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds call_deadline{1000};
// A connection that stops responding during a watch is detected only after this time plus the
// client's margin of 1 s. With 3 s, two more reads on such connections still end within 8 s.
constexpr milliseconds watch_timeout{3000};
constexpr milliseconds min_retry_delay{100};
// A configuration must be active within 8 s; this leaves time for the read after an outage.
constexpr milliseconds max_retry_delay{1500};
// Interval at which a process that does not watch checks whether watching was enabled.
constexpr milliseconds watch_check_interval{250};

milliseconds with_jitter(milliseconds delay)
{
    thread_local std::minstd_rand random{std::random_device{}()};
    return milliseconds(
        std::uniform_int_distribution<milliseconds::rep>(delay.count() / 2, delay.count())(random));
}

} // namespace

configuration_controller::configuration_controller(
    const asio::any_io_executor& executor, platform_client& platform, configuration_state& state)
    : m_platform(platform),
      m_state(state),
      m_store(platform),
      m_timer(executor)
{
}

asio::awaitable<void> configuration_controller::run()
{
    milliseconds delay = min_retry_delay;
    while (!m_stopped)
    {
        // A configuration received from a peer replaces the initial read.
        const bool started = m_has_read || m_state.generation() != 0;
        milliseconds pause{0};
        if (!m_watch_enabled && started)
            pause = watch_check_interval;
        else if (co_await read_next())
            delay = min_retry_delay;
        else
        {
            pause = with_jitter(delay);
            delay = std::min(2 * delay, max_retry_delay);
        }
        if (pause > milliseconds(0) && !m_stopped)
        {
            m_timer.expires_after(pause);
            co_await m_timer.async_wait(use_tuple);
        }
    }
}

void configuration_controller::stop()
{
    m_stopped = true;
}

void configuration_controller::set_watch_enabled(bool enabled)
{
    m_watch_enabled = enabled;
}

bool configuration_controller::has_read_platform() const
{
    return m_has_read;
}

bool configuration_controller::platform_reachable() const
{
    return m_reachable;
}

asio::awaitable<bool> configuration_controller::read_next()
{
    const std::string name(current_configuration_name);
    // After an outage, a plain read returns immediately even if nothing has changed. This is not a
    // conditional expression because g++ 12 destroys the result of a co_await in one twice.
    absl::StatusOr<platform_object> object;
    if (m_reachable)
        object = co_await m_platform.watch(name, m_version, watch_timeout);
    else
        object = co_await m_platform.get(name, call_deadline);
    const bool was_reachable = m_reachable.exchange(object.ok());
    if (!object.ok())
    {
        if (was_reachable || !m_has_read)
        {
            log_event(log_level::warning, "platform_unreachable")
                .with("reason", message_of(object.status()));
        }
        co_return false;
    }
    if (!was_reachable)
        log_event(log_level::info, "platform_reachable");
    // A watch returns immediately on a stale read; failing here adds the retry delay, which
    // prevents a busy loop.
    if (object->m_version < m_version)
        co_return false;
    if (object->m_version > m_version && !co_await activate_configuration(*object))
        co_return false;
    m_version = object->m_version;
    m_has_read = true;
    co_return true;
}

asio::awaitable<bool>
configuration_controller::activate_configuration(const platform_object& object)
{
    auto current = decode_current_configuration(object.m_value);
    if (!current.ok())
    {
        log_event(log_level::error, "configuration_unreadable")
            .with("version", object.m_version)
            .with("reason", message_of(current.status()));
        co_return false;
    }
    // This generation or a later one was already received from a peer.
    if (current->m_generation <= m_state.generation())
        co_return true;
    const auto loaded = co_await m_store.load(*current, call_deadline);
    if (!loaded.ok())
    {
        log_event(log_level::warning, "configuration_not_loaded")
            .with("generation", current->m_generation)
            .with("reason", message_of(loaded.status()));
        co_return false;
    }
    if (m_state.offer(*loaded))
    {
        log_event(log_level::info, "configuration_in_force")
            .with("generation", current->m_generation)
            .with("source", "platform");
    }
    co_return true;
}

} // namespace fulmaryard
