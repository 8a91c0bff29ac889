#ifndef FULMARYARD_LEDGER_ACTION_HPP
#define FULMARYARD_LEDGER_ACTION_HPP

#include <fulmaryard/service_call.hpp>
#include <fulmaryard/service_result.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace fulmaryard
{

/// Read the object of a partition, then call `call_ledger::on_read`.
struct read_partition
{
    std::uint32_t m_partition{0};

    friend bool operator==(const read_partition&, const read_partition&) = default;
};

/// Write the object of a partition if its version matches, then call `call_ledger::on_written`.
struct write_partition
{
    std::uint32_t m_partition{0};
    std::string m_value;
    std::uint64_t m_version{0}; ///< Expected current version; 0 if it must not exist.

    friend bool operator==(const write_partition&, const write_partition&) = default;
};

/// Send the call, whose intent is durable, to the worker once, then call
/// `call_ledger::on_call_ended`.
struct run_call
{
    std::uint64_t m_ticket{0};
    service_call m_call;

    friend bool operator==(const run_call&, const run_call&) = default;
};

/// Send the result to the entry process that sent the call.
struct answer_call
{
    std::string m_reply_address;
    service_result m_result;

    friend bool operator==(const answer_call&, const answer_call&) = default;
};

/// An action that the call ledger requests from its process.
using ledger_action = std::variant<read_partition, write_partition, run_call, answer_call>;

} // namespace fulmaryard

#endif
