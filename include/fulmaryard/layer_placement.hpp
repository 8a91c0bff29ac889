#ifndef FULMARYARD_LAYER_PLACEMENT_HPP
#define FULMARYARD_LAYER_PLACEMENT_HPP

#include <fulmaryard/pipeline_engine.hpp>
#include <fulmaryard/placed_layers.hpp>
#include <fulmaryard/placement_member.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Assigned layers by endpoint id. Endpoints without layers have no entry.
using layer_assignment = std::map<std::string, placed_layers>;

/// Assigns model layers to the endpoints of one failure domain.
///
/// A domain without assigned layers is partitioned into copies of the model. Endpoints of similar
/// speed form a copy, and the partition maximizes the total throughput in requests per second: a
/// copy over more endpoints has memory for more requests, but each of its tokens passes through
/// more and slower endpoints. Within a copy, layers are distributed so that the endpoints have
/// memory for about the same number of tokens. Endpoints that belong to no copy become spares,
/// each with a part of the model.
///
/// When an endpoint is lost, its layers are assigned to endpoints without layers. Failing that, the
/// first of these that covers all layers is taken: endpoints extend their ranges (see
/// `layer_cover`), an endpoint whose layers others hold as well moves, endpoints shift their
/// ranges. The domain is partitioned again only if none does. An endpoint without layers is
/// otherwise assigned the range with the fewest holders. Endpoints that were extended to close a
/// gap release the additional layers once other endpoints have loaded them. Does no I/O.
class layer_placement
{
public:
    explicit layer_placement(const pipeline_engine& engine) : m_engine(engine) {}

    /// Returns the next assignment for `members`, which all belong to one failure domain. Ranges
    /// that need no change are kept. The result is empty if the domain cannot hold a complete copy.
    layer_assignment plan(const std::vector<placement_member>& members) const;

    /// Returns the number of request tokens that fit into the memory of `member` while it holds
    /// `layers` layers; infinite for 0 layers, negative if the layers themselves do not fit.
    double token_capacity(const placement_member& member, std::uint32_t layers) const;

private:
    using member_list = std::vector<placement_member>;

    layer_assignment partition_domain(member_list members) const;
    std::vector<std::uint32_t> partition_copy(const member_list& members) const;
    double requests_per_second(const member_list& members) const;
    bool close_gaps(member_list& holders, member_list& unassigned) const;
    bool change_ranges(member_list& holders, layer_range gap) const;
    bool move_spare(member_list& holders, layer_range gap) const;
    layer_range least_covered_range(const member_list& holders, std::uint32_t layers) const;
    void release_redundant_layers(member_list& holders) const;
    std::uint32_t max_layers(const placement_member& member, double requests) const;

    pipeline_engine m_engine;
};

} // namespace fulmaryard

#endif
