#ifndef FULMARYARD_SOAK_RECORD_HPP
#define FULMARYARD_SOAK_RECORD_HPP

#include "soak/router_downtime.hpp"
#include "soak/soak_plan.hpp"
#include "soak/soak_request.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmaryard::soak
{

/// Observations of callers and endpoints in one run, and the faults that were injected.
struct soak_record
{
    soak_plan m_plan;
    std::vector<router_downtime> m_down;
    std::vector<fault> m_injected_faults; ///< Injected faults with their actual times.
    std::vector<soak_request> m_requests;
    std::map<std::string, int> m_runs; ///< Executions by attempt id, as counted by the endpoints.
    std::map<std::string, int> m_arrivals; ///< Arrivals by attempt id, including refused calls.
    /// Times at which new work reached an endpoint long after it had announced that it leaves.
    std::vector<std::chrono::milliseconds> m_late_arrivals;
    int m_wrong_paths{0};
    bool m_recovered{false}; ///< Every router served again after all routers were killed.

    friend auto operator<=>(const soak_record&, const soak_record&) = default;
};

} // namespace fulmaryard::soak

#endif
