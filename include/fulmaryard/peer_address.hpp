#ifndef FULMARYARD_PEER_ADDRESS_HPP
#define FULMARYARD_PEER_ADDRESS_HPP

#include <absl/status/statusor.h>

#include <boost/asio/ip/tcp.hpp>

#include <string_view>

namespace fulmaryard
{

/// Parses "IP:PORT" or "[IPv6]:PORT". Host names are not resolved. Returns `invalid_request` for
/// any other text.
absl::StatusOr<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text);

} // namespace fulmaryard

#endif
