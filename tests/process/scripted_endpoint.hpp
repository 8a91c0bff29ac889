#ifndef FULMARYARD_SCRIPTED_ENDPOINT_HPP
#define FULMARYARD_SCRIPTED_ENDPOINT_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace fulmaryard::process_tests
{

/// An endpoint whose answers are bytes that a test chooses, for faults that an HTTP server cannot
/// produce. Load queries and orders are answered as the stand-in does. Thread-safe.
class scripted_endpoint
{
public:
    /// What to send for a request.
    struct reply
    {
        std::string m_bytes;
        bool m_close{false};                  ///< Close the connection afterwards.
        std::chrono::milliseconds m_pause{0}; ///< After `m_bytes`.
        std::string m_rest{};                 ///< Sent before the connection is closed.
        std::string m_repeated{};             ///< Then sent again and again until the peer closes.
    };

    /// How load queries are answered.
    enum class report_mode
    {
        answered,
        silent, ///< The connection stays open without an answer.
        closed  ///< The connection is closed without an answer.
    };

    /// Called with the id of a call and the number of calls on its connection before it.
    using script = std::function<reply(const std::string& call, int earlier)>;

    explicit scripted_endpoint(script answer);
    ~scripted_endpoint();

    scripted_endpoint(const scripted_endpoint&) = delete;
    scripted_endpoint& operator=(const scripted_endpoint&) = delete;

    std::string address() const;

    /// How often a call arrived.
    int arrivals(const std::string& call) const;

    /// Head of the request with which a call arrived last; empty if it has not arrived.
    std::string last_head(const std::string& call) const;

    /// Body of the call that arrived last.
    std::string last_body() const;

    /// Layers that the load report names.
    void set_layers(int begin, int end);

    void set_reports(report_mode mode);

    /// Refuses new connections from now on.
    void stop_listening();

private:
    void accept();
    void serve(boost::asio::ip::tcp::socket& socket);
    reply report() const;

    script m_answer;
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_arrivals;
    std::map<std::string, std::string> m_last_heads; ///< By call.
    std::string m_last_body;
    std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> m_sockets;
    std::vector<std::thread> m_threads;
    std::string m_layers;
    report_mode m_reports{report_mode::answered};
    bool m_stopped{false};
};

} // namespace fulmaryard::process_tests

#endif
