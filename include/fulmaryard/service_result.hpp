#ifndef FULMARYARD_SERVICE_RESULT_HPP
#define FULMARYARD_SERVICE_RESULT_HPP

#include <fulmaryard/failure_kind.hpp>
#include <fulmaryard/outcome.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// Side process to entry: the answer to a `service_call`, or why there is none.
struct service_result
{
    std::uint64_t m_call{0};
    bool m_ok{false};
    std::uint32_t m_status{0}; ///< HTTP status of the worker.
    std::string m_content_type;
    std::string m_body;
    failure_kind m_failure{failure_kind::internal}; ///< Set where `m_ok` is false.
    outcome m_outcome{outcome::unknown};            ///< Set where `m_ok` is false.

    friend auto operator<=>(const service_result&, const service_result&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_call, m_ok, m_status, m_content_type, m_body, m_failure, m_outcome);
    }
};

} // namespace fulmaryard

#endif
