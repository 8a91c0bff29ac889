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

/// State shared by all requests of an entry process. Thread-safe. Requests hold it by shared
/// pointer because at exit coroutines may be destroyed after the process object.
struct entry_services
{
    entry_services(entry_settings settings, std::string process, metrics& registry);

    /// Takes a retry from the retry budget; false if the budget is exhausted.
    bool try_retry();
    /// Adds a request to the retry budget.
    void count_request();

    /// Index of the active configuration, read through a thread-local snapshot reader.
    std::shared_ptr<const configuration_index> configuration() const;

    entry_settings m_settings;
    std::string m_process; ///< Unique id of this run of the process.
    entry_metrics m_metrics;
    std::atomic<bool> m_draining{false};
    /// New requests are rejected. Set after `m_draining`, when the minimum drain time has passed.
    std::atomic<bool> m_rejecting_requests{false};
    /// The instance list has been read or a peer has answered.
    std::atomic<bool> m_cluster_contacted{false};
    endpoint_directory m_directory;
    stage_planner m_planner;
    std::shared_ptr<admission_gate> m_gate;
    call_table m_calls;
    stream_registry m_streams;
    snapshot<configuration_index> m_index;
    /// Sends a message over the peer links; does nothing after they have stopped.
    std::function<void(const std::string& address, const peer_message& message)> m_send;

private:
    std::mutex m_budget_mutex;
    retry_budget m_retry_budget;
};

} // namespace fulmaryard

#endif
