#include "prefix_cache.hpp"

#include "hash_chain.hpp"

#include <utility>

namespace fulmaryard::standins
{

prefix_cache::prefix_cache(std::size_t limit, listener on_change)
    : m_capacity(limit),
      m_on_change(std::move(on_change))
{
}

std::size_t prefix_cache::visit(const std::vector<std::uint64_t>& values)
{
    if (m_capacity == 0)
        return 0;
    std::size_t cached = 0;
    bool leading = true;
    std::uint64_t block = 0;
    for (std::size_t position = 0; position < values.size(); ++position)
    {
        block = combine(block, values[position]);
        if ((position + 1) % m_block_positions != 0)
            continue;
        const auto found = m_blocks.find(block);
        leading = leading && found != m_blocks.end();
        if (leading)
            cached = position + 1;
        if (found != m_blocks.end())
        {
            m_lru_order.splice(m_lru_order.begin(), m_lru_order, found->second);
            continue;
        }
        m_lru_order.push_front(block);
        m_blocks.emplace(block, m_lru_order.begin());
        m_on_change("stored", block);
        if (m_blocks.size() > m_capacity)
        {
            const std::uint64_t oldest = m_lru_order.back();
            m_lru_order.pop_back();
            m_blocks.erase(oldest);
            m_on_change("evicted", oldest);
        }
    }
    return cached;
}

void prefix_cache::clear()
{
    for (const std::uint64_t block : m_lru_order)
        m_on_change("evicted", block);
    m_lru_order.clear();
    m_blocks.clear();
}

} // namespace fulmaryard::standins
