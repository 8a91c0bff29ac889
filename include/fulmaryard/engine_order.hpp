#ifndef FULMARYARD_ENGINE_ORDER_HPP
#define FULMARYARD_ENGINE_ORDER_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// An order to an engine, for example to load a model, issued by the holder of the order lease.
struct engine_order
{
    std::uint64_t m_epoch{0};      ///< Of the lease under which it was issued.
    std::string m_kind;            ///< Interpreted by the engine.
    std::string m_arguments{"{}"}; ///< A JSON object, interpreted by the engine.

    friend auto operator<=>(const engine_order&, const engine_order&) = default;
};

} // namespace fulmaryard

#endif
