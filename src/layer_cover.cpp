#include "layer_cover.hpp"

#include <algorithm>

namespace fulmaryard
{

namespace
{

// Costs are in units of one layer load.

// An order to release a layer waits until no request runs through that layer. Requests are moved to
// another path, except that a request cannot leave the endpoint that runs its first layer, so
// releasing the first layer costs more.
constexpr double cost_of_giving_up = 1;
constexpr double cost_of_giving_up_first = 10;

// Cost of each layer that takes memory needed for a normal load of requests.
constexpr double cost_of_room = 0.5;

// Fixed cost of each changed endpoint. An endpoint serves little while it loads, so changing few
// endpoints takes precedence over loading few layers.
constexpr double cost_of_change = 3;

std::uint32_t size(layer_range range)
{
    return range.m_end > range.m_begin ? range.m_end - range.m_begin : 0;
}

std::uint32_t shared(layer_range left, layer_range right)
{
    return size({std::max(left.m_begin, right.m_begin), std::min(left.m_end, right.m_end)});
}

} // namespace

layer_cover::layer_cover(const std::vector<holder>& holders, std::uint32_t layers)
    : m_holders(holders),
      m_layers(layers)
{
}

layer_range layer_cover::range_for(const holder& one, layer_range part) const
{
    layer_range range{
        std::min(part.m_begin, one.m_held.m_begin), std::max(part.m_end, one.m_held.m_end)};
    if (size(one.m_held) == 0)
        range = part;
    // Current layers that no longer fit are released: first those before `part`, then those after.
    const auto excess = size(range) > one.m_most ? size(range) - one.m_most : 0;
    const auto from_front = std::min(excess, part.m_begin - range.m_begin);
    range.m_begin += from_front;
    range.m_end -= std::min(excess - from_front, range.m_end - part.m_end);
    return range;
}

double layer_cover::cost(const holder& one, layer_range range) const
{
    if (range == one.m_held)
        return 0;
    const auto kept = shared(range, one.m_held);
    const double crowded = size(range) > one.m_unhurried ? size(range) - one.m_unhurried : 0;
    const bool first = one.m_held.m_begin == 0 && (range.m_begin > 0 || kept == 0);
    return cost_of_change + (size(range) - kept) + cost_of_giving_up * (size(one.m_held) - kept) +
           (first ? cost_of_giving_up_first : 0) + cost_of_room * crowded;
}

bool layer_cover::uses(std::uint32_t end, std::size_t last, std::size_t index) const
{
    while (end > 0)
    {
        if (last == index)
            return true;
        const auto& one = m_best[end][last];
        end = one.m_from;
        last = one.m_previous;
    }
    return false;
}

void layer_cover::extend(std::uint32_t from, std::size_t index)
{
    const auto& one = m_holders[index];
    const link* before = nullptr;
    std::size_t previous = 0;
    for (std::size_t last = 0; from > 0 && last < m_holders.size(); ++last)
    {
        const auto& candidate = m_best[from][last];
        if (candidate.m_reached && (before == nullptr || candidate.m_cost < before->m_cost) &&
            !uses(from, last, index))
        {
            before = &candidate;
            previous = last;
        }
    }
    if (from > 0 && before == nullptr)
        return;
    const double so_far = before == nullptr ? 0 : before->m_cost;
    for (auto to = from + 1; to <= std::min(m_layers, from + one.m_most); ++to)
    {
        const auto range = range_for(one, {from, to});
        if (!m_may_give_up && shared(range, one.m_held) < size(one.m_held))
            continue;
        const double total = so_far + cost(one, range);
        // The chain also covers layers after `part` that the holder keeps.
        const auto end = std::max(to, range.m_end);
        auto& best = m_best[end][index];
        if (!best.m_reached || total < best.m_cost)
            best = {total, range, from, previous, true};
    }
}

std::optional<std::vector<layer_range>> layer_cover::find()
{
    for (const bool may_give_up : {false, true})
    {
        m_may_give_up = may_give_up;
        m_best.assign(m_layers + 1, std::vector<link>(m_holders.size()));
        if (auto ranges = find_chain())
            return ranges;
    }
    return std::nullopt;
}

std::optional<std::vector<layer_range>> layer_cover::find_chain()
{
    for (std::uint32_t from = 0; from < m_layers; ++from)
    {
        for (std::size_t index = 0; index < m_holders.size(); ++index)
            extend(from, index);
    }
    std::size_t last = 0;
    for (std::size_t index = 1; index < m_holders.size(); ++index)
    {
        const auto& one = m_best[m_layers][index];
        if (one.m_reached &&
            (!m_best[m_layers][last].m_reached || one.m_cost < m_best[m_layers][last].m_cost))
            last = index;
    }
    if (m_holders.empty() || !m_best[m_layers][last].m_reached)
        return std::nullopt;
    std::vector<layer_range> ranges;
    for (const auto& one : m_holders)
        ranges.push_back(one.m_held);
    for (auto end = m_layers; end > 0;)
    {
        const auto& one = m_best[end][last];
        ranges[last] = one.m_range;
        end = one.m_from;
        last = one.m_previous;
    }
    return ranges;
}

} // namespace fulmaryard
