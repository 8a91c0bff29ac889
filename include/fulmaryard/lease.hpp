#ifndef FULMARYARD_LEASE_HPP
#define FULMARYARD_LEASE_HPP

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace fulmaryard
{

/// Name of the platform object that holds the lease on orders to engines.
inline constexpr std::string_view order_lease_object = "lease/orders";

/// Value of a lease object. It has no time of day: a candidate measures the duration on its own
/// monotonic clock, from when it first saw the object's version.
struct lease
{
    std::string m_holder;           ///< Process id, unique to one run of the process.
    std::uint64_t m_epoch{0};       ///< Grows by one at each takeover; 0: never held.
    std::uint32_t m_duration_ms{0}; ///< Time from one renewal for which the lease is held.

    friend auto operator<=>(const lease&, const lease&) = default;
};

/// Returns {"holder","epoch","duration_ms"} as JSON.
std::string encode_lease(const lease& value);

/// Reads what `encode_lease` writes; `invalid_request` for anything else.
absl::StatusOr<lease> decode_lease(std::string_view text);

} // namespace fulmaryard

#endif
