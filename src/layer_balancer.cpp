#include <fulmaryard/layer_balancer.hpp>

#include <algorithm>
#include <cmath>

namespace fulmaryard
{

namespace
{

// Factor on the throughput of a domain in which every layer has a second holder. Such a domain
// keeps serving when an endpoint is lost.
constexpr double second_holder_value = 1.5;

// Layers with at most this multiple of the lowest capacity belong to the bottleneck.
constexpr double tight_ratio = 1.5;

// Maximum number of layers of the bottleneck that are considered at once; bounds the search.
constexpr std::uint32_t max_tight_layers = 16;

// Largest number of layers that an endpoint hands over to a neighbour in order to move.
constexpr std::uint32_t max_handed_over_layers = 6;

// Releasing layers loads nothing, so a smaller gain suffices than for a change that does.
constexpr double min_release_gain = 1.02;

bool holds(layer_range layers, std::uint32_t layer)
{
    return layers.m_begin <= layer && layer < layers.m_end;
}

std::uint32_t size(layer_range layers)
{
    return layers.m_end > layers.m_begin ? layers.m_end - layers.m_begin : 0;
}

bool loaded_elsewhere(
    const layer_balancer::member_list& members, std::size_t index, std::uint32_t layer)
{
    for (std::size_t other = 0; other < members.size(); ++other)
    {
        if (other != index && holds(members[other].m_layers, layer) &&
            holds(members[other].m_loaded, layer))
            return true;
    }
    return false;
}

/// Whether every layer of `released` that is not in `kept` is loaded by another endpoint.
bool may_release(
    const layer_balancer::member_list& members, std::size_t index, layer_range released,
    layer_range kept)
{
    for (auto layer = released.m_begin; layer < released.m_end; ++layer)
    {
        if (!holds(kept, layer) && !loaded_elsewhere(members, index, layer))
            return false;
    }
    return true;
}

} // namespace

std::vector<double> layer_balancer::layer_capacities(const member_list& members) const
{
    const double mean_tokens = m_engine.m_mean_prompt_tokens + m_engine.m_mean_response_tokens;
    const double full_batch = m_engine.m_max_batch_size * std::max(mean_tokens, 1.0);
    std::vector<double> capacities(m_engine.m_layers, 0);
    for (const auto& member : members)
    {
        const double tokens =
            std::max(m_placement.token_capacity(member, size(member.m_layers)), 0.0);
        for (auto layer = member.m_layers.m_begin;
             layer < std::min(member.m_layers.m_end, m_engine.m_layers); ++layer)
            capacities[layer] = std::min(capacities[layer] + tokens, full_batch);
    }
    return capacities;
}

double layer_balancer::throughput(const member_list& members) const
{
    const auto capacities = layer_capacities(members);
    std::vector<double> weights(m_engine.m_layers, 0);
    std::vector<double> weighted_factors(m_engine.m_layers, 0);
    for (const auto& member : members)
    {
        const double weight =
            std::max(m_placement.token_capacity(member, size(member.m_layers)), 0.0);
        for (auto layer = member.m_layers.m_begin;
             layer < std::min(member.m_layers.m_end, m_engine.m_layers); ++layer)
        {
            weights[layer] += weight;
            weighted_factors[layer] += weight * member.m_step_factor;
        }
    }
    double inverse_sum = 0;
    double token_time = 0;
    for (std::uint32_t layer = 0; layer < m_engine.m_layers; ++layer)
    {
        if (capacities[layer] <= 0)
            return 0;
        const double squared = capacities[layer] * capacities[layer];
        inverse_sum += 1 / (squared * squared);
        token_time += weighted_factors[layer] / weights[layer];
    }
    const double capacity = std::sqrt(std::sqrt(1 / inverse_sum));
    return capacity / std::max(token_time, 1e-9) *
           (1 + (second_holder_value - 1) * second_holder_share(members));
}

/// Returns the share of the layers that at least two endpoints hold.
double layer_balancer::second_holder_share(const member_list& members) const
{
    std::vector<int> holders(m_engine.m_layers, 0);
    for (const auto& member : members)
    {
        for (auto layer = member.m_layers.m_begin;
             layer < std::min(member.m_layers.m_end, m_engine.m_layers); ++layer)
            ++holders[layer];
    }
    const auto shared =
        std::count_if(holders.begin(), holders.end(), [](int count) { return count > 1; });
    return static_cast<double>(shared) / std::max<double>(m_engine.m_layers, 1);
}

/// Returns the layer with the lowest capacity and the similarly tight layers next to it.
layer_range layer_balancer::tightest_layers(const member_list& members) const
{
    const auto capacities = layer_capacities(members);
    const auto lowest = static_cast<std::uint32_t>(
        std::distance(capacities.begin(), std::min_element(capacities.begin(), capacities.end())));
    const double limit = capacities[lowest] * tight_ratio;
    layer_range tight{lowest, lowest + 1};
    const auto is_tight = [&](std::uint32_t layer)
    { return size(tight) < max_tight_layers && capacities[layer] <= limit; };
    while (tight.m_begin > 0 && is_tight(tight.m_begin - 1))
        --tight.m_begin;
    while (tight.m_end < m_engine.m_layers && is_tight(tight.m_end))
        ++tight.m_end;
    return tight;
}

/// Returns the ranges that endpoint `index` could have instead of its own: extended into the tight
/// layers, shortened, or moved to them if it is not needed where it is.
std::vector<placement_member> layer_balancer::candidates(
    const member_list& members, std::size_t index, layer_range tight, bool may_move) const
{
    const auto& member = members[index];
    const auto held = member.m_layers;
    const double lowest = layer_capacities(members)[tight.m_begin];
    std::vector<placement_member> result;
    const auto add = [&](layer_range range)
    {
        const bool tighter = m_placement.token_capacity(member, size(range)) < lowest;
        if (size(range) == 0 || range == held || tighter ||
            !may_release(members, index, held, range))
            return;
        auto changed = member;
        changed.m_layers = range;
        changed.m_nominal_layers = size(range);
        result.push_back(std::move(changed));
    };
    if (size(held) > 0)
    {
        for (auto end = held.m_end + 1; held.m_end >= tight.m_begin && end <= tight.m_end; ++end)
            add({held.m_begin, end});
        for (auto layers = held.m_begin; held.m_begin <= tight.m_end && layers > tight.m_begin;
             --layers)
            add({layers - 1, held.m_end});
        for (auto begin = held.m_begin + 1; begin < held.m_end; ++begin)
            add({begin, held.m_end});
        for (auto end = held.m_begin + 1; end < held.m_end; ++end)
            add({held.m_begin, end});
    }
    if (!may_release(members, index, held, {}) || (size(held) > 0 && !may_move))
        return result;
    for (std::uint32_t count = 1; count <= size(tight); ++count)
    {
        add({tight.m_begin, tight.m_begin + count});
        add({tight.m_end - count, tight.m_end});
    }
    return result;
}

/// Returns the throughput after endpoint `index` has its new range and the others have released
/// the layers that they share with it, where that leaves them more memory.
double layer_balancer::throughput_after(member_list members, std::size_t index) const
{
    const auto added = members[index].m_layers;
    double best = throughput(members);
    for (std::size_t other = 0; other < members.size(); ++other)
    {
        const auto held = members[other].m_layers;
        if (other == index || held.m_begin >= added.m_end || added.m_begin >= held.m_end)
            continue;
        for (const auto shortened :
             {layer_range{std::min(added.m_end, held.m_end), held.m_end},
              layer_range{held.m_begin, std::max(added.m_begin, held.m_begin)}})
        {
            if (size(shortened) == 0 || size(shortened) >= size(held))
                continue;
            members[other].m_layers = shortened;
            const double shared = throughput(members);
            if (shared > best)
            {
                best = shared;
                break;
            }
            members[other].m_layers = held;
        }
    }
    return best;
}

bool layer_balancer::is_short(const member_list& members, double demand) const
{
    const auto capacities = layer_capacities(members);
    return *std::min_element(capacities.begin(), capacities.end()) < min_headroom * demand;
}

/// Returns the change of one endpoint after which the throughput is highest, if that is enough more
/// than `current`.
std::optional<placement_member> layer_balancer::change_one(
    const member_list& members, layer_range tight, bool may_move, double current) const
{
    double best = current;
    std::optional<placement_member> change;
    for (std::size_t index = 0; index < members.size(); ++index)
    {
        for (auto& candidate : candidates(members, index, tight, may_move))
        {
            const auto held = members[index].m_layers;
            const bool loads =
                candidate.m_layers.m_begin < held.m_begin || candidate.m_layers.m_end > held.m_end;
            auto changed = members;
            changed[index] = candidate;
            const double after = throughput_after(std::move(changed), index);
            if (after > best && after > current * (loads ? min_gain : min_release_gain))
            {
                best = after;
                change = std::move(candidate);
            }
        }
    }
    return change;
}

/// Returns the extension with which an endpoint takes over all layers of a neighbour, if the
/// neighbour is then worth moving to the tight layers. The neighbour moves in a later step.
std::optional<placement_member>
layer_balancer::hand_over(const member_list& members, layer_range tight, double current) const
{
    double best = current * min_gain;
    std::optional<placement_member> change;
    for (std::size_t moved = 0; moved < members.size(); ++moved)
    {
        const auto released = members[moved].m_layers;
        if (size(released) == 0 || size(released) > max_handed_over_layers)
            continue;
        for (std::size_t index = 0; index < members.size(); ++index)
        {
            const auto held = members[index].m_layers;
            if (index == moved ||
                (held.m_end != released.m_begin && released.m_end != held.m_begin))
                continue;
            auto extended = members;
            auto& taker = extended[index];
            taker.m_layers = {
                std::min(held.m_begin, released.m_begin), std::max(held.m_end, released.m_end)};
            taker.m_nominal_layers = size(taker.m_layers);
            if (m_placement.token_capacity(taker, size(taker.m_layers)) <= 0)
                continue;
            const auto extension = taker;
            taker.m_loaded = taker.m_layers;
            for (auto& candidate : candidates(extended, moved, tight, true))
            {
                auto after_move = extended;
                after_move[moved] = std::move(candidate);
                const double after = throughput_after(std::move(after_move), moved);
                if (after > best)
                {
                    best = after;
                    change = extension;
                }
            }
        }
    }
    return change;
}

double layer_balancer::ideal_throughput(member_list members) const
{
    for (auto& member : members)
        member.m_layers = member.m_loaded = {};
    const auto assignment = m_placement.plan(members);
    for (auto& member : members)
    {
        const auto placed = assignment.find(member.m_endpoint);
        if (placed != assignment.end())
            member.m_layers = placed->second.m_layers;
    }
    return throughput(members);
}

std::optional<placement_member>
layer_balancer::next_change(const member_list& members, double ideal, double demand) const
{
    const bool settled = std::all_of(
        members.begin(), members.end(),
        [](const placement_member& member) { return member.m_layers == member.m_loaded; });
    const double current = throughput(members);
    if (!settled || current <= 0 || current >= ideal * min_ideal_share)
        return std::nullopt;
    const auto tight = tightest_layers(members);
    const bool may_move = is_short(members, demand);
    auto change = change_one(members, tight, may_move, current);
    if (!change && may_move)
        change = hand_over(members, tight, current);
    return change;
}

} // namespace fulmaryard
