#ifndef FULMARYARD_PREFIX_CACHE_HPP
#define FULMARYARD_PREFIX_CACHE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

namespace fulmaryard::standins
{

/// LRU cache of prompt prefixes, in blocks of 16 positions. It holds no KV state: the
/// stand-in recomputes that at no cost, and the cache only shortens the time that a prefill takes.
class prefix_cache
{
public:
    static constexpr std::size_t m_block_positions = 16;

    using listener = std::function<void(const char* operation, std::uint64_t block)>;

    /// Calls `on_change` with "stored" or "evicted" and the hash of the block.
    prefix_cache(std::size_t limit, listener on_change);

    /// Stores the blocks of `values`, the inputs from position 0, and returns how many leading
    /// positions were already cached.
    std::size_t visit(const std::vector<std::uint64_t>& values);

    /// Removes all blocks, as loading other weights does.
    void clear();

private:
    std::size_t m_capacity;
    listener m_on_change;
    std::list<std::uint64_t> m_lru_order; ///< Block hashes, most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
};

} // namespace fulmaryard::standins

#endif
