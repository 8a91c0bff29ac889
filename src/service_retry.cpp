#include <fulmaryard/service_result.hpp>
#include <fulmaryard/service_retry.hpp>

namespace fulmaryard
{

bool may_retry_service_call(bool idempotent, const service_result& result)
{
    if (result.m_ok)
        return false;
    switch (result.m_failure)
    {
    // Rejected for a reason specific to this side process.
    case failure_kind::draining:
    case failure_kind::stale_generation:
    case failure_kind::no_endpoint:
        return idempotent || result.m_outcome == outcome::not_run;
    // The call may succeed at another side process.
    case failure_kind::overloaded:
    case failure_kind::endpoint_lost:
    case failure_kind::endpoint_failed:
    case failure_kind::internal:
        return idempotent;
    default:
        return false;
    }
}

} // namespace fulmaryard
