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

/// Outputs of one stage for consecutive positions, to the next stage.
struct activations
{
    stream_id m_stream;
    epoch m_epoch;
    std::uint32_t m_first_position{0};
    std::uint32_t m_prompt_positions{0}; ///< Number of positions the prompt takes.
    std::vector<std::string> m_values;   ///< One opaque byte string per position.
    /// The generated tokens that are the inputs of those positions of the message that lie behind
    /// the prompt, so that every stage knows the answer up to its own position.
    std::vector<token> m_input_tokens;
    /// The producer holds outputs behind these that it sends only when they are pulled.
    bool m_more{false};

    friend auto operator<=>(const activations&, const activations&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(
            m_stream, m_epoch, m_first_position, m_prompt_positions, m_values, m_input_tokens,
            m_more);
    }
};

} // namespace fulmaryard

#endif
