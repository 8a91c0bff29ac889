#ifndef FULMARYARD_SNAPSHOT_HPP
#define FULMARYARD_SNAPSHOT_HPP

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace fulmaryard
{

/// Publishes immutable values of `T` to many readers, in the manner of read-copy-update.
///
/// Each thread or strand owns a `reader`; while the value is unchanged, a read costs one atomic
/// load. Values are reference-counted, so a coroutine may hold one across a suspension point and
/// resume on another thread, which a liburcu read-side critical section does not allow.
/// `std::atomic<std::shared_ptr>` is not used because the libstdc++ in use locks on each load.
template <typename T>
class snapshot
{
public:
    explicit snapshot(std::shared_ptr<const T> initial) : m_value(std::move(initial)) {}

    /// Replaces the value. Thread-safe.
    void publish(std::shared_ptr<const T> value)
    {
        const std::lock_guard lock(m_mutex);
        m_value = std::move(value);
        m_version.fetch_add(1, std::memory_order_release);
    }

    /// Returns the current value under a lock; hot paths use a `reader` instead. Thread-safe.
    std::shared_ptr<const T> load() const
    {
        const std::lock_guard lock(m_mutex);
        return m_value;
    }

    /// A cached reference to the value of one snapshot. Not thread-safe.
    class reader
    {
    public:
        explicit reader(const snapshot& source) : m_source(&source) {}

        /// Returns the current value; reloads it under the lock if the version has changed.
        const std::shared_ptr<const T>& get()
        {
            const std::uint64_t version = m_source->m_version.load(std::memory_order_acquire);
            if (version != m_version || !m_cached)
            {
                m_cached = m_source->load();
                m_version = version;
            }
            return m_cached;
        }

    private:
        const snapshot* m_source;
        std::uint64_t m_version{0};
        std::shared_ptr<const T> m_cached;
    };

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const T> m_value;
    std::atomic<std::uint64_t> m_version{1};
};

} // namespace fulmaryard

#endif
