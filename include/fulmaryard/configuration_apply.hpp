#ifndef FULMARYARD_CONFIGURATION_APPLY_HPP
#define FULMARYARD_CONFIGURATION_APPLY_HPP

#include <fulmaryard/apply_request.hpp>
#include <fulmaryard/apply_step.hpp>
#include <fulmaryard/current_configuration.hpp>
#include <fulmaryard/platform_object.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>

namespace fulmaryard
{

/// Accepts one apply by one conditional update of `configuration/current`. Does no I/O: the driver
/// carries out `next()` and reports its result. Not thread-safe.
///
/// The file is stored first, under its content hash. An update that loses against another tenant's
/// apply is made again on top of it; one that loses against an apply of the same tenant ends with
/// `conflict`. After an update without an answer the record is read back and its apply ids
/// compared.
class configuration_apply
{
public:
    explicit configuration_apply(apply_request request);

    apply_step next() const;

    void on_read(const absl::StatusOr<platform_object>& result);
    void on_written(const absl::StatusOr<std::uint64_t>& result);

    /// The time for retries is over: ends with `platform_unavailable`, with outcome `unknown` when
    /// an update may still take effect.
    void on_deadline();

    /// Requires that `next()` is `finished`. Failures: `conflict` (its outcome is `not_run`),
    /// `key_reused` for an apply id of another file, `platform_unavailable`, `outcome_unknown`
    /// when the history no longer shows whether an unanswered update took effect.
    const absl::StatusOr<applied_file>& result() const;

    /// Hash of the tenant's file that is in force instead, after a `conflict`; empty when none is.
    const std::string& conflicting_hash() const;

private:
    enum class stage : std::uint8_t
    {
        reading,
        storing_file,
        updating,
        finished
    };

    void finish(absl::StatusOr<applied_file> result);
    void fail_after_outage(const absl::Status& status);
    /// Ends the apply, with whether an unanswered update took effect, if the record shows it.
    bool settle(const current_configuration& current, std::uint64_t version);
    bool conflicts(const current_configuration& current) const;
    std::uint64_t changed_generation(const current_configuration& current) const;
    std::string hash_of(const current_configuration& current) const;
    void prepare_update(current_configuration current, std::uint64_t version);

    apply_request m_request;
    std::string m_hash;
    std::string m_text; ///< Canonical form of the file.
    stage m_stage{stage::reading};
    bool m_after_failure{false};
    bool m_file_stored{false};
    bool m_unanswered{false}; ///< An update based on `m_version` may take or have taken effect.
    std::optional<std::uint64_t> m_first_changed; ///< Of the tenant's file, as first read.
    std::uint64_t m_version{0};
    std::string m_update;
    applied_file m_accepted; ///< What the update records.
    std::string m_conflicting_hash;
    absl::StatusOr<applied_file> m_result;
};

} // namespace fulmaryard

#endif
