#ifndef FULMARYARD_PULL_HPP
#define FULMARYARD_PULL_HPP

#include <fulmaryard/epoch.hpp>
#include <fulmaryard/pull_kind.hpp>
#include <fulmaryard/stream_id.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// Consumer to producer: resend every retained output from a given position onwards.
/// `m_from` is a position if a stage k > 0 sends the message, and the index of a generated token if
/// stage 0 or the owner does.
struct pull
{
    stream_id m_stream;
    epoch m_epoch;
    std::uint32_t m_from{0};
    std::string m_reply_address; ///< Peer address of the consumer.
    pull_kind m_kind{pull_kind::outputs};

    friend auto operator<=>(const pull&, const pull&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_stream, m_epoch, m_from, m_reply_address, m_kind);
    }
};

} // namespace fulmaryard

#endif
