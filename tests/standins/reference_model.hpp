#ifndef FULMARYARD_REFERENCE_MODEL_HPP
#define FULMARYARD_REFERENCE_MODEL_HPP

#include "reference_answer.hpp"

#include <cstdint>
#include <string_view>

namespace fulmaryard::standins
{

/// Computes the answer that the engines must give together, however the layers are cut into stages.
/// Requires `layers` > 0.
reference_answer compute_reference(
    std::string_view prompt, std::uint32_t layers, std::uint32_t max_tokens,
    std::uint64_t finish_modulus = 0);

} // namespace fulmaryard::standins

#endif
