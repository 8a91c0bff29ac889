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

/// Identity and deadlines of the owning entry.
struct stream_owner_settings
{
    std::string m_process;                          ///< Id of this run of the entry.
    std::string m_address;                          ///< Its peer address.
    std::chrono::milliseconds m_open_deadline{500}; ///< For a stage to answer `open_stream`.
    std::chrono::milliseconds m_stream_deadline{600'000};
    std::uint32_t m_max_replacements{16}; ///< Per stream.
    recovery_strategy m_recovery{recovery_strategy::rebuild_stage};
};

/// The entry's part of one stream: opens the stages, delivers tokens once and in order, replaces
/// lost stages under a new epoch. Does no I/O: each call returns the actions to carry out, in
/// order. Not thread-safe.
class stream_owner
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    using actions = std::vector<owner_action>;

    /// A new stream along `plan`.
    stream_owner(
        stream_owner_settings settings, stream_id id, stream_request request,
        std::vector<stage_assignment> plan);

    /// Takes over a stream that a stage described in `attached`; tokens before `next_index` have
    /// reached the caller already.
    stream_owner(
        stream_owner_settings settings, stream_request request, const stream_attached& attached,
        std::uint32_t next_index);

    ~stream_owner();

    stream_owner(const stream_owner&) = delete;
    stream_owner& operator=(const stream_owner&) = delete;

    /// Opens all stages. Call once, first.
    actions start(time_point now);

    actions on_message(const hello& from, const peer_message& message, time_point now);

    /// A link to or from the peer was opened; a changed process id means the stage is lost.
    actions on_peer_connected(const hello& peer, time_point now);
    actions on_peer_down(const std::string& address, time_point now);

    /// Checks deadlines. Call every 50 ms or so.
    actions on_tick(time_point now);

    /// Answers `choose_replacement`.
    actions replace_stage(std::size_t stage, stage_assignment assignment, time_point now);
    actions replace_plan(std::vector<stage_assignment> plan, time_point now);

    /// Ends the stream with a failure; its outcome follows from what the stages have answered.
    actions fail(failure_kind kind, std::string_view message);

    /// The caller is gone: cancels the stream on all stages.
    actions cancel();

    bool ended() const;
    stream_id id() const;
    const std::vector<stage_assignment>& plan() const;
    std::uint32_t delivered() const;    ///< Tokens given to the caller.
    std::uint32_t replacements() const; ///< Stages replaced so far.
    bool has_run() const; ///< Every stage has accepted a plan, under this owner or an earlier one.

    /// State as a JSON object.
    std::string dump() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fulmaryard

#endif
