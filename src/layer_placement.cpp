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
constexpr double fewest_requests = 4;

// Number of requests of mean length that make up a normal load: about the requests that a lost
// endpoint was running. Spares reserve memory for this number.
constexpr double spare_requests = 20;

// Latency in milliseconds that each endpoint in a path adds to every token: one transfer within the
// failure domain and the wait until the endpoint's current forward pass ends.
constexpr double hop_ms = 0.5;

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
        // Half of this group's small endpoints precede the large one, the others follow it.
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

std::uint32_t layer_placement::most_layers(const placement_member& member, double requests) const
{
    const double usual = m_engine.m_usual_prompt + m_engine.m_usual_answer;
    std::uint32_t layers = m_engine.m_layers;
    while (layers > 0 && (layers * m_engine.m_layer_mb > member.m_memory_mb ||
                          room(member, layers) < usual * requests))
        --layers;
    return layers;
}

/// Returns the number of layers for each member of one copy, balancing the number of tokens that
/// the members have memory for. Returns an empty vector if the copy does not fit.
std::vector<std::uint32_t> layer_placement::divide_copy(const chain& members) const
{
    std::vector<std::uint32_t> counts(members.size(), 0);
    std::vector<std::uint32_t> most;
    for (const auto& member : members)
        most.push_back(most_layers(member, fewest_requests));
    for (std::uint32_t layer = 0; layer < m_engine.m_layers; ++layer)
    {
        std::size_t best = members.size();
        for (std::size_t i = 0; i < members.size(); ++i)
        {
            if (counts[i] < most[i] &&
                (best == members.size() ||
                 room(members[i], counts[i] + 1) > room(members[best], counts[best] + 1)))
                best = i;
        }
        if (best == members.size())
            return {};
        ++counts[best];
    }
    return counts;
}

/// Returns the throughput of a copy over `members` at full load, or 0 if the copy does not fit.
double layer_placement::requests_per_second(const chain& members) const
{
    const auto counts = divide_copy(members);
    if (counts.empty())
        return 0;
    const double usual = m_engine.m_usual_prompt + m_engine.m_usual_answer;
    double requests = m_engine.m_batch_places;
    double factor = 0;
    double hops = 0;
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        if (counts[i] == 0)
            continue;
        requests = std::min(requests, room(members[i], counts[i]) / std::max(usual, 1.0));
        factor += members[i].m_step_factor * counts[i] / m_engine.m_layers;
        ++hops;
    }
    const double token_ms =
        factor * (m_engine.m_step_ms + requests * m_engine.m_step_per_request_ms) + hops * hop_ms;
    return requests * 1e3 / (std::max<double>(m_engine.m_usual_answer, 1) * token_ms);
}

layer_assignment layer_placement::divide_domain(chain members) const
{
    std::sort(members.begin(), members.end(), faster);
    // Dynamic programming: best[i] is the maximum throughput, in requests per second, of members i
    // to the end. A copy consists of consecutive members in order of speed.
    const std::size_t count = members.size();
    std::vector<double> best(count + 1, 0);
    std::vector<std::size_t> end_of_copy(count + 1, count);
    for (std::size_t begin = count; begin-- > 0;)
    {
        for (std::size_t end = begin + 1; end <= count; ++end)
        {
            const auto first = members.begin();
            const chain copy(
                first + static_cast<std::ptrdiff_t>(begin),
                first + static_cast<std::ptrdiff_t>(end));
            const double rate = requests_per_second(copy);
            if (rate > 0 && rate + best[end] > best[begin])
            {
                best[begin] = rate + best[end];
                end_of_copy[begin] = end;
            }
        }
    }
    if (count == 0 || best[0] == 0)
        return {};
    layer_assignment assignment;
    chain holders;
    std::size_t begin = 0;
    for (; begin < count && best[begin] > 0; begin = end_of_copy[begin])
    {
        const auto first = members.begin();
        const auto copy = alternate_sizes(
            {first + static_cast<std::ptrdiff_t>(begin),
             first + static_cast<std::ptrdiff_t>(end_of_copy[begin])});
        const auto counts = divide_copy(copy);
        std::uint32_t layer = 0;
        for (std::size_t i = 0; i < copy.size(); ++i)
        {
            if (counts[i] > 0)
            {
                assignment[copy[i].m_endpoint] = {{layer, layer + counts[i]}, counts[i]};
                holders.push_back(copy[i]);
                holders.back().m_layers = {layer, layer + counts[i]};
            }
            layer += counts[i];
        }
    }
    for (; begin < count; ++begin)
    {
        auto spare = members[begin];
        spare.m_layers = weakest_window(holders, most_layers(spare, spare_requests));
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
layer_range layer_placement::weakest_window(const chain& holders, std::uint32_t layers) const
{
    if (layers == 0)
        return {};
    std::vector<double> strength(m_engine.m_layers, 0);
    for (const auto& holder : holders)
    {
        const double strong_room = std::max(room(holder, size(holder.m_layers)), 0.0) /
                                   std::max(holder.m_step_factor, 0.01);
        const double value = 1 + strong_room / (strong_room + 1e9);
        for (std::uint32_t layer = holder.m_layers.m_begin;
             layer < std::min(holder.m_layers.m_end, m_engine.m_layers); ++layer)
            strength[layer] += value;
    }
    layers = std::min(layers, m_engine.m_layers);
    double lowest = std::numeric_limits<double>::infinity();
    std::uint32_t chosen = 0;
    for (std::uint32_t begin = 0; begin + layers <= m_engine.m_layers; ++begin)
    {
        double sum = 0;
        for (std::uint32_t layer = begin; layer < begin + layers; ++layer)
            sum += strength[layer];
        if (sum < lowest)
        {
            lowest = sum;
            chosen = begin;
        }
    }
    return {chosen, chosen + layers};
}

/// Changes the ranges of `holders` at the lowest cost so that they cover all layers. Returns false
/// if their memory does not suffice.
bool layer_placement::cover(chain& holders) const
{
    std::vector<layer_cover::holder> known;
    for (const auto& holder : holders)
    {
        known.push_back(
            {holder.m_layers, std::max(most_layers(holder, fewest_requests), size(holder.m_layers)),
             std::max(most_layers(holder, spare_requests), size(holder.m_layers))});
    }
    const auto ranges = layer_cover(known, m_engine.m_layers).find();
    if (!ranges)
        return false;
    for (std::size_t i = 0; i < holders.size(); ++i)
        holders[i].m_layers = (*ranges)[i];
    return true;
}

/// Assigns layers without a holder to endpoints of `unassigned`, largest memory first, and moves
/// these to `holders`. Changes the ranges of `holders` when `unassigned` is exhausted. Returns
/// false if layers remain without a holder.
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
            return cover(holders);
        }
        const auto take = std::min(size(gap), most_layers(*best, fewest_requests));
        if (take > 0)
        {
            best->m_layers = {gap.m_begin, gap.m_begin + take};
            holders.push_back(*best);
        }
        idle.erase(best);
    }
    return true;
}

/// Shrinks ranges with more layers than `m_nominal_layers`: removes layers at either end that
/// another endpoint is assigned and has loaded.
void layer_placement::shrink_overlaps(chain& holders) const
{
    const auto held_elsewhere = [&](const placement_member& holder, std::uint32_t layer)
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
        if (holder.m_usual == 0 || holder.m_layers != holder.m_loaded)
            continue;
        while (size(holder.m_layers) > holder.m_usual)
        {
            if (held_elsewhere(holder, holder.m_layers.m_begin))
                ++holder.m_layers.m_begin;
            else if (held_elsewhere(holder, holder.m_layers.m_end - 1))
                --holder.m_layers.m_end;
            else
                break;
        }
    }
}

layer_assignment layer_placement::plan(const std::vector<placement_member>& members) const
{
    chain holders;
    chain idle;
    for (const auto& member : members)
        (empty(member.m_layers) ? idle : holders).push_back(member);
    if (holders.empty() || !close_gaps(holders, idle))
        return divide_domain(members);
    if (!idle.empty())
    {
        const auto usual = divide_domain(members);
        std::sort(idle.begin(), idle.end(), faster);
        for (auto member : idle)
        {
            const auto placed = usual.find(member.m_endpoint);
            if (placed == usual.end())
                continue;
            member.m_usual = placed->second.m_usual;
            member.m_layers = weakest_window(holders, member.m_usual);
            holders.push_back(std::move(member));
        }
    }
    shrink_overlaps(holders);
    layer_assignment assignment;
    for (const auto& holder : holders)
    {
        const auto usual = holder.m_usual == 0 ? size(holder.m_layers) : holder.m_usual;
        assignment[holder.m_endpoint] = {holder.m_layers, usual};
    }
    return assignment;
}

} // namespace fulmaryard
