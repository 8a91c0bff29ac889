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
    std::string m_text;     ///< All token texts, one after the other.
    bool m_finished{false}; ///< The last token ended the answer; otherwise the limit did.

    friend auto operator<=>(const reference_answer&, const reference_answer&) = default;
};

} // namespace fulmaryard::standins

#endif
