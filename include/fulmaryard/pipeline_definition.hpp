#ifndef FULMARYARD_PIPELINE_DEFINITION_HPP
#define FULMARYARD_PIPELINE_DEFINITION_HPP

#include <fulmaryard/layer_range.hpp>

#include <compare>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Division of a model into stages.
struct pipeline_definition
{
    std::string m_name;
    std::string m_model;
    std::vector<layer_range>
        m_stages; ///< In layer order; together they cover all layers of the model.

    friend auto operator<=>(const pipeline_definition&, const pipeline_definition&) = default;
};

} // namespace fulmaryard

#endif
