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

/// Engine's answer to an order.
struct engine_order_answer
{
    bool m_accepted{false};
    std::uint64_t m_epoch{0};

    friend bool operator==(const engine_order_answer&, const engine_order_answer&) = default;
};

/// Any message from an engine: {"op":"ran"}, {"op":"failed"} or {"op":"ordered"}.
using engine_message = std::variant<engine_result, engine_order_answer>;

/// Messages to an engine as JSON text; values are written as hexadecimal digits.
std::string encode_engine_run(const engine_run& run);
std::string encode_engine_release(const engine_release& release);

/// `invalid_request` when the arguments are no JSON object.
absl::StatusOr<std::string> encode_engine_order(const engine_order& order);

/// Reads a message from an engine; `invalid_request` for anything malformed.
absl::StatusOr<engine_message> decode_engine_message(std::string_view text);

} // namespace fulmaryard

#endif
