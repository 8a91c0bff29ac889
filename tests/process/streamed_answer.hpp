#ifndef FULMARYARD_STREAMED_ANSWER_HPP
#define FULMARYARD_STREAMED_ANSWER_HPP

#include "process/server_event.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace fulmaryard::process_tests
{

/// What a caller has received of a streamed completion, over one or more connections.
struct streamed_answer
{
    std::vector<server_event> m_events; ///< Without the final "[DONE]".
    std::string m_text;                 ///< Of all choices' deltas, in order.
    std::size_t m_reconnections{0};
    bool m_done{false}; ///< "[DONE]" was received.
};

} // namespace fulmaryard::process_tests

#endif
