#ifndef FULMARYARD_ACTIVATIONS_HPP
#define FULMARYARD_ACTIVATIONS_HPP

#include <fulmaryard/epoch.hpp>
#include <fulmaryard/stream_id.hpp>
#include <fulmaryard/token.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Stage to next stage: the outputs of the sender for consecutive positions.
struct activations
{
    stream_id m_stream;
    epoch m_epoch;
    std::uint32_t m_first_position{0};
    std::uint32_t m_prompt_positions{0}; ///< Length of the prompt in positions.
    std::vector<std::string> m_values;   ///< One opaque byte string per position.
    /// Generated tokens that are the inputs of this message's positions after the prompt. With them
    /// every stage knows the answer up to its own position.
    std::vector<token> m_input_tokens;
    /// True if the producer holds later outputs, which it sends only in reply to a `pull`.
    bool m_has_more{false};

    friend auto operator<=>(const activations&, const activations&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(
            m_stream, m_epoch, m_first_position, m_prompt_positions, m_values, m_input_tokens,
            m_has_more);
    }
};

} // namespace fulmaryard

#endif
