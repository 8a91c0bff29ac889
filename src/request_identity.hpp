#ifndef FULMARYARD_REQUEST_IDENTITY_HPP
#define FULMARYARD_REQUEST_IDENTITY_HPP

#include <string>

namespace fulmaryard
{

struct accepted_call;

/// Names a request by what its repeats have in common: client account, host, method, target and
/// body. Two digests, of which that of the body is computed only when the whole name is wanted,
/// since bodies can be large. Refers to the call, which must outlive it.
class request_identity
{
public:
    explicit request_identity(const accepted_call& accepted) : m_accepted(accepted) {}

    /// Digest of all but the content of the body, in hexadecimal digits.
    const std::string& outline();

    /// The outline, a hyphen and the digest of the body.
    const std::string& name();

private:
    const accepted_call& m_accepted;
    std::string m_outline; ///< Empty until it is wanted.
    std::string m_name;    ///< Likewise.
};

} // namespace fulmaryard

#endif
