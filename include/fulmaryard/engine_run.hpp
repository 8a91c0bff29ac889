#ifndef FULMARYARD_ENGINE_RUN_HPP
#define FULMARYARD_ENGINE_RUN_HPP

#include <fulmaryard/stream_id.hpp>
#include <fulmaryard/token.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Action of a stage node: run the engine's layers for consecutive positions of one stream.
///
/// The first run of stage 0 has the prompt as text, and `m_tokens` behind it; its later runs have
/// `m_tokens` only. Other stages have `m_inputs`, one value per position.
struct engine_run
{
    std::uint64_t m_run{0}; ///< Unique in the process; returned in the result.
    stream_id m_stream;
    std::uint64_t m_session{0}; ///< The engine's KV state; a new one starts empty at position 0.
    std::uint32_t m_first_position{0};
    std::string m_prompt;
    std::vector<token> m_tokens;
    std::vector<std::string> m_inputs;
    bool m_sample{false}; ///< Sample a token from the output of the last position.
    std::uint32_t m_priority{0};

    friend auto operator<=>(const engine_run&, const engine_run&) = default;
};

} // namespace fulmaryard

#endif
