#ifndef FULMARYARD_LAYER_PLACEMENT_HPP
#define FULMARYARD_LAYER_PLACEMENT_HPP

#include <fulmaryard/layer_range.hpp>
#include <fulmaryard/pipeline_engine.hpp>
#include <fulmaryard/placement_member.hpp>

#include <map>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Ranges by endpoint id; endpoints that hold nothing are left out.
using layer_assignment = std::map<std::string, layer_range>;

/// Decides which layers the endpoints of one failure domain hold.
///
/// An empty domain gets one copy over all endpoints, with equal room for requests. A gap that a
/// lost endpoint left is closed by endpoints that hold nothing or by its neighbours, since their
/// loads are the shortest; the whole domain is divided anew only when these lack memory. An
/// endpoint that holds nothing takes its part of the chain where this makes the fewest others
/// load, and the others then give up what it holds. Does no I/O.
class layer_placement
{
public:
    explicit layer_placement(const pipeline_engine& engine) : m_engine(engine) {}

    /// The next assignment for `members`, all of one failure domain. Returns what they hold when
    /// nothing is to be done, and an empty assignment when one copy does not fit.
    layer_assignment plan(const std::vector<placement_member>& members) const;

    /// Tokens of requests for which `member` has memory beside `layers` layers.
    double room(const placement_member& member, std::uint32_t layers) const;

private:
    using chain = std::vector<placement_member>;

    layer_assignment divide(const chain& order) const;
    bool close_gaps(chain& holders, chain& idle) const;
    bool extend_neighbours(chain& holders, layer_range gap) const;
    void insert_idle(chain& holders, const placement_member& member) const;
    void shrink_overlaps(chain& holders) const;
    std::uint32_t most_layers(const placement_member& member) const;

    pipeline_engine m_engine;
};

} // namespace fulmaryard

#endif
