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

/// A child process started by a test. The destructor kills it with SIGKILL.
class child_process
{
public:
    /// Starts `binary`. Appends its standard output to the file `log` + ".out" and its standard
    /// error to `log` + ".err". Throws std::runtime_error if the process cannot be started.
    child_process(
        const std::string& binary, const std::vector<std::string>& arguments, std::string log);
    ~child_process();

    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;

    /// Waits for the line "listening PORT" on standard output and returns the port. Fails with
    /// `endpoint_lost` if the process exits first.
    absl::StatusOr<std::uint16_t> wait_for_port(std::chrono::milliseconds deadline);

    /// Polls /healthz at `address` until an HTTP response with any status arrives. Fails with
    /// `endpoint_lost` if the process exits first.
    absl::Status wait_for_http(const std::string& address, std::chrono::milliseconds deadline);

    void kill(int signal);

    /// Waits for the process to exit. Returns the exit code, or 128 plus the signal number. Fails
    /// with `deadline_exceeded` if the process is still running at the deadline.
    absl::StatusOr<int> wait(std::chrono::milliseconds deadline);

    bool running();

    /// Returns a field of /proc/PID/status in kilobytes, for example "VmRSS"; 0 if the process has
    /// exited.
    std::size_t memory_kilobytes(const std::string& field) const;

    /// Returns the number of open file descriptors; 0 if the process has exited.
    std::size_t open_descriptors() const;

    /// Returns the standard output of this process, without that of earlier runs.
    std::string output() const;

    /// Returns the standard error of this process and of earlier runs with the same log path.
    std::string errors() const;

private:
    std::string m_log;
    std::size_t m_output_begin{0};
    pid_t m_pid{-1};
    std::optional<int> m_exit_code;
};

} // namespace fulmaryard::process_tests

#endif
