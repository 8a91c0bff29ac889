#ifndef FULMARYARD_SERVICE_RETRY_HPP
#define FULMARYARD_SERVICE_RETRY_HPP

namespace fulmaryard
{

struct service_result;

/// Whether a failed call may be sent to another side process. An idempotent call may, unless the
/// failure would be the same elsewhere. Any other call may only after a refusal that shows that it
/// did not run and concerns that side process alone.
bool may_retry_service_call(bool idempotent, const service_result& result);

} // namespace fulmaryard

#endif
