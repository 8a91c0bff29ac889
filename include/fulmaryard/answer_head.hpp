#ifndef FULMARYARD_ANSWER_HEAD_HPP
#define FULMARYARD_ANSWER_HEAD_HPP

#include <fulmaryard/http_message.hpp>

#include <compare>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Status and header fields of an endpoint's response.
struct answer_head
{
    unsigned m_status{0};
    bool m_matches_call{false}; ///< The response belongs to the call that was sent.
    bool m_signed{false};       ///< The response carries the endpoint's signature.
    bool m_not_run{false};      ///< The endpoint states that it did not run the call.
    std::string m_refused_by;   ///< Address of the endpoint on the path that refused; may be empty.
    std::vector<http_field>
        m_fields; ///< For the caller, without hop-by-hop fields and Content-Length.

    friend auto operator<=>(const answer_head&, const answer_head&) = default;
};

} // namespace fulmaryard

#endif
