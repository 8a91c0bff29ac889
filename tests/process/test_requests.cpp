#include "process/test_requests.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <fmt/format.h>

#include <sstream>
#include <thread>

namespace fulmaryard::process_tests
{

namespace json = boost::json;

bool wait_until(std::chrono::milliseconds deadline, const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + deadline;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

http_request make_chat(const std::string& account, const std::string& content, int max_tokens)
{
    return {
        "POST",
        "/v1/chat/completions",
        {{"Authorization", "Bearer " + test_system::bearer(account)},
         {"Content-Type", "application/json"}},
        fmt::format(
            R"({{"model":"standin-model","stream":true,"max_tokens":{},)"
            R"("messages":[{{"role":"user","content":"{}"}}]}})",
            max_tokens, content)};
}

http_request make_order(const std::string& account, const std::string& key, const std::string& body)
{
    return {
        "POST",
        "/orders",
        {{"Authorization", "Bearer " + test_system::bearer(account)},
         {"Content-Type", "application/json"},
         {"Idempotency-Key", key}},
        body};
}

order_answer place_order(
    const test_system& system, const std::string& entry, const std::string& key,
    const std::string& body)
{
    order_answer answer;
    const auto response = system.client(entry).send(make_order("shop", key, body));
    if (!response.ok())
        return answer;
    answer.m_status = response->m_status;
    answer.m_outcome =
        std::string(find_field(response->m_fields, "X-Fulmaryard-Outcome").value_or(""));
    json::error_code error;
    const json::value value = json::parse(response->m_body, error);
    if (error)
        return answer;
    if (const auto* code = value.find_pointer("/error/code", error); code != nullptr)
        answer.m_code = code->as_string().c_str();
    if (const auto* number = value.find_pointer("/number", error); number != nullptr)
        answer.m_number = number->to_number<std::uint64_t>();
    return answer;
}

std::size_t count_executed_orders(const test_system& system, const std::string& key)
{
    const json::value journal = system.client("worker").get_json("/journal");
    std::size_t count = 0;
    for (const json::value& call : journal.at("calls").as_array())
    {
        if (call.at("effect").as_bool() &&
            (key.empty() || call.at("idempotency_key").as_string() == key.c_str()))
            ++count;
    }
    return count;
}

json::value dump_of(const test_system& system, const std::string& name)
{
    return test_client(system.control(name)).get_json("/dump");
}

std::uint64_t generation_of(const test_system& system, const std::string& name)
{
    const json::value dump = dump_of(system, name);
    const auto* fields = dump.if_object();
    const auto* generation = fields == nullptr ? nullptr : fields->if_contains("generation");
    return generation == nullptr ? 0 : generation->to_number<std::uint64_t>();
}

bool wait_live(
    const test_system& system, const std::string& entry, std::size_t count,
    std::chrono::milliseconds deadline)
{
    return wait_until(
        deadline,
        [&]
        {
            const json::value dump = dump_of(system, entry);
            if (!dump.is_object())
                return false;
            std::size_t live = 0;
            for (const json::value& endpoint : dump.at("endpoints").as_array())
            {
                if (endpoint.at("state").as_string() == "live" &&
                    endpoint.at("engine_up").as_bool())
                    ++live;
            }
            return live == count;
        });
}

double metric_of(const test_system& system, const std::string& name, const std::string& metric)
{
    const auto response = test_client(system.control(name)).get("/metrics");
    if (!response.ok())
        return 0;
    double sum = 0;
    std::istringstream lines(response->m_body);
    for (std::string line; std::getline(lines, line);)
    {
        const auto end = line.find_first_of("{ ");
        if (line.substr(0, end) == metric)
            sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

} // namespace fulmaryard::process_tests
