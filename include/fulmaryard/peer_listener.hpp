#ifndef FULMARYARD_PEER_LISTENER_HPP
#define FULMARYARD_PEER_LISTENER_HPP

#include <fulmaryard/peer_message.hpp>

#include <string>

namespace fulmaryard
{

/// Receives what happens on peer links. Calls come from several threads at once; those about one
/// connection come in order.
class peer_listener
{
public:
    virtual ~peer_listener() = default;

    /// The link to a peer is up, for the first time or again. What was queued before is lost.
    /// `peer.m_process` differs from earlier when the process was restarted.
    virtual void on_peer_up(const hello& peer) = 0;

    /// The peer at `address` cannot be reached: reconnecting failed too. Reported once until it is
    /// up again; attempts go on.
    virtual void on_peer_down(const std::string& address) = 0;

    /// A peer opened a link to this process. What it sent on an earlier link may be lost.
    virtual void on_peer_hello(const hello& peer) = 0;

    virtual void on_peer_message(const hello& from, peer_message message) = 0;
};

} // namespace fulmaryard

#endif
