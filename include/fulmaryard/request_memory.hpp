#ifndef FULMARYARD_REQUEST_MEMORY_HPP
#define FULMARYARD_REQUEST_MEMORY_HPP

#include <cstddef>
#include <mutex>

namespace fulmaryard
{

class request_share;

/// Divides a limited amount of memory among the requests of callers that a process holds: those
/// that it reads and those that it has read and that are in progress.
///
/// Load pattern: callers that nobody controls send many large bodies at once and leave most of them
/// unfinished. A quarter of the memory is left to small requests, so that ordinary callers are
/// served beside them. Thread-safe.
class request_memory
{
public:
    /// Requests that hold no more than this are small.
    static constexpr std::size_t small_bytes = 64 * 1024;

    /// `limit` is in bytes.
    explicit request_memory(std::size_t limit) : m_limit(limit) {}

    request_memory(const request_memory&) = delete;
    request_memory& operator=(const request_memory&) = delete;

    /// Bytes that all requests hold.
    std::size_t used() const;

private:
    friend class request_share;

    const std::size_t m_limit;
    mutable std::mutex m_mutex;
    std::size_t m_used{0};
    std::size_t m_large_requests{0};
};

} // namespace fulmaryard

#endif
