#ifndef FULMARYARD_WEBSOCKET_INL_HPP
#define FULMARYARD_WEBSOCKET_INL_HPP

#include "use_tuple_inl.hpp"

#include <boost/beast/websocket/stream.hpp>

#include <chrono>

namespace fulmaryard
{

/// Enables Beast's keep-alive pings: sends a ping after half of `idle_timeout` without traffic, and
/// fails the pending read if nothing is received for `idle_timeout`.
template <typename Websocket>
void set_keep_alive(
    Websocket& socket, std::chrono::milliseconds handshake_timeout,
    std::chrono::milliseconds idle_timeout)
{
    socket.set_option(
        boost::beast::websocket::stream_base::timeout{handshake_timeout, idle_timeout, true});
}

} // namespace fulmaryard

#endif
