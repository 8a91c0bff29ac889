#ifndef FULMARYARD_STREAM_MOVE_HPP
#define FULMARYARD_STREAM_MOVE_HPP

#include <chrono>

namespace fulmaryard
{

/// Where the time of a stream's move to another path went, from its last event before.
struct stream_move
{
    std::chrono::steady_clock::duration m_silence{}; ///< Until the move began.
    std::chrono::steady_clock::duration m_order{};   ///< Until the first endpoint accepted it.
    std::chrono::steady_clock::time_point m_accepted;
};

} // namespace fulmaryard

#endif
