#ifndef FULMARYARD_ATTACH_STREAM_HPP
#define FULMARYARD_ATTACH_STREAM_HPP

#include <fulmaryard/epoch.hpp>
#include <fulmaryard/stream_id.hpp>

#include <compare>
#include <string>

namespace fulmaryard
{

/// New owner to any stage: requests the state of a stream whose entry has failed. The stage keeps
/// its state unchanged; the new owner then opens the stream at all stages with a higher epoch.
struct attach_stream
{
    stream_id m_stream;
    epoch m_epoch;
    std::string m_account;
    std::string m_request_id;
    std::string m_owner_address;

    friend auto operator<=>(const attach_stream&, const attach_stream&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_stream, m_epoch, m_account, m_request_id, m_owner_address);
    }
};

} // namespace fulmaryard

#endif
