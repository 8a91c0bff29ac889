#include <fulmaryard/prompt_quarantine.hpp>

#include <doctest/doctest.h>

#include <fmt/format.h>

#include <algorithm>
#include <random>

using namespace fulmaryard;
using namespace std::chrono_literals;

namespace
{

const std::chrono::steady_clock::time_point start{1000s};
const prompt_quarantine::part_list sound{"shared", "other"};
const prompt_quarantine::part_list deadly{"shared", "dead"};

bool nobody(const std::string&)
{
    return false;
}

bool everybody(const std::string&)
{
    return true;
}

/// Ten answers to requests with `parts` within the second after `time`.
void answer(
    prompt_quarantine& quarantine, const prompt_quarantine::part_list& parts,
    std::chrono::steady_clock::time_point time)
{
    for (int i = 0; i < 10; ++i)
        quarantine.on_answered(parts, time + i * 100ms);
}

/// Crashes of three endpoints in three seconds under `parts`, beside answers to sound requests.
void crash_three(prompt_quarantine& quarantine, const prompt_quarantine::part_list& parts)
{
    for (int i = 0; i < 3; ++i)
    {
        answer(quarantine, sound, start + i * 1s);
        quarantine.on_crashed(parts, fmt::format("run-{}", i), start + i * 1s + 950ms);
    }
}

/// Routers that send requests to endpoints and tell each other what they observe. Some prompts hold
/// a part that crashes the endpoint as it begins to answer, beside parts of sound prompts. Some
/// endpoints crash by themselves. All figures are drawn from a seed.
class quarantine_simulation
{
public:
    struct result
    {
        int m_late_deadly{0}; ///< Deadly requests sent 3 s after the fifth crash under the part.
        int m_sound_sent{0};  ///< Those with the shared part, 6 s after it, while deadly ones come.
        int m_sound_served{0}; ///< Of these, those that reached an endpoint.
    };

    explicit quarantine_simulation(unsigned seed)
        : m_random(seed),
          m_routers(draw(1, 4)),
          m_runs(draw(8, 40)),
          m_sound_interval(draw(100, 700)),
          m_deadly_interval(draw(100, 1'000)),
          m_other_share(draw(0, 2) * 30),
          m_first_sound(draw(0, 1) * deadly_from),
          m_own_crash_interval(draw(1, 4) * 5'000)
    {
    }

    result run()
    {
        for (m_now = 0; m_now < end; ++m_now)
        {
            finish_requests();
            if (m_now % 40 == 0)
                send({fmt::format("other-{}", draw(0, 40))});
            if (m_now >= m_first_sound && m_now % m_sound_interval == 0)
                send_sound();
            if (m_now >= deadly_from && (m_now - deadly_from) % deadly_interval() == 0)
                send_deadly();
            if (m_now % m_own_crash_interval == m_own_crash_interval - 1)
                crash(draw(0, m_runs.size() - 1));
            if (m_now % 250 == 0)
                exchange_reports();
        }
        return m_result;
    }

private:
    static constexpr std::size_t deadly_from = 12'000; // Milliseconds, as all times here.
    static constexpr std::size_t end = 34'000;

    struct request
    {
        prompt_quarantine::part_list m_parts;
        std::size_t m_router;
        std::size_t m_endpoint;
        std::size_t m_begin; ///< When its answer begins.
        std::size_t m_end;   ///< When its answer counts.
    };

    std::size_t draw(std::size_t least, std::size_t most)
    {
        return std::uniform_int_distribution<std::size_t>(least, most)(m_random);
    }

    std::chrono::steady_clock::time_point now() const
    {
        return start + std::chrono::milliseconds(m_now);
    }

    /// Three in a row, then one now and then.
    std::size_t deadly_interval() const
    {
        return m_now < deadly_from + 360 ? 120 : m_deadly_interval;
    }

    static bool is_deadly(const request& sent)
    {
        return std::find(sent.m_parts.begin(), sent.m_parts.end(), "dead") != sent.m_parts.end();
    }

    bool send(const prompt_quarantine::part_list& parts)
    {
        const auto router = draw(0, m_routers.size() - 1);
        if (m_routers[router].admit(parts, now(), nobody))
            return false;
        const auto begin = m_now + draw(10, 150);
        m_open.push_back({parts, router, draw(0, m_runs.size() - 1), begin, begin + draw(20, 80)});
        return true;
    }

    void send_sound()
    {
        const bool served = send({"shared", fmt::format("own-{}", m_now)});
        if (m_crashes.size() < 3 ||
            m_now < m_crashes[std::min<std::size_t>(m_crashes.size(), 5) - 1] + 6'000)
            return;
        ++m_result.m_sound_sent;
        m_result.m_sound_served += served ? 1 : 0;
    }

    void send_deadly()
    {
        const bool beside_other = draw(0, 99) < m_other_share;
        const bool sent =
            send({beside_other ? fmt::format("other-{}", draw(0, 40)) : "shared", "dead"});
        if (sent && m_crashes.size() >= 5 && m_now > m_crashes[4] + 3'000)
            ++m_result.m_late_deadly;
    }

    void finish_requests()
    {
        for (std::size_t i = 0; i < m_open.size();)
        {
            if (is_deadly(m_open[i]) && m_now >= m_open[i].m_begin)
            {
                m_crashes.push_back(m_now);
                crash(m_open[i].m_endpoint); // Removes requests.
                i = 0;
                continue;
            }
            if (m_now < m_open[i].m_end)
            {
                ++i;
                continue;
            }
            m_routers[m_open[i].m_router].on_answered(m_open[i].m_parts, now());
            m_open.erase(m_open.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }

    /// Ends all requests at the endpoint; those whose answers had begun are evidence.
    void crash(std::size_t endpoint)
    {
        const auto run = fmt::format("{}@{}", endpoint, m_runs[endpoint]++);
        for (const auto& open : m_open)
        {
            if (open.m_endpoint == endpoint && m_now >= open.m_begin)
                m_routers[open.m_router].on_crashed(open.m_parts, run, now());
        }
        std::erase_if(m_open, [&](const request& open) { return open.m_endpoint == endpoint; });
    }

    void exchange_reports()
    {
        for (std::size_t from = 0; from < m_routers.size(); ++from)
        {
            m_routers[from].on_tick(now());
            for (std::size_t to = 0; to < m_routers.size(); ++to)
            {
                if (from == to)
                    continue;
                for (const auto& report : m_routers[from].reports(now()))
                    m_routers[to].on_peer_report(report, now());
            }
        }
    }

    std::mt19937 m_random;
    std::vector<prompt_quarantine> m_routers;
    std::vector<int> m_runs; ///< Starts, by endpoint.
    std::size_t m_sound_interval;
    std::size_t m_deadly_interval;
    std::size_t m_other_share; ///< Percent of deadly requests beside another part.
    std::size_t m_first_sound; ///< Sound requests begin before the deadly ones, or with them.
    std::size_t m_own_crash_interval;
    std::vector<request> m_open;
    std::vector<std::size_t> m_crashes; ///< Under the deadly part.
    std::size_t m_now{0};
    result m_result;
};

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("a part of a prompt under which endpoints crash")
{
    // Guards against requests that crash one endpoint after the other because nothing relates them.
    prompt_quarantine quarantine;
    CHECK_FALSE(quarantine.quarantined(deadly, start));
    crash_three(quarantine, deadly);
    const auto now = start + 3s;

    SUBCASE("is quarantined after three crashes, and the parts beside it are not")
    {
        CHECK(quarantine.quarantined(deadly, now));
        CHECK_FALSE(quarantine.quarantined(sound, now));
        const auto wait = quarantine.admit(deadly, now, everybody);
        REQUIRE(wait);
        CHECK(*wait > 20s);
        CHECK_FALSE(quarantine.admit(sound, now, everybody));
    }
    SUBCASE("is tried once after the quarantine, by one router")
    {
        const auto later = now + prompt_quarantine::initial_duration;
        CHECK(quarantine.admit(deadly, later, nobody) == prompt_quarantine::trial_time);
        CHECK_FALSE(quarantine.admit(deadly, later, everybody));
        CHECK(quarantine.admit(deadly, later, everybody));

        SUBCASE("and is free when the trial is answered")
        {
            quarantine.on_answered(deadly, later + 1s);
            CHECK_FALSE(quarantine.admit(deadly, later + 1s, nobody));
        }
        SUBCASE("and is quarantined for longer when the trial crashes its endpoint")
        {
            quarantine.on_crashed(deadly, "run-9", later + 1s);
            const auto wait = quarantine.admit(deadly, later + 1s, everybody);
            REQUIRE(wait);
            CHECK(*wait > prompt_quarantine::initial_duration);
        }
    }
    SUBCASE("is learned by other routers, also one that saw no crash")
    {
        prompt_quarantine other;
        for (const auto& report : quarantine.reports(now))
            other.on_peer_report(report, now);
        CHECK(other.quarantined(deadly, now));
        CHECK_FALSE(other.quarantined(sound, now));

        SUBCASE("until one of them has it answered")
        {
            other.on_answered(deadly, now + 1s);
            CHECK_FALSE(other.quarantined(deadly, now + 1s));
            for (const auto& report : other.reports(now + 1s))
                quarantine.on_peer_report(report, now + 1s);
            CHECK_FALSE(quarantine.quarantined(deadly, now + 1s));
        }
    }
    SUBCASE("is forgotten when nobody uses it")
    {
        quarantine.on_tick(now + 2 * prompt_quarantine::initial_duration);
        CHECK(quarantine.reports(now + 1h).empty());
        CHECK_FALSE(quarantine.admit(deadly, now + 1h, nobody));
    }
}

TEST_CASE("parts of the same crashed requests")
{
    // Guards against the refusal of sound requests that share a part with those that crash
    // endpoints, while the other part of these is the cause.
    const prompt_quarantine::part_list shared{"shared"};
    const prompt_quarantine::part_list dead{"dead"};
    const prompt_quarantine::part_list unrelated{"unrelated"};
    prompt_quarantine quarantine;
    answer(quarantine, unrelated, start);
    answer(quarantine, unrelated, start + 1s);
    /// Three crashes in a row, without an answer between them.
    const auto crash_both = [&]
    {
        for (int i = 0; i < 3; ++i)
            quarantine.on_crashed(deadly, fmt::format("run-{}", i), start + 2s + i * 120ms);
    };
    const auto now = start + 3s;

    SUBCASE("of which one was answered just before")
    {
        quarantine.on_answered(shared, start + 1s);
        crash_both();
        CHECK(quarantine.quarantined(deadly, now));
        CHECK(quarantine.quarantined(dead, now));
        CHECK_FALSE(quarantine.quarantined(shared, now));
        CHECK_FALSE(quarantine.admit(shared, now, nobody));

        SUBCASE("and which also met a crash of another cause")
        {
            quarantine.on_crashed(shared, "run-9", now);
            CHECK(quarantine.quarantined(deadly, now));
            CHECK_FALSE(quarantine.quarantined(shared, now));
        }
        SUBCASE("and that crashes beside others as well are refused with all of them")
        {
            quarantine.on_crashed({"shared", "third"}, "run-9", now);
            quarantine.on_crashed({"shared", "fourth"}, "run-10", now + 1s);
            CHECK(quarantine.quarantined(shared, now + 1s));
            CHECK_FALSE(quarantine.quarantined(dead, now + 1s));
        }
    }
    SUBCASE("of which none was answered")
    {
        crash_both();
        CHECK(quarantine.quarantined(deadly, now));
        // The outcome of a request with one of them tells which one it is.
        CHECK_FALSE(quarantine.admit(shared, now, nobody));
        CHECK_FALSE(quarantine.admit(dead, now, nobody));

        SUBCASE("are told apart by an answer")
        {
            quarantine.on_answered(shared, now + 100ms);
            CHECK_FALSE(quarantine.quarantined(shared, now + 100ms));
            CHECK(quarantine.quarantined(dead, now + 100ms));
        }
        SUBCASE("are told apart by a crash")
        {
            quarantine.on_crashed(dead, "run-9", now + 100ms);
            CHECK_FALSE(quarantine.quarantined(shared, now + 100ms));
            // One crash may have another cause.
            CHECK_FALSE(quarantine.quarantined(dead, now + 100ms));
            quarantine.on_crashed(dead, "run-10", now + 200ms);
            CHECK_FALSE(quarantine.quarantined(shared, now + 200ms));
            CHECK(quarantine.quarantined(dead, now + 200ms));
        }
        SUBCASE("are told apart by what another router observed")
        {
            prompt_quarantine other;
            for (const auto& report : quarantine.reports(now))
                other.on_peer_report(report, now);
            CHECK(other.quarantined(deadly, now));
            CHECK_FALSE(other.quarantined(shared, now));
            other.on_answered(shared, now + 100ms);
            for (const auto& report : other.reports(now + 200ms))
                quarantine.on_peer_report(report, now + 200ms);
            CHECK_FALSE(quarantine.quarantined(shared, now + 200ms));
            CHECK(quarantine.quarantined(dead, now + 200ms));
        }
    }
    SUBCASE("of which one also met a crash of another cause before")
    {
        quarantine.on_crashed(shared, "run-9", start + 1500ms);
        crash_both();
        CHECK(quarantine.quarantined(deadly, now));
        CHECK_FALSE(quarantine.admit(shared, now, nobody));
    }
    SUBCASE("that a peer holds guilty although another part explains all crashes")
    {
        prompt_quarantine fresh; // Has not seen the answer to the shared part.
        answer(fresh, unrelated, start + 1s);
        for (int i = 0; i < 3; ++i)
            fresh.on_crashed(deadly, fmt::format("run-{}", i), start + 2s + i * 120ms);
        quarantine.on_answered(shared, start + 1s);
        crash_both();
        for (const auto& report : fresh.reports(now))
            quarantine.on_peer_report(report, now);
        CHECK_FALSE(quarantine.quarantined(shared, now));
        CHECK(quarantine.quarantined(dead, now));
    }
}

TEST_CASE("routers that see sound and deadly requests in any order")
{
    // Guards against a rule that holds for one order of crashes and answers only.
    for (unsigned seed = 1; seed <= 100; ++seed)
    {
        CAPTURE(seed);
        const auto seen = quarantine_simulation(seed).run();
        CHECK(seen.m_late_deadly <= 3);
        CHECK(seen.m_sound_sent >= 20);
        CHECK(2 * seen.m_sound_served >= seen.m_sound_sent);
    }
}

TEST_CASE("crashes that several routers observed count together")
{
    // Guards against a part that crashes one endpoint for each router before any of them acts.
    prompt_quarantine routers[3];
    for (int i = 0; i < 3; ++i)
    {
        answer(routers[i], sound, start);
        routers[i].on_crashed(deadly, fmt::format("run-{}", i), start + 1s + i * 100ms);
    }
    for (int i = 1; i < 3; ++i)
    {
        for (const auto& report : routers[i].reports(start + 2s))
            routers[0].on_peer_report(report, start + 2s);
    }
    CHECK(routers[0].quarantined(deadly, start + 2s));
    CHECK_FALSE(routers[1].quarantined(deadly, start + 2s));
}

TEST_CASE("reports while many parts are under suspicion")
{
    // Guards against routers that do not learn of a deadly part because others come before it.
    prompt_quarantine quarantine;
    answer(quarantine, {"a"}, start);
    answer(quarantine, {"a"}, start + 1s);
    prompt_quarantine::part_list many;
    for (int i = 0; i < 100; ++i)
        many.push_back(fmt::format("b-{}", i));
    quarantine.on_crashed(many, "run-9", start + 2s);
    for (int i = 0; i < 3; ++i)
        quarantine.on_crashed({"dead"}, fmt::format("run-{}", i), start + 2s + i * 100ms);
    const auto now = start + 3s;
    const auto reported = [&](const std::string& part)
    {
        const auto reports = quarantine.reports(now);
        return std::any_of(
            reports.begin(), reports.end(),
            [&](const auto& report) { return report.m_part == part; });
    };
    CHECK(quarantine.quarantined({"dead"}, now));
    CHECK(reported("dead"));

    SUBCASE("also tell of an answer that acquits a part")
    {
        quarantine.on_crashed({"sound"}, "run-10", now - 500ms);
        quarantine.on_answered({"sound"}, now);
        CHECK(reported("sound"));
        CHECK(reported("dead"));
    }
    SUBCASE("fit into one message")
    {
        CHECK(quarantine.reports(now).size() <= 32);
    }
}

TEST_CASE("a sound part of a prompt is not quarantined")
{
    // Guards against the refusal of requests because endpoints crashed for other reasons.
    prompt_quarantine quarantine;

    SUBCASE("when its requests are answered between the crashes")
    {
        for (int i = 0; i < 10; ++i)
        {
            quarantine.on_crashed(sound, fmt::format("run-{}", i), start + i * 1s);
            answer(quarantine, sound, start + i * 1s);
        }
    }
    SUBCASE("when many endpoints crash at the same moment")
    {
        answer(quarantine, sound, start);
        for (int i = 0; i < 10; ++i)
            quarantine.on_crashed(sound, fmt::format("run-{}", i), start + 1s + i * 1ms);
    }
    SUBCASE("when most requests crash their endpoints, whatever they hold")
    {
        for (int i = 0; i < 6; ++i)
        {
            quarantine.on_crashed(sound, fmt::format("run-{}", i), start + i * 1s);
            quarantine.on_crashed({"third"}, fmt::format("run-{}", 10 + i), start + i * 1s);
        }
    }
    SUBCASE("when one endpoint crashes with many of its requests")
    {
        answer(quarantine, {"third"}, start);
        for (int i = 0; i < 10; ++i)
            quarantine.on_crashed(sound, "run-1", start + 1s + i * 100ms);
    }
    CHECK_FALSE(quarantine.quarantined(sound, start + 10s));
}

TEST_CASE(
    "a request that crashed its endpoint is sent again only if its parts are known to be sound")
{
    // Guards against one request that crashes two endpoints before others were seen to do so.
    prompt_quarantine quarantine;
    CHECK(quarantine.may_repeat({}, start));
    CHECK_FALSE(quarantine.may_repeat(deadly, start));
    quarantine.on_answered(sound, start);
    CHECK(quarantine.may_repeat(sound, start + 1s));
    CHECK_FALSE(quarantine.may_repeat(deadly, start + 1s));
    CHECK_FALSE(quarantine.may_repeat(sound, start + prompt_quarantine::evidence_lifetime));
}

TEST_SUITE_END();
