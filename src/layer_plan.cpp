#include <fulmaryard/failure.hpp>
#include <fulmaryard/layer_plan.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <exception>

namespace fulmaryard
{

namespace json = boost::json;

std::string encode_layer_plan(const layer_plan& plan)
{
    json::object endpoints;
    for (const auto& [id, planned] : plan.m_endpoints)
    {
        const auto& [layers, usual] = planned.m_target;
        endpoints[id] = json::array{planned.m_started_ms, layers.m_begin, layers.m_end, usual};
    }
    return json::serialize(
        json::object{{"epoch", plan.m_epoch}, {"endpoints", std::move(endpoints)}});
}

absl::StatusOr<layer_plan> decode_layer_plan(std::string_view text)
{
    try
    {
        const auto value = json::parse(json::string_view(text.data(), text.size()));
        layer_plan plan;
        plan.m_epoch = value.as_object().at("epoch").to_number<std::uint64_t>();
        for (const auto& [id, item] : value.as_object().at("endpoints").as_object())
        {
            const auto& fields = item.as_array();
            plan.m_endpoints[std::string(id)] = {
                fields.at(0).to_number<std::uint64_t>(),
                {{fields.at(1).to_number<std::uint32_t>(), fields.at(2).to_number<std::uint32_t>()},
                 fields.at(3).to_number<std::uint32_t>()}};
        }
        return plan;
    }
    catch (const std::exception& error)
    {
        return make_failure(failure_kind::invalid_request, error.what(), outcome::not_run);
    }
}

} // namespace fulmaryard
