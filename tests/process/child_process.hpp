#ifndef FULMARYARD_CHILD_PROCESS_HPP
#define FULMARYARD_CHILD_PROCESS_HPP

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fulmaryard::process_tests
{

/// One process of a test. It is killed on destruction.
class child_process
{
public:
    /// Starts `binary`. Its output goes to `LOG.out` and its standard error to `LOG.err`, where
    /// `log` is a path; both are appended to. Throws when it cannot be started.
    child_process(
        const std::string& binary, const std::vector<std::string>& arguments, std::string log);
    ~child_process();

    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;

    /// Waits for the line "listening PORT" and returns the port. `endpoint_lost` when the process
    /// ends first.
    absl::StatusOr<std::uint16_t> wait_for_port(std::chrono::milliseconds deadline);

    /// Waits until any HTTP response arrives from `address`.
    absl::Status wait_for_http(const std::string& address, std::chrono::milliseconds deadline);

    void kill(int signal);

    /// Waits for the end; the exit code, or 128 plus the signal. `deadline_exceeded` when it still
    /// runs.
    absl::StatusOr<int> wait(std::chrono::milliseconds deadline);

    bool running();

    /// A figure of /proc/PID/status in kilobytes, for example "VmRSS"; 0 when the process has
    /// ended.
    std::size_t memory_kilobytes(const std::string& figure) const;

    /// What the process has written to its standard output since this object started it.
    std::string output() const;

    /// What the process has written to its standard error, with earlier runs of the same log.
    std::string errors() const;

private:
    std::string m_log;
    std::size_t m_output_begin{0};
    pid_t m_pid{-1};
    std::optional<int> m_exit_code;
};

} // namespace fulmaryard::process_tests

#endif
