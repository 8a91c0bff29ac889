#include "stream_registry.hpp"

#include "model_stream.hpp"

#include <type_traits>
#include <utility>
#include <variant>

namespace fulmaryard
{

namespace
{

/// Returns the stream id of a message; empty for message types without one.
std::optional<stream_id> stream_of(const peer_message& message)
{
    return std::visit(
        [](const auto& alternative) -> std::optional<stream_id>
        {
            if constexpr (requires { alternative.m_stream; })
                return alternative.m_stream;
            else
                return std::nullopt;
        },
        message);
}

} // namespace

std::shared_ptr<model_stream>
stream_registry::add(const stream_id& id, const std::shared_ptr<model_stream>& stream)
{
    const std::lock_guard lock(m_mutex);
    auto& slot = m_streams[id];
    auto replaced = slot.lock();
    slot = stream;
    return replaced;
}

void stream_registry::remove(const stream_id& id, const model_stream* stream)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_streams.find(id);
    if (found == m_streams.end())
        return;
    const auto registered = found->second.lock();
    if (!registered || registered.get() == stream)
        m_streams.erase(found);
}

bool stream_registry::add_pending_attach(
    const stream_id& id, const std::string& address, attach_slot slot)
{
    const std::lock_guard lock(m_mutex);
    return m_pending_attaches.try_emplace(id, pending_attach{address, std::move(slot)}).second;
}

void stream_registry::remove_pending_attach(const stream_id& id)
{
    const std::lock_guard lock(m_mutex);
    m_pending_attaches.erase(id);
}

bool stream_registry::complete_attach(
    const hello& from, const stream_id& id, const peer_message& message)
{
    const auto* const attached = std::get_if<stream_attached>(&message);
    if (!attached && !std::holds_alternative<stream_refused>(message))
        return false;
    const std::lock_guard lock(m_mutex);
    const auto found = m_pending_attaches.find(id);
    if (found == m_pending_attaches.end() || found->second.m_address != from.m_address)
        return attached != nullptr;
    found->second.m_slot->set(attached ? attach_answer(*attached) : std::nullopt);
    return true;
}

void stream_registry::on_message(const hello& from, const peer_message& message)
{
    const auto id = stream_of(message);
    if (!id || complete_attach(from, *id, message))
        return;
    std::shared_ptr<model_stream> stream;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_streams.find(*id);
        if (found != m_streams.end())
            stream = found->second.lock();
    }
    if (stream)
        stream->on_message(from, message);
}

std::vector<std::shared_ptr<model_stream>> stream_registry::live_streams() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<model_stream>> streams;
    streams.reserve(m_streams.size());
    for (const auto& [id, weak] : m_streams)
    {
        if (auto stream = weak.lock())
            streams.push_back(std::move(stream));
    }
    return streams;
}

void stream_registry::on_peer_connected(const hello& peer)
{
    for (const auto& stream : live_streams())
        stream->on_peer_connected(peer);
}

void stream_registry::on_peer_down(const std::string& address)
{
    for (const auto& stream : live_streams())
        stream->on_peer_down(address);
}

void stream_registry::end_for_exit()
{
    for (const auto& stream : live_streams())
        stream->end_for_exit();
}

std::size_t stream_registry::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_streams.size();
}

} // namespace fulmaryard
