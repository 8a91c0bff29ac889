#ifndef FULMARYARD_ENDPOINT_PROTOCOL_HPP
#define FULMARYARD_ENDPOINT_PROTOCOL_HPP

#include <fulmaryard/answer_head.hpp>
#include <fulmaryard/call_target.hpp>
#include <fulmaryard/endpoint_load.hpp>
#include <fulmaryard/endpoint_notice.hpp>
#include <fulmaryard/routed_call.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace fulmaryard
{

/// Encodes and decodes the messages exchanged with endpoints: calls, load reports and orders.
/// Routing decisions do not depend on the implementation. Stateless and thread-safe.
class endpoint_protocol
{
public:
    virtual ~endpoint_protocol() = default;

    /// Parses a caller's request without its body; fails with `invalid_request` if it has no id.
    virtual absl::StatusOr<routed_call> read_call(const http_request& request) const = 0;

    /// Builds the request that sends `call` to `target`, without the body, which all attempts
    /// share.
    virtual http_request write_call(const routed_call& call, const call_target& target) const = 0;

    /// Parses the status and header fields of the response to `call`.
    virtual answer_head read_answer(
        const routed_call& call, unsigned status, const std::vector<http_field>& fields) const = 0;

    /// What the endpoint says of itself in the head of any answer, to a call or to a query.
    virtual endpoint_notice
    read_notice(unsigned status, const std::vector<http_field>& fields) const = 0;

    /// Id of one complete event of a stream; `nullopt` if the event has none.
    virtual std::optional<std::uint64_t> event_id(std::string_view event) const = 0;

    /// Builds the request for an endpoint's load report, which `read_load` parses.
    virtual http_request write_load_query() const = 0;
    virtual absl::StatusOr<endpoint_load> read_load(const http_response& response) const = 0;

    /// Builds an order to hold `layers`. If `orders` is set, the endpoint carries it out only if it
    /// has begun exactly that many orders since its start.
    virtual http_request
    write_order(layer_range layers, std::optional<std::uint64_t> orders) const = 0;

    /// Builds the order that moves a running call to `path`. It is sent to the first endpoint of
    /// the call; the first hop of `path` is unchanged.
    virtual http_request
    write_repath(const std::string& call, const std::vector<path_hop>& path) const = 0;

    /// Address of the endpoint that caused a repath order to be refused; empty if the response
    /// names none.
    virtual std::string read_repath_refuser(const http_response& response) const = 0;

    /// Builds the response that refuses `call`. `retry_after`, if above zero, tells the caller when
    /// to retry.
    virtual http_response refusal(
        const routed_call& call, unsigned status, std::chrono::milliseconds retry_after) const = 0;
};

} // namespace fulmaryard

#endif
