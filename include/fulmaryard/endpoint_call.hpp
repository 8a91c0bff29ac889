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

/// Sends one request and reads the whole response, on an idle connection of the pool if there is
/// one. If the request fails on a pooled connection, it is sent again on a new one, so use this for
/// idempotent requests only. `timeout` bounds both attempts together. Failures: those of
/// `endpoint_channel`.
boost::asio::awaitable<absl::StatusOr<http_response>> call_endpoint(
    channel_pool& channels, std::string address, http_request request,
    std::chrono::milliseconds timeout);

} // namespace fulmaryard

#endif
