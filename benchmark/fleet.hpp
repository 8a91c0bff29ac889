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

    /// Of the entries, for callers.
    const std::vector<std::string>& addresses() const { return m_addresses; }

    static std::string engine(std::size_t range, std::size_t index);
    static std::string side(std::size_t range, std::size_t index);
    static std::string relay(std::size_t range, std::size_t index);

    /// Seconds that the engines took for runs since the start, as the side processes measured.
    double engine_seconds() const;

    /// Waits until the side process has its engine and the entries have seen it.
    void wait_for_side(const std::string& name);

private:
    process_tests::test_system m_system;
    std::vector<std::string> m_addresses;
};

/// Number of responses that completed and differ from the reference.
std::size_t count_wrong(const stream_outcomes& outcomes);

/// True if the response completed and equals the reference.
bool is_correct(const stream_outcome& outcome);

/// Quantile of `values`, between 0 and 1; NaN for none.
double quantile(std::vector<double> values, double fraction);

} // namespace fulmaryard::benchmark

#endif
