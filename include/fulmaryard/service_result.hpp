#ifndef FULMARYARD_SERVICE_RESULT_HPP
#define FULMARYARD_SERVICE_RESULT_HPP

#include <fulmaryard/failure_kind.hpp>
#include <fulmaryard/outcome.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// Message from a side process to an entry: the response to a `service_call`, or why it failed.
struct service_result
{
    std::uint64_t m_call{0}; ///< Id of the `service_call`.
    bool m_ok{false};
    std::uint32_t m_status{0}; ///< HTTP status code returned by the worker.
    std::string m_content_type;
    std::string m_body; ///< Response body, or the error message where `m_ok` is false.
    failure_kind m_failure{failure_kind::internal}; ///< Valid only if `m_ok` is false.
    outcome m_outcome{outcome::unknown};            ///< Valid only if `m_ok` is false.

    friend auto operator<=>(const service_result&, const service_result&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_call, m_ok, m_status, m_content_type, m_body, m_failure, m_outcome);
    }
};

} // namespace fulmaryard

#endif
