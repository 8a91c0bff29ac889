#ifndef FULMARYARD_STREAM_REGISTRY_HPP
#define FULMARYARD_STREAM_REGISTRY_HPP

#include "one_shot_inl.hpp"

#include <fulmaryard/peer_message.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace fulmaryard
{

class model_stream;

/// Registry of the streams that this entry owns and of its pending `attach_stream` requests. Routes
/// messages and connection events of peers to them. Thread-safe.
class stream_registry
{
public:
    /// Reply of a stage to `attach_stream`; empty when the stage refused.
    using attach_answer = std::optional<stream_attached>;
    using attach_slot = std::shared_ptr<one_shot<attach_answer>>;

    /// Registers a stream and returns the one that it replaces, or null.
    std::shared_ptr<model_stream>
    add(const stream_id& id, const std::shared_ptr<model_stream>& stream);
    /// Unregisters the id unless another stream has replaced `stream`.
    void remove(const stream_id& id, const model_stream* stream);

    /// Registers a pending attach request for `id` to the peer at `address`; its reply is stored in
    /// `slot`. Returns false when a request for the same stream is already pending.
    bool add_pending_attach(const stream_id& id, const std::string& address, attach_slot slot);
    void remove_pending_attach(const stream_id& id);

    void on_message(const hello& from, const peer_message& message);
    void on_peer_connected(const hello& peer);
    void on_peer_down(const std::string& address);

    /// See `model_stream::end_for_exit`. A stream that is added later is not ended.
    void end_for_exit();

    std::size_t size() const;

private:
    struct pending_attach
    {
        std::string m_address;
        attach_slot m_slot;
    };

    std::vector<std::shared_ptr<model_stream>> live_streams() const;
    bool complete_attach(const hello& from, const stream_id& id, const peer_message& message);

    mutable std::mutex m_mutex;
    absl::flat_hash_map<stream_id, std::weak_ptr<model_stream>> m_streams;
    absl::flat_hash_map<stream_id, pending_attach> m_pending_attaches;
};

} // namespace fulmaryard

#endif
