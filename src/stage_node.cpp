#include <fulmaryard/stage_node.hpp>

#include "stage_stream.hpp"

#include <absl/container/flat_hash_map.h>
#include <boost/json.hpp>

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <utility>

namespace fulmaryard
{

namespace
{

// A stage that receives no input for this long pulls again. Losses are normally detected by link
// events; the timer covers messages dropped because the receiving stage had not been opened yet.
constexpr std::chrono::milliseconds repull_interval{1000};

constexpr std::size_t max_early_pulls = 8; // Allows two from each neighbour and from the owner.

} // namespace

struct stage_node::state
{
    using stream_map = absl::flat_hash_map<stream_id, std::unique_ptr<stage_stream>>;

    stage_node_settings m_settings;
    stream_map m_streams;
    absl::flat_hash_map<std::uint64_t, stream_id> m_runs;        ///< Runs in flight, by run id.
    std::map<std::uint64_t, stream_id> m_streams_with_outputs;   ///< By session order.
    std::deque<std::pair<time_point, stream_id>> m_closed_order; ///< Oldest first.
    std::uint64_t m_last_session_order{0};
    std::uint64_t m_last_session{0};
    std::uint64_t m_last_run{0};
    std::uint64_t m_generation{0};
    std::size_t m_active{0};
    std::size_t m_retained_bytes{0};
    bool m_draining{false};
    bool m_engine_up{true};
    time_point m_now;
    actions m_actions;

    stage_stream* find(const stream_id& id)
    {
        const auto found = m_streams.find(id);
        return found == m_streams.end() ? nullptr : found->second.get();
    }

    stage_stream* find_open(const stream_id& id, const epoch& at)
    {
        stage_stream* const stream = find(id);
        return stream && !stream->m_closed && stream->m_open.m_epoch == at ? stream : nullptr;
    }

    void send(const std::string& address, peer_message message)
    {
        m_actions.emplace_back(send_message{address, std::move(message)});
    }

    actions take_actions() { return std::exchange(m_actions, {}); }

    // ---- sessions and memory

    void drop_outputs(stage_stream& stream)
    {
        m_retained_bytes -= stream.m_output_bytes;
        stream.m_output_bytes = 0;
        stream.m_outputs.clear();
        stream.m_first_output_position = stream.m_next_position;
        m_streams_with_outputs.erase(stream.m_session_order);
    }

    void end_session(stage_stream& stream)
    {
        if (stream.m_session != 0 && m_engine_up)
            m_actions.emplace_back(engine_release{stream.m_open.m_stream, stream.m_session});
        m_runs.erase(stream.m_run);
        stream.m_run = 0;
        stream.m_session = 0;
        stream.m_next_position = 0;
        stream.m_inputs.clear();
        stream.m_deferred_sample.reset();
        drop_outputs(stream);
    }

    void begin_session(stage_stream& stream)
    {
        end_session(stream);
        stream.m_session = ++m_last_session;
        // A new session goes to the end of the eviction order. Otherwise a stream that was reopened
        // because its outputs had been dropped would be the first to lose them again.
        stream.m_session_order = ++m_last_session_order;
        stream.m_session_epoch = stream.m_open.m_epoch.m_number;
        stream.m_loss_reason.reset();
        stream.m_token_reports_complete = false;
    }

    void lose_session(stage_stream& stream, failure_kind reason)
    {
        end_session(stream);
        stream.m_loss_reason = reason;
        report_failure(stream, stream.m_open.m_stage, reason);
    }

    void close(stage_stream& stream)
    {
        if (stream.m_closed)
            return;
        end_session(stream);
        stream.m_early_pulls.clear();
        if (!stream.m_finished)
        {
            stream.m_tokens.clear();
            stream.m_open.m_prompt.clear();
        }
        --m_active;
        mark_closed(stream);
    }

    void report_failure(const stage_stream& stream, std::uint32_t stage, failure_kind reason)
    {
        send(
            stream.m_open.m_owner_address,
            stage_failed{stream.m_open.m_stream, stream.m_open.m_epoch, stage, reason});
    }

    // Drops the outputs of the oldest sessions first. A later pull for them is answered with
    // `overloaded`, upon which the owner reopens the whole plan.
    void enforce_retention_limit()
    {
        while (m_retained_bytes > m_settings.m_max_retained_bytes &&
               !m_streams_with_outputs.empty())
            drop_outputs(*find(m_streams_with_outputs.begin()->second));
    }

    void mark_closed(stage_stream& stream)
    {
        stream.m_closed = true;
        stream.m_closed_at = m_now;
        m_closed_order.emplace_back(m_now, stream.m_open.m_stream);
        // The number of closed streams is limited too; the oldest is erased first.
        while (m_streams.size() - m_active > 4 * m_settings.m_max_streams + 1)
            erase_oldest_closed();
    }

    // Ignores queue entries of streams that were erased, or reopened or closed again since.
    void erase_oldest_closed()
    {
        const auto [closed_at, id] = m_closed_order.front();
        m_closed_order.pop_front();
        const stage_stream* const stream = find(id);
        if (stream && stream->m_closed && stream->m_closed_at == closed_at)
            m_streams.erase(id);
    }

    // ---- opening

    std::optional<failure_kind> refusal_reason(const open_stream& open, bool held) const
    {
        if (open.m_stage >= open.m_plan.size())
            return failure_kind::invalid_request;
        const stage_assignment& own = open.m_plan[open.m_stage];
        if (own.m_process != m_settings.m_process || own.m_layers != m_settings.m_layers ||
            open.m_model != m_settings.m_model)
            return failure_kind::endpoint_lost;
        if (!m_engine_up)
            return failure_kind::endpoint_lost;
        if (held)
            return std::nullopt;
        if (open.m_generation < m_generation)
            return failure_kind::stale_generation;
        if (m_draining)
            return failure_kind::draining;
        if (m_active >= m_settings.m_max_streams)
            return failure_kind::overloaded;
        return std::nullopt;
    }

    void refuse(const open_stream& open, failure_kind reason)
    {
        send(
            open.m_owner_address,
            stream_refused{open.m_stream, open.m_epoch, open.m_stage, reason});
    }

    // Records a refusal so that a duplicate of the same open is not accepted later: the owner may
    // already have told the caller that the request was not run.
    void record_refusal(const open_stream& open, failure_kind reason)
    {
        auto& stream = m_streams[open.m_stream];
        if (!stream)
            stream = std::make_unique<stage_stream>();
        else
            close(*stream);
        stream->m_open = open;
        stream->m_open.m_prompt.clear();
        stream->m_open.m_known_tokens.clear();
        stream->m_tokens.clear();
        stream->m_finished = false;
        stream->m_refusal_reason = reason;
        mark_closed(*stream);
    }

    void on(const hello&, const open_stream& open)
    {
        stage_stream* stream = find(open.m_stream);
        if (stream && open.m_epoch <= stream->m_open.m_epoch)
            return answer_repeated_open(*stream, open);
        if (stream && stream->m_closed && stream->m_finished &&
            stream->m_session_epoch >= open.m_min_session_epoch &&
            open.m_stage < open.m_plan.size())
            return open_finished(*stream, open);
        const bool held = stream && !stream->m_closed;
        if (const auto reason = refusal_reason(open, held))
        {
            record_refusal(open, *reason);
            return refuse(open, *reason);
        }
        accept(open, held);
    }

    // The response was completed, and the stream cancelled by the previous owner, after the new
    // owner had attached. Nothing remains to be run; the known tokens are sent.
    void open_finished(stage_stream& stream, const open_stream& open)
    {
        stream.m_open = open;
        stream.m_open.m_known_tokens.clear();
        mark_closed(stream);
        send_opened(stream);
        send_tokens(
            stream, 0, stream.is_last() ? open.m_owner_address : open.m_plan.back().m_address);
    }

    void answer_repeated_open(stage_stream& stream, const open_stream& open)
    {
        if (open.m_epoch != stream.m_open.m_epoch)
            return refuse(open, failure_kind::stale_epoch);
        if (stream.m_refusal_reason)
            return refuse(open, *stream.m_refusal_reason);
        if (stream.m_closed)
            return stream.m_finished ? send_opened(stream)
                                     : refuse(open, failure_kind::endpoint_lost);
        stream.m_last_owner_time = m_now;
        if (stream.m_loss_reason)
            return report_failure(stream, stream.m_open.m_stage, *stream.m_loss_reason);
        send_opened(stream);
    }

    void send_opened(const stage_stream& stream)
    {
        send(
            stream.m_open.m_owner_address, stream_opened{
                                               stream.m_open.m_stream, stream.m_open.m_epoch,
                                               stream.m_open.m_stage, stream.m_next_position});
    }

    void accept(const open_stream& open, bool held)
    {
        auto& slot = m_streams[open.m_stream];
        if (!held)
        {
            slot = std::make_unique<stage_stream>();
            ++m_active;
        }
        stage_stream& stream = *slot;
        const bool same_stage = held && stream.m_open.m_stage == open.m_stage &&
                                stream.m_open.m_plan.size() == open.m_plan.size();
        const bool discard = stream.m_session_epoch < open.m_min_session_epoch;
        stream.m_open = open;
        stream.m_open.m_known_tokens.clear();
        stream.m_last_owner_time = m_now;
        stream.m_last_input_time = m_now;
        if (discard)
        {
            stream.m_tokens.clear();
            stream.m_finished = false;
        }
        if (!same_stage || discard || stream.m_session == 0)
            begin_session(stream);
        if (!append_known_tokens(stream, 0, open.m_known_tokens))
            return;
        send_opened(stream);
        exchange_after_open(stream);
    }

    void exchange_after_open(stage_stream& stream)
    {
        const open_stream& open = stream.m_open;
        const auto own = open.m_stage;
        // Also if this was the last stage before: a plan that it missed may have had another one,
        // which sampled tokens.
        if (stream.is_last())
        {
            stream.m_unreported_stages.clear();
            if (open.m_epoch.m_number > std::max(open.m_min_session_epoch, 1U))
                for (std::uint32_t other = 0; other < own; ++other)
                    stream.m_unreported_stages.insert(other);
            request_known_tokens(stream);
            stream.m_token_reports_complete = stream.m_unreported_stages.empty();
        }
        if (!stream.is_last() && open.m_epoch.m_number > 1)
            send_tokens(stream, 0, open.m_plan.back().m_address);
        pull_inputs(stream);
        for (const pull& early : std::exchange(stream.m_early_pulls, {}))
            if (early.m_epoch == open.m_epoch)
                answer_pull(stream, early);
        advance(stream);
    }

    void request_known_tokens(const stage_stream& stream)
    {
        for (const std::uint32_t other : stream.m_unreported_stages)
            send(
                stream.m_open.m_plan[other].m_address,
                pull{
                    stream.m_open.m_stream, stream.m_open.m_epoch, 0, m_settings.m_address,
                    pull_kind::known_tokens});
    }

    void pull_inputs(stage_stream& stream)
    {
        if (stream.m_open.m_plan.size() == 1 || stream.m_session == 0)
            return;
        stream.m_last_input_time = m_now;
        const auto from = static_cast<std::uint32_t>(
            stream.is_first() ? stream.m_tokens.size()
                              : stream.m_next_position + stream.m_inputs.size());
        send(
            stream.previous().m_address, pull{
                                             stream.m_open.m_stream, stream.m_open.m_epoch, from,
                                             m_settings.m_address, pull_kind::outputs});
    }

    // ---- inputs

    // Appends tokens that are not yet known. A different token at a known index means that the
    // session has consumed tokens that were superseded by a recovery: the session is dropped.
    // Returns false in that case.
    bool
    append_known_tokens(stage_stream& stream, std::uint32_t first, const std::vector<token>& known)
    {
        std::size_t index = first;
        for (const token& each : known)
        {
            if (index > stream.m_tokens.size())
                return true;
            if (index == stream.m_tokens.size())
                stream.m_tokens.push_back(each);
            else if (stream.m_tokens[index] != each)
            {
                lose_session(stream, failure_kind::endpoint_lost);
                return false;
            }
            ++index;
        }
        if (stream.m_tokens.size() >= stream.m_open.m_max_tokens)
            stream.m_finished = true;
        return true;
    }

    void on(const hello& from, const activations& message)
    {
        stage_stream* const stream = find_open(message.m_stream, message.m_epoch);
        if (!stream || stream->m_session == 0 || stream->is_first() ||
            stream->previous().m_process != from.m_process || message.m_prompt_positions == 0)
            return;
        stream->m_last_input_time = m_now;
        const std::size_t expected = stream->m_next_position + stream->m_inputs.size();
        if (message.m_first_position > expected)
            return pull_inputs(*stream);
        stream->m_prompt = message.m_prompt_positions;
        const std::uint32_t first = std::max(message.m_first_position, stream->m_prompt);
        if (!append_known_tokens(*stream, first - stream->m_prompt, message.m_input_tokens))
            return;
        const std::size_t known = expected - message.m_first_position;
        for (std::size_t at = known; at < message.m_values.size(); ++at)
            stream->m_inputs.push_back(message.m_values[at]);
        if (message.m_has_more && known < message.m_values.size())
            pull_inputs(*stream);
        advance(*stream);
    }

    void on(const hello& from, const tokens& message)
    {
        stage_stream* const stream = find_open(message.m_stream, message.m_epoch);
        if (!stream || stream->m_session == 0)
            return;
        if (stream->is_last())
            return handle_token_report(*stream, from, message);
        if (!stream->is_first() || stream->previous().m_process != from.m_process)
            return;
        stream->m_last_input_time = m_now;
        if (message.m_first_index > stream->m_tokens.size())
            return pull_inputs(*stream);
        if (!append_known_tokens(*stream, message.m_first_index, message.m_tokens))
            return;
        const std::size_t end = message.m_first_index + message.m_tokens.size();
        if (message.m_finished && end == stream->m_tokens.size())
            stream->m_finished = true;
        advance(*stream);
    }

    static bool conflicts_with_known_tokens(const stage_stream& stream, const tokens& message)
    {
        for (std::size_t at = 0; at < message.m_tokens.size(); ++at)
        {
            const std::size_t index = message.m_first_index + at;
            if (index < stream.m_tokens.size() && stream.m_tokens[index] != message.m_tokens[at])
                return true;
        }
        return false;
    }

    void handle_token_report(stage_stream& stream, const hello& from, const tokens& message)
    {
        for (const std::uint32_t other : stream.m_unreported_stages)
        {
            if (stream.m_open.m_plan[other].m_process != from.m_process)
                continue;
            // The other stage's session has consumed superseded tokens: that stage is replaced.
            if (conflicts_with_known_tokens(stream, message))
                return report_failure(stream, other, failure_kind::endpoint_lost);
            if (!append_known_tokens(stream, message.m_first_index, message.m_tokens))
                return;
            if (message.m_finished &&
                message.m_first_index + message.m_tokens.size() == stream.m_tokens.size())
                stream.m_finished = true;
            stream.m_unreported_stages.erase(other);
            break;
        }
        if (!stream.m_unreported_stages.empty() || stream.m_token_reports_complete)
            return;
        stream.m_token_reports_complete = true;
        if (const auto held = std::exchange(stream.m_deferred_sample, std::nullopt))
            accept_sample(stream, *held);
        publish_tokens(stream, 0);
        advance(stream);
    }

    // ---- runs

    void advance(stage_stream& stream)
    {
        if (stream.m_closed || stream.m_session == 0 || stream.m_run != 0)
            return;
        engine_run run;
        if (!(stream.is_first() ? fill_first_stage_run(stream, run)
                                : fill_later_stage_run(stream, run)))
            return;
        run.m_run = ++m_last_run;
        run.m_stream = stream.m_open.m_stream;
        run.m_session = stream.m_session;
        run.m_first_position = stream.m_next_position;
        run.m_priority = stream.m_open.m_priority;
        stream.m_run = run.m_run;
        stream.m_run_samples = run.m_sample;
        m_runs.emplace(run.m_run, run.m_stream);
        m_actions.emplace_back(std::move(run));
    }

    // Number of tokens that serve as inputs. The last token of a response is never an input.
    std::size_t input_token_count(const stage_stream& stream) const
    {
        const std::size_t known = stream.m_tokens.size();
        const bool complete = stream.m_finished || known >= stream.m_open.m_max_tokens;
        return complete && known > 0 ? known - 1 : known;
    }

    bool fill_first_stage_run(stage_stream& stream, engine_run& run)
    {
        const std::size_t end = input_token_count(stream);
        const std::size_t begin =
            stream.m_next_position == 0 ? 0 : stream.m_next_position - stream.m_prompt;
        if (stream.m_next_position == 0)
            run.m_prompt = stream.m_open.m_prompt;
        else if (begin >= end)
            return false;
        for (std::size_t at = begin; at < end; ++at)
            run.m_tokens.push_back(stream.m_tokens[at]);
        stream.m_run_positions = static_cast<std::uint32_t>(end - begin);
        run.m_sample = stream.is_last() && end == stream.m_tokens.size();
        return true;
    }

    bool fill_later_stage_run(stage_stream& stream, engine_run& run)
    {
        std::size_t count = stream.m_inputs.size();
        if (stream.is_last())
        {
            // No input can exist beyond the sampling position, and that position is not run until
            // every other stage has reported its known tokens.
            const std::size_t end =
                stream.sampling_position() + (stream.m_token_reports_complete ? 1 : 0);
            count =
                std::min(count, end > stream.m_next_position ? end - stream.m_next_position : 0);
        }
        if (count == 0)
            return false;
        const auto end = stream.m_inputs.begin() + static_cast<std::ptrdiff_t>(count);
        run.m_inputs.assign(stream.m_inputs.begin(), end);
        stream.m_run_positions = static_cast<std::uint32_t>(count);
        run.m_sample =
            stream.is_last() && stream.m_next_position + count == stream.sampling_position() + 1;
        return true;
    }

    void on_result(const engine_result& result)
    {
        const auto found = m_runs.find(result.m_run);
        if (found == m_runs.end())
            return;
        stage_stream& stream = *find(found->second);
        m_runs.erase(found);
        stream.m_run = 0;
        stream.m_last_input_time = m_now;
        if (stream.is_first() && stream.m_next_position == 0)
            stream.m_prompt = result.m_prompt_positions;
        const std::size_t expected =
            stream.m_run_positions +
            (stream.is_first() && stream.m_next_position == 0 ? stream.m_prompt : 0U);
        if (result.m_failed || result.m_outputs.size() != expected || stream.m_prompt == 0 ||
            (stream.m_run_samples && !result.m_sampled))
            return lose_session(stream, failure_kind::endpoint_failed);
        retain_outputs(stream, result);
        if (stream.m_run_samples)
            accept_sample(stream, result);
        advance(stream);
    }

    void retain_outputs(stage_stream& stream, const engine_result& result)
    {
        const std::uint32_t first = stream.m_next_position;
        stream.m_next_position += static_cast<std::uint32_t>(result.m_outputs.size());
        if (!stream.is_first())
            stream.m_inputs.erase(
                stream.m_inputs.begin(),
                stream.m_inputs.begin() + static_cast<std::ptrdiff_t>(result.m_outputs.size()));
        if (stream.is_last())
            return;
        if (stream.m_outputs.empty())
            stream.m_first_output_position = first;
        for (const std::string& output : result.m_outputs)
        {
            stream.m_output_bytes += output.size();
            m_retained_bytes += output.size();
            stream.m_outputs.push_back(output);
        }
        m_streams_with_outputs.emplace(stream.m_session_order, stream.m_open.m_stream);
        // Outputs that are about to be dropped cannot be pulled later, so all are sent now.
        const bool kept = m_retained_bytes <= m_settings.m_max_retained_bytes;
        send_outputs(
            stream, first, stream.following().m_address,
            kept ? m_settings.m_window_bytes : std::numeric_limits<std::size_t>::max());
        enforce_retention_limit();
    }

    // Defers a sample until all token reports have arrived. If another stage knows a token with the
    // same index, that token is used: it may have been consumed already, and the sample has not.
    void accept_sample(stage_stream& stream, const engine_result& result)
    {
        if (!stream.m_token_reports_complete)
        {
            stream.m_deferred_sample = result;
            return;
        }
        if (stream.m_next_position - stream.m_prompt != stream.m_tokens.size())
            return;
        stream.m_tokens.push_back(*result.m_sampled);
        stream.m_finished =
            result.m_finished || stream.m_tokens.size() >= stream.m_open.m_max_tokens;
        publish_tokens(stream, static_cast<std::uint32_t>(stream.m_tokens.size()) - 1);
    }

    // ---- outputs

    void publish_tokens(const stage_stream& stream, std::uint32_t from)
    {
        send_tokens(stream, from, stream.m_open.m_owner_address);
        if (!stream.is_first())
            send_tokens(stream, from, stream.m_open.m_plan.front().m_address);
    }

    void send_tokens(const stage_stream& stream, std::uint32_t from, const std::string& address)
    {
        tokens message{stream.m_open.m_stream, stream.m_open.m_epoch, from, {}, stream.m_finished};
        for (std::size_t at = from; at < stream.m_tokens.size(); ++at)
            message.m_tokens.push_back(stream.m_tokens[at]);
        send(address, std::move(message));
    }

    void send_outputs(
        const stage_stream& stream, std::uint32_t from, const std::string& address,
        std::size_t limit)
    {
        std::size_t at = from - stream.m_first_output_position;
        std::size_t window = 0;
        while (at < stream.m_outputs.size() && window < limit)
        {
            activations message;
            message.m_stream = stream.m_open.m_stream;
            message.m_epoch = stream.m_open.m_epoch;
            message.m_first_position =
                stream.m_first_output_position + static_cast<std::uint32_t>(at);
            message.m_prompt_positions = stream.m_prompt;
            std::size_t bytes = 0;
            for (; at < stream.m_outputs.size() && bytes < m_settings.m_message_bytes; ++at)
            {
                const std::size_t position = stream.m_first_output_position + at;
                if (position >= stream.m_prompt)
                    message.m_input_tokens.push_back(stream.m_tokens[position - stream.m_prompt]);
                bytes += stream.m_outputs[at].size();
                message.m_values.push_back(stream.m_outputs[at]);
            }
            window += bytes;
            message.m_has_more = at < stream.m_outputs.size() && window >= limit;
            send(address, std::move(message));
        }
    }

    void on(const hello& from, const pull& message)
    {
        stage_stream* const stream = find(message.m_stream);
        const bool from_owner = from.m_role == "entry";
        if (stream && message.m_epoch < stream->m_open.m_epoch)
        {
            if (from_owner)
                refuse_pull(message, failure_kind::stale_epoch);
            return;
        }
        if (!stream || (stream->m_closed && !stream->m_finished))
        {
            if (from_owner)
                refuse_pull(message, failure_kind::endpoint_lost);
            return;
        }
        if (message.m_epoch > stream->m_open.m_epoch)
        {
            if (stream->m_early_pulls.size() < max_early_pulls)
                stream->m_early_pulls.push_back(message);
            return;
        }
        if (from_owner)
            stream->m_last_owner_time = m_now;
        answer_pull(*stream, message);
    }

    void refuse_pull(const pull& message, failure_kind reason)
    {
        send(message.m_reply_address, stream_refused{message.m_stream, message.m_epoch, 0, reason});
    }

    void answer_pull(stage_stream& stream, const pull& message)
    {
        if (stream.m_loss_reason)
            return report_failure(stream, stream.m_open.m_stage, *stream.m_loss_reason);
        if (message.m_kind == pull_kind::keep_alive)
            return;
        if (message.m_kind == pull_kind::known_tokens)
            return send_tokens(stream, 0, message.m_reply_address);
        if (stream.is_last())
        {
            if (message.m_from < stream.m_tokens.size())
                send_tokens(stream, message.m_from, message.m_reply_address);
            return;
        }
        if (message.m_from >= stream.m_next_position)
            return;
        if (message.m_from < stream.m_first_output_position || stream.m_outputs.empty())
            return report_failure(stream, stream.m_open.m_stage, failure_kind::overloaded);
        send_outputs(stream, message.m_from, message.m_reply_address, m_settings.m_window_bytes);
    }

    // ---- end and attach

    void on(const hello&, const cancel_stream& message)
    {
        if (stage_stream* const stream = find(message.m_stream))
        {
            if (message.m_epoch < stream->m_open.m_epoch)
                return;
            stream->m_open.m_epoch = message.m_epoch;
            return close(*stream);
        }
        // The open may arrive after the cancel if a link was replaced in between.
        open_stream open;
        open.m_stream = message.m_stream;
        open.m_epoch = message.m_epoch;
        record_refusal(open, failure_kind::endpoint_lost);
    }

    void on(const hello&, const attach_stream& message)
    {
        const stage_stream* const stream = find(message.m_stream);
        const auto refuse_attach = [&](failure_kind reason) {
            send(
                message.m_owner_address,
                stream_refused{message.m_stream, message.m_epoch, 0, reason});
        };
        if (!stream || (stream->m_closed && !stream->m_finished))
            return refuse_attach(failure_kind::path_not_found);
        const open_stream& open = stream->m_open;
        if (open.m_account != message.m_account || open.m_request_id != message.m_request_id)
            return refuse_attach(failure_kind::forbidden);
        stream_attached answer;
        answer.m_stream = message.m_stream;
        answer.m_epoch = open.m_epoch;
        answer.m_plan = open.m_plan;
        answer.m_model = open.m_model;
        answer.m_prompt = open.m_prompt;
        answer.m_tokens = stream->m_tokens;
        answer.m_min_session_epoch = open.m_min_session_epoch;
        answer.m_max_tokens = open.m_max_tokens;
        answer.m_priority = open.m_priority;
        answer.m_finished = stream->m_finished;
        send(message.m_owner_address, std::move(answer));
    }

    template <typename Other>
    void on(const hello&, const Other&)
    {
        // Other message types are not addressed to a stage.
    }

    // ---- links and time

    void connected(const hello& peer)
    {
        for (auto& [id, stream] : m_streams)
        {
            if (stream->m_closed || stream->m_session == 0)
                continue;
            const auto& plan = stream->m_open.m_plan;
            for (std::uint32_t stage = 0; stage < plan.size(); ++stage)
                if (plan[stage].m_address == peer.m_address &&
                    plan[stage].m_process != peer.m_process)
                    report_failure(*stream, stage, failure_kind::endpoint_lost);
            if (stream->previous().m_process == peer.m_process)
                pull_inputs(*stream);
            request_known_tokens(*stream);
        }
    }

    void peer_down(const std::string& address)
    {
        for (auto& [id, stream] : m_streams)
        {
            if (stream->m_closed || stream->m_open.m_plan.size() == 1)
                continue;
            const auto count = static_cast<std::uint32_t>(stream->m_open.m_plan.size());
            if (stream->following().m_address == address)
                report_failure(
                    *stream, (stream->m_open.m_stage + 1) % count, failure_kind::endpoint_lost);
        }
    }

    void tick()
    {
        while (!m_closed_order.empty() &&
               m_now - m_closed_order.front().first > m_settings.m_finished_retention)
            erase_oldest_closed();
        std::vector<stage_stream*> orphans;
        for (auto& [id, held] : m_streams)
        {
            stage_stream& stream = *held;
            if (!stream.m_closed && m_now - stream.m_last_owner_time > m_settings.m_orphan_timeout)
                orphans.push_back(&stream);
            else if (
                !stream.m_closed && m_now - stream.m_last_input_time > repull_interval &&
                stream.m_run == 0 && !stream.m_finished)
            {
                pull_inputs(stream);
                request_known_tokens(stream);
            }
        }
        for (stage_stream* const orphan : orphans)
            close(*orphan);
    }
};

stage_node::stage_node(stage_node_settings settings) : m_state(std::make_unique<state>())
{
    m_state->m_settings = std::move(settings);
}

stage_node::~stage_node() = default;

stage_node::actions
stage_node::on_message(const hello& from, const peer_message& message, time_point now)
{
    m_state->m_now = now;
    std::visit([&](const auto& each) { m_state->on(from, each); }, message);
    return m_state->take_actions();
}

stage_node::actions stage_node::on_engine_result(const engine_result& result, time_point now)
{
    m_state->m_now = now;
    m_state->on_result(result);
    return m_state->take_actions();
}

stage_node::actions stage_node::on_engine_down(time_point now)
{
    m_state->m_now = now;
    m_state->m_engine_up = false;
    for (auto& [id, stream] : m_state->m_streams)
        if (!stream->m_closed && stream->m_session != 0)
            m_state->lose_session(*stream, failure_kind::endpoint_lost);
    return m_state->take_actions();
}

void stage_node::on_engine_up()
{
    m_state->m_engine_up = true;
}

stage_node::actions stage_node::on_peer_connected(const hello& peer, time_point now)
{
    m_state->m_now = now;
    m_state->connected(peer);
    return m_state->take_actions();
}

stage_node::actions stage_node::on_peer_down(const std::string& address, time_point now)
{
    m_state->m_now = now;
    m_state->peer_down(address);
    return m_state->take_actions();
}

stage_node::actions stage_node::on_tick(time_point now)
{
    m_state->m_now = now;
    m_state->tick();
    return m_state->take_actions();
}

void stage_node::begin_drain()
{
    m_state->m_draining = true;
}

void stage_node::set_generation(std::uint64_t generation)
{
    m_state->m_generation = std::max(m_state->m_generation, generation);
}

std::size_t stage_node::active_streams() const
{
    const auto& streams = m_state->m_streams;
    return static_cast<std::size_t>(std::count_if(
        streams.begin(), streams.end(),
        [](const auto& each) { return !each.second->m_closed && !each.second->m_finished; }));
}

std::size_t stage_node::retained_bytes() const
{
    return m_state->m_retained_bytes;
}

std::string stage_node::dump(std::size_t max_streams) const
{
    boost::json::array streams;
    for (const auto& [id, stream] : m_state->m_streams)
    {
        if (streams.size() >= max_streams)
            break;
        streams.push_back(boost::json::object{
            {"stream", to_string(id)},
            {"epoch", stream->m_open.m_epoch.m_number},
            {"stage", stream->m_open.m_stage},
            {"next_position", stream->m_next_position},
            {"tokens", stream->m_tokens.size()},
            {"retained_bytes", stream->m_output_bytes},
            {"closed", stream->m_closed},
            {"finished", stream->m_finished}});
    }
    return boost::json::serialize(boost::json::object{
        {"process", m_state->m_settings.m_process},
        {"active", m_state->m_active},
        {"held", m_state->m_streams.size()},
        {"retained_bytes", m_state->m_retained_bytes},
        {"draining", m_state->m_draining},
        {"engine_up", m_state->m_engine_up},
        {"streams", std::move(streams)}});
}

} // namespace fulmaryard
