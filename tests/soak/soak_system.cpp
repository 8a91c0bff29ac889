#include "soak/soak_system.hpp"

#include "process/raw_connection.hpp"
#include "process/test_client.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>

#include <fmt/format.h>

#include <csignal>
#include <filesystem>
#include <stdexcept>
#include <thread>

namespace fulmaryard::soak
{

namespace json = boost::json;
using namespace process_tests;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t model_endpoints = 4;
constexpr auto start_limit = 20s;
constexpr int slow_store_ms = 250;
constexpr int relay_delay_ms = 80;

std::string standin(const char* name)
{
    return std::string(FULMARYARD_STANDIN_DIRECTORY) + "/" + name;
}

std::string listening_address(child_process& process)
{
    const auto port = process.wait_for_port(start_limit);
    if (!port.ok())
        throw std::runtime_error("a stand-in did not start");
    return fmt::format("127.0.0.1:{}", *port);
}

} // namespace

soak_system::soak_system(std::size_t routers) : m_routers(routers)
{
    m_platform = std::make_unique<child_process>(
        standin("standin_pipeline"),
        std::vector<std::string>{
            "--listen", "127.0.0.1:0", "--models", std::to_string(model_endpoints), "--plain",
            std::to_string(m_endpoints - model_endpoints)},
        m_directory.file("platform"));
    m_platform_address = listening_address(*m_platform);
    set_keys({"secret", "second"});
    for (std::size_t i = 0; i < routers; ++i)
    {
        start_relay(
            m_routers[i].m_callers, fmt::format("callers-{}", i), m_routers[i].m_listen.address());
        start_relay(m_routers[i].m_store, fmt::format("store-{}", i), m_platform_address);
        start_router(i);
    }
}

void soak_system::start_relay(relay& one, const std::string& name, const std::string& target)
{
    one.m_process = std::make_unique<child_process>(
        standin("standin_relay"),
        std::vector<std::string>{
            "--listen", "127.0.0.1:0", "--relay", one.m_port.address(), "--target", target},
        m_directory.file(name));
    one.m_control = listening_address(*one.m_process);
}

std::string soak_system::log_name(std::size_t router) const
{
    return m_directory.file(fmt::format("router-{}", router));
}

void soak_system::start_router(std::size_t number)
{
    auto& started = m_routers[number];
    const auto path = log_name(number) + ".yaml";
    std::FILE* file = std::fopen(path.c_str(), "w");
    fmt::print(
        file,
        "name: router-{}\nregion: r\nfailure_domain: domain-1\nplatform: {}\nlisten: {}\n"
        "ready_listen: {}\nmetrics_listen: {}\npeer_listen: {}\ngrace_ms: 8000\n",
        number, started.m_store.m_port.address(), started.m_listen.address(),
        started.m_ready.address(), started.m_metrics.address(), started.m_peer.address());
    std::fclose(file);
    started.m_process = std::make_unique<child_process>(
        FULMARYARD_BINARY, std::vector<std::string>{"router", "--settings", path},
        log_name(number));
}

std::string soak_system::callers_address(std::size_t router) const
{
    return m_routers[router].m_callers.m_port.address();
}

bool soak_system::serves(std::size_t router) const
{
    const http_request request{
        "POST",
        "/chat/1",
        {{"Fulmaryard-Attempt-Id", fmt::format("warm-{}", ++m_probe_count)},
         {"Fulmaryard-Deadline-Ms", "2000"},
         {"Fulmaryard-Token-Usage", "10,2"},
         {"Authorization", "Bearer secret"}},
        ""};
    const auto response = test_client(m_routers[router].m_listen.address()).send(request, 2s);
    return response.ok() && response->m_status == 200;
}

bool soak_system::wait_until_serving(std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    for (std::size_t i = 0; i < m_routers.size(); ++i)
    {
        while (!serves(i))
        {
            if (std::chrono::steady_clock::now() > end)
                return false;
            std::this_thread::sleep_for(50ms);
        }
    }
    return true;
}

void soak_system::set_relay(const relay& one, const char* kind, const fault& from)
{
    json::object description{{"kind", kind}};
    if (from.m_kind == fault_kind::callers_delayed || from.m_kind == fault_kind::store_delayed)
        description["ms"] = relay_delay_ms;
    std::ignore = test_client(one.m_control).post("/faults", json::serialize(description));
}

json::object soak_system::platform_state() const
{
    const auto active = [this](fault_kind kind) { return m_platform_faults.contains(kind); };
    return {
        {"store_down", active(fault_kind::store_down)},
        {"store_delay_ms", active(fault_kind::store_slow) ? slow_store_ms : 0},
        {"full", active(fault_kind::endpoints_full)},
        {"lose_answers", active(fault_kind::answers_lost)}};
}

void soak_system::control_platform(json::object order)
{
    for (const auto& [name, value] : platform_state())
        order[name] = value;
    std::ignore = test_client(m_platform_address).post("/control", json::serialize(order));
}

void soak_system::set_keys(std::vector<std::string> keys)
{
    control_platform({{"keys", json::value_from(keys)}});
}

void soak_system::begin(const fault& one)
{
    auto& target = m_routers[one.m_target % m_routers.size()];
    const auto endpoint = fmt::format("i-{}", one.m_target);
    switch (one.m_kind)
    {
    case fault_kind::router_killed:
        target.m_process->kill(SIGKILL);
        break;
    case fault_kind::router_stopped:
        target.m_process->kill(SIGTERM);
        break;
    case fault_kind::router_paused:
        target.m_process->kill(SIGSTOP);
        break;
    case fault_kind::callers_delayed:
        set_relay(target.m_callers, "delay", one);
        break;
    case fault_kind::callers_cut:
        set_relay(target.m_callers, "cut", one);
        break;
    case fault_kind::callers_silenced:
        set_relay(target.m_callers, "silent", one);
        break;
    case fault_kind::store_delayed:
        set_relay(target.m_store, "delay", one);
        break;
    case fault_kind::store_cut:
        set_relay(target.m_store, "cut", one);
        break;
    case fault_kind::store_silenced:
        set_relay(target.m_store, "silent", one);
        break;
    case fault_kind::store_down:
    case fault_kind::store_slow:
    case fault_kind::endpoints_full:
    case fault_kind::answers_lost:
        m_platform_faults.insert(one.m_kind);
        control_platform();
        break;
    case fault_kind::history_dropped:
        control_platform({{"drop_history", true}});
        break;
    case fault_kind::endpoint_killed:
        control_platform({{"kill", endpoint}});
        break;
    case fault_kind::endpoint_paused:
        control_platform({{"pause", endpoint}, {"pause_ms", one.m_for.count()}});
        break;
    case fault_kind::endpoint_leaves:
        control_platform({{"drain", endpoint}});
        break;
    case fault_kind::key_revoked:
        set_keys({"secret"});
        break;
    case fault_kind::key_granted:
        set_keys({"secret", "second"});
        break;
    case fault_kind::count:
        break;
    }
}

bool soak_system::router_runs(std::size_t router) const
{
    return m_routers[router].m_process->running();
}

bool soak_system::router_listens(std::size_t router) const
{
    try
    {
        const raw_connection connection(m_routers[router].m_listen.address());
        return true;
    }
    catch (const std::exception&)
    {
        return false;
    }
}

bool soak_system::end(const fault& one)
{
    const auto number = one.m_target % m_routers.size();
    auto& target = m_routers[number];
    switch (one.m_kind)
    {
    case fault_kind::router_killed:
    case fault_kind::router_stopped:
        // After SIGTERM a router exits once its streams have ended, which may take its whole grace
        // period.
        if (target.m_process->running())
            return false;
        start_router(number);
        break;
    case fault_kind::router_paused:
        target.m_process->kill(SIGCONT);
        break;
    case fault_kind::callers_delayed:
    case fault_kind::callers_cut:
        std::ignore = test_client(target.m_callers.m_control).send({"DELETE", "/faults", {}, {}});
        break;
    case fault_kind::store_delayed:
    case fault_kind::store_cut:
        std::ignore = test_client(target.m_store.m_control).send({"DELETE", "/faults", {}, {}});
        break;
    case fault_kind::store_down:
    case fault_kind::store_slow:
    case fault_kind::endpoints_full:
    case fault_kind::answers_lost:
        if (const auto found = m_platform_faults.find(one.m_kind); found != m_platform_faults.end())
            m_platform_faults.erase(found);
        control_platform();
        break;
    case fault_kind::endpoint_killed:
    case fault_kind::endpoint_leaves:
        control_platform({{"revive", fmt::format("i-{}", one.m_target)}});
        break;
    default:
        break;
    }
    return true;
}

void soak_system::restart_all_routers()
{
    for (auto& one : m_routers)
    {
        one.m_process->kill(SIGCONT);
        one.m_process->kill(SIGKILL);
    }
    for (std::size_t i = 0; i < m_routers.size(); ++i)
    {
        std::ignore = m_routers[i].m_process->wait(5s);
        start_router(i);
    }
}

void soak_system::set_defect(const std::string& name)
{
    control_platform({{"defect", name}});
}

void soak_system::read_journal(soak_record& record, std::int64_t start_ms) const
{
    const auto journal = test_client(m_platform_address).get_json("/control");
    for (const auto& [id, count] : journal.at("runs").as_object())
        record.m_runs[std::string(id)] = count.to_number<int>();
    for (const auto& [id, count] : journal.at("arrivals").as_object())
    {
        if (!id.starts_with("warm-"))
            record.m_arrivals[std::string(id)] = count.to_number<int>();
    }
    for (const auto& at : journal.at("late_arrivals").as_array())
    {
        const auto since = at.to_number<std::int64_t>() - start_ms;
        record.m_late_arrivals.emplace_back(since);
    }
    record.m_wrong_paths = journal.at("wrong_paths").to_number<int>();
}

void soak_system::copy_logs(const std::string& directory) const
{
    std::filesystem::create_directories(directory);
    const std::filesystem::path logs(m_directory.file(""));
    for (const auto& entry : std::filesystem::directory_iterator(logs))
    {
        std::filesystem::copy(
            entry.path(), std::filesystem::path(directory) / entry.path().filename(),
            std::filesystem::copy_options::overwrite_existing);
    }
}

} // namespace fulmaryard::soak
