#ifndef FULMARYARD_ENGINE_RELEASE_HPP
#define FULMARYARD_ENGINE_RELEASE_HPP

#include <fulmaryard/stream_id.hpp>

#include <compare>
#include <cstdint>

namespace fulmaryard
{

/// Action of a stage node: cancel the engine's runs of a session and free the session's KV state.
struct engine_release
{
    stream_id m_stream;
    std::uint64_t m_session{0};

    friend auto operator<=>(const engine_release&, const engine_release&) = default;
};

} // namespace fulmaryard

#endif
