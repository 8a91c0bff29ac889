#include <fulmaryard/wait_line.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace fulmaryard;
using namespace std::chrono_literals;

namespace
{

const wait_line::time_point start{1000s};

wait_line::waiting_request
make_request(std::uint64_t id, double tokens = 1000, bool returning = false)
{
    return {id, returning, 1, tokens, start + 250ms};
}

/// Room for `per_second` requests of 1000 tokens was set free each second lately.
void release_steadily(wait_line& line, int per_second, wait_line::time_point until)
{
    const auto window = wait_line::rate_window;
    const int count = per_second * static_cast<int>(window.count()) / 1000;
    for (int i = 0; i < count; ++i)
        line.on_released(1000, until - window + window * (i + 1) / count);
}

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("a burst beyond the room")
{
    // Guards against requests that wait although their turn cannot come in time.
    wait_line line;
    SUBCASE("may wait in bounded number when the process has just started")
    {
        std::uint64_t id = 1;
        for (; line.worth_waiting(make_request(id), start); ++id)
            line.add(make_request(id));
        CHECK(line.size() == wait_line::most_at_start);

        SUBCASE("but is refused at once when no room became free since")
        {
            for (std::uint64_t waiting = 1; waiting < id; ++waiting)
                line.remove(waiting);
            CHECK_FALSE(line.worth_waiting(make_request(id), start + wait_line::rate_window));
        }
    }
    SUBCASE("waits as far as room becomes free within the objective")
    {
        // The rate is known once the process has been asked for a whole window.
        line.worth_waiting(make_request(1000), start - wait_line::rate_window);
        release_steadily(line, 40, start);
        int admitted = 0;
        for (std::uint64_t id = 1; id <= 100; ++id)
        {
            if (!line.worth_waiting(make_request(id), start))
                continue;
            line.add(make_request(id));
            ++admitted;
        }
        // 40 a second for 250 ms.
        CHECK(admitted == 10);
        CHECK(line.expired(start + 200ms).empty());
        CHECK(line.expired(start + 250ms).size() == 10);
    }
}

TEST_CASE("the turn of requests that wait")
{
    // Guards against callers that are refused twice, against urgent requests behind others, and
    // against large requests that small ones pass for ever.
    wait_line line;
    line.add(make_request(1, 4000));
    line.add(make_request(2, 100));
    CHECK(line.next() == 1);

    SUBCASE("comes first for a caller that was refused before")
    {
        line.add(make_request(3, 1000, true));
        CHECK(line.next() == 3);
        line.remove(3);
        CHECK(line.next() == 1);
    }
    SUBCASE("comes before that of the less urgent")
    {
        auto urgent = make_request(4);
        urgent.m_priority = 0;
        line.add(urgent);
        CHECK(line.next() == 4);
    }
    SUBCASE("comes in the order of arrival whatever the size")
    {
        line.remove(1);
        CHECK(line.next() == 2);
        line.remove(2);
        CHECK_FALSE(line.next());
    }
}

TEST_CASE("the times at which refused callers may return")
{
    // Guards against a crowd that is asked back at one moment and refused again.
    wait_line line;
    release_steadily(line, 40, start);
    std::vector<std::chrono::milliseconds> times;
    times.reserve(20);
    for (int i = 0; i < 20; ++i)
        times.push_back(line.promise_return(1000, start));
    CHECK(times.front() >= wait_line::shortest_return);
    for (std::size_t i = 1; i < times.size(); ++i)
        CHECK(times[i] - times[i - 1] >= 24ms); // 40 places a second, one each 25 ms.
    SUBCASE("lie behind those who wait already")
    {
        wait_line busy;
        release_steadily(busy, 40, start);
        for (std::uint64_t id = 1; id <= 40; ++id)
            busy.add(make_request(id));
        CHECK(busy.promise_return(1000, start) >= 1s);
    }
    SUBCASE("are never later than callers wait")
    {
        for (int i = 0; i < 1000; ++i)
            CHECK(line.promise_return(1000, start) <= wait_line::longest_return);
    }
}

TEST_SUITE_END();
