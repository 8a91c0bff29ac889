#include "layer_cover.hpp"

#include <fulmaryard/layer_placement.hpp>

#include <algorithm>
#include <limits>

namespace fulmaryard
{

namespace
{

// Minimum number of requests of mean length for which every endpoint reserves memory. With less
// memory, an endpoint would fill up immediately.
constexpr double min_requests = 4;

// Number of requests of mean length that make up a normal load: about the requests that a lost
// endpoint was running. Spares reserve memory for this number.
constexpr double normal_load_requests = 20;

// Endpoints refuse paths with more hops, so a copy over more of them could not be used.
constexpr std::size_t max_copy_members = 32;

// Latency in milliseconds that each endpoint in a path adds to every token: one transfer within the
// failure domain and the wait until the endpoint's current forward pass ends.
constexpr double hop_latency_ms = 0.5;

bool empty(layer_range layers)
{
    return layers.m_begin >= layers.m_end;
}

std::uint32_t size(layer_range layers)
{
    return empty(layers) ? 0 : layers.m_end - layers.m_begin;
}

bool holds(layer_range layers, std::uint32_t layer)
{
    return layers.m_begin <= layer && layer < layers.m_end;
}

bool faster(const placement_member& left, const placement_member& right)
{
    if (left.m_step_factor != right.m_step_factor)
        return left.m_step_factor < right.m_step_factor;
    if (left.m_memory_mb != right.m_memory_mb)
        return left.m_memory_mb > right.m_memory_mb;
    return left.m_endpoint < right.m_endpoint;
}

/// Returns the first range of layers without a holder; empty if every layer has a holder.
layer_range first_gap(std::vector<placement_member> holders, std::uint32_t layers)
{
    std::sort(
        holders.begin(), holders.end(),
        [](const auto& left, const auto& right) { return left.m_layers < right.m_layers; });
    std::uint32_t covered = 0;
    for (const auto& holder : holders)
    {
        if (holder.m_layers.m_begin > covered)
            return {covered, holder.m_layers.m_begin};
        covered = std::max(covered, holder.m_layers.m_end);
    }
    return covered < layers ? layer_range{covered, layers} : layer_range{};
}

/// Returns `members` with large endpoints interleaved between small ones, so that the layers of a
/// lost small endpoint have a neighbour with free memory that can take them over.
std::vector<placement_member> interleave_by_memory(std::vector<placement_member> members)
{
    std::sort(
        members.begin(), members.end(),
        [](const auto& left, const auto& right)
        {
            return left.m_memory_mb != right.m_memory_mb ? left.m_memory_mb > right.m_memory_mb
                                                         : left.m_endpoint < right.m_endpoint;
        });
    std::size_t large_count = 0;
    while (large_count < members.size() &&
           members[large_count].m_memory_mb > members.back().m_memory_mb)
        ++large_count;
    const std::size_t small_count = members.size() - large_count;
    std::vector<placement_member> order;
    std::size_t placed_small = 0;
    for (std::size_t i = 0; i < large_count; ++i)
    {
        const std::size_t group_end = small_count * (i + 1) / large_count;
        // Half of this group's small endpoints precede the large one, the others follow it.
        const std::size_t half_end = placed_small + (group_end - placed_small) / 2;
        for (; placed_small < half_end; ++placed_small)
            order.push_back(members[large_count + placed_small]);
        order.push_back(members[i]);
        for (; placed_small < group_end; ++placed_small)
            order.push_back(members[large_count + placed_small]);
    }
    for (; placed_small < small_count; ++placed_small)
        order.push_back(members[large_count + placed_small]);
    return order;
}

} // namespace

double layer_placement::token_capacity(const placement_member& member, std::uint32_t layers) const
{
    if (layers == 0)
        return std::numeric_limits<double>::infinity();
    const double bytes_per_layer = m_engine.m_kv_bytes_per_token / m_engine.m_layers;
    const double free_mb = member.m_memory_mb - layers * m_engine.m_layer_mb;
    return free_mb * 1e6 / (bytes_per_layer * layers);
}

std::uint32_t layer_placement::max_layers(const placement_member& member, double requests) const
{
    const double nominal = m_engine.m_mean_prompt_tokens + m_engine.m_mean_response_tokens;
    std::uint32_t layers = m_engine.m_layers;
    while (layers > 0 && (layers * m_engine.m_layer_mb > member.m_memory_mb ||
                          token_capacity(member, layers) < nominal * requests))
        --layers;
    return layers;
}

/// Returns the number of layers for each member of one copy, balancing the number of tokens that
/// the members have memory for. Returns an empty vector if the copy does not fit.
std::vector<std::uint32_t> layer_placement::partition_copy(const member_list& members) const
{
    std::vector<std::uint32_t> layer_counts(members.size(), 0);
    std::vector<std::uint32_t> layer_limits;
    for (const auto& member : members)
        layer_limits.push_back(max_layers(member, min_requests));
    for (std::uint32_t layer = 0; layer < m_engine.m_layers; ++layer)
    {
        std::size_t best = members.size();
        for (std::size_t i = 0; i < members.size(); ++i)
        {
            if (layer_counts[i] < layer_limits[i] &&
                (best == members.size() ||
                 token_capacity(members[i], layer_counts[i] + 1) >
                     token_capacity(members[best], layer_counts[best] + 1)))
                best = i;
        }
        if (best == members.size())
            return {};
        ++layer_counts[best];
    }
    return layer_counts;
}

/// Returns the throughput of a copy over `members` at full load, or 0 if the copy does not fit.
double layer_placement::requests_per_second(const member_list& members) const
{
    const auto layer_counts = partition_copy(members);
    if (layer_counts.empty())
        return 0;
    const double nominal = m_engine.m_mean_prompt_tokens + m_engine.m_mean_response_tokens;
    double requests = m_engine.m_max_batch_size;
    double mean_step_factor = 0;
    double hops = 0;
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        if (layer_counts[i] == 0)
            continue;
        requests = std::min(
            requests, token_capacity(members[i], layer_counts[i]) / std::max(nominal, 1.0));
        mean_step_factor += members[i].m_step_factor * layer_counts[i] / m_engine.m_layers;
        ++hops;
    }
    const double token_ms = mean_step_factor * (m_engine.m_decode_step_ms +
                                                requests * m_engine.m_decode_step_per_request_ms) +
                            hops * hop_latency_ms;
    return requests * 1e3 / (std::max<double>(m_engine.m_mean_response_tokens, 1) * token_ms);
}

layer_assignment layer_placement::partition_domain(member_list members) const
{
    std::sort(members.begin(), members.end(), faster);
    // Dynamic programming: best[i] is the maximum throughput, in requests per second, of members i
    // to the end. A copy consists of consecutive members in order of speed.
    const std::size_t count = members.size();
    std::vector<double> best(count + 1, 0);
    std::vector<std::size_t> copy_end(count + 1, count);
    for (std::size_t begin = count; begin-- > 0;)
    {
        for (std::size_t end = begin + 1; end <= std::min(count, begin + max_copy_members); ++end)
        {
            const auto first = members.begin();
            const member_list copy(
                first + static_cast<std::ptrdiff_t>(begin),
                first + static_cast<std::ptrdiff_t>(end));
            const double rate = requests_per_second(copy);
            if (rate > 0 && rate + best[end] > best[begin])
            {
                best[begin] = rate + best[end];
                copy_end[begin] = end;
            }
        }
    }
    if (count == 0 || best[0] == 0)
        return {};
    layer_assignment assignment;
    member_list holders;
    std::size_t begin = 0;
    for (; begin < count && best[begin] > 0; begin = copy_end[begin])
    {
        const auto first = members.begin();
        const auto copy = interleave_by_memory(
            {first + static_cast<std::ptrdiff_t>(begin),
             first + static_cast<std::ptrdiff_t>(copy_end[begin])});
        const auto layer_counts = partition_copy(copy);
        std::uint32_t layer = 0;
        for (std::size_t i = 0; i < copy.size(); ++i)
        {
            if (layer_counts[i] > 0)
            {
                assignment[copy[i].m_endpoint] = {
                    {layer, layer + layer_counts[i]}, layer_counts[i]};
                holders.push_back(copy[i]);
                holders.back().m_layers = {layer, layer + layer_counts[i]};
            }
            layer += layer_counts[i];
        }
    }
    for (; begin < count; ++begin)
    {
        auto spare = members[begin];
        spare.m_layers = least_covered_range(holders, max_layers(spare, normal_load_requests));
        if (empty(spare.m_layers))
            continue;
        assignment[spare.m_endpoint] = {spare.m_layers, size(spare.m_layers)};
        holders.push_back(spare);
    }
    return assignment;
}

/// Returns the range of `layers` consecutive layers with the least coverage. Each holder adds 1 to
/// the coverage of its layers, plus a value below 1 that grows with the holder's token capacity
/// divided by its step factor. This value decides between ranges with equally many holders.
layer_range
layer_placement::least_covered_range(const member_list& holders, std::uint32_t layers) const
{
    if (layers == 0)
        return {};
    std::vector<double> coverage(m_engine.m_layers, 0);
    for (const auto& holder : holders)
    {
        const double weighted_capacity =
            std::max(token_capacity(holder, size(holder.m_layers)), 0.0) /
            std::max(holder.m_step_factor, 0.01);
        const double weight = 1 + weighted_capacity / (weighted_capacity + 1e9);
        for (std::uint32_t layer = holder.m_layers.m_begin;
             layer < std::min(holder.m_layers.m_end, m_engine.m_layers); ++layer)
            coverage[layer] += weight;
    }
    layers = std::min(layers, m_engine.m_layers);
    double lowest_coverage = std::numeric_limits<double>::infinity();
    std::uint32_t best_begin = 0;
    for (std::uint32_t begin = 0; begin + layers <= m_engine.m_layers; ++begin)
    {
        double sum = 0;
        for (std::uint32_t layer = begin; layer < begin + layers; ++layer)
            sum += coverage[layer];
        if (sum < lowest_coverage)
        {
            lowest_coverage = sum;
            best_begin = begin;
        }
    }
    return {best_begin, best_begin + layers};
}

/// Moves an endpoint whose layers others have loaded as well to `gap`, the one with the fewest
/// layers to release. Returns false if there is none with enough memory.
bool layer_placement::move_spare(member_list& holders, layer_range gap) const
{
    placement_member* chosen = nullptr;
    for (auto& holder : holders)
    {
        bool spare = max_layers(holder, min_requests) >= size(gap);
        for (auto layer = holder.m_layers.m_begin; spare && layer < holder.m_layers.m_end; ++layer)
        {
            spare = std::any_of(
                holders.begin(), holders.end(),
                [&](const placement_member& other)
                {
                    return other.m_endpoint != holder.m_endpoint && holds(other.m_layers, layer) &&
                           holds(other.m_loaded, layer);
                });
        }
        if (spare && (chosen == nullptr || size(holder.m_layers) < size(chosen->m_layers)))
            chosen = &holder;
    }
    if (chosen == nullptr)
        return false;
    chosen->m_layers = gap;
    chosen->m_nominal_layers = size(gap);
    return first_gap(holders, m_engine.m_layers) == layer_range{};
}

/// Changes the ranges of `holders` so that they cover all layers, of which `gap` has no holder.
/// Releasing layers takes until the requests that use them have ended or moved, so a change
/// without that is preferred. Returns false if their memory does not suffice.
bool layer_placement::change_ranges(member_list& holders, layer_range gap) const
{
    std::vector<layer_cover::holder> cover_holders;
    for (const auto& holder : holders)
    {
        cover_holders.push_back(
            {holder.m_layers, std::max(max_layers(holder, min_requests), size(holder.m_layers)),
             std::max(max_layers(holder, normal_load_requests), size(holder.m_layers))});
    }
    layer_cover cover(cover_holders, m_engine.m_layers);
    auto ranges = cover.find(layer_cover::change_kind::extend);
    if (!ranges)
    {
        auto moved = holders;
        if (move_spare(moved, gap))
        {
            holders = std::move(moved);
            return true;
        }
        ranges = cover.find(layer_cover::change_kind::shift);
    }
    if (!ranges)
        return false;
    for (std::size_t i = 0; i < holders.size(); ++i)
        holders[i].m_layers = (*ranges)[i];
    return true;
}

/// Assigns layers without a holder to endpoints of `unassigned`, largest memory first, and moves
/// these to `holders`. Changes the ranges of `holders` when `unassigned` is exhausted. Returns
/// false if layers remain without a holder.
bool layer_placement::close_gaps(member_list& holders, member_list& unassigned) const
{
    for (auto gap = first_gap(holders, m_engine.m_layers); !empty(gap);
         gap = first_gap(holders, m_engine.m_layers))
    {
        const auto best = std::max_element(
            unassigned.begin(), unassigned.end(),
            [](const auto& left, const auto& right)
            { return left.m_memory_mb < right.m_memory_mb; });
        if (best == unassigned.end())
        {
            return change_ranges(holders, gap);
        }
        const auto layers_to_add = std::min(size(gap), max_layers(*best, min_requests));
        if (layers_to_add > 0)
        {
            best->m_layers = {gap.m_begin, gap.m_begin + layers_to_add};
            holders.push_back(*best);
        }
        unassigned.erase(best);
    }
    return true;
}

/// Shrinks ranges with more layers than `m_nominal_layers`: removes layers at either end that
/// another endpoint is assigned and has loaded.
void layer_placement::release_redundant_layers(member_list& holders) const
{
    const auto loaded_elsewhere = [&](const placement_member& holder, std::uint32_t layer)
    {
        return std::any_of(
            holders.begin(), holders.end(),
            [&](const placement_member& other)
            {
                return other.m_endpoint != holder.m_endpoint && holds(other.m_layers, layer) &&
                       holds(other.m_loaded, layer);
            });
    };
    for (auto& holder : holders)
    {
        if (holder.m_nominal_layers == 0 || holder.m_layers != holder.m_loaded)
            continue;
        while (size(holder.m_layers) > holder.m_nominal_layers)
        {
            if (loaded_elsewhere(holder, holder.m_layers.m_begin))
                ++holder.m_layers.m_begin;
            else if (loaded_elsewhere(holder, holder.m_layers.m_end - 1))
                --holder.m_layers.m_end;
            else
                break;
        }
    }
}

layer_assignment layer_placement::plan(const std::vector<placement_member>& members) const
{
    member_list holders;
    member_list unassigned;
    for (const auto& member : members)
        (empty(member.m_layers) ? unassigned : holders).push_back(member);
    if (holders.empty() || !close_gaps(holders, unassigned))
        return partition_domain(members);
    if (!unassigned.empty())
    {
        const auto nominal = partition_domain(members);
        std::sort(unassigned.begin(), unassigned.end(), faster);
        for (auto member : unassigned)
        {
            const auto placed = nominal.find(member.m_endpoint);
            if (placed == nominal.end())
                continue;
            member.m_nominal_layers = placed->second.m_nominal_layers;
            member.m_layers = least_covered_range(holders, member.m_nominal_layers);
            holders.push_back(std::move(member));
        }
    }
    release_redundant_layers(holders);
    layer_assignment assignment;
    for (const auto& holder : holders)
    {
        const auto nominal =
            holder.m_nominal_layers == 0 ? size(holder.m_layers) : holder.m_nominal_layers;
        assignment[holder.m_endpoint] = {holder.m_layers, nominal};
    }
    return assignment;
}

} // namespace fulmaryard
