#include "completion_response.hpp"
#include "entry_services.hpp"
#include "model_stream.hpp"
#include "request_dispatcher.hpp"
#include "request_record.hpp"

#include <fulmaryard/error_response.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/http_exchange.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/model_definition.hpp>
#include <fulmaryard/stream_locator.hpp>

#include <algorithm>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;

namespace
{

// Time limit for one stage to answer an attach request. A live stage answers immediately; a failed
// one must not use up the time needed to ask the next stage.
constexpr std::chrono::milliseconds attach_deadline{300};
// A request that was queued for longer is planned again, since the load may have changed.
constexpr std::chrono::milliseconds max_plan_age{5};

/// Tracks whether the caller disconnects while its request is queued or running.
struct caller_connection
{
    bool m_disconnected{false};
    bool m_resumable{false};
    std::weak_ptr<model_stream> m_stream;
};

std::shared_ptr<caller_connection> watch_caller(http_exchange& exchange)
{
    auto watch = std::make_shared<caller_connection>();
    const auto resumable = find_field(exchange.request().m_fields, "X-Fulmaryard-Resumable");
    watch->m_resumable = resumable && *resumable == "true";
    exchange.watch_for_disconnect(
        [watch]
        {
            watch->m_disconnected = true;
            if (const auto stream = watch->m_stream.lock())
                stream->on_caller_disconnected(watch->m_resumable);
        });
    return watch;
}

/// Handles a model request from admission to the response.
class model_request
{
public:
    model_request(
        std::shared_ptr<entry_services> services, const request_context& context,
        http_exchange& exchange, request_record& record)
        : m_services(std::move(services)),
          m_context(context),
          m_exchange(exchange),
          m_record(record),
          m_prompt_words(count_words(context.m_completion->m_prompt)),
          m_response(
              context.m_chat, context.m_request_id, context.m_model->m_name,
              std::chrono::duration_cast<std::chrono::seconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count())
    {
        const auto& model = *context.m_model;
        const std::uint32_t requested = context.m_completion->m_max_tokens;
        m_request.m_request_id = context.m_request_id;
        m_request.m_account = context.m_account->m_name;
        m_request.m_model = model.m_name;
        m_request.m_prompt = context.m_completion->m_prompt;
        m_request.m_max_tokens =
            requested == 0 ? model.m_max_tokens : std::min(requested, model.m_max_tokens);
        m_request.m_priority = context.m_priority;
        m_request.m_generation = context.m_configuration->generation();
    }

    asio::awaitable<void> run()
    {
        m_caller = watch_caller(m_exchange);
        const auto last_event_id = find_field(m_context.m_request->m_fields, "Last-Event-ID");
        std::shared_ptr<model_stream> stream;
        absl::Status status;
        if (last_event_id)
            status = co_await attach(*last_event_id, stream);
        else
            status = co_await start_stream(stream);
        if (!status.ok() || m_caller->m_disconnected)
        {
            if (stream)
                stream->on_caller_disconnected(m_caller->m_resumable);
            co_await respond_with_error(status);
            co_return;
        }
        m_caller->m_stream = stream;
        if (m_context.m_completion->m_stream)
            co_await respond_with_events(stream);
        else
            co_await respond_with_body(stream);
        m_record.m_replacements = stream->replacements();
        m_record.m_first_token_latency =
            stream->first_token().value_or(std::chrono::nanoseconds(0));
        m_record.m_caller_disconnected = stream->caller_disconnected();
    }

private:
    planning_request make_planning_request() const
    {
        planning_request planned;
        planned.m_prompt = m_request.m_prompt;
        planned.m_positions = std::uint64_t{m_prompt_words} + m_request.m_max_tokens;
        planned.m_region = m_services->m_settings.m_region;
        planned.m_failure_domain = m_services->m_settings.m_failure_domain;
        return planned;
    }

    absl::StatusOr<stage_plan> plan(const pipeline_definition& pipeline)
    {
        const auto view = m_services->m_directory.published().load();
        return m_services->m_planner.plan(*view, pipeline, make_planning_request());
    }

    const pipeline_definition* pipeline() const
    {
        return m_context.m_configuration->find_pipeline(m_request.m_account, m_request.m_model);
    }

    asio::awaitable<admission_gate::admission_result>
    admit(std::uint32_t tokens, std::chrono::nanoseconds expected_wait)
    {
        admission_request requested;
        requested.m_tokens = tokens;
        requested.m_priority = m_request.m_priority;
        requested.m_expected_wait = expected_wait;
        const auto before = std::chrono::steady_clock::now();
        auto admitted = co_await m_services->m_gate->acquire(
            m_exchange.executor(), *m_context.m_account, requested);
        m_record.m_queue_time = std::chrono::steady_clock::now() - before;
        m_services->m_metrics.m_queue.record(m_record.m_queue_time);
        m_retry_after = admitted.m_decision.m_retry_after;
        co_return admitted;
    }

    asio::awaitable<absl::Status> start_stream(std::shared_ptr<model_stream>& stream)
    {
        const auto* const stages = pipeline();
        if (!stages)
            co_return make_failure(failure_kind::no_endpoint, "the model has no pipeline");
        auto planned = plan(*stages);
        if (!planned.ok())
            co_return planned.status();
        const auto admitted =
            co_await admit(m_prompt_words + m_request.m_max_tokens, planned->m_expected_wait);
        if (!admitted.m_decision.m_status.ok())
            co_return admitted.m_decision.m_status;
        if (m_caller->m_disconnected)
            co_return make_failure(failure_kind::endpoint_lost, "the caller is gone");
        if (m_record.m_queue_time > max_plan_age)
        {
            planned = plan(*stages);
            if (!planned.ok())
                co_return planned.status();
        }
        stream = std::make_shared<model_stream>(
            m_services, m_exchange.executor(), m_request, *stages, m_context.m_arrived,
            m_context.m_completion->m_stream);
        stream->start(std::move(planned->m_stages), admitted.m_lease);
        co_return absl::OkStatus();
    }

    /// Queries the stages listed in the event id, starting with the last one, which has the most
    /// tokens. Returns nothing if no stage has the stream.
    asio::awaitable<std::optional<stream_attached>> find_stream(const stream_locator& locator)
    {
        const auto view = m_services->m_directory.published().load();
        attach_stream attach_request;
        attach_request.m_stream = locator.m_stream;
        attach_request.m_account = m_request.m_account;
        attach_request.m_request_id = m_request.m_request_id;
        attach_request.m_owner_address = m_services->m_settings.advertised_address();
        for (auto it = locator.m_addresses.rbegin(); it != locator.m_addresses.rend(); ++it)
        {
            // The event id is caller input and must not make this entry connect to an address that
            // is not a known side process.
            if (!view->find(*it))
                continue;
            auto slot =
                std::make_shared<one_shot<stream_registry::attach_answer>>(m_exchange.executor());
            if (!m_services->m_streams.add_pending_attach(locator.m_stream, *it, slot))
                co_return std::nullopt;
            m_services->m_send(*it, attach_request);
            const auto answer = co_await slot->wait(attach_deadline);
            m_services->m_streams.remove_pending_attach(locator.m_stream);
            if (answer && *answer)
                co_return *answer;
        }
        co_return std::nullopt;
    }

    asio::awaitable<absl::Status>
    attach(std::string_view last_event_id, std::shared_ptr<model_stream>& stream)
    {
        const auto locator = parse_stream_locator(last_event_id);
        if (!locator.ok())
            co_return locator.status();
        const auto* const stages = pipeline();
        const auto attached = co_await find_stream(*locator);
        if (!attached || !stages || attached->m_model != m_request.m_model ||
            locator->m_next_index > attached->m_max_tokens)
        {
            co_return make_failure(
                failure_kind::path_not_found, "there is no such stream", outcome::unknown);
        }
        const auto admitted = co_await admit(0, std::chrono::nanoseconds(0));
        if (!admitted.m_decision.m_status.ok())
        {
            co_return make_failure(
                kind_of(admitted.m_decision.m_status), message_of(admitted.m_decision.m_status),
                outcome::unknown);
        }
        m_request.m_prompt = attached->m_prompt;
        m_request.m_max_tokens = attached->m_max_tokens;
        m_request.m_priority = attached->m_priority;
        m_received_tokens = locator->m_next_index;
        stream = std::make_shared<model_stream>(
            m_services, m_exchange.executor(), m_request, *stages, m_context.m_arrived,
            m_context.m_completion->m_stream);
        stream->start_attached(*attached, locator->m_next_index, admitted.m_lease);
        m_services->m_metrics.m_attached_streams.add();
        co_return absl::OkStatus();
    }

    asio::awaitable<void> respond_with_error(const absl::Status& status)
    {
        m_record.m_status = status;
        m_record.m_caller_disconnected = m_caller->m_disconnected;
        if (m_caller->m_disconnected || status.ok())
            co_return;
        const absl::Status written = co_await m_exchange.respond(error_response(
            status, m_context.m_request_id,
            std::max(m_retry_after, std::chrono::milliseconds(1000))));
        m_record.m_caller_disconnected = !written.ok();
    }

    std::string_view finish_reason(std::uint32_t tokens) const
    {
        return tokens >= m_request.m_max_tokens ? "length" : "stop";
    }

    asio::awaitable<void> respond_with_events(const std::shared_ptr<model_stream>& stream)
    {
        std::vector<http_field> fields{{"X-Request-Id", m_context.m_request_id}};
        absl::Status written = co_await m_exchange.begin_event_stream(std::move(fields));
        if (written.ok())
        {
            written = co_await m_exchange.send_chunk(
                m_response.first_event(stream->locator(m_received_tokens)));
        }
        bool ended = false;
        while (written.ok() && !ended && !stream->caller_disconnected())
        {
            const auto update = co_await stream->next();
            ended = update.m_ended;
            m_record.m_tokens += static_cast<std::uint32_t>(update.m_tokens.size());
            std::string text;
            auto index = update.m_next_index - static_cast<std::uint32_t>(update.m_tokens.size());
            for (const auto& next : update.m_tokens)
                text += m_response.token_event(stream->locator(++index), next.m_text);
            if (ended)
            {
                m_record.m_status = update.m_status;
                text += update.m_status.ok()
                            ? m_response.final_events(stream->locator(index), finish_reason(index))
                            : error_event(error_body(update.m_status, m_context.m_request_id));
            }
            if (!text.empty())
                written = co_await m_exchange.send_chunk(text);
        }
        if (written.ok() && ended)
            written = co_await m_exchange.send_last_chunk();
        if (!written.ok())
            stream->on_caller_disconnected(m_caller->m_resumable);
    }

    asio::awaitable<void> respond_with_body(const std::shared_ptr<model_stream>& stream)
    {
        std::string text;
        model_stream::progress update;
        while (!update.m_ended && !stream->caller_disconnected())
        {
            update = co_await stream->next();
            m_record.m_tokens += static_cast<std::uint32_t>(update.m_tokens.size());
            for (const auto& next : update.m_tokens)
                text += next.m_text;
        }
        m_record.m_status = update.m_status;
        if (stream->caller_disconnected())
            co_return;
        if (!update.m_status.ok())
        {
            co_await respond_with_error(update.m_status);
            co_return;
        }
        http_response response;
        response.m_fields = {
            {"Content-Type", "application/json"}, {"X-Request-Id", m_context.m_request_id}};
        response.m_body = m_response.body(
            text, finish_reason(update.m_next_index), m_prompt_words, update.m_next_index);
        const absl::Status written = co_await m_exchange.respond(std::move(response));
        if (!written.ok())
            stream->on_caller_disconnected(false);
    }

    std::shared_ptr<entry_services> m_services;
    const request_context& m_context;
    http_exchange& m_exchange;
    request_record& m_record;
    std::uint32_t m_prompt_words;
    completion_response m_response;
    stream_request m_request;
    std::shared_ptr<caller_connection> m_caller;
    std::uint32_t m_received_tokens{0}; ///< Token count before the reconnect.
    std::chrono::milliseconds m_retry_after{0};
};

} // namespace

asio::awaitable<void> dispatch_model_request(
    std::shared_ptr<entry_services> services, const request_context& context,
    http_exchange& exchange, request_record& record)
{
    model_request request(std::move(services), context, exchange, record);
    co_await request.run();
}

} // namespace fulmaryard
