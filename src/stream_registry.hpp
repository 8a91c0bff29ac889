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

/// The streams that this entry owns, and its questions for streams of other entries. Routes what
/// peers send to them. Thread-safe.
class stream_registry
{
public:
    /// The answer of a stage to `attach_stream`; none when it refused.
    using attach_answer = std::optional<stream_attached>;
    using attach_slot = std::shared_ptr<one_shot<attach_answer>>;

    /// Returns the stream that was registered under this id, which the new one replaces.
    std::shared_ptr<model_stream>
    add(const stream_id& id, const std::shared_ptr<model_stream>& stream);
    /// Removes the entry unless another stream has replaced `stream`.
    void remove(const stream_id& id, const model_stream* stream);

    /// Expects an answer about `id` from the peer at `address`; false when another request of the
    /// same stream is waiting already.
    bool expect_attach(const stream_id& id, const std::string& address, attach_slot slot);
    void forget_attach(const stream_id& id);

    void on_message(const hello& from, const peer_message& message);
    void on_peer_connected(const hello& peer);
    void on_peer_down(const std::string& address);

    std::size_t size() const;

private:
    struct attach_question
    {
        std::string m_address;
        attach_slot m_slot;
    };

    std::vector<std::shared_ptr<model_stream>> all() const;
    bool answer_attach(const hello& from, const stream_id& id, const peer_message& message);

    mutable std::mutex m_mutex;
    absl::flat_hash_map<stream_id, std::weak_ptr<model_stream>> m_streams;
    absl::flat_hash_map<stream_id, attach_question> m_questions;
};

} // namespace fulmaryard

#endif
