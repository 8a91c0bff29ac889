#ifndef FULMARYARD_REPORT_HPP
#define FULMARYARD_REPORT_HPP

#include <optional>
#include <string>
#include <vector>

namespace fulmaryard::benchmark
{

/// Prints each result as a line "name value unit", and a summary of met and missed targets.
class report
{
public:
    void add(const std::string& name, double value, const std::string& unit);

    /// Adds a result that has a target. `cause` explains a missed target from the run's data and
    /// may be empty.
    void at_least(
        const std::string& name, double value, const std::string& unit, double target,
        const std::string& cause);
    void at_most(
        const std::string& name, double value, const std::string& unit, double target,
        const std::string& cause);

    /// Records a result that could not be measured, which counts as a missed target.
    void missing(const std::string& name, const std::string& reason);

    /// Prints the summary and returns true if every target is met.
    bool conclude() const;

private:
    void add_with_target(
        const std::string& name, double value, const std::string& unit, const std::string& target,
        bool met, const std::string& cause);

    std::vector<std::string> m_met;
    std::vector<std::string> m_missed;
};

} // namespace fulmaryard::benchmark

#endif
