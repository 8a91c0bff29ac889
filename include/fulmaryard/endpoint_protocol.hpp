#ifndef FULMARYARD_ENDPOINT_PROTOCOL_HPP
#define FULMARYARD_ENDPOINT_PROTOCOL_HPP

#include <fulmaryard/answer_head.hpp>
#include <fulmaryard/call_target.hpp>
#include <fulmaryard/endpoint_load.hpp>
#include <fulmaryard/routed_call.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace fulmaryard
{

/// How calls, reports and orders are written to and read from endpoints. The decisions of the
/// router are the same for each implementation. Stateless and thread-safe.
class endpoint_protocol
{
public:
    virtual ~endpoint_protocol() = default;

    /// Reads a caller's request; `invalid_request` when it has no id.
    virtual absl::StatusOr<routed_call> read_call(const http_request& request) const = 0;

    /// The request for `target`.
    virtual http_request write_call(const routed_call& call, const call_target& target) const = 0;

    /// Reads the head of an answer to `call`.
    virtual answer_head read_answer(
        const routed_call& call, unsigned status, const std::vector<http_field>& fields) const = 0;

    /// Id of one whole event of a stream; nothing when it has none.
    virtual std::optional<std::uint64_t> event_id(std::string_view event) const = 0;

    /// Asks an endpoint for its load.
    virtual http_request write_load_query() const = 0;
    virtual absl::StatusOr<endpoint_load> read_load(const http_response& response) const = 0;

    /// Orders an endpoint to hold `layers`, if it has begun exactly `orders` orders so far.
    virtual http_request
    write_order(layer_range layers, std::optional<std::uint64_t> orders) const = 0;

    /// Orders the first endpoint of a running call to go on with it over another path, whose first
    /// part is the same.
    virtual http_request
    write_repath(const std::string& call, const std::vector<path_hop>& path) const = 0;

    /// Address of the endpoint for which such an order was refused; empty when the answer names
    /// none.
    virtual std::string read_repath_fault(const http_response& response) const = 0;

    /// A refusal that states when the caller may return.
    virtual http_response refusal(
        const routed_call& call, unsigned status, std::chrono::milliseconds retry_after) const = 0;
};

} // namespace fulmaryard

#endif
