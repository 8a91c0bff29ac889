#ifndef FULMARYARD_REQUEST_FILTER_HPP
#define FULMARYARD_REQUEST_FILTER_HPP

#include <absl/status/status.h>

#include <atomic>
#include <memory>
#include <vector>

namespace fulmaryard
{

struct request_context;

/// One step in the checks of a request. Thread-safe.
class request_filter
{
public:
    virtual ~request_filter() = default;

    /// Completes the context, or refuses the request; nothing has been sent yet, so the outcome of
    /// a refusal is `not_run`.
    virtual absl::Status apply(request_context& context) const = 0;
};

/// The filters in order: request id, life cycle, authentication, body, authorisation. `draining`
/// must outlive them. The request id comes first so that each refusal carries it.
std::vector<std::unique_ptr<request_filter>>
make_request_filters(const std::atomic<bool>& draining);

/// Applies the filters up to the first refusal.
absl::Status apply_filters(
    const std::vector<std::unique_ptr<request_filter>>& filters, request_context& context);

} // namespace fulmaryard

#endif
