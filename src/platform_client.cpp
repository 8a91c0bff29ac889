#include <fulmaryard/failure.hpp>
#include <fulmaryard/platform_client.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <fmt/format.h>

#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

// The platform responds to a long poll when the wait ends. This is added to the wait as time for
// the response to arrive.
constexpr std::chrono::milliseconds watch_response_margin{1000};

// Above the default of `http_client`, since lists of names or instances are longer than one object.
constexpr std::size_t max_response_bytes = 16 * 1024 * 1024;

/// Percent-encodes all characters except the unreserved ones and '/'.
std::string encode_path(std::string_view name)
{
    std::string encoded;
    for (const char c : name)
    {
        const bool unreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                                (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' ||
                                c == '~' || c == '/';
        if (unreserved)
            encoded += c;
        else
            encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return encoded;
}

absl::Status unavailable_failure(std::string_view reason, outcome call_outcome)
{
    return make_failure(
        failure_kind::platform_unavailable, fmt::format("platform: {}", reason), call_outcome);
}

/// Converts a transport failure to `platform_unavailable` and keeps its outcome: `not_run` if the
/// request was not sent.
absl::Status unavailable_failure(const absl::Status& transport)
{
    return unavailable_failure(message_of(transport), outcome_of(transport));
}

/// Failure for a status code that the caller does not handle.
absl::Status status_failure(unsigned status)
{
    // 429 and 503 mean that the platform did not execute the call.
    const bool refused = status == 429 || status == 503;
    return unavailable_failure(
        fmt::format("status {}", status), refused ? outcome::not_run : outcome::unknown);
}

absl::Status malformed_response()
{
    return unavailable_failure("malformed response", outcome::unknown);
}

json::value parse_body(const std::string& body)
{
    json::error_code error;
    auto value = json::parse(body, error);
    return error ? json::value(nullptr) : value;
}

const json::value* find(const json::value& object, const char* key)
{
    const auto* members = object.if_object();
    return members == nullptr ? nullptr : members->if_contains(key);
}

bool read_member(const json::value& object, const char* key, std::uint64_t& value)
{
    const auto* member = find(object, key);
    if (member == nullptr || member->is_double())
        return false;
    json::error_code error;
    value = member->to_number<std::uint64_t>(error);
    return !error;
}

bool read_member(const json::value& object, const char* key, std::string& value)
{
    const auto* member = find(object, key);
    const auto* text = member == nullptr ? nullptr : member->if_string();
    if (text != nullptr)
        value.assign(text->data(), text->size());
    return text != nullptr;
}

absl::StatusOr<platform_object> read_object(const absl::StatusOr<http_response>& response)
{
    if (!response.ok())
        return unavailable_failure(response.status());
    if (response->m_status == 404)
        return platform_object{};
    if (response->m_status != 200)
        return status_failure(response->m_status);
    const auto body = parse_body(response->m_body);
    platform_object object;
    if (!read_member(body, "value", object.m_value) ||
        !read_member(body, "version", object.m_version))
        return malformed_response();
    return object;
}

absl::StatusOr<instance_list> read_instances(const std::string& text)
{
    const auto body = parse_body(text);
    instance_list list;
    const auto* instances = find(body, "instances");
    if (!read_member(body, "version", list.m_version) || instances == nullptr ||
        !instances->is_array())
        return malformed_response();
    for (const auto& source : instances->get_array())
    {
        listed_instance instance;
        if (!read_member(source, "name", instance.m_name) ||
            !read_member(source, "role", instance.m_role) ||
            !read_member(source, "peer_address", instance.m_peer_address))
            return malformed_response();
        read_member(source, "region", instance.m_region);
        read_member(source, "failure_domain", instance.m_failure_domain);
        const auto* leaving_member = find(source, "leaving");
        instance.m_leaving =
            leaving_member != nullptr && leaving_member->is_bool() && leaving_member->get_bool();
        list.m_instances.push_back(std::move(instance));
    }
    return list;
}

} // namespace

platform_client::platform_client(asio::any_io_executor executor, std::string address)
    : m_http(std::move(executor), std::move(address), 8, max_response_bytes)
{
}

asio::awaitable<absl::StatusOr<platform_object>>
platform_client::get(std::string name, std::chrono::milliseconds timeout)
{
    http_request request{"GET", "/objects/" + encode_path(name), {}, {}};
    co_return read_object(co_await m_http.send(std::move(request), timeout));
}

asio::awaitable<absl::StatusOr<platform_object>>
platform_client::watch(std::string name, std::uint64_t version, std::chrono::milliseconds max_wait)
{
    http_request request{
        "GET",
        fmt::format(
            "/objects/{}?watch={}&timeout_ms={}", encode_path(name), version, max_wait.count()),
        {},
        {}};
    co_return read_object(
        co_await m_http.send(std::move(request), max_wait + watch_response_margin));
}

asio::awaitable<absl::StatusOr<std::uint64_t>> platform_client::put(
    std::string name, std::string value, std::uint64_t version, std::chrono::milliseconds timeout)
{
    http_request request{
        "PUT",
        "/objects/" + encode_path(name),
        {{"If-Match", std::to_string(version)}, {"Content-Type", "application/octet-stream"}},
        std::move(value)};
    // On a reused connection that breaks, the HTTP client sends the request again. If the first
    // attempt was executed, the second would fail with 412 because of the new version.
    const auto response =
        co_await m_http.send(std::move(request), timeout, http_client::reuse::new_connection);
    if (!response.ok())
        co_return unavailable_failure(response.status());
    if (response->m_status == 412)
    {
        co_return make_failure(
            failure_kind::conflict, fmt::format("object {} has another version", name),
            dispatch_progress::refused);
    }
    if (response->m_status == 413)
    {
        co_return make_failure(
            failure_kind::payload_too_large, fmt::format("object {} is too large", name),
            dispatch_progress::refused);
    }
    if (response->m_status != 200 && response->m_status != 201)
        co_return status_failure(response->m_status);
    std::uint64_t new_version = 0;
    if (!read_member(parse_body(response->m_body), "version", new_version))
        co_return malformed_response();
    co_return new_version;
}

asio::awaitable<absl::StatusOr<std::vector<std::string>>>
platform_client::list(std::string prefix, std::chrono::milliseconds timeout)
{
    http_request request{"GET", "/objects?prefix=" + encode_path(prefix), {}, {}};
    const auto response = co_await m_http.send(std::move(request), timeout);
    if (!response.ok())
        co_return unavailable_failure(response.status());
    if (response->m_status != 200)
        co_return status_failure(response->m_status);
    const auto body = parse_body(response->m_body);
    const auto* names = find(body, "names");
    if (names == nullptr || !names->is_array())
        co_return malformed_response();
    std::vector<std::string> object_names;
    for (const auto& name : names->get_array())
    {
        if (!name.is_string())
            co_return malformed_response();
        object_names.emplace_back(name.get_string().data(), name.get_string().size());
    }
    co_return object_names;
}

asio::awaitable<absl::StatusOr<instance_list>>
platform_client::instances(std::uint64_t version, std::chrono::milliseconds max_wait)
{
    http_request request{
        "GET", fmt::format("/instances?watch={}&timeout_ms={}", version, max_wait.count()), {}, {}};
    const auto response =
        co_await m_http.send(std::move(request), max_wait + watch_response_margin);
    if (!response.ok())
        co_return unavailable_failure(response.status());
    if (response->m_status != 200)
        co_return status_failure(response->m_status);
    co_return read_instances(response->m_body);
}

} // namespace fulmaryard
