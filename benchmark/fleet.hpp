#ifndef FULMARYARD_FLEET_HPP
#define FULMARYARD_FLEET_HPP

#include "fleet_options.hpp"
#include "load_generator.hpp"

#include "process/test_system.hpp"

#include <string>
#include <vector>

namespace fulmaryard::benchmark
{

/// A running system with accounts "large", "small-1", "small-2" and "small-3".
class fleet
{
public:
    explicit fleet(const fleet_options& options);

    process_tests::test_system& system() { return m_system; }

    /// Addresses of the entries, for callers.
    const std::vector<std::string>& addresses() const { return m_addresses; }

    static std::string engine(std::size_t range, std::size_t index);
    static std::string side(std::size_t range, std::size_t index);
    static std::string relay(std::size_t range, std::size_t index);

    /// Total time of engine runs since the start in seconds, as measured by the side processes. NaN
    /// if a side process does not report it.
    double engine_seconds() const;

    /// Waits up to 10 s until the side process is ready, then 1.1 s for the entries to reconnect.
    void wait_for_side(const std::string& name);

private:
    process_tests::test_system m_system;
    std::vector<std::string> m_addresses;
};

/// Number of completed responses that differ from the reference.
std::size_t count_wrong(const stream_outcomes& outcomes);

/// True if the response completed and equals the reference.
bool is_correct(const stream_outcome& outcome);

/// Quantile of `values` at `fraction`, between 0 and 1. NaN if `values` is empty.
double quantile(std::vector<double> values, double fraction);

} // namespace fulmaryard::benchmark

#endif
