#ifndef FULMARYARD_REQUEST_SHARE_HPP
#define FULMARYARD_REQUEST_SHARE_HPP

#include <fulmaryard/request_memory.hpp>

#include <cstddef>

namespace fulmaryard
{

/// What one request holds of a `request_memory`, which must outlive it. Returned at destruction.
/// Not thread-safe.
class request_share
{
public:
    explicit request_share(request_memory& memory) : m_memory(memory) {}
    ~request_share() { release(); }

    request_share(const request_share&) = delete;
    request_share& operator=(const request_share&) = delete;

    /// Sets how many bytes the request holds. Returns false and changes nothing if it may not hold
    /// more: the memory is used up or, for a large request, what is not left to small ones. The
    /// only large request may be of any size, so that each request is served in calm.
    bool try_hold(std::size_t bytes);

    /// Returns everything.
    void release();

    std::size_t held() const { return m_bytes; }

private:
    request_memory& m_memory;
    std::size_t m_bytes{0};
};

} // namespace fulmaryard

#endif
