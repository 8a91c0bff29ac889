#ifndef FULMARYARD_LAYER_RANGE_HPP
#define FULMARYARD_LAYER_RANGE_HPP

#include <compare>
#include <cstdint>

namespace fulmaryard
{

/// A half-open range of layers, `[m_begin, m_end)`.
struct layer_range
{
    std::uint32_t m_begin{0};
    std::uint32_t m_end{0};

    friend auto operator<=>(const layer_range&, const layer_range&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_begin, m_end);
    }
};

} // namespace fulmaryard

#endif
