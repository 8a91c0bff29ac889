#ifndef FULMARYARD_SLOPE_FIT_HPP
#define FULMARYARD_SLOPE_FIT_HPP

#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard::benchmark
{

/// Cost measured at several sizes, fitted by a straight line.
class slope_fit
{
public:
    void add(double size, double cost);

    /// Least-squares slope: cost of one more unit of size. Needs three different sizes.
    double slope() const;

    /// Prints "NAME VALUE UNIT". With `scale` the slope is multiplied first.
    void print(std::string_view name, std::string_view unit, double scale = 1.0) const;

private:
    std::vector<double> m_sizes;
    std::vector<double> m_costs;
};

/// Prints "NAME VALUE UNIT" for a figure that is read off and not fitted.
void print_value(std::string_view name, double value, std::string_view unit);

/// Processor time of the calling thread, seconds.
double thread_seconds();

/// Bytes that the allocator has handed out, mapped blocks included.
double allocated_bytes();

/// Calls `work(size)` for each size and adds its processor time. The least of three runs counts,
/// since what others run on the machine only ever adds.
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
