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

/// Layers by endpoint id; endpoints that hold nothing are left out.
using layer_assignment = std::map<std::string, placed_layers>;

/// Decides which layers the endpoints of one failure domain hold.
///
/// An empty domain is divided into copies of the model, the fastest endpoints together, such that
/// the copies complete the most requests a second: more endpoints in a copy give more room for
/// requests, but each token then crosses more and slower endpoints. Endpoints that are left over
/// hold parts of the model as a spare. Within a copy all have equal room.
///
/// A gap that a lost endpoint left is closed by endpoints that hold nothing, or by others that
/// extend or shift what they hold with the fewest loads; the domain is divided anew only when no
/// such change suffices. An endpoint that holds nothing takes the layers for which there is the
/// least room, and endpoints that had closed a gap then give up what others hold. Does no I/O.
class layer_placement
{
public:
    explicit layer_placement(const pipeline_engine& engine) : m_engine(engine) {}

    /// The next assignment for `members`, all of one failure domain. What an endpoint holds stays
    /// where nothing is to be done; empty when no copy fits.
    layer_assignment plan(const std::vector<placement_member>& members) const;

    /// Tokens of requests for which `member` has memory beside `layers` layers.
    double room(const placement_member& member, std::uint32_t layers) const;

private:
    using chain = std::vector<placement_member>;

    layer_assignment divide_domain(chain members) const;
    std::vector<std::uint32_t> divide_copy(const chain& members) const;
    double requests_per_second(const chain& members) const;
    bool close_gaps(chain& holders, chain& idle) const;
    bool cover(chain& holders) const;
    layer_range weakest_window(const chain& holders, std::uint32_t layers) const;
    void shrink_overlaps(chain& holders) const;
    std::uint32_t most_layers(const placement_member& member, double requests) const;

    pipeline_engine m_engine;
};

} // namespace fulmaryard

#endif
