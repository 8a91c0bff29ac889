// Workers in processes of their own, which a script can kill.

#ifndef FULMARYARD_REVIEW_WORKER_PROCESS_HPP
#define FULMARYARD_REVIEW_WORKER_PROCESS_HPP

#include "platform.hpp"

#include <sys/prctl.h>
#include <sys/wait.h>

#include <csignal>

namespace review
{

constexpr const char* worker_argument = "worker";

/// Runs a worker until the process is ended. Arguments: its id, service, kind or "-", the address
/// of the store, the record.
inline int run_worker(char** argv, worker_manner manner)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    record lines(argv[6], true);
    worker_log runs(lines);
    const std::string address = argv[5];
    const int store_port = std::atoi(address.substr(address.find(':') + 1).c_str());
    const auto write_entry = [store_port](const std::string& id, const json::object& entry)
    {
        connection peer;
        const json::object object{
            {"metadata", json::object{{"name", id}}}, {"spec", entry}, {"status", nullptr}};
        const auto body = json::serialize(object);
        for (const std::string start : {"POST /objects/servers HTTP/1.1", "PUT /objects/servers/"})
        {
            const auto line = start.starts_with("PUT") ? start + id + " HTTP/1.1" : start;
            if (!peer.open(store_port) || !peer.send(format(line, "Host: store\r\n", body)))
                return;
            const auto response = peer.read(steady::now() + std::chrono::seconds(3));
            if (response && response->status() == 200)
                return;
        }
    };
    const std::string kind = argv[4];
    const worker one(write_entry, runs, argv[2], argv[3], kind == "-" ? "" : kind, manner);
    for (;;)
        ::pause();
}

/// A worker process, which is killed with the object.
class worker_process
{
public:
    worker_process(
        const std::string& id, const std::string& service, const std::string& kind,
        const std::string& store, const std::string& record_path)
        : m_id(id)
    {
        m_pid = ::fork();
        if (m_pid == 0)
        {
            ::execl(
                "/proc/self/exe", "stand-in", worker_argument, id.c_str(), service.c_str(),
                kind.empty() ? "-" : kind.c_str(), store.c_str(), record_path.c_str(), nullptr);
            ::_exit(127);
        }
    }
    ~worker_process() { kill(); }
    worker_process(const worker_process&) = delete;
    worker_process& operator=(const worker_process&) = delete;

    const std::string& id() const { return m_id; }

    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }

private:
    std::string m_id;
    pid_t m_pid{-1};
};

} // namespace review

#endif
