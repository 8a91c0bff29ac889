#ifndef FULMARYARD_SOAK_SYSTEM_HPP
#define FULMARYARD_SOAK_SYSTEM_HPP

#include "process/child_process.hpp"
#include "process/reserved_port.hpp"
#include "process/temporary_directory.hpp"
#include "soak/soak_fault.hpp"
#include "soak/soak_record.hpp"

#include <boost/json/object.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fulmaryard::soak
{

/// The system under test: a stand-in of the platform with its endpoints, and routers in front of
/// it, as separate processes, with relays between callers and routers and between routers and the
/// store.
class soak_system
{
public:
    static constexpr std::size_t m_endpoints = 7; ///< Four model endpoints and three plain ones.

    explicit soak_system(std::size_t routers);

    /// Waits until every router has served a stream. Returns false on timeout after `limit`.
    bool wait_until_serving(std::chrono::milliseconds limit);

    /// Address of the relay through which callers reach a router.
    std::string callers_address(std::size_t router) const;

    void begin(const fault& one);
    /// Ends a fault. Returns false while a router that was told to stop is still running.
    bool end(const fault& one);

    bool router_runs(std::size_t router) const;
    bool router_listens(std::size_t router) const;

    /// Kills all routers, then starts them again.
    void restart_all_routers();

    /// Makes the stand-in violate a guarantee, to show that the checks detect it.
    void set_defect(const std::string& name);

    /// Adds the observations of the endpoints to `record`. `start_ms` is the Unix time in
    /// milliseconds at which the callers started.
    void read_journal(soak_record& record, std::int64_t start_ms) const;

    /// Copies the logs of all processes to `directory`.
    void copy_logs(const std::string& directory) const;

private:
    struct relay
    {
        process_tests::reserved_port m_port;
        std::unique_ptr<process_tests::child_process> m_process;
        std::string m_control;
    };
    struct router_parts
    {
        process_tests::reserved_port m_listen;
        process_tests::reserved_port m_ready;
        process_tests::reserved_port m_metrics;
        process_tests::reserved_port m_peer;
        relay m_callers;
        relay m_store;
        std::unique_ptr<process_tests::child_process> m_process;
    };

    void start_relay(relay& one, const std::string& name, const std::string& target);
    void start_router(std::size_t number);
    void set_relay(const relay& one, const char* kind, const fault& from);
    boost::json::object platform_state() const;
    /// Sends a control command to the stand-in, together with the active platform faults.
    void control_platform(boost::json::object order = {});
    void set_keys(std::vector<std::string> keys);
    bool serves(std::size_t router) const;
    std::string log_name(std::size_t router) const;

    process_tests::temporary_directory m_directory;
    std::unique_ptr<process_tests::child_process> m_platform;
    std::string m_platform_address;
    std::vector<router_parts> m_routers;
    std::multiset<fault_kind> m_platform_faults; ///< Active faults of the whole platform.
    mutable int m_probe_count{0};                ///< Numbers the attempt ids of readiness probes.
};

} // namespace fulmaryard::soak

#endif
