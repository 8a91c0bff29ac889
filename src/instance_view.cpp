#include "instance_view.hpp"

#include "instance_watcher.hpp"
#include "stable_hash_inl.hpp"

#include <fulmaryard/instance_list.hpp>
#include <fulmaryard/rendezvous.hpp>

#include <boost/json.hpp>

namespace fulmaryard
{

namespace json = boost::json;

instance_view
make_instance_view(const instance_list& list, std::string_view address, std::uint64_t generation)
{
    instance_view view;
    view.m_version = list.m_version;
    view.m_generation = generation;
    for (const auto& instance : list.m_instances)
    {
        if (instance.m_peer_address == address)
            view.m_leaving = view.m_leaving || instance.m_leaving;
    }
    view.m_entries = rendezvous_order(stable_hash(address), active_entry_addresses(list));
    if (view.m_entries.size() > max_view_entries)
        view.m_entries.resize(max_view_entries);
    return view;
}

std::string format_instance_view(const instance_view& view)
{
    json::array entries;
    for (const auto& entry : view.m_entries)
        entries.emplace_back(json::string(entry));
    return json::serialize(json::object{
        {"version", view.m_version},
        {"generation", view.m_generation},
        {"leaving", view.m_leaving},
        {"entries", std::move(entries)}});
}

std::optional<instance_view> parse_instance_view(std::string_view text)
{
    json::error_code error;
    const auto value = json::parse(json::string_view(text.data(), text.size()), error);
    const auto* const fields = error ? nullptr : value.if_object();
    const auto* const version = fields ? fields->if_contains("version") : nullptr;
    const auto* const generation = fields ? fields->if_contains("generation") : nullptr;
    const auto* const leaving = fields ? fields->if_contains("leaving") : nullptr;
    const auto* const entries = fields ? fields->if_contains("entries") : nullptr;
    if (!version || !version->is_number() || !generation || !generation->is_number() || !leaving ||
        !leaving->is_bool() || !entries || !entries->is_array())
        return std::nullopt;
    instance_view view;
    json::error_code generation_error;
    view.m_version = version->to_number<std::uint64_t>(error);
    view.m_generation = generation->to_number<std::uint64_t>(generation_error);
    if (error || generation_error)
        return std::nullopt;
    view.m_leaving = leaving->get_bool();
    for (const auto& entry : entries->get_array())
    {
        if (!entry.is_string())
            return std::nullopt;
        view.m_entries.emplace_back(entry.get_string().data(), entry.get_string().size());
    }
    return view;
}

} // namespace fulmaryard
