#ifndef FULMARYARD_MODEL_DEFINITION_HPP
#define FULMARYARD_MODEL_DEFINITION_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// A model that callers can request by name.
struct model_definition
{
    std::string m_name;
    std::uint32_t m_layers{0};
    std::uint32_t m_max_tokens{1024}; ///< Maximum number of generated tokens per request.

    friend auto operator<=>(const model_definition&, const model_definition&) = default;
};

} // namespace fulmaryard

#endif
