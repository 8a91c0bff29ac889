#include "peer_input_archive.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/peer_message.hpp>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <exception>
#include <sstream>

namespace fulmaryard
{

std::string encode(const peer_message& message)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(message);
    }
    return std::move(stream).str();
}

absl::StatusOr<peer_message> decode(std::string_view bytes)
{
    // The archive throws on truncated input and on a length that exceeds it; cereal throws on an
    // unknown variant index.
    try
    {
        peer_input_archive archive(bytes);
        peer_message message;
        archive(message);
        return message;
    }
    catch (const std::exception& error)
    {
        return make_failure(failure_kind::invalid_request, error.what());
    }
}

} // namespace fulmaryard
