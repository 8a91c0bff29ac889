#include <fulmaryard/failure.hpp>
#include <fulmaryard/lease.hpp>

#include <boost/json.hpp>

namespace fulmaryard
{

namespace json = boost::json;

std::string encode_lease(const lease& value)
{
    return json::serialize(json::object{
        {"holder", value.m_holder},
        {"epoch", value.m_epoch},
        {"duration_ms", value.m_duration_ms}});
}

absl::StatusOr<lease> decode_lease(std::string_view text)
{
    const auto malformed = []
    { return make_failure(failure_kind::invalid_request, "malformed lease object"); };
    boost::system::error_code error;
    const auto value = json::parse(json::string_view(text.data(), text.size()), error);
    const auto* object = error ? nullptr : value.if_object();
    const auto* holder = object ? object->if_contains("holder") : nullptr;
    const auto* epoch = object ? object->if_contains("epoch") : nullptr;
    const auto* duration = object ? object->if_contains("duration_ms") : nullptr;
    if (!holder || !holder->is_string() || !epoch || !epoch->is_number() || !duration ||
        !duration->is_number())
        return malformed();
    lease result;
    result.m_holder = holder->get_string().c_str();
    result.m_epoch = epoch->to_number<std::uint64_t>(error);
    if (error)
        return malformed();
    result.m_duration_ms = duration->to_number<std::uint32_t>(error);
    if (error)
        return malformed();
    return result;
}

} // namespace fulmaryard
