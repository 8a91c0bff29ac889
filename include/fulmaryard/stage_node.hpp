#ifndef FULMARYARD_STAGE_NODE_HPP
#define FULMARYARD_STAGE_NODE_HPP

#include <fulmaryard/engine_release.hpp>
#include <fulmaryard/engine_result.hpp>
#include <fulmaryard/engine_run.hpp>
#include <fulmaryard/layer_range.hpp>
#include <fulmaryard/send_message.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace fulmaryard
{

/// An action that the side process carries out for the stage node.
using stage_action = std::variant<send_message, engine_run, engine_release>;

/// Identity and limits of a stage node; fixed after construction.
struct stage_node_settings
{
    std::string m_process; ///< Process id; a restarted process has a new one.
    std::string m_address; ///< Peer address of the side process.
    std::string m_model;
    layer_range m_layers;
    std::size_t m_max_streams{4096};
    std::size_t m_max_retained_bytes{64 * 1024 * 1024}; ///< Outputs kept for resending.
    std::size_t m_message_bytes{1024 * 1024};           ///< Target size of an activations message.
    /// Bytes of activations sent before the consumer must pull again. Half of a link's send queue
    /// (8 MiB), because an overflow of that queue closes the link.
    std::size_t m_window_bytes{4 * 1024 * 1024};
    std::chrono::milliseconds m_orphan_timeout{10'000};     ///< Since the last owner message.
    std::chrono::milliseconds m_finished_retention{30'000}; ///< For closed streams.
};

/// Runs one pipeline stage for many streams. Tracks epochs and positions, and retains outputs so
/// that they can be resent. Does no I/O: each call returns the actions to carry out, in order. Not
/// thread-safe.
class stage_node
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    using actions = std::vector<stage_action>;

    explicit stage_node(stage_node_settings settings);
    ~stage_node();

    stage_node(const stage_node&) = delete;
    stage_node& operator=(const stage_node&) = delete;

    /// Handles a peer message; ignores message types that are not addressed to a stage.
    actions on_message(const hello& from, const peer_message& message, time_point now);

    actions on_engine_result(const engine_result& result, time_point now);

    /// The engine and all of its KV state are lost.
    actions on_engine_down(time_point now);
    void on_engine_up(); ///< The engine is available again, without any KV state.

    /// A link to or from the peer was opened. Requests data that an earlier link may have lost.
    actions on_peer_connected(const hello& peer, time_point now);

    actions on_peer_down(const std::string& address, time_point now);

    /// Expires streams without an owner and closed streams. Call about every 100 ms.
    actions on_tick(time_point now);

    /// Refuses new streams from now on. New plans for open streams are still accepted.
    void begin_drain();

    /// Refuses new streams planned under an older configuration with `stale_generation`. A lower
    /// value than the current one has no effect.
    void set_generation(std::uint64_t generation);

    std::size_t active_streams() const; ///< Streams neither closed nor finished.
    std::size_t retained_bytes() const;

    /// Returns the state as a JSON object that lists at most `max_streams` streams.
    std::string dump(std::size_t max_streams) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fulmaryard

#endif
