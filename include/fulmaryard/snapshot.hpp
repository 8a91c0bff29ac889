#ifndef FULMARYARD_SNAPSHOT_HPP
#define FULMARYARD_SNAPSHOT_HPP

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace fulmaryard
{

/// Publishes immutable values of `T` to many readers by read-copy-update.
///
/// A reader keeps a `reader` of its own (one per thread or per strand) and pays one atomic load per
/// read while the value is unchanged. Values are reclaimed by their reference count, so a request
/// may hold one across suspension points of a coroutine that resumes on another thread, which a
/// read section of liburcu does not allow. `std::atomic<std::shared_ptr>` is not used: in this
/// libstdc++ it takes a lock on each load.
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

    /// Returns the current value under a lock; for paths that are not hot. Thread-safe.
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

        /// Returns the current value, refreshed when the version has changed.
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
