#include <fulmaryard/layer_placement.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace fulmaryard
{

namespace
{

bool empty(layer_range layers)
{
    return layers.m_begin >= layers.m_end;
}

std::uint32_t size(layer_range layers)
{
    return empty(layers) ? 0 : layers.m_end - layers.m_begin;
}

/// Layers of `wanted` that `held` does not have.
std::uint32_t missing(layer_range wanted, layer_range held)
{
    const auto begin = std::max(wanted.m_begin, held.m_begin);
    const auto end = std::min(wanted.m_end, held.m_end);
    const std::uint32_t shared = begin < end ? end - begin : 0;
    return size(wanted) - shared;
}

bool by_begin(const placement_member& left, const placement_member& right)
{
    return left.m_layers < right.m_layers;
}

/// The first range of layers that no holder has; empty when all have one.
layer_range first_gap(std::vector<placement_member> holders, std::uint32_t layers)
{
    std::sort(holders.begin(), holders.end(), by_begin);
    std::uint32_t covered = 0;
    for (const auto& holder : holders)
    {
        if (holder.m_layers.m_begin > covered)
            return {covered, holder.m_layers.m_begin};
        covered = std::max(covered, holder.m_layers.m_end);
    }
    return covered < layers ? layer_range{covered, layers} : layer_range{};
}

/// An order in which large endpoints lie between small ones, so that a neighbour with memory to
/// spare can close the gap of a small one that is lost.
std::vector<placement_member> alternate_sizes(std::vector<placement_member> members)
{
    std::sort(
        members.begin(), members.end(),
        [](const auto& left, const auto& right)
        {
            return left.m_memory_mb != right.m_memory_mb ? left.m_memory_mb > right.m_memory_mb
                                                         : left.m_endpoint < right.m_endpoint;
        });
    std::size_t large = 0;
    while (large < members.size() && members[large].m_memory_mb > members.back().m_memory_mb)
        ++large;
    const std::size_t small = members.size() - large;
    std::vector<placement_member> order;
    std::size_t taken = 0;
    for (std::size_t i = 0; i < large; ++i)
    {
        const std::size_t until = small * (i + 1) / large;
        // Half of this group's small endpoints before the large one and half behind it.
        const std::size_t half = taken + (until - taken) / 2;
        for (; taken < half; ++taken)
            order.push_back(members[large + taken]);
        order.push_back(members[i]);
        for (; taken < until; ++taken)
            order.push_back(members[large + taken]);
    }
    for (; taken < small; ++taken)
        order.push_back(members[large + taken]);
    return order;
}

} // namespace

double layer_placement::room(const placement_member& member, std::uint32_t layers) const
{
    if (layers == 0)
        return std::numeric_limits<double>::infinity();
    const double bytes_per_layer = m_engine.m_token_bytes / m_engine.m_layers;
    const double free_mb = member.m_memory_mb - layers * m_engine.m_layer_mb;
    return free_mb * 1e6 / (bytes_per_layer * layers);
}

std::uint32_t layer_placement::most_layers(const placement_member& member) const
{
    if (m_engine.m_layer_mb <= 0)
        return m_engine.m_layers;
    // An endpoint without memory for one usual request would be of no use in a path.
    const double usual = m_engine.m_usual_prompt + m_engine.m_usual_answer;
    std::uint32_t layers = static_cast<std::uint32_t>(member.m_memory_mb / m_engine.m_layer_mb);
    layers = std::min(layers, m_engine.m_layers);
    while (layers > 0 && room(member, layers) < usual)
        --layers;
    return layers;
}

layer_assignment layer_placement::divide(const chain& order) const
{
    std::vector<std::uint32_t> counts(order.size(), 0);
    for (std::uint32_t layer = 0; layer < m_engine.m_layers; ++layer)
    {
        std::size_t best = order.size();
        for (std::size_t i = 0; i < order.size(); ++i)
        {
            if (counts[i] >= most_layers(order[i]))
                continue;
            if (best == order.size() ||
                room(order[i], counts[i] + 1) > room(order[best], counts[best] + 1))
                best = i;
        }
        if (best == order.size())
            return {};
        ++counts[best];
    }
    layer_assignment assignment;
    std::uint32_t begin = 0;
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        if (counts[i] > 0)
            assignment[order[i].m_endpoint] = {begin, begin + counts[i]};
        begin += counts[i];
    }
    return assignment;
}

bool layer_placement::extend_neighbours(chain& holders, layer_range gap) const
{
    chain changed = holders;
    placement_member* left = nullptr;
    placement_member* right = nullptr;
    while (!empty(gap))
    {
        left = nullptr;
        right = nullptr;
        for (auto& holder : changed)
        {
            if (holder.m_layers.m_end == gap.m_begin &&
                (left == nullptr || holder.m_memory_mb > left->m_memory_mb))
                left = &holder;
            if (holder.m_layers.m_begin == gap.m_end &&
                (right == nullptr || holder.m_memory_mb > right->m_memory_mb))
                right = &holder;
        }
        const auto room_with_one_more = [&](const placement_member* holder)
        {
            if (holder == nullptr || size(holder->m_layers) >= most_layers(*holder))
                return -1.0;
            return room(*holder, size(holder->m_layers) + 1);
        };
        const double left_room = room_with_one_more(left);
        const double right_room = room_with_one_more(right);
        if (left_room < 0 && right_room < 0)
            return false;
        if (left_room >= right_room)
            gap.m_begin = ++left->m_layers.m_end;
        else
            gap.m_end = --right->m_layers.m_begin;
    }
    holders = std::move(changed);
    return true;
}

bool layer_placement::close_gaps(chain& holders, chain& idle) const
{
    for (auto gap = first_gap(holders, m_engine.m_layers); !empty(gap);
         gap = first_gap(holders, m_engine.m_layers))
    {
        const auto best = std::max_element(
            idle.begin(), idle.end(),
            [](const auto& left, const auto& right)
            { return left.m_memory_mb < right.m_memory_mb; });
        if (best == idle.end())
        {
            if (!extend_neighbours(holders, gap))
                return false;
            continue;
        }
        const auto take = std::min(size(gap), most_layers(*best));
        if (take > 0)
        {
            best->m_layers = {gap.m_begin, gap.m_begin + take};
            holders.push_back(*best);
        }
        idle.erase(best);
    }
    return true;
}

void layer_placement::insert_idle(chain& holders, const placement_member& member) const
{
    std::sort(holders.begin(), holders.end(), by_begin);
    std::uint32_t fewest = std::numeric_limits<std::uint32_t>::max();
    layer_range chosen;
    for (std::size_t position = 0; position <= holders.size(); ++position)
    {
        chain order = holders;
        order.insert(order.begin() + static_cast<std::ptrdiff_t>(position), member);
        const auto divided = divide(order);
        const auto part = divided.find(member.m_endpoint);
        if (part == divided.end())
            continue;
        std::uint32_t loads = 0;
        for (const auto& holder : holders)
        {
            const auto other = divided.find(holder.m_endpoint);
            if (other != divided.end())
                loads += missing(other->second, holder.m_layers);
        }
        if (loads < fewest)
        {
            fewest = loads;
            chosen = part->second;
        }
    }
    if (empty(chosen))
        return;
    placement_member added = member;
    added.m_layers = chosen;
    holders.push_back(added);
}

void layer_placement::shrink_overlaps(chain& holders) const
{
    std::sort(holders.begin(), holders.end(), by_begin);
    chain order = holders;
    const auto divided = divide(order);
    for (auto& holder : holders)
    {
        const auto ideal = divided.find(holder.m_endpoint);
        if (ideal == divided.end())
            continue;
        // Only gives up layers: those of the ideal part that it does not hold are not loaded.
        const layer_range kept{
            std::max(ideal->second.m_begin, holder.m_layers.m_begin),
            std::min(ideal->second.m_end, holder.m_layers.m_end)};
        if (empty(kept) || kept == holder.m_layers)
            continue;
        const layer_range before = holder.m_layers;
        holder.m_layers = kept;
        // What is given up has to be loaded elsewhere already.
        chain loaded = holders;
        for (auto& other : loaded)
        {
            other.m_layers = {
                std::max(other.m_layers.m_begin, other.m_loaded.m_begin),
                std::min(other.m_layers.m_end, other.m_loaded.m_end)};
        }
        std::erase_if(loaded, [](const auto& other) { return empty(other.m_layers); });
        if (!empty(first_gap(loaded, m_engine.m_layers)))
            holder.m_layers = before;
    }
}

layer_assignment layer_placement::plan(const std::vector<placement_member>& members) const
{
    chain holders;
    chain idle;
    for (const auto& member : members)
    {
        if (most_layers(member) == 0)
            continue;
        (empty(member.m_layers) ? idle : holders).push_back(member);
    }
    if (holders.empty())
        return divide(alternate_sizes(idle));
    if (!close_gaps(holders, idle))
    {
        chain order = holders;
        std::sort(order.begin(), order.end(), by_begin);
        return divide(order);
    }
    for (const auto& member : idle)
        insert_idle(holders, member);
    shrink_overlaps(holders);
    layer_assignment assignment;
    for (const auto& holder : holders)
        assignment[holder.m_endpoint] = holder.m_layers;
    return assignment;
}

} // namespace fulmaryard
