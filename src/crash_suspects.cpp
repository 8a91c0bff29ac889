#include "crash_suspects.hpp"
#include "accepted_call.hpp"

namespace fulmaryard
{

prompt_quarantine::part_list crash_suspects::known_to(const prompt_quarantine& quarantine)
{
    if (!quarantine.suspects_request({}) || !quarantine.suspects_request(m_identity.outline()))
        return m_accepted.m_call.m_shared_parts;
    return all();
}

prompt_quarantine::part_list crash_suspects::all()
{
    auto parts = m_accepted.m_call.m_shared_parts;
    parts.push_back(prompt_quarantine::request_part(m_identity.name()));
    return parts;
}

prompt_quarantine::part_list crash_suspects::request()
{
    return {prompt_quarantine::request_part(m_identity.name())};
}

} // namespace fulmaryard
