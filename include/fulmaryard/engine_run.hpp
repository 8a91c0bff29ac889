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

/// Action of a stage node: run the engine's layers on consecutive positions of one stream.
///
/// The first run of stage 0 carries the prompt as text, followed by `m_tokens`; its later runs
/// carry `m_tokens` only. Runs of the other stages carry `m_inputs`, one value per position.
struct engine_run
{
    std::uint64_t m_run{0}; ///< Run id, unique in the process; returned in the result.
    stream_id m_stream;
    std::uint64_t m_session{0}; ///< Identifies a KV state; a new one is empty, at position 0.
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
