#include <fulmaryard/client_account.hpp>
#include <fulmaryard/configuration_index.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/key_hash.hpp>
#include <fulmaryard/request_context.hpp>
#include <fulmaryard/request_filter.hpp>
#include <fulmaryard/stream_id.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace fulmaryard
{

namespace
{

constexpr std::size_t max_request_id_length = 128;
// Well-formed, so that verifying a secret against it takes as long as against a real hash. No
// secret is known to match it.
constexpr std::string_view dummy_key_hash =
    "sha256:00000000000000000000000000000000:"
    "0000000000000000000000000000000000000000000000000000000000000000";

class request_id_filter final : public request_filter
{
public:
    absl::Status apply(request_context& context) const override
    {
        const auto client_id = find_field(context.m_request->m_fields, "X-Request-Id");
        const bool valid =
            client_id && !client_id->empty() && client_id->size() <= max_request_id_length &&
            std::all_of(
                client_id->begin(), client_id->end(), [](char c) { return c > ' ' && c < 127; });
        context.m_request_id = valid ? std::string(*client_id) : to_string(make_stream_id());
        if (client_id && !valid)
        {
            return make_failure(
                failure_kind::invalid_request,
                "X-Request-Id must have 1 to 128 printable characters");
        }
        return absl::OkStatus();
    }
};

class lifecycle_filter final : public request_filter
{
public:
    explicit lifecycle_filter(const std::atomic<bool>& draining) : m_draining(draining) {}

    absl::Status apply(request_context&) const override
    {
        if (m_draining.load())
            return make_failure(failure_kind::draining, "this entry is shutting down");
        return absl::OkStatus();
    }

private:
    const std::atomic<bool>& m_draining;
};

class authentication_filter final : public request_filter
{
public:
    absl::Status apply(request_context& context) const override
    {
        constexpr std::string_view scheme = "Bearer ";
        const auto field = find_field(context.m_request->m_fields, "Authorization");
        const std::string_view value = field.value_or("");
        const std::string_view token =
            value.substr(0, scheme.size()) == scheme ? value.substr(scheme.size()) : "";
        const auto dot = token.find('.');
        if (dot == std::string_view::npos)
            return authentication_failure();
        const std::string_view secret = token.substr(dot + 1);
        const auto* const account = context.m_configuration->find_account(token.substr(0, dot));
        if (!account)
        {
            // Verifies against a dummy hash so that response times do not reveal which accounts
            // exist.
            std::ignore = verify_key(secret, dummy_key_hash);
            return authentication_failure();
        }
        const bool key_matches = std::any_of(
            account->m_key_hashes.begin(), account->m_key_hashes.end(),
            [secret](const std::string& hash) { return verify_key(secret, hash); });
        if (!key_matches)
            return authentication_failure();
        context.m_account = account;
        return absl::OkStatus();
    }

private:
    static absl::Status authentication_failure()
    {
        return make_failure(
            failure_kind::unauthenticated,
            "the request needs \"Authorization: Bearer ACCOUNT.SECRET\"");
    }
};

absl::Status method_not_allowed(std::string_view method)
{
    return make_failure(
        failure_kind::method_not_allowed, fmt::format("{} is not allowed here", method));
}

/// Resolves the path to the list of models, a model or a service, and parses completion bodies.
class target_filter final : public request_filter
{
public:
    absl::Status apply(request_context& context) const override
    {
        const auto& request = *context.m_request;
        const std::string_view path = target_path(request.m_target);
        const std::string_view account = context.m_account->m_name;
        if (path == "/v1/models")
        {
            context.m_list_models = true;
            return request.m_method == "GET" ? absl::OkStatus()
                                             : method_not_allowed(request.m_method);
        }
        context.m_chat = path == "/v1/chat/completions";
        if (context.m_chat || path == "/v1/completions")
        {
            if (request.m_method != "POST")
                return method_not_allowed(request.m_method);
            auto parsed = parse_completion_request(request.m_body, context.m_chat);
            if (!parsed.ok())
                return parsed.status();
            context.m_completion = *std::move(parsed);
            context.m_model =
                context.m_configuration->find_model(account, context.m_completion->m_model);
            if (!context.m_model)
            {
                return make_failure(
                    failure_kind::model_not_found,
                    fmt::format("there is no model \"{}\"", context.m_completion->m_model));
            }
            return absl::OkStatus();
        }
        context.m_service = context.m_configuration->find_service(account, path);
        if (!context.m_service)
            return make_failure(failure_kind::path_not_found, "there is no service at this path");
        const auto& methods = context.m_service->m_methods;
        if (std::find(methods.begin(), methods.end(), request.m_method) == methods.end())
            return method_not_allowed(request.m_method);
        return absl::OkStatus();
    }
};

class authorisation_filter final : public request_filter
{
public:
    absl::Status apply(request_context& context) const override
    {
        if (context.m_list_models)
            return absl::OkStatus();
        const auto& index = *context.m_configuration;
        const auto& account = context.m_account->m_name;
        const auto priority = context.m_model
                                  ? index.model_priority(account, context.m_model->m_name)
                                  : index.service_priority(account, context.m_service->m_name);
        if (!priority)
        {
            return make_failure(
                failure_kind::forbidden, "no rule allows this account to use the model or service");
        }
        context.m_priority = *priority;
        return absl::OkStatus();
    }
};

} // namespace

std::vector<std::unique_ptr<request_filter>> make_request_filters(const std::atomic<bool>& draining)
{
    std::vector<std::unique_ptr<request_filter>> filters;
    filters.push_back(std::make_unique<request_id_filter>());
    filters.push_back(std::make_unique<lifecycle_filter>(draining));
    filters.push_back(std::make_unique<authentication_filter>());
    filters.push_back(std::make_unique<target_filter>());
    filters.push_back(std::make_unique<authorisation_filter>());
    return filters;
}

absl::Status
apply_filters(const std::vector<std::unique_ptr<request_filter>>& filters, request_context& context)
{
    for (const auto& filter : filters)
    {
        absl::Status status = filter->apply(context);
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

} // namespace fulmaryard
