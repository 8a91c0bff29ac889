#ifndef FULMARYARD_STREAM_OWNER_HPP
#define FULMARYARD_STREAM_OWNER_HPP

#include <fulmaryard/owner_action.hpp>
#include <fulmaryard/recovery_strategy.hpp>
#include <fulmaryard/stage_assignment.hpp>
#include <fulmaryard/stream_id.hpp>
#include <fulmaryard/stream_request.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Identity of the owning entry, and the limits that apply to its streams.
struct stream_owner_settings
{
    std::string m_process; ///< Process id of the entry; changes with each restart.
    std::string m_address; ///< Peer address of the entry, "IP:PORT".
    std::chrono::milliseconds m_open_deadline{500}; ///< Time for a stage to answer `open_stream`.
    std::chrono::milliseconds m_stream_deadline{600'000}; ///< Maximum duration of a stream.
    std::uint32_t m_max_replacements{16};                 ///< Stage replacements per stream.
    recovery_strategy m_recovery{recovery_strategy::rebuild_stage};
};

/// State machine of an entry for one stream: opens the stages, delivers each token exactly once and
/// in order, and replaces lost stages under a new epoch. Performs no I/O: each call returns the
/// actions that the caller has to carry out, in order. Not thread-safe.
class stream_owner
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    using actions = std::vector<owner_action>;

    /// Creates a new stream whose stages are given by `plan`.
    stream_owner(
        stream_owner_settings settings, stream_id id, stream_request request,
        std::vector<stage_assignment> plan);

    /// Takes over an existing stream from the state that one of its stages sent in `attached`. The
    /// caller has already received the tokens before `next_index`.
    stream_owner(
        stream_owner_settings settings, stream_request request, const stream_attached& attached,
        std::uint32_t next_index);

    ~stream_owner();

    stream_owner(const stream_owner&) = delete;
    stream_owner& operator=(const stream_owner&) = delete;

    /// Opens all stages. Must be called once, before any other method.
    actions start(time_point now);

    actions on_message(const hello& from, const peer_message& message, time_point now);

    /// Handles a new link to or from a peer. If the process id at its address has changed, the
    /// stage there is lost.
    actions on_peer_connected(const hello& peer, time_point now);
    /// Treats all stages at this address as lost.
    actions on_peer_down(const std::string& address, time_point now);

    /// Checks deadlines and sends keep-alives. Call about every 50 ms.
    actions on_tick(time_point now);

    /// Response to `choose_replacement`; starts a new epoch once all replacements are chosen.
    actions replace_stage(std::size_t stage, stage_assignment assignment, time_point now);
    /// Response to `choose_replacement` with `m_replace_plan`; restarts the stream from the prompt.
    actions replace_plan(std::vector<stage_assignment> plan, time_point now);

    /// Ends the stream with a failure. Its outcome (not sent, refused, sent or started) is derived
    /// from the responses of the stages.
    actions fail(failure_kind kind, std::string_view message);

    /// Ends the stream because the process exits. The kind of the failure follows from its outcome:
    /// `draining` if the stream has not run, else `deadline_exceeded` or `outcome_unknown`.
    actions end_for_exit();

    /// Cancels the stream on all stages because the caller has disconnected.
    actions cancel();

    bool ended() const;
    stream_id id() const;
    const std::vector<stage_assignment>& plan() const;
    std::uint32_t delivered() const;    ///< Number of tokens delivered to the caller.
    std::uint32_t replacements() const; ///< Number of replacements so far.
    /// Whether all stages have accepted a plan at some time, from this owner or a previous one.
    bool all_stages_accepted() const;

    /// Returns the state as a JSON object for diagnostics.
    std::string dump() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fulmaryard

#endif
