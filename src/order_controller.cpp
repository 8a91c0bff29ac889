#include "use_tuple_inl.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/http_client.hpp>
#include <fulmaryard/json_rpc.hpp>
#include <fulmaryard/lease_holder.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/order_controller.hpp>
#include <fulmaryard/platform_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json.hpp>

#include <optional>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace
{

constexpr milliseconds lease_tick_interval{100};
constexpr milliseconds platform_deadline{2000};
constexpr std::chrono::seconds lease_idle_timeout{60};

/// Parses the result of the `order.submit` RPC of a side process.
absl::Status read_order_answer(const json_rpc_result& answer)
{
    json::error_code error;
    const auto value = json::parse(answer.m_json, error);
    const auto* const fields = error ? nullptr : value.if_object();
    const auto* const accepted = fields ? fields->if_contains("accepted") : nullptr;
    if (!accepted || !accepted->is_bool())
    {
        return make_failure(
            failure_kind::outcome_unknown, "the side process gave no usable answer",
            dispatch_progress::sent);
    }
    if (accepted->get_bool())
        return absl::OkStatus();
    const auto text = [&](std::string_view name) -> std::string
    {
        const auto* const member = fields->if_contains({name.data(), name.size()});
        return member && member->is_string() ? member->get_string().c_str() : "";
    };
    const bool not_run = text("outcome") == to_string(outcome::not_run);
    return make_failure(
        not_run ? failure_kind::conflict : failure_kind::outcome_unknown,
        text("failure") + ": " + text("message"), not_run ? outcome::not_run : outcome::unknown);
}

} // namespace

class order_controller::impl : public std::enable_shared_from_this<order_controller::impl>
{
public:
    impl(const asio::any_io_executor& executor, platform_client& platform, std::string process)
        : m_strand(asio::make_strand(executor)),
          m_platform(platform),
          m_holder(lease_holder_settings{std::move(process)})
    {
    }

    asio::awaitable<absl::StatusOr<std::uint64_t>>
    submit(std::string address, engine_order order, milliseconds deadline)
    {
        const auto deadline_time = steady_clock::now() + deadline;
        m_last_order_time = steady_clock::now();
        if (!m_renewing_lease)
        {
            m_renewing_lease = true;
            asio::co_spawn(
                m_strand, [self = shared_from_this()] { return self->renew_lease_loop(); },
                asio::detached);
        }
        asio::steady_timer timer(m_strand);
        while (!m_holder.held(steady_clock::now()))
        {
            if (steady_clock::now() >= deadline_time)
            {
                co_return make_failure(
                    m_platform_answered ? failure_kind::conflict
                                        : failure_kind::platform_unavailable,
                    "this entry does not hold the lease on orders");
            }
            timer.expires_after(lease_tick_interval);
            co_await timer.async_wait(use_tuple);
        }
        order.m_epoch = m_holder.epoch();
        const absl::Status result = co_await send(std::move(address), order, deadline_time);
        if (!result.ok())
            co_return result;
        co_return order.m_epoch;
    }

    asio::any_io_executor strand() const { return m_strand; }

private:
    asio::awaitable<absl::Status>
    send(std::string address, engine_order order, steady_clock::time_point deadline_time)
    {
        json::error_code error;
        json::object parameters{{"epoch", order.m_epoch}, {"kind", order.m_kind}};
        parameters["args"] = json::parse(order.m_arguments, error);
        http_request request;
        request.m_method = "POST";
        request.m_target = "/rpc";
        request.m_fields = {{"Content-Type", "application/json"}};
        request.m_body = make_json_rpc_request("order.submit", json::serialize(parameters));
        http_client client(m_strand, std::move(address), 0);
        const auto remaining =
            std::chrono::duration_cast<milliseconds>(deadline_time - steady_clock::now());
        const auto response =
            co_await client.send(std::move(request), remaining, http_client::reuse::new_connection);
        if (!response.ok())
            co_return response.status();
        const absl::Status result = read_order_answer(read_json_rpc_response(response->m_body));
        log_event(log_level::info, "order_sent")
            .with("epoch", order.m_epoch)
            .with("kind", order.m_kind)
            .with("accepted", result.ok());
        co_return result;
    }

    asio::awaitable<void> renew_lease_loop()
    {
        asio::steady_timer timer(m_strand);
        while (steady_clock::now() - m_last_order_time < lease_idle_timeout)
        {
            auto action = m_holder.on_tick(steady_clock::now());
            while (action)
            {
                const lease_action current_action = *action;
                action = co_await carry_out(current_action);
            }
            timer.expires_after(lease_tick_interval);
            co_await timer.async_wait(use_tuple);
        }
        m_renewing_lease = false;
    }

    asio::awaitable<std::optional<lease_action>> carry_out(lease_action action)
    {
        if (std::holds_alternative<read_lease>(action))
        {
            const auto object =
                co_await m_platform.get(std::string(order_lease_object_key), platform_deadline);
            m_platform_answered = object.ok();
            co_return m_holder.on_read(object, steady_clock::now());
        }
        const auto& write = std::get<write_lease>(action);
        const auto version = co_await m_platform.put(
            std::string(order_lease_object_key), encode_lease(write.m_value), write.m_version,
            platform_deadline);
        m_platform_answered = version.ok() || kind_of(version.status()) == failure_kind::conflict;
        co_return m_holder.on_written(version, steady_clock::now());
    }

    asio::any_io_executor m_strand;
    platform_client& m_platform;
    lease_holder m_holder;
    steady_clock::time_point m_last_order_time;
    bool m_renewing_lease{false};
    bool m_platform_answered{false};
};

order_controller::order_controller(
    const asio::any_io_executor& executor, platform_client& platform, std::string process)
    : m_impl(std::make_shared<impl>(executor, platform, std::move(process)))
{
}

order_controller::~order_controller() = default;

asio::awaitable<absl::StatusOr<std::uint64_t>>
order_controller::submit(std::string address, engine_order order, milliseconds deadline)
{
    const auto self = m_impl;
    co_return co_await asio::co_spawn(
        self->strand(), self->submit(std::move(address), std::move(order), deadline),
        asio::use_awaitable);
}

} // namespace fulmaryard
