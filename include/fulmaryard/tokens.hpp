#ifndef FULMARYARD_TOKENS_HPP
#define FULMARYARD_TOKENS_HPP

#include <fulmaryard/epoch.hpp>
#include <fulmaryard/stream_id.hpp>
#include <fulmaryard/token.hpp>

#include <compare>
#include <cstdint>
#include <vector>

namespace fulmaryard
{

/// Last stage to stage 0 and to the owner: consecutive generated tokens.
struct tokens
{
    stream_id m_stream;
    epoch m_epoch;
    std::uint32_t m_first_index{0}; ///< Index of the first token among the generated ones, from 0.
    std::vector<token> m_tokens;
    bool m_finished{false}; ///< The last element of `m_tokens` ends the answer.

    friend auto operator<=>(const tokens&, const tokens&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_stream, m_epoch, m_first_index, m_tokens, m_finished);
    }
};

} // namespace fulmaryard

#endif
