#ifndef FULMARYARD_PATH_CANDIDATE_HPP
#define FULMARYARD_PATH_CANDIDATE_HPP

#include <fulmaryard/layer_range.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// An endpoint that may take part in a path.
struct path_candidate
{
    std::string m_endpoint;
    std::string m_address;
    std::string m_failure_domain;
    layer_range m_layers;
    double m_free_memory{0};  ///< Tokens times layers that it can still take.
    double m_read_wait{0};    ///< Until prompts sent before have been read, milliseconds.
    double m_read_cost{0};    ///< Time in which one layer reads one token, milliseconds.
    double m_layer_cost{1};   ///< Time of one layer in one decode step, milliseconds.
    std::int64_t m_places{0}; ///< Requests that it can still take as the first of a path.

    friend auto operator<=>(const path_candidate&, const path_candidate&) = default;
};

} // namespace fulmaryard

#endif
