#ifndef FULMARYARD_STREAM_ID_HPP
#define FULMARYARD_STREAM_ID_HPP

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace fulmaryard
{

/// 128-bit random identifier of a stream.
struct stream_id
{
    std::uint64_t m_high{0};
    std::uint64_t m_low{0};

    friend auto operator<=>(const stream_id&, const stream_id&) = default;

    template <typename H>
    friend H AbslHashValue(H state, const stream_id& id)
    {
        return H::combine(std::move(state), id.m_high, id.m_low);
    }

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_high, m_low);
    }
};

/// Returns a new id from the operating system's random number generator.
stream_id make_stream_id();

/// Formats the id as 32 lower-case hexadecimal digits.
std::string to_string(const stream_id& id);

/// Parses 32 hexadecimal digits as written by `to_string`; returns `invalid_request` otherwise.
absl::StatusOr<stream_id> parse_stream_id(std::string_view text);

} // namespace fulmaryard

#endif
