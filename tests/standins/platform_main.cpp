// Stand-in for the platform: object API, instance list and weight store with injected faults.
// docs/platform-protocol.md describes the protocol.

#include "fault_set.hpp"
#include "rate_limiter.hpp"
#include "standin_options.hpp"
#include "standin_support.hpp"
#include "use_tuple_inl.hpp"

#include <boost/json/array.hpp>

#include <algorithm>
#include <charconv>
#include <functional>
#include <list>
#include <map>
#include <tuple>

using namespace fulmaryard;
using namespace fulmaryard::standins;
namespace asio = boost::asio;
namespace json = boost::json;
using steady_clock = std::chrono::steady_clock;

namespace
{

struct platform_options
{
    std::string m_listen{"127.0.0.1:0"};
    std::uint64_t m_writes_per_second{300};
    std::uint64_t m_reads_per_second{2000};
    std::uint64_t m_weights_per_second{5};
    std::uint64_t m_instance_lag_ms{0};
};

struct stored_object
{
    std::string m_value;
    std::uint64_t m_version{0};
    std::string m_previous_value;
    std::uint64_t m_previous_version{0};
};

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::optional<std::uint64_t> number_parameter(std::string_view target, std::string_view name)
{
    const auto text = query_parameter(target, name);
    return text ? parse_number(*text) : std::nullopt;
}

class platform_standin
{
public:
    platform_standin(asio::io_context& io, const platform_options& options)
        : m_io(io),
          m_options(options),
          m_writes(options.m_writes_per_second),
          m_reads(options.m_reads_per_second),
          m_weights(options.m_weights_per_second)
    {
    }

    asio::awaitable<void> answer(http_exchange& exchange);

private:
    // Bounds memory in long runs; values are up to 1 MB each.
    static constexpr std::size_t object_limit = 20'000;
    static constexpr std::size_t byte_limit = std::size_t{512} * 1024 * 1024;
    static constexpr std::size_t instance_limit = 20'000;
    static constexpr std::size_t value_limit = std::size_t{1024} * 1024;
    static constexpr std::uint64_t max_watch_ms = 60'000;

    // Pending watches: the watched path, and a timer that is cancelled when the path changes.
    using watcher_list = std::list<std::pair<std::string, std::shared_ptr<asio::steady_timer>>>;

    asio::awaitable<void> answer_with_faults(http_exchange& exchange, std::string path);
    asio::awaitable<http_response> handle_request(http_exchange& exchange, const std::string& path);
    asio::awaitable<http_response> read_object(http_exchange& exchange, const std::string& name);
    asio::awaitable<http_response> read_instances(http_exchange& exchange);
    asio::awaitable<void> wait_while(
        http_exchange& exchange, std::string watched, const std::function<bool()>& unchanged);
    http_response control(const http_request& request, std::string_view path);
    http_response write_object(const http_request& request, const std::string& name);
    http_response list_objects(const std::string& prefix) const;
    http_response read_weights(const std::string& name);
    http_response change_instances(const http_request& request, const std::string& path);
    http_response rate_limit_response();
    void publish_instances();
    void notify(std::string_view watched);
    void count(const std::string& kind) { ++m_calls[kind]; }

    asio::io_context& m_io;
    platform_options m_options;
    fault_set m_faults;
    rate_limiter m_writes;
    rate_limiter m_reads;
    rate_limiter m_weights;
    std::uint64_t m_last_connection{0};
    std::map<std::string, std::uint64_t> m_calls;
    std::map<std::string, stored_object> m_objects;
    std::size_t m_bytes{0};
    std::map<std::string, json::object> m_instances; ///< As registered.
    json::array m_visible_instances;                 ///< As listed, after the configured lag.
    std::uint64_t m_instances_version{0};
    steady_clock::time_point m_last_publication;
    watcher_list m_watchers;
};

const std::string objects_path = "/objects/";
const std::string instances_path = "/instances";
const std::string weights_path = "/weights/";

bool begins_with(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

bool is_write(const http_request& request)
{
    return request.m_method == "PUT" || request.m_method == "POST" || request.m_method == "DELETE";
}

asio::awaitable<void> platform_standin::answer(http_exchange& exchange)
{
    const http_request& request = exchange.request();
    const std::string path = decode_path(target_path(request.m_target));
    // The test's own requests bypass faults and limits.
    const bool registration = begins_with(path, instances_path) && is_write(request);
    if (path == "/faults" || path == "/calls" || registration)
    {
        // Not a conditional operand of co_await: g++ 12 frees its temporary twice, which aborts.
        http_response response =
            registration ? change_instances(request, path) : control(request, path);
        std::ignore = co_await exchange.respond(std::move(response));
        co_return;
    }
    co_await answer_with_faults(exchange, path);
}

asio::awaitable<void>
platform_standin::answer_with_faults(http_exchange& exchange, std::string path)
{
    m_last_connection = std::max(m_last_connection, exchange.connection());
    const auto now = steady_clock::now();
    if (m_faults.take("refuse", path, now))
    {
        count("refused");
        exchange.abort_connection();
        co_return;
    }
    if (m_faults.take("outage", path, now))
    {
        count("unavailable");
        std::ignore = co_await exchange.respond(error_response(503, "unavailable"));
        co_return;
    }
    const bool lose_answer =
        is_write(exchange.request()) && m_faults.take("lose_answer", path, now);
    if (const auto delay = m_faults.take_delay(path, now); delay.count() > 0)
        co_await sleep_for(delay);
    if (m_faults.silent(exchange.connection()))
    {
        co_await never_answer(exchange);
        co_return;
    }
    http_response response = co_await handle_request(exchange, path);
    if (lose_answer)
    {
        count("answers_lost");
        exchange.abort_connection();
        co_return;
    }
    // The connection may have gone silent while a watch was pending.
    if (m_faults.silent(exchange.connection()))
    {
        co_await never_answer(exchange);
        co_return;
    }
    std::ignore = co_await exchange.respond(std::move(response));
}

asio::awaitable<http_response>
platform_standin::handle_request(http_exchange& exchange, const std::string& path)
{
    const http_request& request = exchange.request();
    const auto now = steady_clock::now();
    const bool read = request.m_method == "GET";
    if (read && begins_with(path, weights_path))
    {
        count("weight_reads");
        if (!m_weights.take(now))
            co_return rate_limit_response();
        co_return read_weights(path.substr(weights_path.size()));
    }
    if (read ? !m_reads.take(now) : !m_writes.take(now))
        co_return rate_limit_response();
    if (read && path == "/objects")
    {
        count("lists");
        co_return list_objects(query_parameter(request.m_target, "prefix").value_or(""));
    }
    if (read && path == instances_path)
        co_return co_await read_instances(exchange);
    if (begins_with(path, objects_path) && path.size() > objects_path.size())
    {
        const std::string name = path.substr(objects_path.size());
        if (read)
            co_return co_await read_object(exchange, name);
        if (request.m_method == "PUT")
        {
            count("writes");
            co_return write_object(request, name);
        }
        co_return error_response(405, "method not allowed");
    }
    co_return error_response(404, "no such resource");
}

http_response platform_standin::rate_limit_response()
{
    count("rejected");
    http_response response = error_response(429, "rate limit");
    response.m_fields.push_back({"Retry-After", "1"});
    return response;
}

asio::awaitable<void> platform_standin::wait_while(
    http_exchange& exchange, std::string watched, const std::function<bool()>& unchanged)
{
    const auto limit =
        number_parameter(exchange.request().m_target, "timeout_ms").value_or(max_watch_ms);
    const auto timer = std::make_shared<asio::steady_timer>(
        exchange.executor(), std::chrono::milliseconds(std::min(limit, max_watch_ms)));
    if (!unchanged())
        co_return;
    const auto watcher = m_watchers.emplace(m_watchers.end(), std::move(watched), timer);
    co_await wait_with_client(exchange, timer);
    m_watchers.erase(watcher);
}

void platform_standin::notify(std::string_view watched)
{
    for (const auto& [name, timer] : m_watchers)
    {
        if (name == watched)
            timer->cancel();
    }
}

http_response object_response(unsigned status, const std::string* value, std::uint64_t version)
{
    json::object object;
    if (value != nullptr)
        object["value"] = *value;
    object["version"] = version;
    return json_response(status, object);
}

asio::awaitable<http_response>
platform_standin::read_object(http_exchange& exchange, const std::string& name)
{
    const auto watched_version = number_parameter(exchange.request().m_target, "watch");
    count(watched_version ? "watches" : "reads");
    if (watched_version)
    {
        const auto unchanged = [this, &name, watched_version]
        {
            const auto found = m_objects.find(name);
            return (found == m_objects.end() ? 0 : found->second.m_version) == *watched_version;
        };
        co_await wait_while(exchange, objects_path + name, unchanged);
    }
    const auto found = m_objects.find(name);
    const bool stale = m_faults.take("stale_reads", objects_path + name, steady_clock::now());
    if (found == m_objects.end() || (stale && found->second.m_previous_version == 0))
        co_return object_response(404, nullptr, 0);
    const stored_object& object = found->second;
    if (stale)
        co_return object_response(200, &object.m_previous_value, object.m_previous_version);
    co_return object_response(200, &object.m_value, object.m_version);
}

http_response platform_standin::write_object(const http_request& request, const std::string& name)
{
    auto field = find_field(request.m_fields, "If-Match").value_or("");
    if (field.size() >= 2 && field.front() == '"' && field.back() == '"')
        field = field.substr(1, field.size() - 2);
    const auto expected = parse_number(field);
    if (!expected)
        return error_response(400, "If-Match needs a version");
    if (request.m_body.size() > value_limit)
        return error_response(413, "value too large");
    const auto found = m_objects.find(name);
    const std::uint64_t version = found == m_objects.end() ? 0 : found->second.m_version;
    if (version != *expected)
    {
        count("conflicts");
        return json_response(412, {{"version", version}});
    }
    const bool full = m_bytes + request.m_body.size() > byte_limit ||
                      (found == m_objects.end() && m_objects.size() >= object_limit);
    if (full)
        return error_response(507, "store full");
    stored_object& object = m_objects[name];
    m_bytes -= object.m_previous_value.size();
    m_bytes += request.m_body.size();
    object.m_previous_value = std::exchange(object.m_value, request.m_body);
    object.m_previous_version = std::exchange(object.m_version, object.m_version + 1);
    notify(objects_path + name);
    return json_response(200, {{"version", object.m_version}});
}

http_response platform_standin::list_objects(const std::string& prefix) const
{
    json::array names;
    for (auto each = m_objects.lower_bound(prefix);
         each != m_objects.end() && begins_with(each->first, prefix); ++each)
    {
        names.emplace_back(each->first);
    }
    return json_response(200, {{"names", std::move(names)}});
}

http_response platform_standin::read_weights(const std::string& name)
{
    // Represents a weight shard; its size only has to show that a body arrives complete.
    constexpr std::size_t payload_bytes = 4096;
    std::string payload;
    while (payload.size() < payload_bytes)
        payload += name + "\n";
    payload.resize(payload_bytes);
    return {200, {{"Content-Type", "application/octet-stream"}}, std::move(payload)};
}

asio::awaitable<http_response> platform_standin::read_instances(http_exchange& exchange)
{
    const auto watched_version = number_parameter(exchange.request().m_target, "watch");
    count(watched_version ? "instance_watches" : "instance_reads");
    if (watched_version)
    {
        co_await wait_while(
            exchange, instances_path,
            [this, watched_version] { return m_instances_version == *watched_version; });
    }
    json::object listed;
    listed["version"] = m_instances_version;
    listed["instances"] = m_visible_instances;
    co_return json_response(200, listed);
}

http_response
platform_standin::change_instances(const http_request& request, const std::string& path)
{
    if (request.m_method == "DELETE" && path.size() > instances_path.size() + 1)
    {
        m_instances.erase(path.substr(instances_path.size() + 1));
        publish_instances();
        return json_response(200, json::object());
    }
    const auto body = parse_object(request.m_body);
    const std::string name = body ? text_of(*body, "name") : "";
    if (request.m_method != "POST" || path != instances_path || name.empty())
        return error_response(400, "needs an object with a name");
    if (m_instances.size() >= instance_limit && !m_instances.contains(name))
        return error_response(507, "too many instances");
    m_instances[name] = {
        {"name", name},
        {"role", text_of(*body, "role")},
        {"peer_address", text_of(*body, "peer_address")},
        {"region", text_of(*body, "region")},
        {"failure_domain", text_of(*body, "failure_domain")},
        {"leaving", flag_of(*body, "leaving")}};
    publish_instances();
    return json_response(200, json::object());
}

void platform_standin::publish_instances()
{
    json::array list;
    for (const auto& [name, instance] : m_instances)
        list.push_back(instance);
    // After the lag is shortened, a later change must not be listed before an earlier one.
    m_last_publication = std::max(
        m_last_publication,
        steady_clock::now() + std::chrono::milliseconds(m_options.m_instance_lag_ms));
    const auto publish = [this](json::array listed)
    {
        m_visible_instances = std::move(listed);
        ++m_instances_version;
        notify(instances_path);
    };
    if (m_last_publication <= steady_clock::now())
    {
        publish(std::move(list));
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_io, m_last_publication);
    timer->async_wait([timer, publish, list = std::move(list)](
                          const boost::system::error_code&) mutable { publish(std::move(list)); });
}

http_response platform_standin::control(const http_request& request, std::string_view path)
{
    if (path == "/calls")
    {
        json::object calls;
        for (const auto& [kind, number] : m_calls)
            calls[kind] = number;
        calls["pending_watches"] = m_watchers.size();
        if (request.m_method == "DELETE")
            m_calls.clear();
        return json_response(200, calls);
    }
    if (request.m_method == "DELETE")
    {
        m_faults.clear();
        return json_response(200, json::object());
    }
    auto description = parse_object(request.m_body);
    if (!description)
        return error_response(400, "not a JSON object");
    const std::string kind = text_of(*description, "kind");
    if (kind == "pause")
    {
        pause_process(number_of(*description, "ms", 0));
        return json_response(200, json::object());
    }
    if (kind == "instance_lag")
    {
        m_options.m_instance_lag_ms =
            std::min<std::uint64_t>(number_of(*description, "ms", 0), 3'600'000);
        return json_response(200, json::object());
    }
    // Most tests lose one answer; a test that needs more sets the count.
    if (kind == "lose_answer" && !description->contains("count"))
        (*description)["count"] = 1;
    if (!m_faults.add(
            *description, {"outage", "refuse", "delay", "lose_answer", "silent", "stale_reads"},
            steady_clock::now(), m_last_connection))
    {
        return error_response(400, "unknown kind or too many faults");
    }
    return json_response(200, json::object());
}

} // namespace

int main(int count, char** values)
{
    platform_options options;
    if (!read_options(
            count, values,
            {{"listen", &options.m_listen},
             {"writes-per-second", &options.m_writes_per_second},
             {"reads-per-second", &options.m_reads_per_second},
             {"weights-per-second", &options.m_weights_per_second},
             {"instance-lag-ms", &options.m_instance_lag_ms}}))
    {
        return 2;
    }
    asio::io_context io(1);
    platform_standin platform(io, options);
    serve(
        io, options.m_listen,
        [&platform](http_exchange& exchange) -> asio::awaitable<void>
        { return platform.answer(exchange); });
}
