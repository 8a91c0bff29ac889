#ifndef FULMARYARD_ENTRY_STATUS_HPP
#define FULMARYARD_ENTRY_STATUS_HPP

#include <fulmaryard/instance_list.hpp>
#include <fulmaryard/status_source.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace fulmaryard
{

class configuration_state;
struct configuration;
struct directory_view;
struct entry_services;

/// System status for operators: the instance list combined with the state of peer links, load
/// reports and reports from other entries. Thread-safe.
class entry_status final : public status_source
{
public:
    /// The references must outlive the object. `platform_reachable` and `dump` are called from any
    /// thread.
    entry_status(
        const entry_services& services, const configuration_state& state,
        std::function<bool()> platform_reachable, std::function<std::string()> dump);

    void set_instances(const instance_list& list);

    /// Records the active configuration generation reported by another entry.
    void record_entry_report(const std::string& address, std::uint64_t generation);

    system_status status() const override;
    std::string dump() const override;

private:
    /// An entry whose last report is older is shown as silent; entries report every second.
    static constexpr std::chrono::seconds m_entry_report_timeout{4};

    struct entry_report
    {
        std::uint64_t m_generation{0};
        std::chrono::steady_clock::time_point m_at;
    };

    instance_status status_of(const listed_instance& listed, const directory_view& view) const;
    void add_unlisted_endpoints(system_status& result, const directory_view& view) const;

    const entry_services& m_services;
    const configuration_state& m_state;
    std::function<bool()> m_platform_reachable;
    std::function<std::string()> m_dump;
    mutable std::mutex m_mutex;
    instance_list m_list;
    std::map<std::string, entry_report> m_entries;
};

} // namespace fulmaryard

#endif
