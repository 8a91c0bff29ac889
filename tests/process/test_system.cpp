#include "process/test_system.hpp"

#include "process/key_hashing.hpp"

#include <fulmaryard/failure.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>

namespace fulmaryard::process_tests
{

namespace
{

const std::string region = "region-1";
constexpr std::chrono::seconds start_deadline{20};

void write_file(const std::string& path, const std::string& content)
{
    std::ofstream file(path);
    file << content;
    if (!file.flush())
        throw std::runtime_error("cannot write " + path);
}

void require_ok(const absl::StatusOr<http_response>& response, const std::string& what)
{
    if (!response.ok())
        throw std::runtime_error(what + ": " + std::string(message_of(response.status())));
    if (response->m_status != 200)
        throw std::runtime_error(fmt::format("{}: status {}", what, response->m_status));
}

} // namespace

test_system::test_system(const std::vector<std::string>& platform_arguments)
{
    add_standin("platform", "standin_platform", platform_arguments);
    start("platform");
}

test_system::part& test_system::add_standin(
    const std::string& name, const std::string& binary, std::vector<std::string> arguments)
{
    const auto [place, added] = m_parts.try_emplace(name);
    if (!added)
        throw std::runtime_error("part added twice: " + name);
    part& created = place->second;
    created.m_binary = std::string(FULMARYARD_STANDIN_DIRECTORY) + "/" + binary;
    created.m_arguments = std::move(arguments);
    created.m_arguments.insert(created.m_arguments.begin(), {"--listen", created.m_port.address()});
    return created;
}

void test_system::add_engine(
    const std::string& name, layer_range layers, std::uint32_t layers_total,
    std::vector<std::string> arguments)
{
    arguments.insert(
        arguments.begin(),
        {"--first-layer", std::to_string(layers.m_begin), "--end-layer",
         std::to_string(layers.m_end), "--total-layers", std::to_string(layers_total)});
    part& engine = add_standin(name, "standin_engine", std::move(arguments));
    engine.m_layers = layers;
    engine.m_layers_total = layers_total;
    start(name);
}

void test_system::add_worker(const std::string& name)
{
    add_standin(name, "standin_worker", {});
    start(name);
}

void test_system::add_relay(const std::string& name, const std::string& target)
{
    create_relay(name, peer_address(find(target)));
    start(name);
}

test_system::part&
test_system::create_relay(const std::string& name, const std::string& target_address)
{
    part& relay = add_standin(name, "standin_relay", {});
    relay.m_control.emplace();
    relay.m_arguments = {"--listen", relay.m_control->address(),
                         "--relay",  relay.m_port.address(),
                         "--target", target_address};
    return relay;
}

void test_system::add_process(
    const std::string& name, const std::string& role, const std::string& failure_domain,
    const std::string& settings, const std::function<std::string(part&)>& make_role_settings,
    const std::string& relay)
{
    const auto [place, added] = m_parts.try_emplace(name);
    if (!added)
        throw std::runtime_error("part added twice: " + name);
    part& created = place->second;
    created.m_binary = FULMARYARD_BINARY;
    created.m_role = role;
    created.m_failure_domain = failure_domain;
    std::string role_settings = make_role_settings(created);
    if (!relay.empty())
    {
        created.m_advertised = create_relay(relay, peer_address(created)).m_port.address();
        role_settings += fmt::format("peer_advertise: {}\n", created.m_advertised);
        start(relay);
    }
    const std::string path = m_directory.file(name + ".yaml");
    write_file(
        path, fmt::format(
                  "name: {}\npeer_listen: {}\nregion: {}\nfailure_domain: {}\nplatform: {}\n{}{}",
                  name, peer_address(created), region, failure_domain, address("platform"),
                  role_settings, settings));
    created.m_arguments = {role, "--settings", path};
    start(name);
    register_instance(name, false);
}

void test_system::add_engine_side(
    const std::string& name, const std::string& engine, const std::string& failure_domain,
    const std::string& settings)
{
    add_process(
        name, "side", failure_domain, settings,
        [&](part&) { return fmt::format("engine: {}\n", address(engine)); });
}

void test_system::add_relayed_engine_side(
    const std::string& name, const std::string& relay, const std::string& engine,
    const std::string& failure_domain)
{
    add_process(
        name, "side", failure_domain, "",
        [&](part&) { return fmt::format("engine: {}\n", address(engine)); }, relay);
}

void test_system::add_worker_side(
    const std::string& name, const std::string& worker, const std::string& service,
    const std::string& failure_domain, const std::string& settings)
{
    add_process(
        name, "side", failure_domain, settings,
        [&](part& created)
        {
            created.m_service = service;
            return fmt::format("worker: {}\nservice: {}\n", address(worker), service);
        });
}

void test_system::add_entry(
    const std::string& name, const std::string& failure_domain, const std::string& settings)
{
    create_entry(name, failure_domain, settings, all_tenants_administrator(), "");
}

void test_system::add_relayed_entry(
    const std::string& name, const std::string& relay, const std::string& failure_domain)
{
    create_entry(name, failure_domain, "", all_tenants_administrator(), relay);
}

void test_system::add_single_tenant_entry(
    const std::string& name, const std::string& failure_domain, const std::string& tenant,
    const std::string& secret)
{
    create_entry(
        name, failure_domain, "",
        fmt::format(
            "name: tenant-admin, key_hash: \"{}\", tenants: [{}]", make_key_hash(secret), tenant),
        "");
}

std::string test_system::all_tenants_administrator()
{
    return fmt::format(
        "name: operator, key_hash: \"{}\", tenants: [\"*\"]",
        make_key_hash(m_administrator_secret));
}

void test_system::create_entry(
    const std::string& name, const std::string& failure_domain, const std::string& settings,
    const std::string& administrator, const std::string& relay)
{
    std::vector<std::string> peers;
    for (const auto& [other, each] : m_parts)
    {
        if (each.m_role == "entry")
            peers.push_back(fmt::format("\"{}\"", advertised_address(each)));
    }
    add_process(
        name, "entry", failure_domain, settings,
        [&](part& created)
        {
            created.m_control.emplace();
            return fmt::format(
                "listen: {}\npeers: [{}]\nadministrators:\n  - {{{}}}\n", created.m_port.address(),
                fmt::join(peers, ", "), administrator);
        },
        relay);
}

// An entry serves callers on its main port and peers on its control port.
std::string test_system::peer_address(const part& found)
{
    return found.m_role == "entry" ? found.m_control->address() : found.m_port.address();
}

std::string test_system::advertised_address(const part& found)
{
    return found.m_advertised.empty() ? peer_address(found) : found.m_advertised;
}

void test_system::start(const std::string& name)
{
    part& found = find(name);
    found.m_process.emplace(found.m_binary, found.m_arguments, m_directory.file(name));
    const absl::Status status =
        found.m_role.empty() ? found.m_process->wait_for_port(start_deadline).status()
                             : found.m_process->wait_for_http(peer_address(found), start_deadline);
    if (!status.ok())
        throw std::runtime_error(name + ": " + std::string(message_of(status)));
}

int test_system::apply(const std::string& entry, const std::string& file_content)
{
    const std::string name = fmt::format("apply-{}", ++m_apply_count);
    const std::string path = m_directory.file(name + ".yaml");
    write_file(path, file_content);
    child_process command(
        FULMARYARD_BINARY,
        {"apply", "--entry", control(entry), "--admin", "operator", "--key", m_administrator_secret,
         path},
        m_directory.file(name));
    const auto code = command.wait(std::chrono::seconds(30));
    if (!code.ok())
        throw std::runtime_error("the apply command did not exit: " + command.errors());
    return *code;
}

absl::Status
test_system::wait_ready(const std::string& entry, std::chrono::milliseconds deadline) const
{
    const auto end = std::chrono::steady_clock::now() + deadline;
    while (std::chrono::steady_clock::now() < end)
    {
        const auto response = client(entry).get("/readyz", std::chrono::seconds(1));
        if (response.ok() && response->m_status == 200)
            return absl::OkStatus();
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return make_failure(failure_kind::deadline_exceeded, entry + " is not ready");
}

void test_system::register_instance(const std::string& name, bool leaving)
{
    const part& found = find(name);
    const boost::json::object instance{
        {"name", name},
        {"role", found.m_role},
        {"peer_address", advertised_address(found)},
        {"region", region},
        {"failure_domain", found.m_failure_domain},
        {"leaving", leaving}};
    require_ok(
        client("platform").post("/instances", boost::json::serialize(instance)),
        "registering " + name);
}

void test_system::remove_instance(const std::string& name)
{
    require_ok(
        client("platform").send({"DELETE", "/instances/" + name, {}, {}}), "removing " + name);
}

void test_system::kill(const std::string& name)
{
    child_process& killed = process(name);
    killed.kill(SIGKILL);
    if (!killed.wait(std::chrono::seconds(10)).ok())
        throw std::runtime_error(name + " did not exit after SIGKILL");
}

void test_system::terminate(const std::string& name)
{
    process(name).kill(SIGTERM);
}

void test_system::pause(const std::string& name)
{
    process(name).kill(SIGSTOP);
}

void test_system::resume(const std::string& name)
{
    process(name).kill(SIGCONT);
}

void test_system::restart(const std::string& name)
{
    kill(name);
    start(name);
}

child_process& test_system::process(const std::string& name)
{
    part& found = find(name);
    if (!found.m_process)
        throw std::runtime_error(name + " was not started");
    return *found.m_process;
}

std::string test_system::address(const std::string& name) const
{
    return find(name).m_port.address();
}

std::string test_system::control(const std::string& name) const
{
    const part& found = find(name);
    return found.m_control ? found.m_control->address() : found.m_port.address();
}

void test_system::inject(const std::string& name, const std::string& fault) const
{
    require_ok(test_client(control(name)).post("/faults", fault), "injecting a fault into " + name);
}

void test_system::clear_faults(const std::string& name) const
{
    require_ok(
        test_client(control(name)).send({"DELETE", "/faults", {}, {}}),
        "clearing the faults of " + name);
}

std::string test_system::make_configuration(
    const std::string& tenant, const std::vector<std::string>& accounts) const
{
    std::uint32_t layers_total = 0;
    std::set<layer_range> stages;
    std::set<std::string> services;
    for (const auto& [name, each] : m_parts)
    {
        if (each.m_layers)
        {
            stages.insert(*each.m_layers);
            layers_total = each.m_layers_total;
        }
        if (!each.m_service.empty())
            services.insert(each.m_service);
    }
    std::vector<std::string> ranges;
    ranges.reserve(stages.size());
    for (const layer_range& stage : stages)
        ranges.push_back(fmt::format("[{}, {}]", stage.m_begin, stage.m_end));
    std::string text = fmt::format("tenant: {}\n", tenant);
    if (!ranges.empty())
    {
        text += fmt::format(
            "models:\n  - {{name: standin-model, layers: {}, max_tokens: 4096}}\n"
            "pipelines:\n  - {{name: main, model: standin-model, stages: [{}]}}\n",
            layers_total, fmt::join(ranges, ", "));
    }
    if (!services.empty())
        text += "services:\n";
    for (const std::string& service : services)
    {
        text += fmt::format(
            "  - {{name: {}, paths: [/orders, /seats/, /catalog/], methods: [GET, POST], "
            "idempotent_methods: [GET], deadline_ms: 5000}}\n",
            service);
    }
    text += "accounts:\n";
    for (const std::string& account : accounts)
    {
        text += fmt::format(
            "  - {{name: {0}, key_hashes: [\"{1}\"], requests_per_second: 1000, "
            "tokens_per_second: 1000000, max_streams: 1000, weight: 1}}\n",
            account, make_key_hash(account + "-secret"));
    }
    text += fmt::format(
        "rules:\n  - {{accounts: [{}], models: [{}], services: [{}], priority: 0}}\n",
        fmt::join(accounts, ", "), ranges.empty() ? "" : "standin-model",
        fmt::join(services, ", "));
    return text;
}

std::string test_system::bearer(const std::string& account)
{
    return account + "." + account + "-secret";
}

std::string test_system::chat_prompt(const std::string& content)
{
    return "user: " + content;
}

test_system::part& test_system::find(const std::string& name)
{
    return const_cast<part&>(std::as_const(*this).find(name));
}

const test_system::part& test_system::find(const std::string& name) const
{
    const auto found = m_parts.find(name);
    if (found == m_parts.end())
        throw std::runtime_error("unknown part " + name);
    return found->second;
}

} // namespace fulmaryard::process_tests
