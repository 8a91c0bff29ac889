#include "model_stream.hpp"

#include "entry_services.hpp"
#include "use_tuple_inl.hpp"

#include <fulmaryard/completion_request.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/stream_locator.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <deque>
#include <limits>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds tick_interval{50};
// A resumable stream is kept for this long after its caller disconnects.
constexpr std::chrono::seconds resume_window{10};
// Limit on tokens buffered for a slow caller: about four minutes of output at the target rate of
// 60 ms per token.
constexpr std::size_t max_pending_tokens = 4096;

} // namespace

model_stream::model_stream(
    std::shared_ptr<entry_services> services, asio::any_io_executor strand, stream_request request,
    pipeline_definition pipeline, time_point arrived, bool sends_events)
    : m_services(std::move(services)),
      m_strand(std::move(strand)),
      m_request(std::move(request)),
      m_pipeline(std::move(pipeline)),
      m_progress_timer(m_strand),
      m_tick_timer(m_strand),
      m_sends_events(sends_events),
      m_arrived(arrived)
{
}

model_stream::~model_stream()
{
    for (const auto& counters : m_counters)
        counters->m_outstanding.fetch_sub(1, std::memory_order_relaxed);
    if (m_owner)
        m_services->m_streams.remove(m_owner->id(), this);
}

stream_owner_settings model_stream::owner_settings() const
{
    stream_owner_settings settings;
    settings.m_process = m_services->m_process;
    settings.m_address = m_services->m_settings.advertised_address();
    settings.m_recovery = m_services->m_settings.m_recovery == "restart"
                              ? recovery_strategy::restart
                              : recovery_strategy::rebuild_stage;
    return settings;
}

void model_stream::start(std::vector<stage_assignment> plan, std::shared_ptr<void> lease)
{
    m_owner = std::make_unique<stream_owner>(
        owner_settings(), make_stream_id(), m_request, std::move(plan));
    m_admitted = std::chrono::steady_clock::now();
    begin(std::move(lease));
}

void model_stream::start_attached(
    const stream_attached& attached, std::uint32_t next_index, std::shared_ptr<void> lease)
{
    m_next_index = next_index;
    m_owner = std::make_unique<stream_owner>(owner_settings(), m_request, attached, next_index);
    begin(std::move(lease));
}

void model_stream::begin(std::shared_ptr<void> lease)
{
    m_lease = std::move(lease);
    if (const auto replaced = m_services->m_streams.add(m_owner->id(), shared_from_this()))
        replaced->on_replaced();
    run(m_owner->start(std::chrono::steady_clock::now()));
    asio::co_spawn(m_strand, tick(), asio::detached);
}

void model_stream::post(std::function<void(model_stream&)> function)
{
    asio::post(
        m_strand,
        [self = shared_from_this(), function = std::move(function)]
        {
            if (!self->m_ended)
                function(*self);
        });
}

void model_stream::on_message(const hello& from, const peer_message& message)
{
    post(
        [from, message](model_stream& self)
        {
            self.m_processing_refusal = std::holds_alternative<stream_refused>(message);
            self.run(self.m_owner->on_message(from, message, std::chrono::steady_clock::now()));
            self.m_processing_refusal = false;
        });
}

void model_stream::on_peer_connected(const hello& peer)
{
    post([peer](model_stream& self)
         { self.run(self.m_owner->on_peer_connected(peer, std::chrono::steady_clock::now())); });
}

void model_stream::on_peer_down(const std::string& address)
{
    post([address](model_stream& self)
         { self.run(self.m_owner->on_peer_down(address, std::chrono::steady_clock::now())); });
}

void model_stream::on_replaced()
{
    post(
        [](model_stream& self)
        {
            // Does not cancel the stages, since they now belong to the new owner.
            self.end(make_failure(
                failure_kind::stale_epoch, "the stream was taken over",
                dispatch_progress::started));
        });
}

void model_stream::end_for_exit()
{
    post(
        [](model_stream& self)
        {
            if (!self.m_sends_events || !self.m_owner->all_stages_accepted())
                self.run(self.m_owner->end_for_exit());
        });
}

void model_stream::run(stream_owner::actions actions)
{
    std::deque<owner_action> queue(
        std::make_move_iterator(actions.begin()), std::make_move_iterator(actions.end()));
    while (!queue.empty())
    {
        const owner_action action = std::move(queue.front());
        queue.pop_front();
        if (const auto* const message = std::get_if<send_message>(&action))
            m_services->m_send(message->m_address, message->m_message);
        else if (const auto* const delivered = std::get_if<deliver_tokens>(&action))
            deliver(*delivered);
        else if (const auto* const replacement = std::get_if<choose_replacement>(&action))
        {
            auto next_actions = replace(*replacement);
            queue.insert(
                queue.end(), std::make_move_iterator(next_actions.begin()),
                std::make_move_iterator(next_actions.end()));
        }
        else if (const auto* const failed = std::get_if<fail_stream>(&action))
            end(failed->m_status);
    }
    if (!m_ended)
        update_counters();
    if (!m_ended && m_pending_tokens.size() > max_pending_tokens)
    {
        auto cancels = m_owner->cancel();
        end(make_failure(
            failure_kind::request_timeout, "the caller reads too slowly",
            dispatch_progress::started));
        run(std::move(cancels));
    }
}

void model_stream::deliver(const deliver_tokens& delivered)
{
    const auto now = std::chrono::steady_clock::now();
    if (!delivered.m_tokens.empty())
    {
        if (!m_first_token)
        {
            m_first_token = now - m_arrived;
            m_services->m_metrics.m_first_token.record(*m_first_token);
            if (m_admitted)
                m_services->m_gate->on_first_token(now - *m_admitted);
        }
        else
            m_services->m_metrics.m_inter_token.record(now - m_last_token);
        if (m_recovering_since)
        {
            m_services->m_metrics.m_recovery.record(now - *m_recovering_since);
            m_recovering_since.reset();
        }
        m_last_token = now;
    }
    m_pending_tokens.insert(
        m_pending_tokens.end(), delivered.m_tokens.begin(), delivered.m_tokens.end());
    if (delivered.m_finished)
        end(absl::OkStatus());
    m_progress_timer.cancel();
}

stream_owner::actions model_stream::replace(const choose_replacement& replacement)
{
    const auto now = std::chrono::steady_clock::now();
    // Refused work that has not run yet is retried within the retry budget. Once a stream has run,
    // a stage is always replaced, even if it refused the new plan, because the response would be
    // lost otherwise. `stream_owner` limits the number of replacements per stream.
    const bool retried = m_processing_refusal && !m_owner->all_stages_accepted();
    if (retried && !m_services->try_retry())
    {
        return m_owner->fail(
            failure_kind::overloaded, "refused by an endpoint, and the retry budget is used up");
    }
    if (!retried)
    {
        m_services->m_metrics.m_recoveries.add();
        if (!m_recovering_since)
            m_recovering_since = now;
    }
    const auto& settings = m_services->m_settings;
    planning_request request;
    request.m_prompt = m_request.m_prompt;
    request.m_positions = std::uint64_t{count_words(m_request.m_prompt)} + m_request.m_max_tokens;
    request.m_region = settings.m_region;
    request.m_failure_domain = settings.m_failure_domain;
    request.m_excluded = replacement.m_excluded;
    const auto view = m_services->m_directory.published().load();
    log_event(log_level::info, "stage_replacement")
        .with("request", m_request.m_request_id)
        .with("stream", to_string(m_owner->id()))
        .with("stage", replacement.m_stage)
        .with("whole_plan", replacement.m_replace_plan)
        .with("refused", m_processing_refusal);
    if (replacement.m_replace_plan)
    {
        auto planned = m_services->m_planner.plan(*view, m_pipeline, request);
        if (!planned.ok())
            return m_owner->fail(kind_of(planned.status()), message_of(planned.status()));
        return m_owner->replace_plan(std::move(planned->m_stages), now);
    }
    auto chosen = m_services->m_planner.replace(
        *view, m_pipeline, m_owner->plan(), replacement.m_stage, request);
    if (!chosen.ok())
        return m_owner->fail(kind_of(chosen.status()), message_of(chosen.status()));
    return m_owner->replace_stage(replacement.m_stage, *std::move(chosen), now);
}

void model_stream::update_counters()
{
    if (m_owner->plan() == m_counted_plan)
        return;
    m_counted_plan = m_owner->plan();
    std::vector<std::shared_ptr<endpoint_counters>> counters;
    const auto view = m_services->m_directory.published().load();
    for (const auto& stage : m_owner->plan())
    {
        const auto* const known = view->find(stage.m_address);
        if (known)
            counters.push_back(known->m_counters);
    }
    for (const auto& added : counters)
        added->m_outstanding.fetch_add(1, std::memory_order_relaxed);
    for (const auto& removed : m_counters)
        removed->m_outstanding.fetch_sub(1, std::memory_order_relaxed);
    m_counters = std::move(counters);
}

void model_stream::end(absl::Status status)
{
    if (m_ended)
        return;
    m_ended = true;
    m_status = std::move(status);
    for (const auto& counters : m_counters)
        counters->m_outstanding.fetch_sub(1, std::memory_order_relaxed);
    m_counters.clear();
    m_lease.reset();
    m_progress_timer.cancel();
    m_tick_timer.cancel();
}

asio::awaitable<void> model_stream::tick()
{
    const auto self = shared_from_this();
    while (!m_ended)
    {
        m_tick_timer.expires_after(tick_interval);
        co_await m_tick_timer.async_wait(use_tuple);
        if (!m_ended)
            run(m_owner->on_tick(std::chrono::steady_clock::now()));
    }
}

asio::awaitable<model_stream::progress> model_stream::next()
{
    const auto self = shared_from_this();
    while (m_pending_tokens.empty() && !m_ended && !m_disconnected)
    {
        m_progress_timer.expires_after(std::chrono::hours(1));
        co_await m_progress_timer.async_wait(use_tuple);
    }
    progress update;
    update.m_tokens = std::exchange(m_pending_tokens, {});
    m_next_index += static_cast<std::uint32_t>(update.m_tokens.size());
    update.m_next_index = m_next_index;
    update.m_ended = m_ended;
    update.m_status = m_status;
    co_return update;
}

void model_stream::on_caller_disconnected(bool resumable)
{
    m_disconnected = true;
    m_progress_timer.cancel();
    if (m_ended)
        return;
    const auto cancel = [](model_stream& self)
    {
        auto actions = self.m_owner->cancel();
        self.end(make_failure(
            failure_kind::endpoint_lost, "the caller is gone", dispatch_progress::started));
        self.run(std::move(actions));
    };
    if (!resumable)
    {
        cancel(*this);
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_strand, resume_window);
    timer->async_wait(
        [self = shared_from_this(), timer, cancel](const boost::system::error_code&)
        {
            if (!self->m_ended)
                cancel(*self);
        });
}

std::string model_stream::locator(std::uint32_t next_index) const
{
    stream_locator result;
    result.m_stream = m_owner->id();
    result.m_next_index = next_index;
    for (const auto& stage : m_owner->plan())
        result.m_addresses.push_back(stage.m_address);
    return to_string(result);
}

} // namespace fulmaryard
