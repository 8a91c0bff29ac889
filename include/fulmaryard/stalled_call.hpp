#ifndef FULMARYARD_STALLED_CALL_HPP
#define FULMARYARD_STALLED_CALL_HPP

#include <compare>
#include <string>

namespace fulmaryard
{

/// A call that makes no progress because an endpoint of its path does not answer.
struct stalled_call
{
    std::string m_id;      ///< Of the call.
    std::string m_address; ///< Of the endpoint that does not answer.

    friend auto operator<=>(const stalled_call&, const stalled_call&) = default;
};

} // namespace fulmaryard

#endif
