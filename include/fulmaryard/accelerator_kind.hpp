#ifndef FULMARYARD_ACCELERATOR_KIND_HPP
#define FULMARYARD_ACCELERATOR_KIND_HPP

#include <compare>
#include <string>

namespace fulmaryard
{

/// A type of accelerator on which the endpoints of a pipeline run.
struct accelerator_kind
{
    std::string m_name;
    double m_memory_mb{0};      ///< Shared by model layers and requests, in megabytes.
    double m_step_factor{1};    ///< Factor on the duration of a decode step.
    double m_prefill_factor{1}; ///< Factor on the duration of prompt processing.

    friend auto operator<=>(const accelerator_kind&, const accelerator_kind&) = default;
};

} // namespace fulmaryard

#endif
