#include "process/model_system.hpp"

#include "standins/reference_model.hpp"
#include "standins/standin_support.hpp"

#include <boost/json/value.hpp>
#include <doctest/doctest.h>
#include <fmt/core.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace fulmaryard::process_tests
{

namespace json = boost::json;
using standins::number_of;
using standins::text_of;

namespace
{

constexpr std::array<layer_range, model_system::m_stages> stage_layers{{{0, 4}, {4, 9}, {9, 12}}};

std::string failure_domain_of(std::size_t number)
{
    return fmt::format("domain-{}", number % 3 + 1);
}

} // namespace

model_system::model_system(
    std::size_t instances_per_stage, std::uint64_t step_time_us,
    const std::vector<std::string>& relayed)
    : m_step_time_us(step_time_us)
{
    const auto is_relayed = [&relayed](const std::string& name)
    { return std::find(relayed.begin(), relayed.end(), name) != relayed.end(); };
    for (std::size_t number = 0; number < instances_per_stage; ++number)
        for (std::size_t stage = 0; stage < m_stages; ++stage)
            start_engine(stage, number);
    for (std::size_t number = 1; number <= 2; ++number)
    {
        const std::string name = fmt::format("entry-{}", number);
        if (is_relayed(name))
            add_relayed_entry(name, "relay-" + name, failure_domain_of(number));
        else
            add_entry(name, failure_domain_of(number));
    }
    // Apply before the side processes start: a new one loads the configuration immediately, but a
    // running one is notified only within seconds, and the command waits for that.
    if (apply("entry-1", make_configuration("kitwerk", {"shop", "clinic"})) != 0)
        throw std::runtime_error("applying the configuration failed");
    for (std::size_t number = 0; number < instances_per_stage; ++number)
    {
        for (std::size_t stage = 0; stage < m_stages; ++stage)
            start_side(stage, number, is_relayed(fmt::format("side-{}-{}", stage, number)));
    }
    for (const char* entry : {"entry-1", "entry-2"})
    {
        if (!wait_ready(entry).ok() || !wait_live(entry, m_sides.size()))
            throw std::runtime_error(
                std::string(entry) + " does not list all side processes as live");
    }
}

void model_system::add_instance(std::size_t stage, std::size_t number, const std::string& settings)
{
    start_engine(stage, number);
    start_side(stage, number, false, settings);
}

void model_system::start_engine(std::size_t stage, std::size_t number)
{
    add_engine(
        fmt::format("engine-{}-{}", stage, number), stage_layers[stage], m_layers,
        {"--step-time-us", std::to_string(m_step_time_us)});
}

void model_system::start_side(
    std::size_t stage, std::size_t number, bool relayed, const std::string& settings)
{
    const std::string side = fmt::format("side-{}-{}", stage, number);
    const std::string engine = engine_of_side(side);
    if (relayed)
        add_relayed_engine_side(side, "relay-" + side, engine, failure_domain_of(number));
    else
        add_engine_side(side, engine, failure_domain_of(number), settings);
    m_sides.push_back(side);
    m_side_by_address[address(relayed ? "relay-" + side : side)] = side;
}

bool model_system::wait_live(const std::string& entry, std::size_t count) const
{
    const auto all_live = [&]
    {
        const json::value state = dump(entry);
        if (!state.is_object())
            return false;
        const json::array& endpoints = state.at("endpoints").as_array();
        const auto live = std::count_if(
            endpoints.begin(), endpoints.end(),
            [](const json::value& each) {
                return text_of(each.as_object(), "state") == "live" &&
                       each.at("engine_up").as_bool();
            });
        return static_cast<std::size_t>(live) >= count;
    };
    return eventually(all_live, std::chrono::seconds(10));
}

http_request model_system::chat(
    const std::string& account, const std::string& content, std::uint32_t max_tokens,
    const std::string& request_id)
{
    http_request request{
        "POST",
        "/v1/chat/completions",
        {{"Authorization", "Bearer " + bearer(account)}, {"Content-Type", "application/json"}},
        fmt::format(
            R"({{"model":"standin-model","stream":true,"max_tokens":{},)"
            R"("messages":[{{"role":"user","content":"{}"}}]}})",
            max_tokens, content)};
    if (!request_id.empty())
        request.m_fields.push_back({"X-Request-Id", request_id});
    return request;
}

std::string model_system::reference(const std::string& content, std::uint32_t max_tokens)
{
    return standins::compute_reference(chat_prompt(content), m_layers, max_tokens).m_text;
}

std::string model_system::side_at_stage(const running_stream& stream, std::size_t stage) const
{
    return m_side_by_address.at(stream.locator().m_addresses.at(stage));
}

std::string model_system::engine_of_side(const std::string& side)
{
    return "engine" + side.substr(side.find('-'));
}

json::array model_system::journal(const std::string& engine, const stream_id& stream) const
{
    const json::value answer = client(engine).get_json("/journal?stream=" + to_string(stream));
    return answer.is_object() ? answer.at("runs").as_array() : json::array();
}

std::size_t model_system::total_engine_runs() const
{
    std::size_t runs = 0;
    for (const std::string& side : m_sides)
    {
        const json::value answer = client(engine_of_side(side)).get_json("/journal");
        if (answer.is_object())
            runs += answer.at("runs").as_array().size();
    }
    return runs;
}

void model_system::check_positions_run_once(
    const stream_id& stream, const std::vector<std::string>& survivors, std::size_t positions) const
{
    for (const std::string& side : m_sides)
    {
        const std::string engine = engine_of_side(side);
        CAPTURE(engine);
        std::map<std::uint64_t, std::uint64_t> next_of_session;
        for (const json::value& each : journal(engine, stream))
        {
            const json::object& run = each.as_object();
            std::uint64_t& next = next_of_session[number_of(run, "session", 0)];
            CHECK(number_of(run, "position", ~std::uint64_t{0}) == next);
            ++next;
        }
        if (std::find(survivors.begin(), survivors.end(), engine) == survivors.end())
            continue;
        CHECK(next_of_session.size() == 1);
        if (!next_of_session.empty())
            CHECK(next_of_session.begin()->second == positions);
    }
}

double model_system::metric(const std::string& process, const std::string& name) const
{
    const auto response = test_client(control(process)).get("/metrics");
    if (!response.ok())
        throw std::runtime_error("cannot read the metrics of " + process);
    std::istringstream lines(response->m_body);
    double sum = 0;
    for (std::string line; std::getline(lines, line);)
    {
        const bool labelled = line.size() > name.size() && line[name.size()] == '{';
        const bool plain = line.size() > name.size() && line[name.size()] == ' ';
        if (line.compare(0, name.size(), name) == 0 && (labelled || plain))
            sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

json::value model_system::dump(const std::string& process) const
{
    return test_client(control(process)).get_json("/dump");
}

bool model_system::eventually(
    const std::function<bool()>& condition, std::chrono::milliseconds deadline)
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

} // namespace fulmaryard::process_tests
