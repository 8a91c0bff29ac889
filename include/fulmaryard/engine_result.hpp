#ifndef FULMARYARD_ENGINE_RESULT_HPP
#define FULMARYARD_ENGINE_RESULT_HPP

#include <fulmaryard/token.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Result of one `engine_run`.
struct engine_result
{
    std::uint64_t m_run{0};
    std::vector<std::string> m_outputs;  ///< One opaque value per executed position.
    std::uint32_t m_prompt_positions{0}; ///< Prompt length; set when the run had one.
    std::optional<token> m_sampled;      ///< Set when the run asked for a sample.
    bool m_finished{false};              ///< The sampled token ends the generation.
    bool m_failed{false};                ///< The engine rejected the run or failed it.

    friend auto operator<=>(const engine_result&, const engine_result&) = default;
};

} // namespace fulmaryard

#endif
