#ifndef FULMARYARD_GATE_ACTION_HPP
#define FULMARYARD_GATE_ACTION_HPP

#include <fulmaryard/engine_order.hpp>

#include <absl/status/status.h>

#include <cstdint>
#include <variant>

namespace fulmaryard
{

/// Read the lease object and call `order_gate::on_lease_read`.
struct read_order_lease
{
    std::uint64_t m_ticket{0};

    friend bool operator==(const read_order_lease&, const read_order_lease&) = default;
};

/// Send the order to the engine once and call `order_gate::on_engine_answer`.
struct send_order
{
    std::uint64_t m_ticket{0};
    engine_order m_order;

    friend bool operator==(const send_order&, const send_order&) = default;
};

/// Report the result of the order to its issuer.
struct answer_order
{
    std::uint64_t m_ticket{0};
    absl::Status m_result;

    friend bool operator==(const answer_order&, const answer_order&) = default;
};

/// An action that the order gate requests from its process.
using gate_action = std::variant<read_order_lease, send_order, answer_order>;

} // namespace fulmaryard

#endif
