#include <fulmaryard/failure.hpp>
#include <fulmaryard/lease_holder.hpp>

#include <doctest/doctest.h>

using namespace fulmaryard;
using namespace std::chrono_literals;

namespace
{

/// In-memory platform object with conditional writes and injectable faults.
struct lease_store
{
    enum class fault : std::uint8_t
    {
        none,
        down,
        response_lost,
        request_lost ///< Nothing is written, and the writer gets the same error as above.
    };

    absl::StatusOr<platform_object> read() const
    {
        if (m_fault == fault::down)
            return make_failure(failure_kind::platform_unavailable, "down");
        return m_object;
    }

    absl::StatusOr<std::uint64_t> write(const write_lease& request)
    {
        if (m_fault == fault::down)
            return make_failure(failure_kind::platform_unavailable, "down");
        const auto lost = make_failure(
            failure_kind::platform_unavailable, "no response", dispatch_progress::sent);
        if (m_fault == fault::request_lost)
            return lost;
        if (request.m_version != m_object.m_version)
            return make_failure(failure_kind::conflict, "version", dispatch_progress::refused);
        m_object = {encode_lease(request.m_value), m_object.m_version + 1};
        if (m_fault == fault::response_lost)
            return lost;
        return m_object.m_version;
    }

    /// Comes back from `copy`, in a new era.
    void restore(const platform_object& copy)
    {
        m_object = copy;
        m_object.m_version += copy.m_version == 0 ? 0 : 1'000;
    }

    lease current() const { return *decode_lease(m_object.m_value); }

    platform_object m_object;
    fault m_fault{fault::none};
};

/// Process that competes for the lease; runs each operation at once against the store.
struct candidate
{
    candidate(lease_store& store, const char* process)
        : m_store(store),
          m_holder({process, 10s, 1s, 1s})
    {
    }

    void tick(lease_holder::time_point now)
    {
        for (auto action = m_holder.on_tick(now); action;)
        {
            if (const auto* write = std::get_if<write_lease>(&*action))
                action = m_holder.on_written(m_store.write(*write), now);
            else
                action = m_holder.on_read(m_store.read(), now);
        }
    }

    lease_store& m_store;
    lease_holder m_holder;
};

} // namespace

TEST_SUITE_BEGIN("unit");

// Guards against two processes that consider themselves lease holders at the same time, for example
// when the holder is paused until after its lease has expired.
TEST_CASE("lease: renewal, expiry and takeover")
{
    lease_store store;
    candidate first(store, "first");
    candidate second(store, "second");
    lease_holder::time_point now{1h};

    first.tick(now);
    REQUIRE(first.m_holder.held(now));
    CHECK(store.current() == lease{"first", 1, 10'000});

    SUBCASE("the holder renews its lease and the other candidate never acquires it")
    {
        for (int step = 0; step < 600; ++step)
        {
            now += 100ms;
            first.tick(now);
            second.tick(now);
            REQUIRE(first.m_holder.held(now));
            REQUIRE_FALSE(second.m_holder.held(now));
        }
        CHECK(first.m_holder.epoch() == 1);
    }
    SUBCASE("the holder is paused until its lease expires and another process acquires it")
    {
        bool both = false;
        for (int step = 0; step < 130; ++step)
        {
            now += 100ms;
            second.tick(now);
            both = both || (second.m_holder.held(now) && first.m_holder.held(now));
        }
        CHECK(second.m_holder.held(now));
        CHECK(second.m_holder.epoch() == 2);
        CHECK_FALSE(both);
        // The local clock alone shows the expiry, before the platform object is read.
        CHECK_FALSE(first.m_holder.held(now));
        first.tick(now);
        CHECK_FALSE(first.m_holder.held(now));
        CHECK(store.current().m_holder == "second");
    }
    SUBCASE(
        "the holder is paused, nobody else acquires the lease, and it reacquires under a new epoch")
    {
        now += 60s;
        CHECK_FALSE(first.m_holder.held(now));
        first.tick(now);
        CHECK(first.m_holder.held(now));
        CHECK(first.m_holder.epoch() == 2);
    }
    SUBCASE("the platform is down for longer than the lease duration")
    {
        store.m_fault = lease_store::fault::down;
        for (int step = 0; step < 89; ++step)
        {
            now += 100ms;
            first.tick(now);
            REQUIRE(first.m_holder.held(now));
        }
        now += 100ms;
        CHECK_FALSE(first.m_holder.held(now));
        store.m_fault = lease_store::fault::none;
        now += 1s;
        first.tick(now);
        CHECK(first.m_holder.held(now));
        CHECK(first.m_holder.epoch() == 2);
    }
}

// Guards against a holder that does not recognize its own write because the response was lost. The
// opposite fault, counting a write that had no effect (`request_lost`), is not covered.
TEST_CASE("lease: a write takes effect but its response is lost")
{
    lease_store store;
    candidate only(store, "only");
    lease_holder::time_point now{1h};

    SUBCASE("the acquisition took effect")
    {
        store.m_fault = lease_store::fault::response_lost;
        only.tick(now);
        CHECK(only.m_holder.held(now));
        CHECK(only.m_holder.epoch() == 1);
    }
    SUBCASE("the renewal took effect")
    {
        only.tick(now);
        store.m_fault = lease_store::fault::response_lost;
        now += 4s;
        only.tick(now);
        CHECK(only.m_holder.held(now + 8s));
        CHECK(only.m_holder.epoch() == 1);
    }
}

// Guards against measuring the lease from the second write when the first, sent 5 s earlier, took
// effect: the holder would use the lease after it has expired for other processes.
TEST_CASE("lease: a write with an unknown result takes effect after the read that follows it")
{
    lease_holder holder({"only", 10s, 1s, 1s});
    const lease_holder::time_point start{1h};
    const auto unknown =
        make_failure(failure_kind::platform_unavailable, "no response", dispatch_progress::sent);
    const auto conflict =
        make_failure(failure_kind::conflict, "version", dispatch_progress::refused);

    REQUIRE(holder.on_tick(start) == lease_action(read_lease{}));
    const auto first = holder.on_read(platform_object{}, start);
    REQUIRE(first == lease_action(write_lease{{"only", 1, 10'000}, 0}));
    REQUIRE(holder.on_written(unknown, start) == lease_action(read_lease{}));
    const auto second = holder.on_read(platform_object{}, start + 5s);
    REQUIRE(second == first);
    REQUIRE(holder.on_written(conflict, start + 5s) == lease_action(read_lease{}));
    CHECK_FALSE(holder.on_read(platform_object{encode_lease({"only", 1, 10'000}), 1}, start + 5s));
    CHECK(holder.held(start + 8999ms));
    CHECK_FALSE(holder.held(start + 9s));
}

// Guards against epochs that restart from 1 because an object with an unknown epoch is overwritten.
TEST_CASE("lease: a malformed object is not overwritten")
{
    lease_holder holder({"only", 10s, 1s, 1s});
    const lease_holder::time_point now{1h};
    REQUIRE(holder.on_tick(now) == lease_action(read_lease{}));
    CHECK_FALSE(holder.on_read(platform_object{"{}", 4}, now));
    CHECK_FALSE(holder.held(now));
}

TEST_CASE("lease: a store that comes back from an older copy")
{
    // Guards against two holders, and against epochs that are given out again.
    lease_store store;
    candidate first(store, "first");
    candidate second(store, "second");
    lease_holder::time_point now{1h};
    const auto empty = store.m_object;
    const auto run = [&](std::chrono::milliseconds time)
    {
        bool both = false;
        for (const auto end = now + time; now < end; now += 100ms)
        {
            first.tick(now);
            second.tick(now);
            both = both || (first.m_holder.held(now) && second.m_holder.held(now));
        }
        return both;
    };
    first.tick(now);
    REQUIRE(first.m_holder.held(now));
    const auto held_by_first = store.m_object;

    SUBCASE("ends the lease, which is won again with a later epoch")
    {
        SUBCASE("if the copy names the holder")
        {
            store.restore(held_by_first);
        }
        SUBCASE("if the copy has no lease")
        {
            store.restore(empty);
        }
        first.m_holder.on_store_restored(now);
        second.m_holder.on_store_restored(now);
        CHECK_FALSE(first.m_holder.held(now));
        CHECK_FALSE(run(30s));
        const auto& holder = first.m_holder.held(now) ? first.m_holder : second.m_holder;
        CHECK(holder.held(now));
        CHECK(holder.epoch() > 1);
    }
    SUBCASE("does not give the lease to a process before an earlier one has expired")
    {
        // The second process has won the lease since the copy; the first one learns of the return.
        CHECK_FALSE(run(1s));
        now += 15s;
        second.tick(now);
        now += 15s;
        second.tick(now);
        REQUIRE(second.m_holder.held(now));
        first.tick(now);
        store.restore(held_by_first);
        first.m_holder.on_store_restored(now);
        const auto expired = now + 9s;
        while (now < expired)
        {
            now += 100ms;
            first.tick(now);
            REQUIRE_FALSE((first.m_holder.held(now) && second.m_holder.held(now)));
        }
        now += 2s;
        first.tick(now);
        CHECK(first.m_holder.held(now));
        CHECK(first.m_holder.epoch() > second.m_holder.epoch());
    }
    SUBCASE("does not make a write of before count")
    {
        now += 4s;
        auto action = first.m_holder.on_tick(now);
        REQUIRE(action);
        REQUIRE(std::holds_alternative<write_lease>(*action));
        first.m_holder.on_store_restored(now);
        CHECK_FALSE(first.m_holder.on_written(held_by_first.m_version + 1, now));
        CHECK_FALSE(first.m_holder.held(now));
    }
}

TEST_SUITE_END();
