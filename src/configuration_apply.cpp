#include <fulmaryard/configuration_apply.hpp>
#include <fulmaryard/configuration_codec.hpp>
#include <fulmaryard/failure.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fulmaryard
{

configuration_apply::configuration_apply(apply_request request)
    : m_request(std::move(request)),
      m_hash(content_hash(m_request.m_file)),
      m_text(encode_tenant_configuration(m_request.m_file))
{
}

apply_step configuration_apply::next() const
{
    using action = apply_step::action;
    switch (m_stage)
    {
    case stage::reading:
        return {action::read, std::string(current_configuration_name), {}, 0, m_needs_backoff};
    case stage::storing_file:
        return {action::write, configuration_file_name(m_hash), m_text, 0, m_needs_backoff};
    case stage::updating:
        return {
            action::write, std::string(current_configuration_name), m_update, m_version,
            m_needs_backoff};
    case stage::finished:
        break;
    }
    return {};
}

void configuration_apply::on_read(const absl::StatusOr<platform_object>& result)
{
    if (m_stage != stage::reading)
        return;
    if (!result.ok())
    {
        handle_platform_error(result.status());
        return;
    }
    // Retries a stale read. An update must not be based on it, and it would overwrite the version
    // that identifies an update without a response.
    m_needs_backoff = result->m_version < m_version;
    if (m_needs_backoff)
        return;
    const auto current = decode_current_configuration(result->m_value);
    if (!current.ok())
    {
        finish(make_failure(
            kind_of(current.status()), message_of(current.status()),
            m_update_outcome_unknown ? outcome::unknown : outcome::not_run));
        return;
    }
    if (finish_if_decided(*current, result->m_version))
        return;
    if (conflicts(*current))
    {
        m_conflicting_hash = active_hash(*current);
        finish(make_failure(
            failure_kind::conflict,
            fmt::format(
                "another apply changed the file of tenant {} in generation {}",
                m_request.m_file.m_tenant, last_change_generation(*current)),
            m_update_outcome_unknown ? outcome::unknown : outcome::not_run));
        return;
    }
    prepare_update(*current, result->m_version);
}

void configuration_apply::on_written(const absl::StatusOr<std::uint64_t>& result)
{
    if (m_stage == stage::storing_file)
    {
        // A conflict means that the file is already stored, since its name is its content hash.
        if (result.ok() || kind_of(result.status()) == failure_kind::conflict)
        {
            m_file_stored = true;
            m_needs_backoff = false;
            m_stage = stage::updating;
        }
        else
            handle_platform_error(result.status());
        return;
    }
    if (m_stage != stage::updating)
        return;
    if (result.ok())
    {
        finish(m_accepted);
        return;
    }
    const auto kind = kind_of(result.status());
    if (kind == failure_kind::platform_unavailable)
    {
        // A refusal of this update says nothing about an earlier one that got no response.
        m_update_outcome_unknown =
            m_update_outcome_unknown || outcome_of(result.status()) != outcome::not_run;
        m_stage = stage::reading;
        m_needs_backoff = true;
    }
    else if (kind == failure_kind::conflict)
    {
        // Delays the next read: with immediate retries, many concurrent operators would keep
        // conflicting with each other.
        m_stage = stage::reading;
        m_needs_backoff = true;
    }
    else
        finish(make_failure(
            kind, message_of(result.status()),
            m_update_outcome_unknown ? outcome::unknown : outcome_of(result.status())));
}

void configuration_apply::on_deadline()
{
    if (m_stage == stage::finished)
        return;
    finish(make_failure(
        failure_kind::platform_unavailable,
        m_update_outcome_unknown ? "the platform did not say whether the apply was accepted"
                                 : "the platform could not be reached before the deadline",
        m_update_outcome_unknown ? outcome::unknown : outcome::not_run));
}

const absl::StatusOr<applied_file>& configuration_apply::result() const
{
    return m_result;
}

const std::string& configuration_apply::conflicting_hash() const
{
    return m_conflicting_hash;
}

void configuration_apply::finish(absl::StatusOr<applied_file> result)
{
    m_result = std::move(result);
    m_stage = stage::finished;
}

void configuration_apply::handle_platform_error(const absl::Status& status)
{
    if (kind_of(status) == failure_kind::platform_unavailable)
    {
        m_needs_backoff = true;
        return;
    }
    finish(make_failure(
        kind_of(status), message_of(status),
        m_update_outcome_unknown ? outcome::unknown : outcome::not_run));
}

bool configuration_apply::finish_if_decided(
    const current_configuration& current, std::uint64_t version)
{
    const auto accepted = std::find_if(
        current.m_history.begin(), current.m_history.end(),
        [&](const auto& entry) { return entry.m_apply_id == m_request.m_apply_id; });
    if (accepted != current.m_history.end())
    {
        if (accepted->m_hash == m_hash && accepted->m_tenant == m_request.m_file.m_tenant)
            finish(*accepted);
        else
            finish(make_failure(
                failure_kind::key_reused, "the apply id was used for another file",
                dispatch_progress::refused));
        return true;
    }
    // Once the record has a higher version than the update was conditional on, the update can no
    // longer take effect. It has not done so either if its id is missing from a history that
    // reaches back to its generation.
    if (m_update_outcome_unknown && version > m_version)
    {
        const bool covered = !current.m_history.empty() &&
                             current.m_history.front().m_generation <= m_accepted.m_generation;
        if (!covered)
        {
            finish(make_failure(
                failure_kind::outcome_unknown,
                "the history no longer shows whether the apply was accepted", outcome::unknown));
            return true;
        }
        m_update_outcome_unknown = false;
    }
    return false;
}

bool configuration_apply::conflicts(const current_configuration& current) const
{
    // Applying the file that is already active overwrites nothing.
    if (active_hash(current) == m_hash)
        return false;
    const std::uint64_t changed = last_change_generation(current);
    if (m_request.m_generation && changed > *m_request.m_generation)
        return true;
    return m_initial_change_generation && changed > *m_initial_change_generation;
}

std::uint64_t
configuration_apply::last_change_generation(const current_configuration& current) const
{
    const auto found = current.m_changed.find(m_request.m_file.m_tenant);
    return found == current.m_changed.end() ? 0 : found->second;
}

std::string configuration_apply::active_hash(const current_configuration& current) const
{
    const auto found = current.m_files.find(m_request.m_file.m_tenant);
    return found == current.m_files.end() ? std::string() : found->second;
}

void configuration_apply::prepare_update(current_configuration current, std::uint64_t version)
{
    const std::string& tenant = m_request.m_file.m_tenant;
    if (!m_initial_change_generation)
        m_initial_change_generation = last_change_generation(current);
    ++current.m_generation;
    m_accepted = {
        current.m_generation,  tenant, m_hash, m_request.m_apply_id, m_request.m_applied_by,
        m_request.m_applied_at};
    current.m_files[tenant] = m_hash;
    current.m_changed[tenant] = current.m_generation;
    current.m_history.push_back(m_accepted);
    if (current.m_history.size() > max_history)
    {
        current.m_history.erase(
            current.m_history.begin(),
            current.m_history.end() - static_cast<std::ptrdiff_t>(max_history));
    }
    m_version = version;
    m_update = encode_current_configuration(current);
    m_stage = m_file_stored ? stage::updating : stage::storing_file;
}

} // namespace fulmaryard
