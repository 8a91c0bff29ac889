#ifndef FULMARYARD_RESPONSE_LIMITS_HPP
#define FULMARYARD_RESPONSE_LIMITS_HPP

#include <chrono>

namespace fulmaryard
{

/// Time limits of one HTTP exchange. A response that makes progress may take longer than one that
/// has not begun: over a slow link a large body takes long although the server is alive.
struct response_limits
{
    std::chrono::milliseconds m_first_byte{0}; ///< From the start to the first byte.
    std::chrono::milliseconds m_stall{0};      ///< Between two reads of the response.
    std::chrono::milliseconds m_total{0};      ///< From the start to the end.
};

} // namespace fulmaryard

#endif
