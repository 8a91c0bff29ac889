#ifndef FULMARYARD_ENTRY_PROCESS_HPP
#define FULMARYARD_ENTRY_PROCESS_HPP

#include <fulmaryard/entry_settings.hpp>

#include <absl/status/status.h>

#include <memory>
#include <string>

namespace fulmaryard
{

/// The entry process: serves callers and peers until SIGTERM or SIGINT.
class entry_process
{
public:
    explicit entry_process(entry_settings settings);
    ~entry_process();

    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    /// Returns the state as a JSON object; `/dump` serves the same.
    std::string status() const;

    /// Serves until SIGTERM or SIGINT, then finishes the requests in flight. Returns an error if an
    /// address cannot be bound or requests are still in flight when the drain limit expires.
    absl::Status run();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace fulmaryard

#endif
