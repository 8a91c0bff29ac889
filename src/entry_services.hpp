#ifndef FULMARYARD_ENTRY_SERVICES_HPP
#define FULMARYARD_ENTRY_SERVICES_HPP

#include "admission_gate.hpp"
#include "entry_metrics.hpp"
#include "stream_registry.hpp"

#include <fulmaryard/call_table.hpp>
#include <fulmaryard/configuration_index.hpp>
#include <fulmaryard/endpoint_directory.hpp>
#include <fulmaryard/entry_settings.hpp>
#include <fulmaryard/retry_budget.hpp>
#include <fulmaryard/snapshot.hpp>
#include <fulmaryard/stage_planner.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace fulmaryard
{

/// What the requests of one entry process share. Thread-safe. Requests hold it by shared pointer,
/// since coroutines may be destroyed after the process object at exit.
struct entry_services
{
    entry_services(entry_settings settings, std::string process, metrics& registry);

    bool try_retry();
    void count_request();

    /// The index in force; reads through a cached reference of the calling thread.
    std::shared_ptr<const configuration_index> configuration() const;

    entry_settings m_settings;
    std::string m_process; ///< Id of this run.
    entry_metrics m_metrics;
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_refuses_new{false};    ///< Later than `m_draining`, see `drain`.
    std::atomic<bool> m_reached_others{false}; ///< Instance list read or a peer answered.
    endpoint_directory m_directory;
    stage_planner m_planner;
    std::shared_ptr<admission_gate> m_gate;
    call_table m_calls;
    stream_registry m_streams;
    snapshot<configuration_index> m_index;
    /// Sends on the peer links; does nothing once they are stopped.
    std::function<void(const std::string& address, const peer_message& message)> m_send;

private:
    std::mutex m_budget_mutex;
    retry_budget m_budget;
};

} // namespace fulmaryard

#endif
