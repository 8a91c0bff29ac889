#ifndef FULMARYARD_RETRY_KIND_HPP
#define FULMARYARD_RETRY_KIND_HPP

namespace fulmaryard
{

/// What is lost if a retry is not granted.
enum class retry_kind
{
    /// The caller has read nothing, or an earlier attempt still runs: the caller may send the
    /// request again.
    restart,
    /// The caller has read a part of the answer, which is lost without its rest.
    continuation
};

} // namespace fulmaryard

#endif
