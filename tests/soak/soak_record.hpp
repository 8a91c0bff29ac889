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

/// What callers and endpoints saw in one run, and what was done to the system.
struct soak_record
{
    soak_plan m_plan;
    std::vector<router_downtime> m_down;
    std::vector<fault> m_done; ///< Faults with the times at which they were made.
    std::vector<soak_request> m_requests;
    std::map<std::string, int> m_runs;     ///< By call, from the endpoints.
    std::map<std::string, int> m_arrivals; ///< Likewise, also of refused calls.
    /// When new work reached an endpoint long after it began to leave.
    std::vector<std::chrono::milliseconds> m_late_arrivals;
    int m_wrong_paths{0};
    bool m_recovered{false}; ///< Each router served again after all were killed.

    friend auto operator<=>(const soak_record&, const soak_record&) = default;
};

} // namespace fulmaryard::soak

#endif
