#ifndef FULMARYARD_LAYER_COVER_HPP
#define FULMARYARD_LAYER_COVER_HPP

#include <fulmaryard/layer_range.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace fulmaryard
{

/// Finds the fewest layers to load so that endpoints which hold parts of a model hold all of it.
///
/// Looks for a chain of endpoints, each of which keeps or extends its range; if there is none, of
/// endpoints that may also shift and so give up layers. Answers the loss of an endpoint whose
/// neighbours lack memory: one further away then takes a part and those between shift, instead of a
/// whole failure domain that is divided anew and serves nothing until it has loaded. Does no I/O.
class layer_cover
{
public:
    struct holder
    {
        layer_range m_held;
        std::uint32_t m_most{0};      ///< Layers for which it has memory.
        std::uint32_t m_unhurried{0}; ///< Layers beside which it has usual room for requests.

        friend auto operator<=>(const holder&, const holder&) = default;
    };

    layer_cover(const std::vector<holder>& holders, std::uint32_t layers);

    /// Ranges in the order of the holders; nothing when no chain covers all layers.
    std::optional<std::vector<layer_range>> find();

private:
    struct link
    {
        double m_cost{0};
        layer_range m_range; ///< That the last holder of the chain has then.
        std::uint32_t m_from{0};
        std::size_t m_previous{0};
        bool m_reached{false};
    };

    /// The range of a holder that has to run `part`; keeps as much as its memory allows.
    layer_range range_for(const holder& one, layer_range part) const;
    double cost(const holder& one, layer_range range) const;
    bool uses(std::uint32_t end, std::size_t last, std::size_t index) const;
    void extend(std::uint32_t from, std::size_t index);
    std::optional<std::vector<layer_range>> find_chain();

    const std::vector<holder>& m_holders;
    std::uint32_t m_layers;
    bool m_may_give_up{false};
    std::vector<std::vector<link>> m_best; ///< By layers covered and last holder.
};

} // namespace fulmaryard

#endif
