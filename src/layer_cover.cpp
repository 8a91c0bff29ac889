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
constexpr double release_cost = 1;
constexpr double first_layer_release_cost = 10;

// Cost of each layer that takes memory needed for a normal load of requests.
constexpr double capacity_loss_cost = 0.5;

// Fixed cost of each changed endpoint. An endpoint serves little while it loads, so changing few
// endpoints takes precedence over loading few layers.
constexpr double change_cost = 3;

std::uint32_t size(layer_range range)
{
    return range.m_end > range.m_begin ? range.m_end - range.m_begin : 0;
}

std::uint32_t overlap(layer_range left, layer_range right)
{
    return size({std::max(left.m_begin, right.m_begin), std::min(left.m_end, right.m_end)});
}

} // namespace

layer_cover::layer_cover(const std::vector<holder>& holders, std::uint32_t layers)
    : m_holders(holders),
      m_layers(layers)
{
}

layer_range layer_cover::range_for(const holder& current, layer_range part) const
{
    layer_range range{
        std::min(part.m_begin, current.m_held.m_begin), std::max(part.m_end, current.m_held.m_end)};
    if (size(current.m_held) == 0)
        range = part;
    // Current layers that no longer fit are released: first those before `part`, then those after.
    const auto excess = size(range) > current.m_max_layers ? size(range) - current.m_max_layers : 0;
    const auto from_front = std::min(excess, part.m_begin - range.m_begin);
    range.m_begin += from_front;
    range.m_end -= std::min(excess - from_front, range.m_end - part.m_end);
    return range;
}

double layer_cover::cost(const holder& current, layer_range range) const
{
    if (range == current.m_held)
        return 0;
    const auto kept = overlap(range, current.m_held);
    const double excess_layers =
        size(range) > current.m_normal_load_layers ? size(range) - current.m_normal_load_layers : 0;
    const bool first = current.m_held.m_begin == 0 && (range.m_begin > 0 || kept == 0);
    return change_cost + (size(range) - kept) + release_cost * (size(current.m_held) - kept) +
           (first ? first_layer_release_cost : 0) + capacity_loss_cost * excess_layers;
}

bool layer_cover::chain_contains(std::uint32_t end, std::size_t last, std::size_t index) const
{
    while (end > 0)
    {
        if (last == index)
            return true;
        const auto& current = m_best_chains[end][last];
        end = current.m_previous_end;
        last = current.m_previous_holder;
    }
    return false;
}

void layer_cover::extend_chain(std::uint32_t from, std::size_t index)
{
    const auto& current = m_holders[index];
    const partial_chain* previous_chain = nullptr;
    std::size_t previous_holder = 0;
    for (std::size_t last = 0; from > 0 && last < m_holders.size(); ++last)
    {
        const auto& candidate = m_best_chains[from][last];
        if (candidate.m_found &&
            (previous_chain == nullptr || candidate.m_cost < previous_chain->m_cost) &&
            !chain_contains(from, last, index))
        {
            previous_chain = &candidate;
            previous_holder = last;
        }
    }
    if (from > 0 && previous_chain == nullptr)
        return;
    const double previous_cost = previous_chain == nullptr ? 0 : previous_chain->m_cost;
    for (auto to = from + 1; to <= std::min(m_layers, from + current.m_max_layers); ++to)
    {
        const auto range = range_for(current, {from, to});
        if (!m_allow_release && overlap(range, current.m_held) < size(current.m_held))
            continue;
        const double total = previous_cost + cost(current, range);
        // The chain also covers layers after `part` that the holder keeps.
        const auto end = std::max(to, range.m_end);
        auto& best = m_best_chains[end][index];
        if (!best.m_found || total < best.m_cost)
            best = {total, range, from, previous_holder, true};
    }
}

std::optional<std::vector<layer_range>> layer_cover::find(change_kind kind)
{
    m_allow_release = kind == change_kind::shift;
    m_best_chains.assign(m_layers + 1, std::vector<partial_chain>(m_holders.size()));
    return find_chain();
}

std::optional<std::vector<layer_range>> layer_cover::find_chain()
{
    for (std::uint32_t from = 0; from < m_layers; ++from)
    {
        for (std::size_t index = 0; index < m_holders.size(); ++index)
            extend_chain(from, index);
    }
    std::size_t last = 0;
    for (std::size_t index = 1; index < m_holders.size(); ++index)
    {
        const auto& current = m_best_chains[m_layers][index];
        if (current.m_found && (!m_best_chains[m_layers][last].m_found ||
                                current.m_cost < m_best_chains[m_layers][last].m_cost))
            last = index;
    }
    if (m_holders.empty() || !m_best_chains[m_layers][last].m_found)
        return std::nullopt;
    std::vector<layer_range> ranges;
    for (const auto& current : m_holders)
        ranges.push_back(current.m_held);
    for (auto end = m_layers; end > 0;)
    {
        const auto& current = m_best_chains[end][last];
        ranges[last] = current.m_range;
        end = current.m_previous_end;
        last = current.m_previous_holder;
    }
    return ranges;
}

} // namespace fulmaryard
