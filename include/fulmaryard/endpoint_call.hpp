#ifndef FULMARYARD_ENDPOINT_CALL_HPP
#define FULMARYARD_ENDPOINT_CALL_HPP

#include <fulmaryard/channel_pool.hpp>
#include <fulmaryard/http_message.hpp>

#include <absl/status/statusor.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>

namespace fulmaryard
{

/// Sends one request and reads the whole response, over a kept-alive connection if there is one.
/// Failures: those of `endpoint_channel`. Use it for requests that may be repeated.
boost::asio::awaitable<absl::StatusOr<http_response>> call_endpoint(
    channel_pool& channels, std::string address, http_request request,
    std::chrono::milliseconds deadline);

} // namespace fulmaryard

#endif
