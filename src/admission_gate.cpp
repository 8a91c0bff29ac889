#include "admission_gate.hpp"

#include <fulmaryard/failure.hpp>

#include <algorithm>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;

namespace
{

// Safety limit: the controller decides on a request within the first-token target plus one tick.
constexpr std::chrono::seconds decision_timeout{10};
// Streams admitted per batch slot of the engines. With 1, an engine runs partly filled batches
// while some of its streams are at other pipeline stages; with 2, a second batch waits while one
// runs.
constexpr std::size_t streams_per_batch_slot = 2;

constexpr std::chrono::seconds exit_retry_after{1};

} // namespace

admission_gate::admission_gate(admission_settings settings) : m_controller(settings) {}

asio::awaitable<admission_gate::admission_result> admission_gate::acquire(
    asio::any_io_executor executor, const client_account& account, admission_request new_request)
{
    const auto self = shared_from_this();
    const auto decided = std::make_shared<one_shot<admission_decision>>(executor);
    {
        const std::lock_guard lock(m_mutex);
        new_request.m_ticket = ++m_last_ticket;
        m_pending[new_request.m_ticket] = decided;
        deliver(m_controller.request(account, new_request, std::chrono::steady_clock::now()));
    }
    admission_result result;
    result.m_lease = std::shared_ptr<void>(
        nullptr, [self, ticket = new_request.m_ticket](void*) { self->release(ticket); });
    const auto decision = co_await decided->wait(decision_timeout);
    if (decision)
        result.m_decision = *decision;
    else
        result.m_decision.m_status = make_failure(failure_kind::overloaded, "not admitted in time");
    if (!result.m_decision.m_status.ok())
        result.m_lease.reset();
    co_return result;
}

void admission_gate::deliver(const admission_controller::decisions& decided)
{
    for (const auto& decision : decided)
    {
        const auto found = m_pending.find(decision.m_ticket);
        if (found == m_pending.end())
            continue;
        found->second->set(decision);
        m_pending.erase(found);
    }
}

void admission_gate::release(std::uint64_t ticket)
{
    const std::lock_guard lock(m_mutex);
    m_pending.erase(ticket);
    deliver(m_controller.release(ticket, std::chrono::steady_clock::now()));
}

void admission_gate::on_tick(std::size_t total_batch_limit)
{
    const std::lock_guard lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    const std::size_t count = m_controller.live_entry_count(now);
    deliver(m_controller.set_capacity(
        (total_batch_limit * streams_per_batch_slot + count - 1) / count, now));
    deliver(m_controller.on_tick(now));
}

void admission_gate::refuse_queued()
{
    const std::lock_guard lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    admission_controller::decisions refused;
    for (const auto& [ticket, decided] : m_pending)
    {
        refused.push_back(
            {ticket, make_failure(failure_kind::draining, "the process exits"), exit_retry_after});
    }
    deliver(refused);
    for (const auto& decision : refused)
        m_controller.release(decision.m_ticket, now);
}

void admission_gate::on_first_token(std::chrono::nanoseconds since_admission)
{
    const std::lock_guard lock(m_mutex);
    m_controller.on_first_token(since_admission);
}

std::map<std::string, double> admission_gate::usage()
{
    const std::lock_guard lock(m_mutex);
    return m_controller.usage(std::chrono::steady_clock::now());
}

void admission_gate::on_peer_usage(const std::string& address, std::map<std::string, double> usage)
{
    const std::lock_guard lock(m_mutex);
    m_controller.on_peer_usage(address, std::move(usage), std::chrono::steady_clock::now());
}

std::size_t admission_gate::queued() const
{
    const std::lock_guard lock(m_mutex);
    return m_controller.queued();
}

std::size_t admission_gate::running() const
{
    const std::lock_guard lock(m_mutex);
    return m_controller.running();
}

} // namespace fulmaryard
