#include <fulmaryard/endpoint_call.hpp>

#include <algorithm>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;

namespace
{

// Reuse connections that have been idle for at most this long, or for the endpoint's keep-alive
// timeout if that is shorter.
constexpr std::chrono::milliseconds max_idle{30'000};

} // namespace

asio::awaitable<absl::StatusOr<http_response>> call_endpoint(
    channel_pool& channels, std::string address, http_request request,
    std::chrono::milliseconds timeout)
{
    const auto call_deadline = std::chrono::steady_clock::now() + timeout;
    // A step that begins late, since this process was held up, still has time for an answer.
    const auto no_earlier_than_half = [timeout](std::chrono::steady_clock::time_point end)
    { return std::max(end, std::chrono::steady_clock::now() + timeout / 2); };
    request.m_fields.push_back({"Host", address});
    auto channel = channels.take(address, max_idle, std::chrono::steady_clock::now());
    for (bool reused = channel != nullptr;;)
    {
        if (!reused)
        {
            channel = channels.create();
            const auto status =
                co_await channel->connect(address, no_earlier_than_half(call_deadline));
            if (!status.ok())
                co_return status;
        }
        absl::StatusOr<http_response> response = http_response{};
        // The peer may have stopped responding on a pooled connection, so an attempt on one may use
        // half of the timeout only; the rest remains for a retry on a new connection.
        const auto end = no_earlier_than_half(reused ? call_deadline - timeout / 2 : call_deadline);
        const auto status = co_await channel->send(request, end);
        if (status.ok())
            response = co_await channel->read_head(end);
        else
            response = status;
        absl::StatusOr<bool> more_body = response.ok();
        while (response.ok() && more_body.ok() && *more_body)
            more_body = co_await channel->read_body(response->m_body, end);
        if (response.ok() && more_body.ok())
        {
            channels.put(std::move(channel), std::chrono::steady_clock::now());
            co_return response;
        }
        if (!reused)
        {
            if (response.ok())
                co_return more_body.status();
            co_return response;
        }
        channels.close_idle(address);
        reused = false;
    }
}

} // namespace fulmaryard
