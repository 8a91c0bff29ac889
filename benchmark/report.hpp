#ifndef FULMARYARD_REPORT_HPP
#define FULMARYARD_REPORT_HPP

#include <optional>
#include <string>
#include <vector>

namespace fulmaryard::benchmark
{

/// Prints the figures, one line "name value unit" each, and the conclusion.
class report
{
public:
    void add(const std::string& name, double value, const std::string& unit);

    /// A figure with a target. `cause` is what the run showed about a missed target.
    void at_least(
        const std::string& name, double value, const std::string& unit, double target,
        const std::string& cause);
    void at_most(
        const std::string& name, double value, const std::string& unit, double target,
        const std::string& cause);

    /// A figure that could not be measured misses its target.
    void missing(const std::string& name, const std::string& reason);

    /// True if every target is met.
    bool conclude() const;

private:
    void judge(
        const std::string& name, double value, const std::string& unit, const std::string& target,
        bool met, const std::string& cause);

    std::vector<std::string> m_met;
    std::vector<std::string> m_missed;
};

} // namespace fulmaryard::benchmark

#endif
