#ifndef FULMARYARD_LAYER_BALANCER_HPP
#define FULMARYARD_LAYER_BALANCER_HPP

#include <fulmaryard/layer_placement.hpp>
#include <fulmaryard/pipeline_engine.hpp>
#include <fulmaryard/placement_member.hpp>

#include <optional>
#include <vector>

namespace fulmaryard
{

/// Moves layers away from the endpoints of a failure domain that have the least memory for
/// requests, one endpoint at a time.
///
/// Load pattern: endpoints were lost under load and their neighbours hold their layers as well.
/// Every request of the domain passes through these neighbours, so the little memory that their
/// weights leave limits the whole domain until the layers are spread again. A change is proposed
/// only for a domain that holds all layers, and releases only layers that another endpoint has
/// loaded. Does no I/O.
class layer_balancer
{
public:
    using member_list = std::vector<placement_member>;

    /// A change must raise the throughput of the domain by this factor, since the streams that pass
    /// through released layers have to move.
    static constexpr double min_gain = 1.15;
    /// Memory of a domain at its tightest layer, relative to what running requests reserve, below
    /// which second holders of layers move.
    static constexpr double min_headroom = 2;
    /// Share of the throughput of a new assignment that a domain should reach.
    static constexpr double min_ideal_share = 0.7;

    explicit layer_balancer(const pipeline_engine& engine) : m_engine(engine), m_placement(engine)
    {
    }

    /// Returns the endpoint of `members`, which all belong to one failure domain, whose range
    /// should change next, with its new range and nominal number of layers. Returns nothing if no
    /// change of one endpoint is worthwhile, if a layer has no holder, or while an endpoint still
    /// loads or releases layers.
    ///
    /// `ideal` is `ideal_throughput` of the same endpoints. A domain that reaches `min_ideal_share`
    /// of it stays as it is, since each change moves requests.
    ///
    /// `demand` is the number of tokens that the running requests reserve at the busiest layer. An
    /// endpoint that is a second holder of its layers gives these up only while the domain has
    /// memory for less than `min_headroom` times the demand, since the next loss may need them.
    std::optional<placement_member>
    next_change(const member_list& members, double ideal, double demand) const;

    /// Returns a figure proportional to the requests per second that the domain can complete: the
    /// capacity of its bottleneck divided by the time of one token, with a bonus for second
    /// holders. 0 if a layer has no memory.
    ///
    /// The capacity is a mean over the layers with the exponent -4: the layers with the least
    /// memory decide, but relieving one of several equally tight layers still counts as a gain.
    double throughput(const member_list& members) const;

    /// Returns the throughput of the domain if its layers were assigned anew, in the unit that
    /// `next_change` uses. The time grows with the third power of the number of endpoints.
    double ideal_throughput(member_list members) const;

    /// Whether the domain has memory for less than `min_headroom` times `demand`.
    bool is_short(const member_list& members, double demand) const;

    /// Returns the number of request tokens for which the endpoints together have memory at each
    /// layer, at most one full batch of mean requests.
    std::vector<double> layer_capacities(const member_list& members) const;

private:
    double second_holder_share(const member_list& members) const;
    layer_range tightest_layers(const member_list& members) const;
    std::vector<placement_member> candidates(
        const member_list& members, std::size_t index, layer_range tight, bool may_move) const;
    double throughput_after(member_list members, std::size_t index) const;
    std::optional<placement_member>
    change_one(const member_list& members, layer_range tight, bool may_move, double current) const;
    std::optional<placement_member>
    hand_over(const member_list& members, layer_range tight, double current) const;

    pipeline_engine m_engine;
    layer_placement m_placement;
};

} // namespace fulmaryard

#endif
