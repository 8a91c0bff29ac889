#ifndef FULMARYARD_ACCELERATOR_KIND_HPP
#define FULMARYARD_ACCELERATOR_KIND_HPP

#include <compare>
#include <string>

namespace fulmaryard
{

/// One kind of accelerator that endpoints of a pipeline run on.
struct accelerator_kind
{
    std::string m_name;
    double m_memory_mb{0};   ///< For layers and requests together, megabytes.
    double m_step_factor{1}; ///< Multiplies the time of a decode step.
    double m_read_factor{1}; ///< Multiplies the time of reading a prompt.

    friend auto operator<=>(const accelerator_kind&, const accelerator_kind&) = default;
};

} // namespace fulmaryard

#endif
