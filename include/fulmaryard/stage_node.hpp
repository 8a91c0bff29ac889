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

/// What a stage node asks its process to do.
using stage_action = std::variant<send_message, engine_run, engine_release>;

/// Fixed properties and bounds of one stage node.
struct stage_node_settings
{
    std::string m_process; ///< Id of this run of the side process.
    std::string m_address; ///< Peer address of the side process.
    std::string m_model;
    layer_range m_layers;
    std::size_t m_max_streams{4096};
    std::size_t m_max_retained_bytes{64 * 1024 * 1024};
    std::size_t m_message_bytes{1024 * 1024}; ///< Of activations in one message.
    /// Of activations sent before the consumer pulls again. Half of a link's queue (8 MiB), which
    /// would close the link when it overflows.
    std::size_t m_window_bytes{4 * 1024 * 1024};
    std::chrono::milliseconds m_orphan_timeout{10'000}; ///< Without an owner's link.
    std::chrono::milliseconds m_finished_retention{30'000};
};

/// One stage of many streams: epochs, positions, retained outputs, resends. Does no I/O: each call
/// returns the actions to carry out, in order. Not thread-safe.
class stage_node
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    using actions = std::vector<stage_action>;

    explicit stage_node(stage_node_settings settings);
    ~stage_node();

    stage_node(const stage_node&) = delete;
    stage_node& operator=(const stage_node&) = delete;

    /// Handles a data-path message; those that are not for a stage are ignored.
    actions on_message(const hello& from, const peer_message& message, time_point now);

    actions on_engine_result(const engine_result& result, time_point now);

    /// The engine is gone and with it all KV state; or it is back, empty.
    actions on_engine_down(time_point now);
    void on_engine_up();

    /// A link to or from the peer was opened: pulls what may have been lost with an earlier one.
    actions on_peer_connected(const hello& peer, time_point now);

    actions on_peer_down(const std::string& address, time_point now);

    /// Expires streams without an owner and finished streams. Call every 100 ms or so.
    actions on_tick(time_point now);

    /// Refuses new streams from now on. A re-plan of a stream that is held is still accepted.
    void begin_drain();

    /// Streams planned under an older configuration are refused with `stale_generation`.
    void set_generation(std::uint64_t generation);

    std::size_t active_streams() const; ///< Not finished.
    std::size_t retained_bytes() const;

    /// State as a JSON object; at most `max_streams` streams are listed.
    std::string dump(std::size_t max_streams) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fulmaryard

#endif
