#ifndef FULMARYARD_REQUEST_DISPATCHER_HPP
#define FULMARYARD_REQUEST_DISPATCHER_HPP

#include <fulmaryard/request_context.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace fulmaryard
{

class http_exchange;
struct entry_services;
struct request_record;

/// Runs one request accepted by the filters and sends its response. Call it on the strand of
/// `exchange`.
boost::asio::awaitable<void> dispatch_model_request(
    std::shared_ptr<entry_services> services, const request_context& context,
    http_exchange& exchange, request_record& record);
boost::asio::awaitable<void> dispatch_service_call(
    std::shared_ptr<entry_services> services, const request_context& context,
    http_exchange& exchange, request_record& record);

} // namespace fulmaryard

#endif
