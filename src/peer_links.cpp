#include "outbound_link.hpp"
#include "websocket_inl.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/peer_links.hpp>
#include <fulmaryard/peer_listener.hpp>

#include <absl/container/flat_hash_map.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <mutex>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;
namespace beast = boost::beast;

class peer_links::impl : public std::enable_shared_from_this<peer_links::impl>
{
public:
    using upgrade_request = beast::http::request<beast::http::string_body>;

    impl(
        asio::io_context& io, std::function<hello()> self, peer_listener& listener,
        const peer_link_limits& limits)
        : m_io(io),
          m_make_hello(std::move(self)),
          m_listener(listener),
          m_limits(limits)
    {
    }

    std::shared_ptr<outbound_link> link_to(const std::string& address)
    {
        const std::lock_guard lock(m_mutex);
        auto& link = m_links[address];
        if ((!link || link->ended()) && !m_stopped)
        {
            link = std::make_shared<outbound_link>(
                asio::make_strand(m_io), address, m_make_hello, m_listener, m_limits);
            link->start();
        }
        return link;
    }

    void send(const std::string& address, const peer_message& message)
    {
        if (const auto link = link_to(address))
            link->post(encode(message));
    }

    void set_pinned(const std::string& address, bool pinned)
    {
        if (pinned)
        {
            if (const auto link = link_to(address))
                link->set_pinned(true);
            return;
        }
        const std::lock_guard lock(m_mutex);
        const auto found = m_links.find(address);
        if (found == m_links.end())
            return;
        found->second->stop();
        m_links.erase(found);
    }

    void accept(asio::ip::tcp::socket socket, upgrade_request request)
    {
        auto stream = std::make_shared<outbound_link::websocket>(std::move(socket));
        const auto executor = stream->get_executor();
        {
            const std::lock_guard lock(m_mutex);
            if (m_stopped)
                return;
            std::erase_if(m_inbound, [](const auto& weak) { return weak.expired(); });
            m_inbound.push_back(stream);
        }
        asio::co_spawn(
            executor,
            [self = shared_from_this(), stream = std::move(stream),
             request = std::move(request)]() mutable
            { return self->serve(std::move(stream), std::move(request)); },
            asio::detached);
    }

    std::vector<peer_link_state> state() const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<peer_link_state> states;
        for (const auto& [address, link] : m_links)
            states.push_back(link->state());
        return states;
    }

    void stop()
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
        for (const auto& [address, link] : m_links)
            link->stop();
        m_links.clear();
        for (const auto& weak : m_inbound)
        {
            if (const auto stream = weak.lock())
                asio::post(
                    stream->get_executor(), [stream] { beast::get_lowest_layer(*stream).close(); });
        }
    }

private:
    asio::awaitable<void>
    serve(std::shared_ptr<outbound_link::websocket> stream, upgrade_request request)
    {
        set_keep_alive(*stream, m_limits.m_handshake_timeout, m_limits.m_receive_timeout);
        stream->binary(true);
        const auto [accept_error] = co_await stream->async_accept(request, use_tuple);
        if (accept_error)
            co_return;
        const std::string greeting = encode(m_make_hello());
        const auto [write_error, written] =
            co_await stream->async_write(asio::buffer(greeting), use_tuple);
        if (write_error)
            co_return;
        co_await receive(*stream);
        beast::get_lowest_layer(*stream).close();
    }

    asio::awaitable<void> receive(outbound_link::websocket& stream)
    {
        hello peer;
        beast::flat_buffer buffer;
        while (!m_stopped)
        {
            const auto [error, size] = co_await stream.async_read(buffer, use_tuple);
            if (error)
                co_return;
            auto message =
                decode({static_cast<const char*>(buffer.data().data()), buffer.data().size()});
            buffer.clear();
            if (!message.ok())
            {
                log_event(log_level::warning, "peer_message_malformed")
                    .with("peer", peer.m_address)
                    .with("error", message_of(message.status()));
                co_return;
            }
            if (m_stopped)
                co_return;
            if (const auto* greeting = std::get_if<hello>(&*message))
            {
                peer = *greeting;
                m_listener.on_peer_hello(peer);
            }
            else if (peer.m_process.empty())
                co_return; // The first message on a link must be a hello.
            else
                m_listener.on_peer_message(peer, std::move(*message));
        }
    }

    asio::io_context& m_io;
    std::function<hello()> m_make_hello;
    peer_listener& m_listener;
    peer_link_limits m_limits;
    std::atomic<bool> m_stopped{false};
    mutable std::mutex m_mutex;
    absl::flat_hash_map<std::string, std::shared_ptr<outbound_link>> m_links;
    std::vector<std::weak_ptr<outbound_link::websocket>> m_inbound;
};

peer_links::peer_links(
    asio::io_context& io, std::function<hello()> self, peer_listener& listener,
    peer_link_limits limits)
    : m_impl(std::make_shared<impl>(io, std::move(self), listener, limits))
{
}

peer_links::~peer_links()
{
    stop();
}

void peer_links::send(const std::string& address, const peer_message& message)
{
    m_impl->send(address, message);
}

void peer_links::pin(const std::string& address)
{
    m_impl->set_pinned(address, true);
}

void peer_links::unpin(const std::string& address)
{
    m_impl->set_pinned(address, false);
}

void peer_links::accept(
    asio::ip::tcp::socket socket, beast::http::request<beast::http::string_body> request)
{
    m_impl->accept(std::move(socket), std::move(request));
}

std::vector<peer_link_state> peer_links::state() const
{
    return m_impl->state();
}

void peer_links::stop()
{
    m_impl->stop();
}

} // namespace fulmaryard
