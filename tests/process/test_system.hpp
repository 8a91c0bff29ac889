#ifndef FULMARYARD_TEST_SYSTEM_HPP
#define FULMARYARD_TEST_SYSTEM_HPP

#include "process/child_process.hpp"
#include "process/reserved_port.hpp"
#include "process/temporary_directory.hpp"
#include "process/test_client.hpp"

#include <fulmaryard/layer_range.hpp>

#include <absl/status/status.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fulmaryard::process_tests
{

/// A complete system on loopback. Each stand-in, side process and entry is a separate process.
///
/// Parts are identified by the name they were added with and keep their ports across restarts.
/// Adding a part starts it and waits until it listens. If it does not start, an exception with its
/// standard error fails the test. The destructor kills all processes.
class test_system
{
public:
    /// Secret of the administrator "operator", who may apply files of all tenants.
    static constexpr const char* m_administrator_secret = "operator-secret";

    /// Starts the platform stand-in as part "platform".
    explicit test_system(const std::vector<std::string>& platform_arguments = {});

    /// Starts an engine stand-in. `arguments` are additional command-line options.
    void add_engine(
        const std::string& name, layer_range layers, std::uint32_t layers_total,
        std::vector<std::string> arguments = {});

    /// Starts an application worker stand-in.
    void add_worker(const std::string& name);

    /// Starts a network stand-in in front of the part `target`. Its `address` forwards to the
    /// target, and its `control` address accepts faults.
    void add_relay(const std::string& name, const std::string& target);

    /// Starts and registers a side process for an engine. `engine` may also name a relay;
    /// `settings` are additional YAML lines.
    void add_engine_side(
        const std::string& name, const std::string& engine, const std::string& failure_domain,
        const std::string& settings = "");

    /// Like add_engine_side, but peers reach the process only through a new network stand-in
    /// `relay`.
    void add_relayed_engine_side(
        const std::string& name, const std::string& relay, const std::string& engine,
        const std::string& failure_domain);

    /// Starts and registers a side process for an application worker that provides `service`.
    void add_worker_side(
        const std::string& name, const std::string& worker, const std::string& service,
        const std::string& failure_domain, const std::string& settings = "");

    /// Starts and registers an entry. Its peers are the entries added earlier.
    void add_entry(
        const std::string& name, const std::string& failure_domain,
        const std::string& settings = "");

    /// Like add_entry, but peers reach the entry only through a new network stand-in `relay`.
    void add_relayed_entry(
        const std::string& name, const std::string& relay, const std::string& failure_domain);

    /// Like add_entry, but the only administrator is "tenant-admin", restricted to one tenant.
    void add_single_tenant_entry(
        const std::string& name, const std::string& failure_domain, const std::string& tenant,
        const std::string& secret);

    /// Runs `fulmaryard apply` at an entry and returns its exit code.
    int apply(const std::string& entry, const std::string& file_content);

    /// Waits until /readyz of the entry returns 200.
    absl::Status wait_ready(
        const std::string& entry,
        std::chrono::milliseconds deadline = std::chrono::seconds(10)) const;

    /// Registers an instance with the platform or updates its registration.
    void register_instance(const std::string& name, bool leaving);
    void remove_instance(const std::string& name);

    void kill(const std::string& name);      ///< Sends SIGKILL and waits for exit.
    void terminate(const std::string& name); ///< Sends SIGTERM without waiting.
    void pause(const std::string& name);     ///< SIGSTOP.
    void resume(const std::string& name);    ///< SIGCONT.
    void restart(const std::string& name);   ///< Kills and starts it on the same ports.
    child_process& process(const std::string& name);

    /// Returns a part's main address: for callers of an entry, for peers of a side process.
    std::string address(const std::string& name) const;

    /// Returns the address where a part accepts faults or, for an entry, serves its peers.
    std::string control(const std::string& name) const;

    test_client client(const std::string& name) const { return test_client(address(name)); }

    /// Injects a fault into a stand-in; `fault` is JSON.
    void inject(const std::string& name, const std::string& fault) const;
    void clear_faults(const std::string& name) const;

    /// Returns a declarative file with one model, split into the stages of the engines added so
    /// far, the given accounts, each with the secret "NAME-secret", and the workers' services.
    std::string
    make_configuration(const std::string& tenant, const std::vector<std::string>& accounts) const;

    /// Returns the bearer token of an account in `make_configuration`.
    static std::string bearer(const std::string& account);

    /// Returns the prompt that the entry builds from a chat with one user message. Tests compute
    /// the expected response from it.
    static std::string chat_prompt(const std::string& content);

private:
    struct part
    {
        std::string m_binary;
        std::vector<std::string> m_arguments;
        std::string m_role; ///< "entry" or "side"; empty for a stand-in.
        std::string m_failure_domain;
        std::string m_service;
        std::optional<layer_range> m_layers;
        std::uint32_t m_layers_total{0};
        reserved_port m_port;
        std::optional<reserved_port> m_control;
        std::string m_advertised; ///< Address for peers; empty without a relay.
        std::optional<child_process> m_process;
    };

    part& add_standin(
        const std::string& name, const std::string& binary, std::vector<std::string> arguments);
    void add_process(
        const std::string& name, const std::string& role, const std::string& failure_domain,
        const std::string& settings, const std::function<std::string(part&)>& make_role_settings,
        const std::string& relay = "");
    void create_entry(
        const std::string& name, const std::string& failure_domain, const std::string& settings,
        const std::string& administrator, const std::string& relay);
    static std::string all_tenants_administrator();
    part& create_relay(const std::string& name, const std::string& target_address);
    void start(const std::string& name);
    part& find(const std::string& name);
    const part& find(const std::string& name) const;
    static std::string peer_address(const part& found);
    static std::string advertised_address(const part& found);

    temporary_directory m_directory;
    std::map<std::string, part> m_parts;
    std::size_t m_apply_count{0};
};

} // namespace fulmaryard::process_tests

#endif
