#ifndef FULMARYARD_CRASH_SUSPECTS_HPP
#define FULMARYARD_CRASH_SUSPECTS_HPP

#include "request_identity.hpp"

#include <fulmaryard/prompt_quarantine.hpp>

namespace fulmaryard
{

/// What of one request may crash endpoints: the shared parts of its prompt, and itself. Refers to
/// the call, which must outlive it.
class crash_suspects
{
public:
    explicit crash_suspects(const accepted_call& accepted)
        : m_accepted(accepted),
          m_identity(accepted)
    {
    }

    /// Those that the quarantine may know. The request is among them only if one like it is under
    /// suspicion, so that the body of others is not read.
    prompt_quarantine::part_list known_to(const prompt_quarantine& quarantine);

    /// All of them.
    prompt_quarantine::part_list all();

    /// The request as a whole.
    prompt_quarantine::part_list request();

    const std::string& identity() { return m_identity.name(); }

private:
    const accepted_call& m_accepted;
    request_identity m_identity;
};

} // namespace fulmaryard

#endif
