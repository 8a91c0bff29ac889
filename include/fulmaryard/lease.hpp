#ifndef FULMARYARD_LEASE_HPP
#define FULMARYARD_LEASE_HPP

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace fulmaryard
{

/// Key of the platform object that stores the lease for sending orders to engines.
inline constexpr std::string_view order_lease_object_key = "lease/orders";

/// Value of a lease object. It contains no timestamp: each candidate measures the duration on its
/// own monotonic clock, starting when it first observes the current version of the object.
struct lease
{
    std::string m_holder;           ///< Holder's process id, unique to one run of the process.
    std::uint64_t m_epoch{0};       ///< Incremented at each acquisition; 0 if never held.
    std::uint32_t m_duration_ms{0}; ///< Validity after each renewal, milliseconds.

    friend auto operator<=>(const lease&, const lease&) = default;
};

/// Serializes the lease as a JSON object with the keys "holder", "epoch" and "duration_ms".
std::string encode_lease(const lease& value);

/// Parses the output of `encode_lease`. Returns `invalid_request` if `text` is malformed.
absl::StatusOr<lease> decode_lease(std::string_view text);

} // namespace fulmaryard

#endif
