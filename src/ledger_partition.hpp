#ifndef FULMARYARD_LEDGER_PARTITION_HPP
#define FULMARYARD_LEDGER_PARTITION_HPP

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace fulmaryard
{

/// What the platform keeps about one idempotency key.
struct ledger_record
{
    std::string m_body_hash;      ///< Of the call's method, path and body.
    std::string m_attempt;        ///< Unique to one attempt by one process to write the intent.
    std::int64_t m_written_s{0};  ///< Seconds since the epoch.
    std::int64_t m_deadline_s{0}; ///< Until then the call may still be running.
    std::uint32_t m_status{0};    ///< HTTP status of the outcome; 0: intent without outcome.
    std::string m_content_type;
    std::string m_body;

    friend auto operator<=>(const ledger_record&, const ledger_record&) = default;
};

/// The records of one partition by the hash of their key.
using ledger_records = std::map<std::string, ledger_record, std::less<>>;

/// Writes records as JSON.
std::string encode_records(const ledger_records& records);

/// Reads what `encode_records` wrote; the empty text has no records. `internal` if malformed.
absl::StatusOr<ledger_records> decode_records(std::string_view text);

/// Returns the first 128 bits of a SHA-256 over the parts, each preceded by its length, in hex.
std::string hash_parts(std::initializer_list<std::string_view> parts);

} // namespace fulmaryard

#endif
