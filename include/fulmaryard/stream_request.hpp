#ifndef FULMARYARD_STREAM_REQUEST_HPP
#define FULMARYARD_STREAM_REQUEST_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// A caller's request to a model, after validation and normalization.
struct stream_request
{
    std::string m_request_id;
    std::string m_account;
    std::string m_model;
    std::string m_prompt;
    std::uint32_t m_max_tokens{0};
    std::uint32_t m_priority{0};
    std::uint64_t m_generation{0}; ///< Configuration generation the request was admitted under.

    friend auto operator<=>(const stream_request&, const stream_request&) = default;
};

} // namespace fulmaryard

#endif
