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
constexpr std::chrono::seconds longest_wait{10};
// Streams admitted per batch slot of the engines. With 1, an engine runs partly filled batches
// while some of its streams are at other pipeline stages; with 2, a second batch waits while one
// runs.
constexpr std::size_t streams_per_place = 2;

} // namespace

admission_gate::admission_gate(admission_settings settings) : m_admission(settings) {}

asio::awaitable<admission_gate::entry> admission_gate::enter(
    asio::any_io_executor executor, const client_account& account, admission_request asked)
{
    const auto self = shared_from_this();
    const auto decided = std::make_shared<one_shot<admission_decision>>(executor);
    {
        const std::lock_guard lock(m_mutex);
        asked.m_ticket = ++m_last_ticket;
        m_slots[asked.m_ticket] = decided;
        deliver(m_admission.request(account, asked, std::chrono::steady_clock::now()));
    }
    entry result;
    result.m_lease = std::shared_ptr<void>(
        nullptr, [self, ticket = asked.m_ticket](void*) { self->release(ticket); });
    const auto decision = co_await decided->wait(longest_wait);
    if (decision)
        result.m_decision = *decision;
    else
        result.m_decision.m_status = make_failure(failure_kind::overloaded, "not admitted in time");
    if (!result.m_decision.m_status.ok())
        result.m_lease.reset();
    co_return result;
}

void admission_gate::deliver(const admission::decisions& decided)
{
    for (const auto& decision : decided)
    {
        const auto found = m_slots.find(decision.m_ticket);
        if (found == m_slots.end())
            continue;
        found->second->set(decision);
        m_slots.erase(found);
    }
}

void admission_gate::release(std::uint64_t ticket)
{
    const std::lock_guard lock(m_mutex);
    m_slots.erase(ticket);
    deliver(m_admission.release(ticket, std::chrono::steady_clock::now()));
}

void admission_gate::on_tick(std::size_t batch_limits)
{
    const std::lock_guard lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    const std::size_t count = m_admission.entries(now);
    deliver(m_admission.set_capacity((batch_limits * streams_per_place + count - 1) / count, now));
    deliver(m_admission.on_tick(now));
}

void admission_gate::on_first_token(std::chrono::nanoseconds since_admission)
{
    const std::lock_guard lock(m_mutex);
    m_admission.on_first_token(since_admission);
}

std::map<std::string, double> admission_gate::use()
{
    const std::lock_guard lock(m_mutex);
    return m_admission.use(std::chrono::steady_clock::now());
}

void admission_gate::on_peer_use(const std::string& address, std::map<std::string, double> use)
{
    const std::lock_guard lock(m_mutex);
    m_admission.on_peer_use(address, std::move(use), std::chrono::steady_clock::now());
}

std::size_t admission_gate::queued() const
{
    const std::lock_guard lock(m_mutex);
    return m_admission.queued();
}

std::size_t admission_gate::running() const
{
    const std::lock_guard lock(m_mutex);
    return m_admission.running();
}

} // namespace fulmaryard
