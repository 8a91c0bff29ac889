#ifndef FULMARYARD_ENGINE_ORDER_HPP
#define FULMARYARD_ENGINE_ORDER_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// Control command for an engine, for example to load a model. Only the holder of the order lease
/// issues orders.
struct engine_order
{
    std::uint64_t m_epoch{0};      ///< Fencing epoch of the lease under which it was issued.
    std::string m_kind;            ///< Interpreted by the engine.
    std::string m_arguments{"{}"}; ///< JSON object, interpreted by the engine.

    friend auto operator<=>(const engine_order&, const engine_order&) = default;
};

} // namespace fulmaryard

#endif
