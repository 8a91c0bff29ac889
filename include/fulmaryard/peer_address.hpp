#ifndef FULMARYARD_PEER_ADDRESS_HPP
#define FULMARYARD_PEER_ADDRESS_HPP

#include <absl/status/statusor.h>

#include <boost/asio/ip/tcp.hpp>

#include <string_view>

namespace fulmaryard
{

/// Reads "IP:PORT" or "[IPv6]:PORT"; names are not resolved. `invalid_request` for anything else.
absl::StatusOr<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text);

} // namespace fulmaryard

#endif
