#ifndef FULMARYARD_ORDER_CONTROLLER_HPP
#define FULMARYARD_ORDER_CONTROLLER_HPP

#include <fulmaryard/engine_order.hpp>

#include <absl/status/statusor.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace fulmaryard
{

class platform_client;

/// Sends orders to engines through their side processes while holding the order lease, which is
/// stored in the platform. The lease is acquired when an order is submitted and renewed until no
/// order has been submitted for 60 seconds, so that idle entries cause no load on the platform.
/// Thread-safe.
class order_controller
{
public:
    /// `process` identifies this run of the entry process. `platform` must outlive the controller
    /// and its coroutines.
    order_controller(
        const boost::asio::any_io_executor& executor, platform_client& platform,
        std::string process);
    ~order_controller();

    order_controller(const order_controller&) = delete;
    order_controller& operator=(const order_controller&) = delete;

    /// Waits until this entry holds the lease, then sends the order with the epoch of the lease
    /// to the side process at `address`. Returns that epoch. Failures:
    /// - `conflict` (not run): another entry still holds the lease at the deadline, or the side
    ///   process reports that the order did not run; the message names the reported failure;
    /// - `platform_unavailable` (not run): the platform does not answer;
    /// - `outcome_unknown`: the side process reports an unknown outcome or its reply is unusable;
    /// - the failure of the HTTP request, whose outcome is unknown when the reply is lost.
    boost::asio::awaitable<absl::StatusOr<std::uint64_t>>
    submit(std::string address, engine_order order, std::chrono::milliseconds deadline);

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace fulmaryard

#endif
