#include "prefix_cache.hpp"

#include "hash_chain.hpp"

#include <utility>

namespace fulmaryard::standins
{

prefix_cache::prefix_cache(std::size_t limit, listener on_change)
    : m_limit(limit),
      m_on_change(std::move(on_change))
{
}

std::size_t prefix_cache::visit(const std::vector<std::uint64_t>& values)
{
    if (m_limit == 0)
        return 0;
    std::size_t known = 0;
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
            known = position + 1;
        if (found != m_blocks.end())
        {
            m_recent.splice(m_recent.begin(), m_recent, found->second);
            continue;
        }
        m_recent.push_front(block);
        m_blocks.emplace(block, m_recent.begin());
        m_on_change("stored", block);
        if (m_blocks.size() > m_limit)
        {
            const std::uint64_t oldest = m_recent.back();
            m_recent.pop_back();
            m_blocks.erase(oldest);
            m_on_change("evicted", oldest);
        }
    }
    return known;
}

void prefix_cache::clear()
{
    for (const std::uint64_t block : m_recent)
        m_on_change("evicted", block);
    m_recent.clear();
    m_blocks.clear();
}

} // namespace fulmaryard::standins
