#ifndef FULMARYARD_SERVER_EVENT_HPP
#define FULMARYARD_SERVER_EVENT_HPP

#include <chrono>
#include <string>

namespace fulmaryard::process_tests
{

/// One server-sent event.
struct server_event
{
    std::string m_id;   ///< Empty if the event had no id.
    std::string m_data; ///< The data lines, joined by newlines.
    std::chrono::steady_clock::time_point m_received;
};

} // namespace fulmaryard::process_tests

#endif
