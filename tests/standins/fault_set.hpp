#ifndef FULMARYARD_FAULT_SET_HPP
#define FULMARYARD_FAULT_SET_HPP

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard::standins
{

/// Faults that a test has asked an HTTP stand-in to inject, limited by time, count and path.
///
/// A fault is `{"kind", "ms", "count", "match"}`. `count` limits how many requests it affects and
/// `match` is a prefix of their path. `ms` is how long the fault stays active, or the length of a
/// "delay" or "pause". A limit that is 0 or absent does not apply.
class fault_set
{
public:
    using clock = std::chrono::steady_clock;

    /// Maximum number of faults held at the same time.
    static constexpr std::size_t m_max_faults = 256;

    /// Adds a fault; false if its kind is not in `kinds` or there are too many. "silent" affects
    /// the connections with numbers up to `last_connection`.
    bool
    add(const boost::json::object& description, const std::vector<std::string_view>& kinds,
        clock::time_point now, std::uint64_t last_connection);

    void clear();

    /// Consumes one count of a fault of `kind` that covers `path`; false when there is none.
    bool take(std::string_view kind, std::string_view path, clock::time_point now);

    /// Like `take` for "delay", whose length is returned; zero when there is none.
    std::chrono::milliseconds take_delay(std::string_view path, clock::time_point now);

    /// True if a "silent" fault withholds all further answers from the connection.
    bool silent(std::uint64_t connection) const { return connection <= m_last_silent_connection; }

private:
    struct fault
    {
        std::string m_kind;
        std::string m_path_prefix;
        std::chrono::milliseconds m_duration;
        std::uint64_t m_count; ///< Remaining requests; 0 means unlimited.
        clock::time_point m_expiry;
    };

    const fault* take_first(std::string_view kind, std::string_view path, clock::time_point now);

    std::vector<fault> m_faults;
    fault m_taken{};
    std::uint64_t m_last_silent_connection{0};
};

} // namespace fulmaryard::standins

#endif
