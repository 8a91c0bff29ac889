#ifndef FULMARYARD_REQUEST_FILTER_HPP
#define FULMARYARD_REQUEST_FILTER_HPP

#include <absl/status/status.h>

#include <atomic>
#include <memory>
#include <vector>

namespace fulmaryard
{

struct request_context;

/// One step in the validation of a request. Thread-safe.
class request_filter
{
public:
    virtual ~request_filter() = default;

    /// Fills in its part of the context, or returns why the request is rejected. Filters run before
    /// anything is sent to an endpoint, so the outcome of a rejection is `not_run`.
    virtual absl::Status apply(request_context& context) const = 0;
};

/// Returns the filters in the order in which they apply: request id, lifecycle, authentication,
/// target and body, authorisation. The request id comes first so that every rejection includes it.
/// `draining` must outlive the filters.
std::vector<std::unique_ptr<request_filter>>
make_request_filters(const std::atomic<bool>& draining);

/// Applies the filters in order and returns the first error, if any.
absl::Status apply_filters(
    const std::vector<std::unique_ptr<request_filter>>& filters, request_context& context);

} // namespace fulmaryard

#endif
