#ifndef FULMARYARD_ENGINE_CODEC_HPP
#define FULMARYARD_ENGINE_CODEC_HPP

#include <fulmaryard/engine_order.hpp>
#include <fulmaryard/engine_release.hpp>
#include <fulmaryard/engine_result.hpp>
#include <fulmaryard/engine_run.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace fulmaryard
{

/// Reply of an engine to an order. `m_epoch` is 0 when the reply has no epoch.
struct engine_order_answer
{
    bool m_accepted{false};
    std::uint64_t m_epoch{0};

    friend bool operator==(const engine_order_answer&, const engine_order_answer&) = default;
};

/// Message received from an engine. `{"op":"ran"}` and `{"op":"failed"}` decode to an
/// `engine_result`, `{"op":"ordered"}` to an `engine_order_answer`.
using engine_message = std::variant<engine_result, engine_order_answer>;

/// Encode a message to an engine as JSON text. The opaque `m_inputs` values of a run are
/// hex-encoded.
std::string encode_engine_run(const engine_run& run);
std::string encode_engine_release(const engine_release& release);

/// Encodes an order as JSON text; fails with `invalid_request` when its arguments are not a JSON
/// object.
absl::StatusOr<std::string> encode_engine_order(const engine_order& order);

/// Decodes a message from an engine; fails with `invalid_request` when it is malformed.
absl::StatusOr<engine_message> decode_engine_message(std::string_view text);

} // namespace fulmaryard

#endif
