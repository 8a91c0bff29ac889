// Starts a router with the command and the settings template of the deploy file.

#ifndef FULMARYARD_REVIEW_ROUTER_PROCESS_HPP
#define FULMARYARD_REVIEW_ROUTER_PROCESS_HPP

#include "http.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace review
{

/// One router process, which is killed with the object.
class router_process
{
public:
    /// `command` is the program and its arguments as in the deploy file; its last argument is
    /// replaced by the path of the settings.
    router_process(
        std::string program, std::string template_path, std::string folder, std::string name,
        std::string store)
        : m_program(std::move(program)),
          m_template(std::move(template_path)),
          m_folder(std::move(folder)),
          m_name(std::move(name)),
          m_store(std::move(store)),
          m_front(free_port()),
          m_ready(free_port()),
          m_metrics(free_port()),
          m_peer(free_port())
    {
    }
    ~router_process() { stop(SIGKILL); }
    router_process(const router_process&) = delete;
    router_process& operator=(const router_process&) = delete;

    int front() const { return m_front; }
    pid_t pid() const { return m_pid; }
    const std::string& name() const { return m_name; }
    std::string settings_path() const { return m_folder + "/" + m_name + ".yaml"; }

    /// Writes the settings file as the platform renders the template.
    void write_settings(int grace_s)
    {
        std::ifstream source(m_template);
        std::stringstream text;
        text << source.rdbuf();
        auto settings = text.str();
        const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
        const std::pair<std::string, std::string> values[] = {
            {"{{node_id}}", m_name},
            {"{{region}}", "be-central"},
            {"{{zone}}", "zone-a"},
            {"{{platform.address}}", m_store},
            {"{{listen.front}}", address(m_front)},
            {"{{listen.ready}}", address(m_ready)},
            {"{{ip}}:9464", address(m_metrics)},
            {"{{ip}}:{{port_range.0}}", address(m_peer)},
            {"{{limits.memory_mb}}", "260"},
            {"{{contract_params.grace_s}}", std::to_string(grace_s)},
            {"{{contract_params.budget_slack}}", "198"}};
        for (const auto& [key, value] : values)
        {
            for (auto at = settings.find(key); at != std::string::npos; at = settings.find(key))
                settings.replace(at, key.size(), value);
        }
        std::ofstream(settings_path()) << settings;
    }

    void start()
    {
        const auto log = m_folder + "/" + m_name + ".log";
        const auto settings = settings_path();
        m_pid = ::fork();
        if (m_pid == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // When the thread that started it ends.
            const int descriptor = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(descriptor, 1);
            ::dup2(descriptor, 2);
            ::execl(
                m_program.c_str(), m_program.c_str(), "router", "--settings", settings.c_str(),
                nullptr);
            ::_exit(127);
        }
    }

    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }

    /// Ends the process with a signal and collects it.
    void stop(int number)
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, number);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }

    /// Whether the process has ended, which collects it.
    bool ended()
    {
        if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
            m_pid = -1;
        return m_pid <= 0;
    }

    /// Polls the ready address as the platform does.
    bool wait_ready(std::chrono::seconds limit) const
    {
        const auto end = steady::now() + limit;
        while (steady::now() < end)
        {
            if (ready())
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return false;
    }

    bool ready() const
    {
        connection peer;
        if (!peer.open(m_ready) ||
            !peer.send("GET /readyz HTTP/1.1\r\nHost: ready\r\nContent-Length: 0\r\n\r\n"))
            return false;
        const auto response = peer.read(steady::now() + std::chrono::seconds(1));
        return response && response->status() == 200;
    }

    /// Resident memory in kilobytes; 0 if the process has ended.
    std::size_t resident_kb() const
    {
        std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
        std::string line;
        while (std::getline(status, line))
        {
            if (line.starts_with("VmRSS:"))
                return std::strtoul(line.c_str() + 6, nullptr, 10);
        }
        return 0;
    }

private:
    std::string m_program;
    std::string m_template;
    std::string m_folder;
    std::string m_name;
    std::string m_store;
    int m_front;
    int m_ready;
    int m_metrics;
    int m_peer;
    pid_t m_pid{-1};
};

} // namespace review

#endif
