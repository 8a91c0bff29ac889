#include <fulmaryard/arrival_counter.hpp>

#include <algorithm>

namespace fulmaryard
{

void arrival_counter::add(double amount, time_point now)
{
    const auto number = slot_number(now);
    auto& current = m_slots[static_cast<std::size_t>(number) % slots];
    if (current.m_number != number)
        current = {number, 0};
    current.m_amount += amount;
}

double arrival_counter::sum(time_point now, std::size_t count) const
{
    const auto oldest = slot_number(now) - static_cast<std::int64_t>(count);
    double amount = 0;
    for (const auto& each : m_slots)
        amount += each.m_number > oldest ? each.m_amount : 0;
    return amount;
}

double arrival_counter::rate_with_bursts(time_point now) const
{
    const double burst = sum(now, burst_window / slot_length);
    return std::max(rate(now), burst < min_burst ? 0 : burst / to_seconds(burst_window));
}

} // namespace fulmaryard
