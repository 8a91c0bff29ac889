#include "use_tuple_inl.hpp"

#include <fulmaryard/configuration_codec.hpp>
#include <fulmaryard/configuration_delta.hpp>
#include <fulmaryard/configuration_follower.hpp>
#include <fulmaryard/configuration_state.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/http_client.hpp>
#include <fulmaryard/json_rpc.hpp>
#include <fulmaryard/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

// A fetch from a peer that does not answer ends within a second, so that another peer is asked. One
// that brings bytes may go on for as long as a configuration may take to be active.
constexpr response_limits fetch_limits{
    std::chrono::milliseconds(1000), std::chrono::milliseconds(1000),
    std::chrono::milliseconds(8000)};
constexpr std::chrono::milliseconds initial_backoff{100};
// With the limits above and doubling backoff, all attempts at a peer that fails fast end within
// the 8 s in which a configuration must be active. A later announcement of the same generation
// restarts the count.
constexpr int max_attempts = 5;
constexpr std::size_t max_candidates = 16;
// Limit for the files of all tenants together; the platform limits one file to 1 MB.
constexpr std::size_t max_response_bytes = 64 * 1024 * 1024;

asio::awaitable<absl::StatusOr<configuration>> fetch(
    const asio::any_io_executor& executor, const std::string& address,
    std::shared_ptr<const configuration> base)
{
    http_client client(executor, address, 0, max_response_bytes);
    http_request request;
    request.m_method = "POST";
    request.m_target = "/rpc";
    request.m_fields = {{"Content-Type", "application/json"}};
    request.m_body = make_json_rpc_request(
        "configuration.get", json::serialize(json::object{{"known", base->m_generation}}));
    const auto response = co_await client.send(
        std::move(request), fetch_limits, http_client::reuse::new_connection, nullptr);
    if (!response.ok())
        co_return response.status();
    if (response->m_status != 200)
        co_return make_failure(
            failure_kind::endpoint_failed, "HTTP status " + std::to_string(response->m_status),
            dispatch_progress::refused);
    const auto answer = read_json_rpc_response(response->m_body);
    if (!answer.m_error.empty())
        co_return make_failure(
            failure_kind::endpoint_failed, answer.m_error, dispatch_progress::refused);
    boost::system::error_code error;
    const auto value = json::parse(answer.m_json, error);
    const auto* object = error ? nullptr : value.if_object();
    if (object && object->contains("from"))
    {
        const auto delta = decode_configuration_delta(answer.m_json);
        if (!delta.ok())
            co_return delta.status();
        co_return apply_delta(*base, *delta);
    }
    const auto* text = object ? object->if_contains("text") : nullptr;
    const auto* generation = object ? object->if_contains("generation") : nullptr;
    if (!text || !text->is_string() || !generation || !generation->is_number())
        co_return make_failure(
            failure_kind::endpoint_failed, "malformed result of configuration.get",
            dispatch_progress::refused);
    auto decoded = decode_configuration({text->get_string().data(), text->get_string().size()});
    if (decoded.ok())
    {
        const auto number = generation->to_number<std::uint64_t>(error);
        if (error)
            co_return make_failure(
                failure_kind::endpoint_failed, "malformed generation", dispatch_progress::refused);
        decoded->m_generation = number;
    }
    co_return decoded;
}

/// Returns the parameter "known", or 0 if it is missing or not a valid generation.
std::uint64_t caller_generation(std::string_view parameters)
{
    boost::system::error_code error;
    const auto value = json::parse(json::string_view(parameters.data(), parameters.size()), error);
    const auto* object = error ? nullptr : value.if_object();
    const auto* known = object ? object->if_contains("known") : nullptr;
    if (!known || !known->is_number())
        return 0;
    const auto number = known->to_number<std::uint64_t>(error);
    return error ? 0 : number;
}

} // namespace

class configuration_follower::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(
        const asio::any_io_executor& executor, configuration_state& state, change_handler on_change)
        : m_strand(asio::make_strand(executor)),
          m_state(state),
          m_on_change(std::move(on_change))
    {
    }

    void on_generation(const std::string& address, std::uint64_t generation)
    {
        if (m_stopped || generation <= m_state.generation())
            return;
        asio::post(
            m_strand,
            [self = shared_from_this(), address, generation]
            {
                if (self->m_candidates.size() >= max_candidates &&
                    !self->m_candidates.contains(address))
                    return;
                auto& entry = self->m_candidates[address];
                entry.m_generation = std::max(entry.m_generation, generation);
                if (!std::exchange(self->m_running, true))
                    asio::co_spawn(
                        self->m_strand, [self] { return self->run(); }, asio::detached);
            });
    }

    void stop() { m_stopped = true; }

private:
    struct candidate
    {
        std::uint64_t m_generation{0};
        int m_attempts{0};
    };

    asio::awaitable<void> run()
    {
        asio::steady_timer timer(m_strand);
        auto backoff = initial_backoff;
        while (!m_stopped)
        {
            std::erase_if(
                m_candidates, [&](const auto& entry)
                { return entry.second.m_generation <= m_state.generation(); });
            // Picks the peer with the fewest attempts, so that an unreachable peer does not delay
            // the others; among equals, the one with the highest generation.
            const auto best = std::min_element(
                m_candidates.begin(), m_candidates.end(),
                [](const auto& left, const auto& right)
                {
                    return std::pair(left.second.m_attempts, right.second.m_generation) <
                           std::pair(right.second.m_attempts, left.second.m_generation);
                });
            if (best == m_candidates.end())
                break;
            const std::string address = best->first;
            if (++best->second.m_attempts >= max_attempts)
                m_candidates.erase(best);
            if (co_await fetch_from(address))
            {
                // If the peer returned a lower generation than it announced, waits before the next
                // attempt to prevent a busy loop.
                backoff = initial_backoff;
                if (!m_candidates.contains(address) ||
                    m_candidates[address].m_generation <= m_state.generation())
                    continue;
            }
            timer.expires_after(backoff);
            co_await timer.async_wait(use_tuple);
            backoff *= 2;
        }
        m_candidates.clear();
        m_running = false;
    }

    asio::awaitable<bool> fetch_from(const std::string& address)
    {
        const auto base = m_request_delta ? m_state.published().load() : m_empty_configuration;
        auto fetched = co_await fetch(m_strand, address, base);
        // After a failure, for example a delta that does not apply, requests the whole
        // configuration.
        m_request_delta = fetched.ok();
        if (!fetched.ok())
        {
            log_event(log_level::warning, "configuration_fetch_failed")
                .with("peer", address)
                .with("error", message_of(fetched.status()));
            co_return false;
        }
        const auto shared = std::make_shared<const configuration>(std::move(*fetched));
        if (!m_stopped && m_state.offer(shared))
        {
            log_event(log_level::info, "configuration_in_force")
                .with("generation", shared->m_generation)
                .with("peer", address);
            if (m_on_change)
                m_on_change(shared);
        }
        co_return true;
    }

    asio::strand<asio::any_io_executor> m_strand;
    configuration_state& m_state;
    change_handler m_on_change;
    std::map<std::string, candidate> m_candidates;
    const std::shared_ptr<const configuration> m_empty_configuration{
        std::make_shared<configuration>()};
    bool m_request_delta{true}; ///< Whether to request a delta to the local generation.
    bool m_running{false};
    std::atomic<bool> m_stopped{false};
};

configuration_follower::configuration_follower(
    const asio::any_io_executor& executor, configuration_state& state, change_handler on_change)
    : m_impl(std::make_shared<impl>(executor, state, std::move(on_change)))
{
}

configuration_follower::~configuration_follower()
{
    stop();
}

void configuration_follower::on_peer_generation(
    const std::string& peer_address, std::uint64_t generation)
{
    m_impl->on_generation(peer_address, generation);
}

void configuration_follower::stop()
{
    m_impl->stop();
}

void add_configuration_methods(json_rpc_server& server, const configuration_state& state)
{
    server.add(
        "configuration.get",
        [&state](const std::string& parameters) -> json_rpc_result
        {
            if (const auto delta = state.changes_since(caller_generation(parameters)))
                return {encode_configuration_delta(*delta), "", 0};
            const auto current = state.published().load();
            const json::object result{
                {"generation", current->m_generation}, {"text", encode_configuration(*current)}};
            return {json::serialize(result), "", 0};
        });
    server.add(
        "configuration.generation",
        [&state](const std::string&) -> json_rpc_result
        {
            const json::object result{{"generation", state.generation()}};
            return {json::serialize(result), "", 0};
        });
}

} // namespace fulmaryard
