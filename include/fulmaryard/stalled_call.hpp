#ifndef FULMARYARD_STALLED_CALL_HPP
#define FULMARYARD_STALLED_CALL_HPP

#include <compare>
#include <string>

namespace fulmaryard
{

/// A call that makes no progress because an endpoint on its path does not respond.
struct stalled_call
{
    std::string m_id;      ///< Id of the call.
    std::string m_address; ///< Address of the endpoint that does not respond.

    friend auto operator<=>(const stalled_call&, const stalled_call&) = default;
};

} // namespace fulmaryard

#endif
