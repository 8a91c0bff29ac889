#include <fulmaryard/configuration_codec.hpp>
#include <fulmaryard/configuration_delta.hpp>
#include <fulmaryard/failure.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace fulmaryard
{

namespace json = boost::json;

absl::StatusOr<configuration>
apply_delta(const configuration& base, const configuration_delta& delta)
{
    if (base.m_generation != delta.m_base_generation)
    {
        return make_failure(
            failure_kind::conflict, "the configuration delta is based on another generation",
            dispatch_progress::refused);
    }
    configuration result;
    result.m_generation = delta.m_changed.m_generation;
    const auto& changed = delta.m_changed.m_tenants;
    auto next = changed.begin();
    for (const auto& tenant : base.m_tenants)
    {
        for (; next != changed.end() && next->m_tenant < tenant.m_tenant; ++next)
            result.m_tenants.push_back(*next);
        if (next != changed.end() && next->m_tenant == tenant.m_tenant)
            result.m_tenants.push_back(*next++);
        else if (
            std::find(delta.m_removed.begin(), delta.m_removed.end(), tenant.m_tenant) ==
            delta.m_removed.end())
            result.m_tenants.push_back(tenant);
    }
    result.m_tenants.insert(result.m_tenants.end(), next, changed.end());
    if (result.m_tenants.size() != delta.m_tenants)
    {
        return make_failure(
            failure_kind::conflict, "the configuration delta yields an unexpected tenant count",
            dispatch_progress::refused);
    }
    return result;
}

std::string encode_configuration_delta(const configuration_delta& delta)
{
    json::array removed;
    for (const auto& tenant : delta.m_removed)
        removed.emplace_back(json::string(tenant));
    return json::serialize(json::object{
        {"from", delta.m_base_generation},
        {"generation", delta.m_changed.m_generation},
        {"changed", encode_configuration(delta.m_changed)},
        {"removed", std::move(removed)},
        {"tenants", delta.m_tenants}});
}

absl::StatusOr<configuration_delta> decode_configuration_delta(std::string_view text)
{
    const auto malformed = []
    { return make_failure(failure_kind::invalid_request, "malformed configuration delta"); };
    json::error_code error;
    const auto value = json::parse(json::string_view(text.data(), text.size()), error);
    const auto* const fields = error ? nullptr : value.if_object();
    const auto* const from = fields ? fields->if_contains("from") : nullptr;
    const auto* const generation = fields ? fields->if_contains("generation") : nullptr;
    const auto* const changed = fields ? fields->if_contains("changed") : nullptr;
    const auto* const removed = fields ? fields->if_contains("removed") : nullptr;
    const auto* const tenants = fields ? fields->if_contains("tenants") : nullptr;
    if (!from || !from->is_number() || !generation || !generation->is_number() || !changed ||
        !changed->is_string() || !removed || !removed->is_array() || !tenants ||
        !tenants->is_number())
        return malformed();
    auto decoded =
        decode_configuration({changed->get_string().data(), changed->get_string().size()});
    if (!decoded.ok())
        return decoded.status();
    configuration_delta delta;
    delta.m_changed = *std::move(decoded);
    json::error_code errors[3];
    delta.m_base_generation = from->to_number<std::uint64_t>(errors[0]);
    delta.m_changed.m_generation = generation->to_number<std::uint64_t>(errors[1]);
    delta.m_tenants = tenants->to_number<std::size_t>(errors[2]);
    if (std::any_of(std::begin(errors), std::end(errors), [](const auto& e) { return bool(e); }))
        return malformed();
    for (const auto& tenant : removed->get_array())
    {
        if (!tenant.is_string())
            return malformed();
        delta.m_removed.emplace_back(tenant.get_string().data(), tenant.get_string().size());
    }
    return delta;
}

} // namespace fulmaryard
