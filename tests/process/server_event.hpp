#ifndef FULMARYARD_SERVER_EVENT_HPP
#define FULMARYARD_SERVER_EVENT_HPP

#include <chrono>
#include <string>

namespace fulmaryard::process_tests
{

/// One server-sent event.
struct server_event
{
    std::string m_id;   ///< Empty when the event had none.
    std::string m_data; ///< Data lines joined by newlines.
    std::chrono::steady_clock::time_point m_received;
};

} // namespace fulmaryard::process_tests

#endif
