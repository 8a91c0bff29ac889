#include <fulmaryard/failure.hpp>
#include <fulmaryard/lease.hpp>
#include <fulmaryard/order_gate.hpp>

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fulmaryard
{

namespace
{

absl::Status refuse(failure_kind kind, std::string_view message)
{
    return make_failure(kind, message, dispatch_progress::refused);
}

absl::Status refuse_stale(std::uint64_t order_epoch, std::uint64_t known)
{
    return refuse(
        failure_kind::stale_epoch,
        fmt::format("order has epoch {}, the lease has epoch {}", order_epoch, known));
}

} // namespace

order_gate::order_gate(std::chrono::milliseconds margin, std::size_t max_waiting)
    : m_margin(margin),
      m_max_waiting(max_waiting)
{
}

order_gate::actions order_gate::submit(std::uint64_t ticket, engine_order order, time_point now)
{
    actions todo;
    todo.reserve(2);
    if (order.m_epoch < m_highest_epoch)
    {
        ++m_refused;
        todo.emplace_back(answer_order{ticket, refuse_stale(order.m_epoch, m_highest_epoch)});
        return todo;
    }
    if (m_waiting.size() >= m_max_waiting)
    {
        ++m_refused;
        todo.emplace_back(
            answer_order{ticket, refuse(failure_kind::overloaded, "too many orders wait")});
        return todo;
    }
    m_highest_submitted_epoch = std::max(m_highest_submitted_epoch, order.m_epoch);
    m_waiting.push_back({ticket, std::move(order)});
    if (m_step == step::idle)
        start_next(todo, now);
    return todo;
}

void order_gate::start_next(actions& todo, time_point now)
{
    m_step = step::idle;
    if (m_waiting.empty())
        return;
    m_current = std::move(m_waiting.front());
    m_waiting.pop_front();
    m_step = step::reading;
    m_read_started = now;
    todo.emplace_back(read_order_lease{m_current.m_ticket});
}

void order_gate::finish_current(const absl::Status& result, actions& todo, time_point now)
{
    ++(result.ok() ? m_accepted : m_refused);
    todo.emplace_back(answer_order{m_current.m_ticket, result});
    start_next(todo, now);
}

absl::Status order_gate::check_epoch(const absl::StatusOr<platform_object>& result, time_point now)
{
    const std::uint64_t order_epoch = m_current.m_order.m_epoch;
    if (!result.ok())
    {
        // An order with a higher epoch cannot be confirmed without the platform, but it makes a
        // takeover likely, so the lower epoch is no longer accepted without a read.
        if (order_epoch == m_confirmed_epoch && order_epoch >= m_highest_submitted_epoch &&
            order_epoch != 0 && now < m_confirmed_until)
            return absl::OkStatus();
        return refuse(failure_kind::platform_unavailable, "the lease object cannot be read");
    }
    lease current;
    if (result->m_version != 0)
    {
        const auto decoded = decode_lease(result->m_value);
        if (!decoded.ok())
            return refuse(failure_kind::platform_unavailable, "the lease object is malformed");
        current = *decoded;
    }
    m_highest_epoch = std::max(m_highest_epoch, current.m_epoch);
    if (order_epoch < m_highest_epoch)
        return refuse_stale(order_epoch, m_highest_epoch);
    // An epoch above that of the lease object has not been granted.
    if (order_epoch > current.m_epoch || order_epoch == 0)
        return refuse_stale(order_epoch, current.m_epoch);
    m_confirmed_epoch = order_epoch;
    m_confirmed_until =
        m_read_started + std::chrono::milliseconds(current.m_duration_ms) - m_margin;
    return absl::OkStatus();
}

order_gate::actions order_gate::on_lease_read(
    std::uint64_t ticket, const absl::StatusOr<platform_object>& result, time_point now)
{
    actions todo;
    if (m_step != step::reading || ticket != m_current.m_ticket)
        return todo;
    const auto check_result = check_epoch(result, now);
    if (!check_result.ok())
    {
        finish_current(check_result, todo, now);
        return todo;
    }
    // The process was paused during the read; the lease may have expired since.
    if (now >= m_confirmed_until)
    {
        finish_current(
            refuse(failure_kind::platform_unavailable, "the lease was read too long ago"), todo,
            now);
        return todo;
    }
    m_step = step::sending;
    todo.emplace_back(send_order{ticket, m_current.m_order});
    return todo;
}

order_gate::actions
order_gate::on_engine_answer(std::uint64_t ticket, const absl::Status& result, time_point now)
{
    actions todo;
    if (m_step == step::sending && ticket == m_current.m_ticket)
        finish_current(result, todo, now);
    return todo;
}

std::string order_gate::dump(time_point now) const
{
    constexpr std::string_view steps[] = {"idle", "reading", "sending"};
    const auto& name = steps[static_cast<std::size_t>(m_step)];
    const bool confirmed_epoch_usable = m_confirmed_epoch != 0 && now < m_confirmed_until;
    return boost::json::serialize(boost::json::object{
        {"step", boost::json::string_view(name.data(), name.size())},
        {"waiting", m_waiting.size()},
        {"highest_epoch", m_highest_epoch},
        {"highest_claimed_epoch", m_highest_submitted_epoch},
        {"confirmed_epoch", m_confirmed_epoch},
        {"confirmed_epoch_usable", confirmed_epoch_usable},
        {"accepted", m_accepted},
        {"refused", m_refused}});
}

} // namespace fulmaryard
