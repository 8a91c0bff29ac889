#ifndef FULMARYARD_REFERENCE_ANSWER_HPP
#define FULMARYARD_REFERENCE_ANSWER_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmaryard::standins
{

/// The expected answer to one model request.
struct reference_answer
{
    std::vector<std::uint64_t> m_ids;
    std::string m_text;     ///< Concatenated text of all tokens.
    bool m_finished{false}; ///< Ended by its last token rather than by the limit.

    friend auto operator<=>(const reference_answer&, const reference_answer&) = default;
};

} // namespace fulmaryard::standins

#endif
