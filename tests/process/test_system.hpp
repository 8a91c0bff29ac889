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

/// A whole system on loopback: stand-ins, side processes and entries, each a process of its own.
///
/// Parts are addressed by the name that they were added with, and keep their ports when they are
/// restarted. Adding a part starts it and waits until it listens; a part that does not start is an
/// exception, which fails the test with the part's standard error. Everything is killed on
/// destruction.
class test_system
{
public:
    /// Secret of the administrator "operator", who may apply files of every tenant.
    static constexpr const char* m_administrator_secret = "operator-secret";

    /// Starts the platform stand-in as part "platform".
    explicit test_system(const std::vector<std::string>& platform_arguments = {});

    /// Starts an engine stand-in. `arguments` are further command line options.
    void add_engine(
        const std::string& name, layer_range layers, std::uint32_t layers_total,
        std::vector<std::string> arguments = {});

    /// Starts an application worker stand-in.
    void add_worker(const std::string& name);

    /// Starts a network stand-in between a process and `target`, another part. Its address is what
    /// forwards to the target; `control` is where it takes faults.
    void add_relay(const std::string& name, const std::string& target);

    /// Starts a side process beside an engine and registers it. `settings` are further lines of
    /// YAML; "engine" may also name a relay.
    void add_engine_side(
        const std::string& name, const std::string& engine, const std::string& failure_domain,
        const std::string& settings = "");

    /// Likewise, and peers reach the side process only through a new network stand-in `relay`.
    void add_relayed_engine_side(
        const std::string& name, const std::string& relay, const std::string& engine,
        const std::string& failure_domain);

    /// Likewise beside an application worker that provides `service`.
    void add_worker_side(
        const std::string& name, const std::string& worker, const std::string& service,
        const std::string& failure_domain, const std::string& settings = "");

    /// Starts an entry and registers it. Its peers are the entries added before.
    void add_entry(
        const std::string& name, const std::string& failure_domain,
        const std::string& settings = "");

    /// Likewise, and peers reach the entry only through a new network stand-in `relay`.
    void add_relayed_entry(
        const std::string& name, const std::string& relay, const std::string& failure_domain);

    /// Runs `fulmaryard apply` at an entry and returns its exit code.
    int apply(const std::string& entry, const std::string& file_content);

    /// Waits until the entry's /readyz answers 200.
    absl::Status wait_ready(
        const std::string& entry,
        std::chrono::milliseconds deadline = std::chrono::seconds(10)) const;

    /// Registers, or registers again, an instance at the platform.
    void register_instance(const std::string& name, bool leaving);
    void remove_instance(const std::string& name);

    void kill(const std::string& name);      ///< SIGKILL, and waits for the end.
    void terminate(const std::string& name); ///< SIGTERM; does not wait.
    void pause(const std::string& name);     ///< SIGSTOP.
    void resume(const std::string& name);    ///< SIGCONT.
    void restart(const std::string& name);   ///< Kills and starts at the same ports.
    child_process& process(const std::string& name);

    /// Where a part serves: callers for an entry, peers for a side process.
    std::string address(const std::string& name) const;

    /// Where a part takes faults or, for an entry, serves its peers.
    std::string control(const std::string& name) const;

    test_client client(const std::string& name) const { return test_client(address(name)); }

    /// Injects a fault into a stand-in; `fault` is JSON.
    void inject(const std::string& name, const std::string& fault) const;
    void clear_faults(const std::string& name) const;

    /// A declarative file for one model, cut into the stages of the engines added so far, one
    /// account per name with secret "NAME-secret", and the services of the worker sides.
    std::string
    make_configuration(const std::string& tenant, const std::vector<std::string>& accounts) const;

    /// The bearer token of an account in `make_configuration`.
    static std::string bearer(const std::string& account);

    /// The prompt that the entry makes of a chat with one message of the user; for the reference.
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
        std::string m_advertised; ///< Where peers connect to; empty without a relay.
        std::optional<child_process> m_process;
    };

    part& add_standin(
        const std::string& name, const std::string& binary, std::vector<std::string> arguments);
    void add_process(
        const std::string& name, const std::string& role, const std::string& failure_domain,
        const std::string& settings, const std::function<std::string(part&)>& specific,
        const std::string& relay = "");
    void create_entry(
        const std::string& name, const std::string& failure_domain, const std::string& settings,
        const std::string& relay);
    part& create_relay(const std::string& name, const std::string& target_address);
    void start(const std::string& name);
    part& find(const std::string& name);
    const part& find(const std::string& name) const;
    static std::string peer_address(const part& found);
    static std::string advertised_address(const part& found);

    temporary_directory m_directory;
    std::map<std::string, part> m_parts;
    std::size_t m_applied{0};
};

} // namespace fulmaryard::process_tests

#endif
