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

/// State machine that commits one apply with a conditional update of `configuration/current`. It
/// does no I/O: the driver performs the step that `next()` returns and reports the result. Not
/// thread-safe.
///
/// The file is stored first, under its content hash. If a concurrent apply of another tenant wins
/// the conditional update, the update is rebuilt on the new record and retried; if an apply of the
/// same tenant wins, this apply fails with `conflict`. If an update gets no response, the record is
/// read again and its history is searched for the apply id.
class configuration_apply
{
public:
    explicit configuration_apply(apply_request request);

    apply_step next() const;

    void on_read(const absl::StatusOr<platform_object>& result);
    void on_written(const absl::StatusOr<std::uint64_t>& result);

    /// Stops retrying: fails with `platform_unavailable`, with outcome `unknown` if an update may
    /// have taken effect or may still do so.
    void on_deadline();

    /// Valid once `next()` returns `finished`. Failures: `conflict` (with outcome `not_run`),
    /// `key_reused` if the apply id was used for another file, `platform_unavailable`, and
    /// `outcome_unknown` if the history no longer reaches back to an update that got no response.
    const absl::StatusOr<applied_file>& result() const;

    /// After a `conflict`: hash of the tenant's active file, or empty if the tenant has none.
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
    void handle_platform_error(const absl::Status& status);
    /// Finishes the apply and returns true if the history contains its id, or is too short to show
    /// whether an update without a response took effect.
    bool finish_if_decided(const current_configuration& current, std::uint64_t version);
    bool conflicts(const current_configuration& current) const;
    std::uint64_t last_change_generation(const current_configuration& current) const;
    std::string active_hash(const current_configuration& current) const;
    void prepare_update(current_configuration current, std::uint64_t version);

    apply_request m_request;
    std::string m_hash;
    std::string m_text; ///< Canonical form of the file.
    stage m_stage{stage::reading};
    bool m_needs_backoff{false};
    bool m_file_stored{false};
    bool m_update_outcome_unknown{false}; ///< An update of `m_version` got no response.
    std::optional<std::uint64_t> m_initial_change_generation; ///< From the first read.
    std::uint64_t m_version{0};
    std::string m_update;
    applied_file m_accepted; ///< History entry that the update adds.
    std::string m_conflicting_hash;
    absl::StatusOr<applied_file> m_result;
};

} // namespace fulmaryard

#endif
