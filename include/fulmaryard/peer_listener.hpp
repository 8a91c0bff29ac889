#ifndef FULMARYARD_PEER_LISTENER_HPP
#define FULMARYARD_PEER_LISTENER_HPP

#include <fulmaryard/peer_message.hpp>

#include <string>

namespace fulmaryard
{

/// Callbacks for events on peer links. They are called concurrently from several threads; calls for
/// the same connection are made in order.
class peer_listener
{
public:
    virtual ~peer_listener() = default;

    /// The link to a peer was established or re-established. Messages queued before are lost.
    /// `peer.m_process` differs from its previous value if the peer process was restarted.
    virtual void on_peer_up(const hello& peer) = 0;

    /// An attempt to connect or reconnect to the peer at `address` failed. Called once until the
    /// peer is up again; the link keeps trying to reconnect.
    virtual void on_peer_down(const std::string& address) = 0;

    /// A peer opened a link to this process. Messages that it sent on an earlier link may
    /// be lost.
    virtual void on_peer_hello(const hello& peer) = 0;

    virtual void on_peer_message(const hello& from, peer_message message) = 0;
};

} // namespace fulmaryard

#endif
