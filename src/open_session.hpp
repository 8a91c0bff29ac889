#ifndef FULMARYARD_OPEN_SESSION_HPP
#define FULMARYARD_OPEN_SESSION_HPP

namespace fulmaryard
{

/// A request that a router has accepted and not answered completely.
class open_session
{
public:
    virtual ~open_session() = default;

    /// Ends the request soon, because the process exits: its caller gets a final answer that says
    /// whether it may have run, or a stream that has begun is broken off.
    virtual void end() = 0;
};

} // namespace fulmaryard

#endif
