#ifndef FULMARYARD_ENTRY_PROCESS_HPP
#define FULMARYARD_ENTRY_PROCESS_HPP

#include <fulmaryard/entry_settings.hpp>

#include <absl/status/status.h>

#include <memory>
#include <string>

namespace fulmaryard
{

/// The entry process: serves callers and peers until it is told to leave.
class entry_process
{
public:
    explicit entry_process(entry_settings settings);
    ~entry_process();

    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    /// State as a JSON object, also served at `/dump`.
    std::string status() const;

    /// Serves until SIGTERM or SIGINT, then finishes the requests in flight. Returns a failure when
    /// an address cannot be bound or the drain limit passed with requests in flight.
    absl::Status run();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace fulmaryard

#endif
