#ifndef FULMARYARD_SLOPE_FIT_HPP
#define FULMARYARD_SLOPE_FIT_HPP

#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard::benchmark
{

/// Least-squares straight-line fit of a cost measured at several sizes.
class slope_fit
{
public:
    void add(double size, double cost);

    /// Slope of the fit: the cost of each additional unit of size. Add at least three distinct
    /// sizes first.
    double slope() const;

    /// Prints "NAME VALUE UNIT", where VALUE is the slope multiplied by `scale`.
    void print(std::string_view name, std::string_view unit, double scale = 1.0) const;

private:
    std::vector<double> m_sizes;
    std::vector<double> m_costs;
};

/// Prints "NAME VALUE UNIT" for a value that was measured directly instead of fitted.
void print_value(std::string_view name, double value, std::string_view unit);

/// CPU time of the calling thread, in seconds.
double thread_seconds();

/// Bytes in use according to the allocator, including blocks allocated with mmap.
double allocated_bytes();

/// Calls `work(size)` for each size and adds its CPU time in seconds. Uses the minimum of three
/// runs, because other load on the machine can only increase the time.
template <typename Work>
void add_times(slope_fit& fit, const std::vector<int>& sizes, const Work& work)
{
    for (const int size : sizes)
    {
        double least = 0;
        for (int run = 0; run < 3; ++run)
        {
            const double before = thread_seconds();
            work(size);
            const double taken = thread_seconds() - before;
            if (run == 0 || taken < least)
                least = taken;
        }
        fit.add(size, least);
    }
}

} // namespace fulmaryard::benchmark

#endif
