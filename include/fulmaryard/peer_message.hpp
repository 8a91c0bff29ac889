#ifndef FULMARYARD_PEER_MESSAGE_HPP
#define FULMARYARD_PEER_MESSAGE_HPP

#include <fulmaryard/activations.hpp>
#include <fulmaryard/attach_stream.hpp>
#include <fulmaryard/cancel_stream.hpp>
#include <fulmaryard/hello.hpp>
#include <fulmaryard/load_report.hpp>
#include <fulmaryard/open_stream.hpp>
#include <fulmaryard/pull.hpp>
#include <fulmaryard/service_call.hpp>
#include <fulmaryard/service_result.hpp>
#include <fulmaryard/stage_failed.hpp>
#include <fulmaryard/stream_attached.hpp>
#include <fulmaryard/stream_opened.hpp>
#include <fulmaryard/stream_refused.hpp>
#include <fulmaryard/tokens.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <variant>

namespace fulmaryard
{

/// A message that two processes exchange on the data path.
using peer_message = std::variant<
    hello, open_stream, stream_opened, stream_refused, activations, tokens, pull, cancel_stream,
    stage_failed, attach_stream, stream_attached, load_report, service_call, service_result>;

/// Serializes `message` in the portable binary format of cereal.
std::string encode(const peer_message& message);

/// Parses the output of `encode`. Returns `invalid_request` if `bytes` is not a valid message.
absl::StatusOr<peer_message> decode(std::string_view bytes);

} // namespace fulmaryard

#endif
