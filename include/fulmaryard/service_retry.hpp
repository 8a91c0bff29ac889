#ifndef FULMARYARD_SERVICE_RETRY_HPP
#define FULMARYARD_SERVICE_RETRY_HPP

namespace fulmaryard
{

struct service_result;

/// Returns true if a failed call may be sent to another side process. An idempotent call may be
/// retried unless every side process would fail it in the same way. A non-idempotent call may be
/// retried only if the side process rejected it without running it, for a reason that is specific
/// to that side process.
bool may_retry_service_call(bool idempotent, const service_result& result);

} // namespace fulmaryard

#endif
