#ifndef FULMARYARD_STAGE_SESSION_HPP
#define FULMARYARD_STAGE_SESSION_HPP

#include <fulmaryard/layer_range.hpp>

#include <cstdint>
#include <vector>

namespace fulmaryard::standins
{

/// KV state of one session in one engine.
class stage_session
{
public:
    explicit stage_session(layer_range layers);

    /// Restores exported state. `kv` has one value per layer of `layers`.
    stage_session(layer_range layers, std::uint32_t next_position, std::vector<std::uint64_t> kv);

    /// Runs the layers for the next position and returns the output.
    std::uint64_t run(std::uint64_t value);

    std::uint32_t next_position() const { return m_next_position; }
    const std::vector<std::uint64_t>& kv() const { return m_kv; }

private:
    layer_range m_layers;
    std::uint32_t m_next_position{0};
    std::vector<std::uint64_t> m_kv;
};

} // namespace fulmaryard::standins

#endif
