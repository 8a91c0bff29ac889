#ifndef FULMARYARD_TEST_REQUESTS_HPP
#define FULMARYARD_TEST_REQUESTS_HPP

#include "process/test_system.hpp"

#include <fulmaryard/http_message.hpp>

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace fulmaryard::process_tests
{

/// Polls until `condition` holds. Returns false if it does not hold within `deadline`.
bool wait_until(std::chrono::milliseconds deadline, const std::function<bool()>& condition);

/// Returns a streamed chat completion request with one user message.
http_request make_chat(const std::string& account, const std::string& content, int max_tokens);

/// Returns a non-idempotent call of the service "orders".
http_request make_order(
    const std::string& account, const std::string& key,
    const std::string& body = R"({"kit":"first aid"})");

/// The fields of an order response that a client evaluates.
struct order_answer
{
    unsigned m_status{0};      ///< 0 if the connection broke before a response.
    std::string m_code;        ///< Error code; empty for a success.
    std::string m_outcome;     ///< Header X-Fulmaryard-Outcome.
    std::uint64_t m_number{0}; ///< Order number; 0 if there is none.
};

order_answer place_order(
    const test_system& system, const std::string& entry, const std::string& key,
    const std::string& body = R"({"kit":"first aid"})");

/// Counts how often the worker executed the order with this key; an empty key counts all orders.
std::size_t count_executed_orders(const test_system& system, const std::string& key = "");

/// Returns the /dump of a process; null if it does not respond.
boost::json::value dump_of(const test_system& system, const std::string& name);

/// Returns the configuration generation active in a process; 0 if it does not respond.
std::uint64_t generation_of(const test_system& system, const std::string& name);

/// Waits until the entry reports exactly `count` live endpoints whose engine or worker is up.
bool wait_live(
    const test_system& system, const std::string& entry, std::size_t count,
    std::chrono::milliseconds deadline = std::chrono::seconds(10));

/// Returns the sum of a metric over its labels, from a process's control address; 0 if absent.
double metric_of(const test_system& system, const std::string& name, const std::string& metric);

} // namespace fulmaryard::process_tests

#endif
