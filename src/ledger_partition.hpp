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

/// The stored state of one idempotency key.
struct ledger_record
{
    std::string m_body_hash; ///< Hash of the call's method, path and body.
    std::string m_attempt;   ///< Unique id of the attempt that wrote the intent: `process/ticket`.
    std::int64_t m_written_s{0};  ///< When it was written, in seconds since the Unix epoch.
    std::int64_t m_deadline_s{0}; ///< End of possible execution, same unit; 0 for outcomes.
    std::uint32_t m_status{0};    ///< HTTP status of the outcome; 0 for an intent.
    std::string m_content_type;
    std::string m_body;

    friend auto operator<=>(const ledger_record&, const ledger_record&) = default;
};

/// The records of one partition, by the hash of their key.
using ledger_records = std::map<std::string, ledger_record, std::less<>>;

/// Serializes records to JSON.
std::string encode_records(const ledger_records& records);

/// Parses the output of `encode_records`. An empty text yields no records. Fails with `internal` if
/// the text is malformed.
absl::StatusOr<ledger_records> decode_records(std::string_view text);

/// Returns the first 128 bits, in hex, of the SHA-256 of the parts. Each part is hashed after its
/// length, so that the boundaries between parts count.
std::string hash_parts(std::initializer_list<std::string_view> parts);

} // namespace fulmaryard

#endif
