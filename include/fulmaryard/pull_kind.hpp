#ifndef FULMARYARD_PULL_KIND_HPP
#define FULMARYARD_PULL_KIND_HPP

#include <cstdint>

namespace fulmaryard
{

/// What a `pull` requests.
enum class pull_kind : std::uint8_t
{
    outputs,      ///< The receiver's outputs.
    known_tokens, ///< The generated tokens known to the receiver; requested by a new last stage.
    keep_alive    ///< No data: the owner tells the stage that the stream is still in use.
};

} // namespace fulmaryard

#endif
