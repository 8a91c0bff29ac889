#include "request_identity.hpp"
#include "accepted_call.hpp"

#include <fulmaryard/key_hash.hpp>

#include <fmt/format.h>

namespace fulmaryard
{

namespace
{

// 64 bits: a collision keeps a sound request of the same account away for a while at worst.
constexpr std::size_t digest_digits = 16;

} // namespace

const std::string& request_identity::outline()
{
    if (m_outline.empty())
    {
        const auto& call = m_accepted.m_call;
        // Lengths keep the fields apart.
        m_outline = sha256_hex(fmt::format(
                                   "{}:{}{}:{}{}:{}{}:{}{}", m_accepted.m_account.size(),
                                   m_accepted.m_account, call.m_host.size(), call.m_host,
                                   call.m_request.m_method.size(), call.m_request.m_method,
                                   call.m_request.m_target.size(), call.m_request.m_target,
                                   call.m_request.m_body.size()))
                        .substr(0, digest_digits);
    }
    return m_outline;
}

const std::string& request_identity::name()
{
    if (m_name.empty())
    {
        m_name = outline() + '-' +
                 sha256_hex(m_accepted.m_call.m_request.m_body).substr(0, digest_digits);
    }
    return m_name;
}

} // namespace fulmaryard
