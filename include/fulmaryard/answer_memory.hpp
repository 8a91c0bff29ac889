#ifndef FULMARYARD_ANSWER_MEMORY_HPP
#define FULMARYARD_ANSWER_MEMORY_HPP

#include <algorithm>
#include <atomic>
#include <cstddef>

namespace fulmaryard
{

class answer_share;

/// Divides a limited amount of memory among the answers of endpoints that a process holds.
///
/// An answer may grow up to the amount that is still free. Of answers that grow without end, the
/// longest is then given up first, and what stays free is as much as the others hold. Short answers
/// may always be held. Thread-safe.
class answer_memory
{
public:
    /// Size of an answer that may be held even if nothing is free. Most answers and events of
    /// streams are shorter.
    static constexpr std::size_t min_bytes = 16 * 1024;

    /// `limit` is in bytes.
    explicit answer_memory(std::size_t limit) : m_limit(limit) {}

    answer_memory(const answer_memory&) = delete;
    answer_memory& operator=(const answer_memory&) = delete;

    /// Bytes that all answers hold.
    std::size_t used() const { return m_used.load(std::memory_order_relaxed); }

    /// Bytes that are free.
    std::size_t available() const { return m_limit - std::min(m_limit, used()); }

private:
    friend class answer_share;

    const std::size_t m_limit;
    std::atomic<std::size_t> m_used{0};
};

} // namespace fulmaryard

#endif
