#ifndef FULMARYARD_MODEL_STREAM_HPP
#define FULMARYARD_MODEL_STREAM_HPP

#include <fulmaryard/peer_message.hpp>
#include <fulmaryard/pipeline_definition.hpp>
#include <fulmaryard/stage_plan.hpp>
#include <fulmaryard/stream_owner.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fulmaryard
{

struct endpoint_counters;
struct entry_services;

/// Runs a `stream_owner` on a strand: executes its actions and buffers tokens until the caller's
/// coroutine consumes them. `on_message`, `on_peer_connected`, `on_peer_down`, `on_replaced` and
/// `end_for_exit` may be called on any thread, all other functions only on the strand.
class model_stream : public std::enable_shared_from_this<model_stream>
{
public:
    /// `sends_events` tells that the caller gets event ids, with which it can continue elsewhere.
    model_stream(
        std::shared_ptr<entry_services> services, boost::asio::any_io_executor strand,
        stream_request request, pipeline_definition pipeline,
        std::chrono::steady_clock::time_point arrived, bool sends_events);
    ~model_stream();

    model_stream(const model_stream&) = delete;
    model_stream& operator=(const model_stream&) = delete;

    /// Starts a new stream. `lease` is the admitted capacity, held until the stream ends.
    void start(std::vector<stage_assignment> plan, std::shared_ptr<void> lease);
    /// Resumes a stream that another owner started; `next_index` is the number of tokens that the
    /// caller has received.
    void start_attached(
        const stream_attached& attached, std::uint32_t next_index, std::shared_ptr<void> lease);

    void on_message(const hello& from, const peer_message& message);
    void on_peer_connected(const hello& peer);
    void on_peer_down(const std::string& address);
    /// Ends this object because another owner in this process has taken over the stream.
    void on_replaced();

    /// Ends the stream because the process exits, unless its caller can continue it at another
    /// entry. Its result says whether it may have run.
    void end_for_exit();

    /// Tokens not yet delivered to the caller, and the state of the stream after them.
    struct progress
    {
        std::vector<token> m_tokens;
        std::uint32_t m_next_index{0}; ///< Index after the last of `m_tokens`.
        bool m_ended{false};
        absl::Status m_status; ///< Result; valid if `m_ended`.
    };

    /// Waits until tokens are available, the stream has ended or the caller has disconnected.
    boost::asio::awaitable<progress> next();

    /// Handles the caller's disconnection: cancels the stream at once, or after 10 s if it is
    /// resumable.
    void on_caller_disconnected(bool resumable);
    bool caller_disconnected() const { return m_disconnected; }

    /// Event id for a caller that has received `next_index` tokens.
    std::string locator(std::uint32_t next_index) const;

    std::uint32_t replacements() const { return m_owner->replacements(); }
    /// Time from the arrival of the request to the first token; empty before the first token.
    std::optional<std::chrono::nanoseconds> first_token() const { return m_first_token; }

private:
    using time_point = std::chrono::steady_clock::time_point;

    void run(stream_owner::actions actions);
    void begin(std::shared_ptr<void> lease);
    void deliver(const deliver_tokens& delivered);
    stream_owner::actions replace(const choose_replacement& replacement);
    void update_counters();
    void end(absl::Status status);
    boost::asio::awaitable<void> tick();
    void post(std::function<void(model_stream&)> function);
    stream_owner_settings owner_settings() const;

    std::shared_ptr<entry_services> m_services;
    boost::asio::any_io_executor m_strand;
    stream_request m_request;
    pipeline_definition m_pipeline;
    std::unique_ptr<stream_owner> m_owner;
    std::shared_ptr<void> m_lease;
    boost::asio::steady_timer m_progress_timer;
    boost::asio::steady_timer m_tick_timer;
    std::vector<token> m_pending_tokens;
    std::uint32_t m_next_index{0};
    bool m_sends_events;
    bool m_ended{false};
    bool m_disconnected{false};
    /// A stage refusal is being processed. A replacement is then a retry unless the stream has run.
    bool m_processing_refusal{false};
    absl::Status m_status;
    time_point m_arrived; ///< Arrival of the caller's request; start of the first-token time.
    time_point m_last_token;
    std::optional<time_point> m_recovering_since;
    std::optional<std::chrono::nanoseconds> m_first_token;
    std::optional<time_point> m_admitted; ///< Empty for a resumed stream.
    std::vector<std::shared_ptr<endpoint_counters>> m_counters;
    std::vector<stage_assignment> m_counted_plan; ///< Plan whose endpoints `m_counters` holds.
};

} // namespace fulmaryard

#endif
