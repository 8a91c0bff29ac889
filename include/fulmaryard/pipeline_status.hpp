#ifndef FULMARYARD_PIPELINE_STATUS_HPP
#define FULMARYARD_PIPELINE_STATUS_HPP

#include <fulmaryard/stage_status.hpp>

#include <compare>
#include <string>
#include <vector>

namespace fulmaryard
{

struct pipeline_status
{
    std::string m_tenant;
    std::string m_name;
    std::string m_model;
    std::vector<stage_status> m_stages;

    friend auto operator<=>(const pipeline_status&, const pipeline_status&) = default;
};

} // namespace fulmaryard

#endif
