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

/// Waits until `condition` holds; false when it does not within `deadline`.
bool wait_until(std::chrono::milliseconds deadline, const std::function<bool()>& condition);

/// A streamed chat of one message of the user.
http_request make_chat(const std::string& account, const std::string& content, int max_tokens);

/// A non-idempotent call of the service "orders".
http_request make_order(
    const std::string& account, const std::string& key,
    const std::string& body = R"({"kit":"first aid"})");

/// What a caller concludes from the answer to an order.
struct order_answer
{
    unsigned m_status{0};      ///< 0 when the connection broke before a response.
    std::string m_code;        ///< Error code; empty for a success.
    std::string m_outcome;     ///< Header X-Fulmaryard-Outcome.
    std::uint64_t m_number{0}; ///< Order number; 0 when there is none.
};

order_answer place_order(
    const test_system& system, const std::string& entry, const std::string& key,
    const std::string& body = R"({"kit":"first aid"})");

/// How many times the worker carried out the order with this key; all orders for an empty key.
std::size_t count_effects(const test_system& system, const std::string& key = "");

/// The /dump of a process; null when it does not answer.
boost::json::value dump_of(const test_system& system, const std::string& name);

/// The generation that a process has in force; 0 when it does not answer.
std::uint64_t generation_of(const test_system& system, const std::string& name);

/// Waits until the entry shows `count` endpoints that are live and whose engine or worker is up.
bool wait_live(
    const test_system& system, const std::string& entry, std::size_t count,
    std::chrono::milliseconds deadline = std::chrono::seconds(10));

/// The sum of a metric's lines at the control address of a process; 0 when there are none.
double metric_of(const test_system& system, const std::string& name, const std::string& metric);

} // namespace fulmaryard::process_tests

#endif
