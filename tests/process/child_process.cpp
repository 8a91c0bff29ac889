#include "process/child_process.hpp"

#include "process/test_client.hpp"

#include <fulmaryard/failure.hpp>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace fulmaryard::process_tests
{

namespace
{

constexpr std::chrono::milliseconds poll_interval{5};

std::string read_file(const std::string& path)
{
    std::ostringstream content;
    content << std::ifstream(path).rdbuf();
    return content.str();
}

} // namespace

child_process::child_process(
    const std::string& binary, const std::vector<std::string>& arguments, std::string log)
    : m_log(std::move(log)),
      m_output_begin(read_file(m_log + ".out").size())
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string output_path = m_log + ".out";
    const std::string error_path = m_log + ".err";
    constexpr int mode = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_path.c_str(), mode, 0600);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, error_path.c_str(), mode, 0600);
    // Close all other descriptors: a client socket inherited by the child would stay open after the
    // test closes it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::vector<std::string> command_line{binary};
    command_line.insert(command_line.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(command_line.size() + 1);
    for (std::string& word : command_line)
        pointers.push_back(word.data());
    pointers.push_back(nullptr);
    const int error =
        posix_spawn(&m_pid, binary.c_str(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("cannot start " + binary);
}

child_process::~child_process()
{
    if (m_pid < 0 || m_exit_code)
        return;
    // SIGKILL also terminates a process stopped by SIGSTOP.
    kill(SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

child_process::child_process(child_process&& other) noexcept
    : m_log(std::move(other.m_log)),
      m_output_begin(other.m_output_begin),
      m_pid(std::exchange(other.m_pid, -1)),
      m_exit_code(other.m_exit_code)
{
}

absl::StatusOr<std::uint16_t> child_process::wait_for_port(std::chrono::milliseconds deadline)
{
    const std::string prefix = "listening ";
    const auto end = std::chrono::steady_clock::now() + deadline;
    while (std::chrono::steady_clock::now() < end)
    {
        const bool alive = running();
        std::istringstream lines(output());
        for (std::string line; std::getline(lines, line) && !lines.eof();)
        {
            std::uint16_t port = 0;
            if (line.compare(0, prefix.size(), prefix) == 0 &&
                std::from_chars(line.data() + prefix.size(), line.data() + line.size(), port).ec ==
                    std::errc())
            {
                return port;
            }
        }
        if (!alive)
            return make_failure(failure_kind::endpoint_lost, "process exited: " + errors());
        std::this_thread::sleep_for(poll_interval);
    }
    return make_failure(
        failure_kind::deadline_exceeded, "no \"listening PORT\" line on standard output");
}

absl::Status
child_process::wait_for_http(const std::string& address, std::chrono::milliseconds deadline)
{
    test_client client(address);
    const auto end = std::chrono::steady_clock::now() + deadline;
    while (std::chrono::steady_clock::now() < end)
    {
        if (!running())
            return make_failure(failure_kind::endpoint_lost, "process exited: " + errors());
        if (client.get("/healthz", std::chrono::seconds(1)).ok())
            return absl::OkStatus();
        std::this_thread::sleep_for(poll_interval);
    }
    return make_failure(failure_kind::deadline_exceeded, "no HTTP response from " + address);
}

void child_process::kill(int signal)
{
    if (!m_exit_code)
        ::kill(m_pid, signal);
}

absl::StatusOr<int> child_process::wait(std::chrono::milliseconds deadline)
{
    if (m_exit_code)
        return *m_exit_code;
    // glibc 2.36 declares pidfd_open without C linkage.
    const auto descriptor = static_cast<int>(syscall(SYS_pidfd_open, m_pid, 0));
    if (descriptor >= 0)
    {
        pollfd ended{descriptor, POLLIN, 0};
        poll(&ended, 1, static_cast<int>(deadline.count()));
        close(descriptor);
    }
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid)
        return make_failure(failure_kind::deadline_exceeded, "process is still running");
    m_exit_code = WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
    return *m_exit_code;
}

bool child_process::running()
{
    return !wait(std::chrono::milliseconds(0)).ok();
}

std::size_t child_process::memory_kilobytes(const std::string& field) const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(status, line);)
    {
        if (line.rfind(field + ":", 0) == 0)
            return std::stoul(line.substr(field.size() + 1));
    }
    return 0;
}

std::size_t child_process::open_descriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator descriptors(
        "/proc/" + std::to_string(m_pid) + "/fd", error);
    return error ? 0
                 : static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

std::string child_process::output() const
{
    const std::string all = read_file(m_log + ".out");
    return all.substr(std::min(m_output_begin, all.size()));
}

std::string child_process::errors() const
{
    return read_file(m_log + ".err");
}

} // namespace fulmaryard::process_tests
