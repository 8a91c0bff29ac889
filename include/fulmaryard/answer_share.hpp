#ifndef FULMARYARD_ANSWER_SHARE_HPP
#define FULMARYARD_ANSWER_SHARE_HPP

#include <fulmaryard/answer_memory.hpp>

#include <algorithm>
#include <cstddef>

namespace fulmaryard
{

/// What one request holds of an `answer_memory`, which must outlive it. Returned at destruction.
/// Not thread-safe.
class answer_share
{
public:
    explicit answer_share(answer_memory& memory) : m_memory(memory) {}
    ~answer_share() { hold(0); }

    answer_share(const answer_share&) = delete;
    answer_share& operator=(const answer_share&) = delete;

    /// Sets how many bytes the request holds. It may be more than `max_bytes`.
    void hold(std::size_t bytes)
    {
        // Unsigned arithmetic wraps, so a smaller value is subtracted.
        m_memory.m_used.fetch_add(bytes - m_bytes, std::memory_order_relaxed);
        m_bytes = bytes;
    }

    /// Bytes that the request may hold now. An answer that is larger has to be given up.
    std::size_t max_bytes() const
    {
        return std::max(answer_memory::min_bytes, m_memory.available());
    }

private:
    answer_memory& m_memory;
    std::size_t m_bytes{0};
};

} // namespace fulmaryard

#endif
