#include <fulmaryard/failure.hpp>
#include <fulmaryard/lease_holder.hpp>

#include <algorithm>
#include <utility>

namespace fulmaryard
{

lease_holder::lease_holder(lease_holder_settings settings) : m_settings(std::move(settings)) {}

bool lease_holder::held(time_point now) const
{
    return m_is_holder && now < m_held_until;
}

lease_action lease_holder::start_read(time_point now, bool stale_allowed)
{
    m_pending = operation::read;
    m_next_read = now + m_settings.m_poll_interval;
    return read_lease{stale_allowed};
}

lease_action lease_holder::start_write(const lease& value, std::uint64_t version, time_point now)
{
    m_pending = operation::write;
    m_last_write_sent = now;
    m_last_write = {value, version};
    return m_last_write;
}

void lease_holder::confirm_write(std::uint64_t version)
{
    m_is_holder = true;
    m_result_unknown = false;
    m_has_observed_version = false;
    m_acquire_after.reset();
    m_version = version;
    m_epoch = m_last_write.m_value.m_epoch;
    m_highest_epoch = std::max(m_highest_epoch, m_epoch);
    // Measure the lease from when the write was sent, because another process may have observed it
    // as early as that. If earlier writes have an unknown result, use the first of them, because it
    // may be the one that took effect.
    const auto sent = m_first_unknown_write_sent.value_or(m_last_write_sent);
    m_first_unknown_write_sent.reset();
    m_held_until = sent + m_settings.m_duration - m_settings.m_safety_margin;
}

void lease_holder::on_store_restored(time_point now)
{
    m_is_holder = false;
    m_result_unknown = false;
    m_first_unknown_write_sent.reset();
    m_has_observed_version = false;
    m_acquire_after = now + m_settings.m_duration;
    m_discard_result = m_pending != operation::none;
    m_next_read = now;
}

std::optional<lease_action> lease_holder::on_tick(time_point now)
{
    if (m_pending != operation::none)
        return std::nullopt;
    if (m_is_holder && now >= m_held_until)
    {
        // The lease has expired and another process may have acquired it. Read the object and
        // compete for the lease like any other candidate.
        m_is_holder = false;
        m_has_observed_version = false;
        m_next_read = now;
    }
    if (m_is_holder && !m_result_unknown)
    {
        // Renew after a third of the duration, so that one duration has room for three attempts.
        if (now - m_last_write_sent < m_settings.m_duration / 3)
            return std::nullopt;
        return start_write(m_last_write.m_value, m_version, now);
    }
    if (now < m_next_read)
        return std::nullopt;
    return start_read(now, m_settings.m_allow_stale_polls && !m_result_unknown);
}

std::optional<lease_action>
lease_holder::on_read(const absl::StatusOr<platform_object>& result, time_point now)
{
    m_pending = operation::none;
    if (std::exchange(m_discard_result, false) || !result.ok())
        return std::nullopt;
    lease current;
    if (result->m_version != 0)
    {
        const auto decoded = decode_lease(result->m_value);
        // Never overwrite a malformed object: its epoch is unknown, so epochs would restart
        // from 1.
        if (!decoded.ok())
            return std::nullopt;
        current = *decoded;
    }
    m_highest_epoch = std::max(m_highest_epoch, current.m_epoch);
    if (m_result_unknown)
    {
        m_result_unknown = false;
        if (current == m_last_write.m_value && result->m_version > m_last_write.m_version)
        {
            confirm_write(result->m_version);
            if (!held(now))
                m_is_holder = false;
            return std::nullopt;
        }
        // The write has not taken effect yet. If it arrives later, either it fails the version
        // check or its result is resolved by another read.
    }
    if (m_is_holder)
    {
        if (current.m_holder == m_settings.m_process && current.m_epoch == m_epoch)
        {
            m_version = result->m_version;
            return start_write(current, m_version, now);
        }
        m_is_holder = false;
    }
    // A write that is conditional on an earlier version can no longer take effect.
    if (result->m_version != m_last_write.m_version)
        m_first_unknown_write_sent.reset();
    if (!m_has_observed_version || m_observed_version != result->m_version)
    {
        m_has_observed_version = true;
        m_observed_version = result->m_version;
        m_observed_since = now;
    }
    // If the object still names this process, whose lease has expired locally, acquire it again
    // without waiting: no other process holds it, and the conditional write admits one candidate.
    // After a restoration of the store, a late write of this process may have put its name there.
    const bool earlier_leases_expired = !m_acquire_after || now >= *m_acquire_after;
    const bool available =
        current.m_epoch == 0 || (current.m_holder == m_settings.m_process && !m_acquire_after) ||
        now - m_observed_since >= std::chrono::milliseconds(current.m_duration_ms);
    if (!available || !earlier_leases_expired)
        return std::nullopt;
    const auto duration_ms = static_cast<std::uint32_t>(m_settings.m_duration.count());
    return start_write(
        {m_settings.m_process, m_highest_epoch + 1, duration_ms}, result->m_version, now);
}

std::optional<lease_action>
lease_holder::on_written(const absl::StatusOr<std::uint64_t>& result, time_point now)
{
    m_pending = operation::none;
    if (std::exchange(m_discard_result, false))
        return std::nullopt;
    if (result.ok())
    {
        // This write changed the version, so no earlier write has taken effect or still can.
        m_first_unknown_write_sent.reset();
        confirm_write(*result);
        if (!held(now))
            m_is_holder = false;
        return std::nullopt;
    }
    if (outcome_of(result.status()) == outcome::not_run &&
        kind_of(result.status()) != failure_kind::conflict)
    {
        m_result_unknown = m_is_holder;
        m_next_read = m_is_holder ? now : now + m_settings.m_poll_interval;
        return std::nullopt;
    }
    // A conflict may be caused by an earlier write of this process whose response was lost.
    m_result_unknown = true;
    if (!m_first_unknown_write_sent)
        m_first_unknown_write_sent = m_last_write_sent;
    return start_read(now);
}

} // namespace fulmaryard
