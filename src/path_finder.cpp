#include <fulmaryard/path_finder.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <utility>

namespace fulmaryard
{

namespace
{

// Endpoints refuse paths with more hops.
constexpr std::size_t max_hops = 32;

// Cost of each hop in milliseconds, so that few long hops are preferred over many short ones.
constexpr double hop_cost_ms = 0.3;

// Up to this number of candidates the search considers all of them. Its time grows with their
// square.
constexpr std::size_t max_searched_candidates = 64;

// Candidates with the same layers that the search considers otherwise. Endpoints of one kind hold
// the same ranges in many copies of the model.
constexpr std::size_t max_candidates_per_range = 4;

/// Cheapest path over all layers up to a boundary whose last endpoint is `m_candidate`.
struct partial_path
{
    double m_cost_ms{std::numeric_limits<double>::infinity()};
    std::size_t m_candidate{0};
    std::size_t m_begin_boundary{0}; ///< Index of the boundary where the last hop begins.
    std::size_t m_previous{0};       ///< Candidate of the hop before; unused for the first hop.
    std::size_t m_hops{0};

    bool is_reachable() const { return m_cost_ms < std::numeric_limits<double>::infinity(); }
};

/// Dynamic programming over the layer boundaries at which an endpoint's layers begin or end.
///
/// A partial path is kept for each boundary and last candidate; boundaries are processed in order.
class path_search
{
public:
    path_search(const std::vector<path_candidate>& candidates, const path_query& query)
        : m_candidates(candidates),
          m_query(query)
    {
        m_boundaries = {query.m_begin, query.m_layers};
        for (const auto& candidate : candidates)
        {
            if (!is_usable(candidate))
                continue;
            const auto& layers = candidate.m_layers;
            m_boundaries.push_back(std::clamp(layers.m_begin, query.m_begin, query.m_layers));
            m_boundaries.push_back(std::clamp(layers.m_end, query.m_begin, query.m_layers));
        }
        for (const auto& hop : query.m_kept)
        {
            m_boundaries.push_back(std::clamp(hop.m_layers.m_begin, query.m_begin, query.m_layers));
            m_boundaries.push_back(std::clamp(hop.m_layers.m_end, query.m_begin, query.m_layers));
        }
        std::sort(m_boundaries.begin(), m_boundaries.end());
        m_boundaries.erase(
            std::unique(m_boundaries.begin(), m_boundaries.end()), m_boundaries.end());
        m_best.assign(
            m_boundaries.size(), std::vector<partial_path>(candidates.size(), partial_path{}));
    }

    found_path run()
    {
        for (std::size_t from = 0; from + 1 < m_boundaries.size(); ++from)
            extend_from(from);
        return reconstruct_path();
    }

private:
    bool is_usable(const path_candidate& candidate) const
    {
        return candidate.m_layers.m_begin < candidate.m_layers.m_end &&
               candidate.m_prefill_wait_ms <= m_query.m_max_prefill_wait_ms &&
               (m_query.m_domain.empty() || candidate.m_failure_domain == m_query.m_domain);
    }

    /// Whether the stream has the KV cache of these layers at this endpoint already.
    bool is_kept(const path_candidate& candidate, layer_range layers) const
    {
        return std::any_of(
            m_query.m_kept.begin(), m_query.m_kept.end(),
            [&](const path_hop& hop)
            { return hop.m_layers == layers && hop.m_endpoint == candidate.m_endpoint; });
    }

    bool can_be_first(const path_candidate& candidate) const
    {
        return m_query.m_begin > 0 || candidate.m_free_slots > 0;
    }

    /// Whether the partial path that ends at `boundary` with `last` contains `candidate`.
    bool contains(std::size_t boundary, std::size_t last, std::size_t candidate) const
    {
        while (boundary > 0)
        {
            const auto& part = m_best[boundary][last];
            if (last == candidate)
                return true;
            boundary = part.m_begin_boundary;
            last = part.m_previous;
        }
        return false;
    }

    /// Appends each candidate that holds the layer at boundary `from` to the cheapest partial path
    /// that ends there.
    void extend_from(std::size_t from)
    {
        for (std::size_t next = 0; next < m_candidates.size(); ++next)
        {
            const auto& candidate = m_candidates[next];
            if (!is_usable(candidate) || candidate.m_layers.m_begin > m_boundaries[from] ||
                candidate.m_layers.m_end <= m_boundaries[from])
                continue;
            if (from == 0 && !can_be_first(candidate))
                continue;
            const auto predecessor = cheapest_predecessor(from, next);
            if (!predecessor)
                continue;
            for (std::size_t to = from + 1; to < m_boundaries.size(); ++to)
            {
                if (m_boundaries[to] > candidate.m_layers.m_end)
                    break;
                const double layers = m_boundaries[to] - m_boundaries[from];
                if (candidate.m_free_token_layers < layers * m_query.m_tokens)
                    break;
                const double prefill_ms =
                    is_kept(candidate, {m_boundaries[from], m_boundaries[to]})
                        ? 0
                        : candidate.m_prefill_wait_ms +
                              layers * m_query.m_unread * candidate.m_prefill_layer_ms;
                partial_path part;
                part.m_cost_ms = predecessor->m_cost_ms + layers * candidate.m_decode_layer_ms +
                                 hop_cost_ms + m_query.m_prefill_weight * prefill_ms;
                part.m_candidate = next;
                part.m_begin_boundary = from;
                part.m_previous = predecessor->m_candidate;
                part.m_hops = predecessor->m_hops + 1;
                if (part.m_hops <= max_hops && part.m_cost_ms < m_best[to][next].m_cost_ms)
                    m_best[to][next] = part;
            }
        }
    }

    /// Returns the cheapest partial path to boundary `from` that does not contain `next`, with the
    /// cost of a change of failure domain to `next` added.
    std::optional<partial_path> cheapest_predecessor(std::size_t from, std::size_t next) const
    {
        if (from == 0)
        {
            partial_path start;
            start.m_cost_ms = 0;
            return start;
        }
        std::optional<partial_path> cheapest;
        for (std::size_t last = 0; last < m_candidates.size(); ++last)
        {
            partial_path part = m_best[from][last];
            if (last == next || !part.is_reachable())
                continue;
            if (m_candidates[last].m_failure_domain != m_candidates[next].m_failure_domain)
                part.m_cost_ms += m_query.m_crossing_cost_ms;
            if ((!cheapest || part.m_cost_ms < cheapest->m_cost_ms) && !contains(from, last, next))
                cheapest = part;
        }
        return cheapest;
    }

    /// Reconstructs the cheapest complete path from its last hop backwards.
    found_path reconstruct_path() const
    {
        std::size_t boundary = m_boundaries.size() - 1;
        std::size_t last = 0;
        for (std::size_t i = 1; i < m_candidates.size(); ++i)
        {
            if (m_best[boundary][i].m_cost_ms < m_best[boundary][last].m_cost_ms)
                last = i;
        }
        found_path path;
        if (m_candidates.empty() || !m_best[boundary][last].is_reachable())
            return path;
        path.m_cost_ms = m_best[boundary][last].m_cost_ms;
        while (boundary > 0)
        {
            const auto& part = m_best[boundary][last];
            const auto& candidate = m_candidates[last];
            path.m_hops.push_back(
                {candidate.m_endpoint,
                 candidate.m_address,
                 {m_boundaries[part.m_begin_boundary], m_boundaries[boundary]}});
            boundary = part.m_begin_boundary;
            last = part.m_previous;
        }
        std::reverse(path.m_hops.begin(), path.m_hops.end());
        return path;
    }

    const std::vector<path_candidate>& m_candidates;
    const path_query& m_query;
    std::vector<std::uint32_t> m_boundaries;
    std::vector<std::vector<partial_path>> m_best; ///< Indexed by boundary, then last candidate.
};

/// Returns the candidates of the queried failure domain, of those with the same layers only the
/// cheapest ones that have memory for the request.
std::vector<path_candidate>
cheapest_per_range(const std::vector<path_candidate>& candidates, const path_query& query)
{
    std::map<layer_range, std::vector<std::pair<double, const path_candidate*>>> by_range;
    for (const auto& candidate : candidates)
    {
        if (!query.m_domain.empty() && candidate.m_failure_domain != query.m_domain)
            continue;
        const double layers = candidate.m_layers.m_end - candidate.m_layers.m_begin;
        if (candidate.m_free_token_layers < layers * query.m_tokens ||
            (candidate.m_layers.m_begin == 0 && candidate.m_free_slots <= 0))
            continue;
        const double cost = layers * candidate.m_decode_layer_ms +
                            query.m_prefill_weight * candidate.m_prefill_wait_ms;
        by_range[candidate.m_layers].emplace_back(cost, &candidate);
    }
    std::vector<path_candidate> selected;
    for (auto& [range, alternatives] : by_range)
    {
        const auto count = std::min(alternatives.size(), max_candidates_per_range);
        std::partial_sort(
            alternatives.begin(), alternatives.begin() + static_cast<std::ptrdiff_t>(count),
            alternatives.end());
        for (std::size_t i = 0; i < count; ++i)
            selected.push_back(*alternatives[i].second);
    }
    return selected;
}

} // namespace

found_path find_path(const std::vector<path_candidate>& candidates, const path_query& query)
{
    const auto in_domain = static_cast<std::size_t>(std::count_if(
        candidates.begin(), candidates.end(),
        [&](const path_candidate& candidate)
        { return query.m_domain.empty() || candidate.m_failure_domain == query.m_domain; }));
    if (in_domain <= max_searched_candidates)
        return find_exact_path(candidates, query);
    return find_exact_path(cheapest_per_range(candidates, query), query);
}

found_path find_exact_path(const std::vector<path_candidate>& candidates, const path_query& query)
{
    return path_search(candidates, query).run();
}

} // namespace fulmaryard
