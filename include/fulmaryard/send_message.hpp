#ifndef FULMARYARD_SEND_MESSAGE_HPP
#define FULMARYARD_SEND_MESSAGE_HPP

#include <fulmaryard/peer_message.hpp>

#include <string>

namespace fulmaryard
{

/// Action returned by a decision module: send a message to the peer at `m_address`.
struct send_message
{
    std::string m_address;
    peer_message m_message;

    friend bool operator==(const send_message&, const send_message&) = default;
};

} // namespace fulmaryard

#endif
