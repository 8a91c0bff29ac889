#ifndef FULMARYARD_STREAMED_ANSWER_HPP
#define FULMARYARD_STREAMED_ANSWER_HPP

#include "process/server_event.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace fulmaryard::process_tests
{

/// The part of a streamed completion that a client received, over one or more connections.
struct streamed_answer
{
    std::vector<server_event> m_events; ///< Excludes the final "[DONE]".
    std::string m_text;                 ///< Concatenated text of all deltas.
    std::size_t m_reconnections{0};
    bool m_done{false}; ///< "[DONE]" was received.
};

} // namespace fulmaryard::process_tests

#endif
