#include "process/received_stream.hpp"
#include "process/event_stream.hpp"

namespace fulmaryard::process_tests
{

received_stream::received_stream(
    const std::string& address, const http_request& request, std::chrono::milliseconds patience)
{
    auto opened = event_stream::open(address, request, patience);
    if (!opened.ok())
        return;
    m_status = opened->status();
    for (;;)
    {
        const auto event = opened->next(patience);
        m_complete = event.ok() && !*event;
        if (!event.ok() || !*event)
            return;
        m_ids.push_back((*event)->m_id);
        m_received.push_back((*event)->m_received);
    }
}

} // namespace fulmaryard::process_tests
