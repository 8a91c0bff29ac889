#ifndef FULMARYARD_WEBSOCKET_INL_HPP
#define FULMARYARD_WEBSOCKET_INL_HPP

#include "use_tuple_inl.hpp"

#include <boost/beast/websocket/stream.hpp>

#include <chrono>

namespace fulmaryard
{

/// Turns on Beast's keep-alive: a ping after half of `silence` without traffic, and an error on the
/// pending read when nothing at all arrives for `silence`.
template <typename Websocket>
void set_liveness(
    Websocket& socket, std::chrono::milliseconds handshake, std::chrono::milliseconds silence)
{
    socket.set_option(boost::beast::websocket::stream_base::timeout{handshake, silence, true});
}

} // namespace fulmaryard

#endif
