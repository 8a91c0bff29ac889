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

/// Gives orders to engines through their side processes, under the lease in the platform. The
/// lease is sought when an order is given and renewed until no order has come for a minute, so
/// that idle entries cost the platform nothing. Thread-safe.
class order_controller
{
public:
    /// `process` is the id of this run of the entry. The platform must outlive the object and its
    /// coroutines.
    order_controller(
        const boost::asio::any_io_executor& executor, platform_client& platform,
        std::string process);
    ~order_controller();

    order_controller(const order_controller&) = delete;
    order_controller& operator=(const order_controller&) = delete;

    /// Sends the order to the side process at `address` once this entry holds the lease, with the
    /// epoch of the lease, which it returns. Failures: `conflict` (not run) when another entry
    /// still holds the lease at the deadline, `platform_unavailable` (not run), what the side
    /// process answers, or `outcome_unknown` when its answer is lost.
    boost::asio::awaitable<absl::StatusOr<std::uint64_t>>
    submit(std::string address, engine_order order, std::chrono::milliseconds deadline);

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace fulmaryard

#endif
