#include <fulmaryard/answer_memory.hpp>
#include <fulmaryard/answer_share.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <list>

using namespace fulmaryard;

namespace
{

constexpr std::size_t limit = 1024 * 1024;
constexpr std::size_t step = 1024;

/// An answer that grows step by step, and begins anew when it has to be given up.
class endless_answer
{
public:
    explicit endless_answer(answer_memory& memory) : m_share(memory) {}

    void grow()
    {
        m_size = m_size + step <= m_share.max_bytes() ? m_size + step : 0;
        m_share.hold(m_size);
    }

private:
    answer_share m_share;
    std::size_t m_size{0};
};

} // namespace

TEST_SUITE_BEGIN("reported_faults");

TEST_CASE("answers that share the memory of a process")
{
    // Guards against answers without end that use up the memory, each within its own limit.
    answer_memory memory(limit);
    REQUIRE(memory.available() == limit);

    SUBCASE("that grow without end")
    {
        std::size_t count = 1;
        SUBCASE("one") {}
        SUBCASE("many")
        {
            count = 99;
        }
        std::list<endless_answer> answers;
        for (std::size_t i = 0; i < count; ++i)
            answers.emplace_back(memory);
        std::size_t most_used = 0;
        for (std::size_t round = 0; round < 3 * limit / step; ++round)
        {
            for (auto& answer : answers)
            {
                answer.grow();
                most_used = std::max(most_used, memory.used());
                const answer_share other(memory);
                REQUIRE(other.max_bytes() >= answer_memory::min_bytes);
            }
        }
        CHECK(most_used >= limit / 2);
        CHECK(most_used <= limit + count * answer_memory::min_bytes);
        answers.clear();
        CHECK(memory.available() == limit);
    }
    SUBCASE("one that holds more than it may")
    {
        answer_share large(memory);
        large.hold(2 * limit);
        CHECK(memory.available() == 0);
        large.hold(limit / 4);
        CHECK(memory.available() == limit - limit / 4);
    }
}

TEST_SUITE_END();
