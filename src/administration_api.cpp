#include "json_fields_inl.hpp"
#include "status_fields.hpp"

#include <fulmaryard/administration_api.hpp>
#include <fulmaryard/configuration_codec.hpp>
#include <fulmaryard/configuration_difference.hpp>
#include <fulmaryard/configuration_parser.hpp>
#include <fulmaryard/configuration_state.hpp>
#include <fulmaryard/configuration_store.hpp>
#include <fulmaryard/error_response.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/key_hash.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/order_controller.hpp>
#include <fulmaryard/status_source.hpp>
#include <fulmaryard/stream_id.hpp>

#include <absl/strings/escaping.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <fmt/chrono.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds read_timeout{2000};
// Longer than the 10 s after which the lease of a failed holder expires, so that this entry can
// acquire the lease within the timeout.
constexpr milliseconds order_timeout{15'000};
constexpr std::uint64_t default_apply_timeout_ms = 10'000;
constexpr std::uint64_t max_apply_timeout_ms = 120'000;
constexpr std::size_t max_apply_id_bytes = 128;

http_response json_response(const json::value& body)
{
    return {200, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

json::array lines_to_json(const std::vector<std::string>& lines)
{
    json::array array;
    for (const auto& line : lines)
        array.push_back(json::string(line));
    return array;
}

http_response error_response(const absl::Status& status, const std::vector<std::string>* lines)
{
    auto response = fulmaryard::error_response(status, to_string(make_stream_id()));
    if (lines != nullptr)
    {
        json::object body = json::parse(response.m_body).as_object();
        body["difference"] = lines_to_json(*lines);
        response.m_body = json::serialize(body);
    }
    if (kind_of(status) == failure_kind::unauthenticated)
        response.m_fields.push_back({"WWW-Authenticate", "Basic realm=\"fulmaryard\""});
    return response;
}

http_response error_response(const absl::Status& status)
{
    return error_response(status, nullptr);
}

bool may_access_tenant(const administrator& caller, std::string_view tenant)
{
    return std::any_of(
        caller.m_tenants.begin(), caller.m_tenants.end(),
        [&](const auto& allowed) { return allowed == "*" || allowed == tenant; });
}

bool may_access_all_tenants(const administrator& caller)
{
    return std::find(caller.m_tenants.begin(), caller.m_tenants.end(), "*") !=
           caller.m_tenants.end();
}

absl::Status forbidden_tenant(std::string_view tenant)
{
    return make_failure(
        failure_kind::forbidden, fmt::format("the administrator may not use tenant {}", tenant),
        dispatch_progress::refused);
}

/// Returns the tenant named in the query, if any; fails if the caller may not access it.
absl::StatusOr<std::optional<std::string>>
requested_tenant(const administrator& caller, const http_request& request)
{
    auto tenant = query_parameter(request.m_target, "tenant");
    if (tenant && !may_access_tenant(caller, *tenant))
        return forbidden_tenant(*tenant);
    return tenant;
}

/// Parses a numeric query parameter; returns nullopt if it is absent.
absl::StatusOr<std::optional<std::uint64_t>>
number_parameter(const http_request& request, std::string_view name)
{
    const auto text = query_parameter(request.m_target, name);
    if (!text)
        return std::optional<std::uint64_t>();
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), number);
    if (text->empty() || parsed.ec != std::errc() || parsed.ptr != text->data() + text->size())
    {
        return make_failure(
            failure_kind::invalid_request, fmt::format("expected a number as {}", name));
    }
    return std::optional(number);
}

struct credentials
{
    std::string m_name;
    std::string m_secret;
};

std::optional<credentials> read_credentials(const http_request& request)
{
    const auto field = find_field(request.m_fields, "Authorization");
    if (!field)
        return std::nullopt;
    std::string text;
    char separator = '.';
    if (field->starts_with("Bearer "))
        text = field->substr(7);
    else if (field->starts_with("Basic "))
    {
        if (!absl::Base64Unescape(std::string(field->substr(6)), &text))
            return std::nullopt;
        separator = ':';
    }
    const auto at = text.find(separator);
    if (at == std::string::npos)
        return std::nullopt;
    return credentials{text.substr(0, at), text.substr(at + 1)};
}

std::string utc_now()
{
    const auto now =
        std::chrono::time_point_cast<std::chrono::seconds>(std::chrono::system_clock::now());
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(now.time_since_epoch().count()));
}

/// Query parameters of POST /admin/apply; the file itself is the request body.
struct apply_parameters
{
    bool m_dry_run{false};
    std::string m_apply_id;
    std::optional<std::uint64_t> m_generation;
    milliseconds m_timeout{default_apply_timeout_ms};
};

absl::StatusOr<apply_parameters> read_apply_parameters(const http_request& request)
{
    apply_parameters parameters;
    const auto generation = number_parameter(request, "generation");
    if (!generation.ok())
        return generation.status();
    parameters.m_generation = *generation;
    const auto timeout = number_parameter(request, "timeout_ms");
    if (!timeout.ok())
        return timeout.status();
    parameters.m_timeout =
        milliseconds(std::min(timeout->value_or(default_apply_timeout_ms), max_apply_timeout_ms));
    const auto dry_run = query_parameter(request.m_target, "dry_run");
    parameters.m_dry_run = dry_run && *dry_run != "0" && *dry_run != "false";
    parameters.m_apply_id =
        query_parameter(request.m_target, "apply_id").value_or(to_string(make_stream_id()));
    if (parameters.m_apply_id.empty() || parameters.m_apply_id.size() > max_apply_id_bytes)
    {
        return make_failure(
            failure_kind::invalid_request, "expected an apply_id of 1 to 128 bytes");
    }
    return parameters;
}

void log_apply(const apply_request& wanted, const absl::StatusOr<applied_file>& accepted)
{
    log_event event(
        accepted.ok() ? log_level::info : log_level::warning,
        accepted.ok() ? "apply_accepted" : "apply_failed");
    event.with("tenant", wanted.m_file.m_tenant)
        .with("apply_id", wanted.m_apply_id)
        .with("applied_by", wanted.m_applied_by);
    if (accepted.ok())
    {
        event.with("generation", accepted->m_generation);
        return;
    }
    event.with("code", to_string(kind_of(accepted.status())))
        .with("outcome", to_string(outcome_of(accepted.status())));
}

} // namespace

administration_api::administration_api(
    std::vector<administrator> administrators, configuration_store& store,
    const configuration_state& state, const status_source& source, order_controller& orders)
    : m_administrators(std::move(administrators)),
      m_store(store),
      m_state(state),
      m_source(source),
      m_orders(orders)
{
}

absl::StatusOr<const administrator*>
administration_api::authenticate(const http_request& request) const
{
    const auto given = read_credentials(request);
    if (given)
    {
        const auto found = std::find_if(
            m_administrators.begin(), m_administrators.end(),
            [&](const auto& candidate) { return candidate.m_name == given->m_name; });
        // An unknown name is verified against a dummy hash, so that response times do not reveal
        // which names exist.
        static const std::string dummy_hash = make_key_hash("");
        const bool verified = verify_key(
            given->m_secret, found == m_administrators.end() ? dummy_hash : found->m_key_hash);
        if (verified && found != m_administrators.end())
            return &*found;
    }
    return make_failure(
        failure_kind::unauthenticated, "expected the name and secret of an administrator");
}

asio::awaitable<http_response> administration_api::handle(http_request request)
{
    const auto caller = authenticate(request);
    if (!caller.ok())
    {
        log_event(log_level::warning, "administrator_refused")
            .with("path", target_path(request.m_target));
        co_return error_response(caller.status());
    }
    const std::string path(target_path(request.m_target));
    const bool writes = path == "/admin/apply" || path == "/admin/orders";
    const std::string_view expected_method = writes ? "POST" : "GET";
    const bool known = writes || path == "/admin/configuration" || path == "/admin/history" ||
                       path == "/admin/status" || path == "/admin/dump";
    if (!known)
        co_return error_response(make_failure(failure_kind::path_not_found, "no such path"));
    if (request.m_method != expected_method)
    {
        co_return error_response(make_failure(
            failure_kind::method_not_allowed, fmt::format("expected {}", expected_method)));
    }
    if (path == "/admin/apply")
        co_return co_await apply(**caller, request);
    if (path == "/admin/orders")
        co_return co_await order(**caller, request);
    if (path == "/admin/history")
        co_return co_await history(**caller, request);
    if (path == "/admin/configuration")
        co_return show_configuration(**caller, request);
    if (path == "/admin/status")
        co_return show_status(**caller);
    co_return dump(**caller);
}

namespace
{

struct order_request
{
    std::string m_instance;
    engine_order m_order;
};

absl::StatusOr<order_request> read_order_request(const std::string& body)
{
    json::error_code error;
    const auto value = json::parse(body, error);
    const auto* const fields = error ? nullptr : value.if_object();
    const auto* const instance = fields ? fields->if_contains("instance") : nullptr;
    const auto* const kind = fields ? fields->if_contains("kind") : nullptr;
    const auto* const arguments = fields ? fields->if_contains("args") : nullptr;
    if (!instance || !instance->is_string() || !kind || !kind->is_string() ||
        (arguments && !arguments->is_object()))
    {
        return make_failure(
            failure_kind::invalid_request, "expected {\"instance\", \"kind\", \"args\"}");
    }
    order_request request;
    request.m_instance = instance->get_string().c_str();
    request.m_order.m_kind = kind->get_string().c_str();
    if (arguments)
        request.m_order.m_arguments = json::serialize(*arguments);
    return request;
}

bool is_side_process(const system_status& status, const std::string& address)
{
    return std::any_of(
        status.m_instances.begin(), status.m_instances.end(),
        [&](const instance_status& instance)
        { return instance.m_role == "side" && instance.m_address == address; });
}

} // namespace

asio::awaitable<http_response>
administration_api::order(const administrator& caller, const http_request& request)
{
    if (!may_access_all_tenants(caller))
        co_return error_response(forbidden_tenant("*"));
    auto wanted = read_order_request(request.m_body);
    if (!wanted.ok())
        co_return error_response(wanted.status());
    if (!is_side_process(m_source.status(), wanted->m_instance))
    {
        co_return error_response(make_failure(failure_kind::no_endpoint, "no such side process"));
    }
    const auto epoch = co_await m_orders.submit(
        std::move(wanted->m_instance), std::move(wanted->m_order), order_timeout);
    if (!epoch.ok())
        co_return error_response(epoch.status());
    co_return json_response(json::object{{"accepted", true}, {"epoch", *epoch}});
}

asio::awaitable<http_response>
administration_api::apply(const administrator& caller, const http_request& request)
{
    const auto parameters = read_apply_parameters(request);
    if (!parameters.ok())
        co_return error_response(parameters.status());
    auto file = parse_tenant_configuration(
        request.m_body, query_parameter(request.m_target, "file").value_or("request"));
    if (!file.ok())
        co_return error_response(file.status());
    if (!may_access_tenant(caller, file->m_tenant))
        co_return error_response(forbidden_tenant(file->m_tenant));
    if (parameters->m_dry_run)
        co_return co_await preview(*file);
    const apply_request wanted{
        *std::move(file), parameters->m_apply_id, caller.m_name, utc_now(),
        parameters->m_generation};
    co_return co_await accept(wanted, parameters->m_timeout);
}

asio::awaitable<http_response> administration_api::preview(const tenant_configuration& file)
{
    const auto current = co_await m_store.read_current(read_timeout);
    if (!current.ok())
        co_return error_response(current.status());
    tenant_configuration in_force;
    if (const auto hash = current->m_files.find(file.m_tenant); hash != current->m_files.end())
    {
        auto stored = co_await m_store.read_file(hash->second, read_timeout);
        if (!stored.ok())
            co_return error_response(stored.status());
        in_force = *std::move(stored);
    }
    co_return json_response(json::object{
        {"dry_run", true},
        {"tenant", file.m_tenant},
        {"generation", current->m_generation},
        {"difference", lines_to_json(configuration_difference(in_force, file))}});
}

asio::awaitable<http_response>
administration_api::accept(const apply_request& wanted, milliseconds deadline)
{
    std::vector<std::string> difference;
    const auto accepted = co_await m_store.apply(wanted, deadline, difference);
    log_apply(wanted, accepted);
    if (accepted.ok())
        co_return json_response(to_json(*accepted));
    const bool conflict = kind_of(accepted.status()) == failure_kind::conflict;
    co_return error_response(accepted.status(), conflict ? &difference : nullptr);
}

asio::awaitable<http_response>
administration_api::history(const administrator& caller, const http_request& request)
{
    const auto tenant = requested_tenant(caller, request);
    if (!tenant.ok())
        co_return error_response(tenant.status());
    const auto current = co_await m_store.read_current(read_timeout);
    if (!current.ok())
        co_return error_response(current.status());
    json::array entries;
    for (const auto& entry : current->m_history)
    {
        if (may_access_tenant(caller, entry.m_tenant) && (!*tenant || **tenant == entry.m_tenant))
            entries.push_back(to_json(entry));
    }
    co_return json_response(
        json::object{{"generation", current->m_generation}, {"history", std::move(entries)}});
}

http_response administration_api::show_configuration(
    const administrator& caller, const http_request& request) const
{
    const auto tenant = requested_tenant(caller, request);
    if (!tenant.ok())
        return error_response(tenant.status());
    const auto in_force = m_state.published().load();
    json::array files;
    for (const auto& file : in_force->m_tenants)
    {
        if (!may_access_tenant(caller, file.m_tenant) || (*tenant && **tenant != file.m_tenant))
            continue;
        files.push_back(json::object{
            {"tenant", file.m_tenant},
            {"hash", content_hash(file)},
            {"file", json::parse(encode_without_secrets(file))}});
    }
    return json_response(
        json::object{{"generation", in_force->m_generation}, {"tenants", std::move(files)}});
}

http_response administration_api::show_status(const administrator& caller) const
{
    system_status status = m_source.status();
    std::erase_if(
        status.m_pipelines,
        [&](const auto& pipeline) { return !may_access_tenant(caller, pipeline.m_tenant); });
    json::object body = to_json(status).as_object();
    body["in_force"] = std::count_if(
        status.m_instances.begin(), status.m_instances.end(),
        [&](const auto& instance) { return instance.m_generation >= status.m_generation; });
    body["instance_count"] = status.m_instances.size();
    return json_response(body);
}

http_response administration_api::dump(const administrator& caller) const
{
    // A dump contains streams and calls of all tenants.
    if (!may_access_all_tenants(caller))
        return error_response(forbidden_tenant("*"));
    return {200, {{"Content-Type", "application/json"}}, m_source.dump()};
}

} // namespace fulmaryard
