#ifndef FULMARYARD_ROUTED_SERVICE_HPP
#define FULMARYARD_ROUTED_SERVICE_HPP

#include <fulmaryard/pipeline_engine.hpp>

#include <compare>
#include <optional>
#include <string>

namespace fulmaryard
{

/// A service that routes may refer to.
struct routed_service
{
    std::string m_name;
    std::optional<pipeline_engine> m_engine; ///< Set if the service runs model pipelines.

    friend auto operator<=>(const routed_service&, const routed_service&) = default;
};

} // namespace fulmaryard

#endif
