#include "entry_services.hpp"
#include "one_shot_inl.hpp"
#include "request_dispatcher.hpp"
#include "request_record.hpp"

#include <fulmaryard/call_ledger.hpp>
#include <fulmaryard/error_response.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/http_exchange.hpp>
#include <fulmaryard/rendezvous.hpp>
#include <fulmaryard/service_definition.hpp>
#include <fulmaryard/service_retry.hpp>

#include <algorithm>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t max_idempotency_key_length = 200;
/// The side process gets a deadline that is earlier by this margin than that of the entry. Without
/// it, both would time out at the same moment, and a call that the side process rejects as not run
/// would be reported as unknown. Side processes check deadlines every 50 ms.
constexpr std::chrono::milliseconds response_margin{250};

/// Returns the live side processes of a service. Those whose worker is down are returned only if no
/// worker is up: they fail calls faster than a busy worker completes them, and so would appear the
/// least loaded.
std::vector<const endpoint*> live_endpoints(const directory_view& view, const std::string& service)
{
    std::vector<const endpoint*> worker_up;
    std::vector<const endpoint*> worker_down;
    for (const auto& candidate : view.m_endpoints)
    {
        if (candidate.m_state == endpoint_state::live && candidate.m_report.m_service == service)
            (candidate.m_report.m_engine_up ? worker_up : worker_down).push_back(&candidate);
    }
    return worker_up.empty() ? worker_down : worker_up;
}

/// Returns the addresses of `endpoints`, those with the fewest outstanding calls first.
std::vector<std::string> least_outstanding(const std::vector<const endpoint*>& endpoints)
{
    std::vector<std::pair<std::uint32_t, std::string>> loads;
    loads.reserve(endpoints.size());
    for (const auto* const candidate : endpoints)
        loads.emplace_back(candidate->outstanding(), candidate->m_address);
    std::sort(loads.begin(), loads.end());
    std::vector<std::string> addresses;
    addresses.reserve(loads.size());
    for (auto& [load, address] : loads)
        addresses.push_back(std::move(address));
    return addresses;
}

bool is_printable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c < 127; });
}

/// Handles one call of a plain service, from admission to the response.
class service_request
{
public:
    service_request(
        std::shared_ptr<entry_services> services, const request_context& context,
        http_exchange& exchange, request_record& record)
        : m_services(std::move(services)),
          m_context(context),
          m_exchange(exchange),
          m_record(record),
          m_deadline(
              context.m_arrived + std::chrono::milliseconds(context.m_service->m_deadline_ms))
    {
        const auto& request = *context.m_request;
        const auto& idempotent_methods = context.m_service->m_idempotent_methods;
        m_call.m_reply_address = m_services->m_settings.advertised_address();
        m_call.m_request_id = context.m_request_id;
        m_call.m_account = context.m_account->m_name;
        m_call.m_service = context.m_service->m_name;
        m_call.m_method = request.m_method;
        m_call.m_path = request.m_target;
        m_call.m_content_type =
            std::string(find_field(request.m_fields, "Content-Type").value_or(""));
        m_call.m_body = m_exchange.take_body();
        m_call.m_idempotent =
            std::find(idempotent_methods.begin(), idempotent_methods.end(), request.m_method) !=
            idempotent_methods.end();
        m_call.m_generation = context.m_configuration->generation();
    }

    asio::awaitable<void> run()
    {
        if (!m_call.m_idempotent)
        {
            const auto key = find_field(m_context.m_request->m_fields, "Idempotency-Key");
            if (!key || key->empty() || key->size() > max_idempotency_key_length ||
                !is_printable(*key))
            {
                co_await send_error(make_failure(
                    failure_kind::invalid_request,
                    "this call needs an Idempotency-Key of 1 to 200 printable characters"));
                co_return;
            }
            m_call.m_key = std::string(*key);
        }
        admission_request admission_params;
        admission_params.m_is_stream = false;
        const auto admitted = co_await m_services->m_gate->acquire(
            m_exchange.executor(), *m_context.m_account, admission_params);
        if (!admitted.m_decision.m_status.ok())
        {
            co_await send_error(admitted.m_decision.m_status, admitted.m_decision.m_retry_after);
            co_return;
        }
        const auto result = co_await send();
        if (!result.m_ok)
        {
            co_await send_error(make_failure(result.m_failure, result.m_body, result.m_outcome));
            co_return;
        }
        http_response response;
        response.m_status = result.m_status;
        response.m_fields = {{"X-Request-Id", m_context.m_request_id}};
        if (!result.m_content_type.empty())
            response.m_fields.push_back({"Content-Type", result.m_content_type});
        response.m_body = result.m_body;
        const absl::Status write_status = co_await m_exchange.respond(std::move(response));
        m_record.m_caller_disconnected = !write_status.ok();
    }

private:
    static service_result
    failed_result(failure_kind kind, outcome call_outcome, std::string message)
    {
        service_result result;
        result.m_failure = kind;
        result.m_outcome = call_outcome;
        result.m_body = std::move(message);
        return result;
    }

    asio::awaitable<service_result> send()
    {
        const auto view = m_services->m_directory.published().load();
        const auto endpoints = live_endpoints(*view, m_call.m_service);
        auto order = least_outstanding(endpoints);
        if (!m_call.m_idempotent)
        {
            const std::uint32_t partition = partition_of(
                m_call.m_account, m_call.m_service, m_call.m_key,
                call_ledger_settings().m_partitions);
            order = rendezvous_order(partition, std::move(order));
        }
        auto result = failed_result(
            failure_kind::no_endpoint, outcome::not_run, "no live endpoint for this service");
        // Once the call may have run at one endpoint, a `not_run` result of a later endpoint must
        // not be reported as such.
        bool may_have_run = false;
        for (const auto& address : order)
        {
            if (m_record.m_attempts > 0 && !m_services->try_retry())
                break;
            ++m_record.m_attempts;
            result = co_await send_to(*view->find(address));
            may_have_run = may_have_run || (!result.m_ok && result.m_outcome != outcome::not_run);
            if (result.m_ok || !may_retry_service_call(m_call.m_idempotent, result) ||
                std::chrono::steady_clock::now() >= m_deadline)
                break;
        }
        if (!result.m_ok && may_have_run && result.m_outcome == outcome::not_run)
            result.m_outcome = outcome::unknown;
        co_return result;
    }

    asio::awaitable<service_result> send_to(const endpoint& target)
    {
        const auto now = std::chrono::steady_clock::now();
        if (now >= m_deadline)
        {
            co_return failed_result(
                failure_kind::deadline_exceeded, outcome::not_run,
                "the deadline passed before the call was sent");
        }
        const auto pending_result =
            std::make_shared<one_shot<service_result>>(m_exchange.executor());
        m_call.m_call = m_services->m_calls.add(
            target.m_address, target.m_report.m_process,
            [pending_result](service_result result) { pending_result->set(std::move(result)); });
        const auto remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now);
        // At least 1 ms, since a side process replaces 0 with its default deadline.
        m_call.m_deadline_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(
            1, (remaining - std::min(response_margin, remaining / 4)).count()));
        const auto counters = target.m_counters;
        counters->m_outstanding.fetch_add(1, std::memory_order_relaxed);
        m_services->m_send(target.m_address, m_call);
        auto result = co_await pending_result->wait(m_deadline - now);
        counters->m_outstanding.fetch_sub(1, std::memory_order_relaxed);
        m_services->m_calls.remove(m_call.m_call);
        if (!result)
        {
            co_return failed_result(
                failure_kind::deadline_exceeded, outcome::unknown,
                "no answer within the service's deadline");
        }
        if (!result->m_ok && result->m_body.empty())
            result->m_body = "the endpoint did not complete the call";
        co_return *result;
    }

    asio::awaitable<void> send_error(
        const absl::Status& status,
        std::chrono::milliseconds retry_after = std::chrono::milliseconds(1000))
    {
        m_record.m_status = status;
        const absl::Status write_status = co_await m_exchange.respond(
            error_response(status, m_context.m_request_id, retry_after));
        m_record.m_caller_disconnected = !write_status.ok();
    }

    std::shared_ptr<entry_services> m_services;
    const request_context& m_context;
    http_exchange& m_exchange;
    request_record& m_record;
    std::chrono::steady_clock::time_point m_deadline;
    service_call m_call;
};

} // namespace

asio::awaitable<void> dispatch_service_call(
    std::shared_ptr<entry_services> services, const request_context& context,
    http_exchange& exchange, request_record& record)
{
    service_request request(std::move(services), context, exchange, record);
    co_await request.run();
}

} // namespace fulmaryard
