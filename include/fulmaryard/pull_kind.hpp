#ifndef FULMARYARD_PULL_KIND_HPP
#define FULMARYARD_PULL_KIND_HPP

#include <cstdint>

namespace fulmaryard
{

/// What a `pull` asks for.
enum class pull_kind : std::uint8_t
{
    outputs,      ///< The receiver's outputs.
    known_tokens, ///< The generated tokens that the receiver knows; asked by a new last stage.
    keep_alive    ///< Nothing: the owner tells the stage that the stream is still wanted.
};

} // namespace fulmaryard

#endif
