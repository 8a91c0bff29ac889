#ifndef FULMARYARD_ENGINE_CONNECTION_HPP
#define FULMARYARD_ENGINE_CONNECTION_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/websocket/stream.hpp>
#include <boost/json/value.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace fulmaryard::standins
{

/// WebSocket connection of one router to the engine. Used only on the engine's single thread.
class engine_connection : public std::enable_shared_from_this<engine_connection>
{
public:
    using handler = std::function<void(const std::shared_ptr<engine_connection>&, std::string)>;
    using upgrade_request = boost::beast::http::request<boost::beast::http::string_body>;

    engine_connection(boost::asio::ip::tcp::socket socket, handler on_message);

    /// Accepts the upgrade and calls the handler for each message until the connection ends.
    void start(upgrade_request request);

    void send(const boost::json::value& message);

    /// Stops reading and writing, including answers to pings, and keeps the socket open.
    void silence();

    /// True while messages can still be answered.
    bool open() const { return m_open; }

private:
    boost::asio::awaitable<void> receive(upgrade_request request);
    boost::asio::awaitable<void> write_queue();

    // A router that does not read its answers is disconnected.
    static constexpr std::size_t m_queue_limit = std::size_t{64} * 1024 * 1024;

    boost::beast::websocket::stream<boost::beast::tcp_stream> m_stream;
    handler m_on_message;
    std::deque<std::string> m_queue;
    std::size_t m_queued_bytes{0};
    bool m_writing{false};
    bool m_open{true};
    bool m_silent{false};
};

} // namespace fulmaryard::standins

#endif
