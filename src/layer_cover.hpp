#ifndef FULMARYARD_LAYER_COVER_HPP
#define FULMARYARD_LAYER_COVER_HPP

#include <fulmaryard/layer_range.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace fulmaryard
{

/// Finds the cheapest change of layer ranges after which the endpoints hold all layers of a model.
///
/// Searches for a chain of endpoints whose ranges cover the model from the first layer to the last.
/// Extending keeps all layers; shifting also releases layers. Shifting handles the loss of an
/// endpoint whose neighbours lack memory: a more distant endpoint loads additional layers and the
/// endpoints in between shift.
/// Otherwise the failure domain would be partitioned again and serve no requests until its
/// endpoints had loaded. Does no I/O.
class layer_cover
{
public:
    struct holder
    {
        layer_range m_held;
        std::uint32_t m_max_layers{0}; ///< Layers that leave memory for the minimum of requests.
        std::uint32_t m_normal_load_layers{0}; ///< Layers that leave memory for a normal load.

        friend auto operator<=>(const holder&, const holder&) = default;
    };

    layer_cover(const std::vector<holder>& holders, std::uint32_t layers);

    /// Whether the changed ranges may release layers that the endpoint holds.
    enum class change_kind
    {
        extend,
        shift
    };

    /// Returns the new range of each holder, in the order given to the constructor, or nothing if
    /// no chain covers all layers.
    std::optional<std::vector<layer_range>> find(change_kind kind);

private:
    /// A chain of holders that covers the first layers of the model.
    struct partial_chain
    {
        double m_cost{0};
        layer_range m_range;              ///< New range of the last holder.
        std::uint32_t m_previous_end{0};  ///< Layers covered by the chain without its last holder.
        std::size_t m_previous_holder{0}; ///< Index of the holder before the last one.
        bool m_found{false};              ///< Whether such a chain has been found.
    };

    /// Returns the new range of a holder that must cover `part`. Keeps as many of its current
    /// layers as fit into its memory.
    layer_range range_for(const holder& current, layer_range part) const;
    /// Returns the cost of changing a holder's range, in units of one layer load.
    double cost(const holder& current, layer_range range) const;
    /// Whether the chain that covers `end` layers and ends at `last` contains holder `index`.
    bool chain_contains(std::uint32_t end, std::size_t last, std::size_t index) const;
    /// Appends holder `index` to the cheapest chain that covers `from` layers.
    void extend_chain(std::uint32_t from, std::size_t index);
    std::optional<std::vector<layer_range>> find_chain();

    const std::vector<holder>& m_holders;
    std::uint32_t m_layers;
    bool m_allow_release{false};
    /// The cheapest chains, indexed by the number of covered layers and the last holder.
    std::vector<std::vector<partial_chain>> m_best_chains;
};

} // namespace fulmaryard

#endif
