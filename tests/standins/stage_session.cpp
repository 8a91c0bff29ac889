#include "stage_session.hpp"

#include "hash_chain.hpp"

#include <utility>

namespace fulmaryard::standins
{

stage_session::stage_session(layer_range layers)
    : m_layers(layers),
      m_kv(layers.m_end - layers.m_begin, 0)
{
}

stage_session::stage_session(
    layer_range layers, std::uint32_t next_position, std::vector<std::uint64_t> kv)
    : m_layers(layers),
      m_next_position(next_position),
      m_kv(std::move(kv))
{
}

std::uint64_t stage_session::run(std::uint64_t value)
{
    for (std::uint32_t layer = m_layers.m_begin; layer < m_layers.m_end; ++layer)
    {
        std::uint64_t& kv = m_kv[layer - m_layers.m_begin];
        value = layer_value(value, layer, m_next_position, kv);
        kv = next_kv(kv, value);
    }
    ++m_next_position;
    return value;
}

} // namespace fulmaryard::standins
