#include <fulmaryard/log.hpp>
#include <fulmaryard/log_query.hpp>

#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <string>

using namespace fulmaryard;
using namespace std::chrono_literals;

namespace
{

/// Redirects log lines into a pipe; the destructor restores the default output and rate limit.
class log_pipe
{
public:
    log_pipe()
    {
        REQUIRE(pipe(m_descriptors) == 0);
        REQUIRE(fcntl(m_descriptors[0], F_SETFL, O_NONBLOCK) == 0);
        m_output = fdopen(m_descriptors[1], "w");
        set_log_output(m_output);
    }
    ~log_pipe()
    {
        set_log_output(stderr);
        set_log_rate_limit(0);
        std::fclose(m_output);
        close(m_descriptors[0]);
    }

    std::string read_all() const
    {
        std::string text;
        char bytes[4096];
        for (ssize_t size = 0; (size = read(m_descriptors[0], bytes, sizeof bytes)) > 0;)
            text.append(bytes, static_cast<std::size_t>(size));
        return text;
    }

private:
    int m_descriptors[2]{};
    std::FILE* m_output{nullptr};
};

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("log: a full pipe does not block the writer")
{
    // Guards against requests that block because the reader of the log does not keep up.
    const log_pipe output;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < 20'000; ++i)
        log_event(log_level::info, "tested").with("number", i);
    CHECK(std::chrono::steady_clock::now() - start < 5s);
    CHECK(output.read_all().find("number=0") != std::string::npos);

    SUBCASE("the next line written reports the number of dropped lines")
    {
        log_event(log_level::info, "tested").with("number", "last");
        const auto text = output.read_all();
        CHECK(text.find("number=last") != std::string::npos);
        CHECK(text.find("lines_left_out_before=") != std::string::npos);
    }
}

TEST_CASE("log: lines above the rate limit of their event are dropped")
{
    // Guards against a log volume that grows with the request rate.
    const log_pipe output;
    set_log_rate_limit(10);
    for (int i = 0; i < 100; ++i)
        log_event(log_level::info, "tested_budget").with("number", i);
    log_event(log_level::warning, "tested_warning").with("number", 0);
    const auto text = output.read_all();
    CHECK(text.find("number=0") != std::string::npos);
    CHECK(text.find("number=90") == std::string::npos);
    CHECK(text.find("event=tested_warning") != std::string::npos);
}

TEST_CASE("log query: lines of one request from several processes")
{
    // Guards against a query that misses events of the request's endpoints.
    const std::string ended =
        "time=2026-12-04T10:00:09.000Z level=info event=stream_ended process=b request=r1 "
        "outcome=answered first=i-1";
    const std::string suspected = "level=warning event=endpoint_suspected process=b endpoint=i-2 "
                                  "address=10.0.0.2:80 reason=\"calls stall at it\"";
    const std::string placed =
        "12.5 a time=2026-12-04T10:00:07.000Z level=info event=request_placed process=a "
        "request=r1 path=\"10.0.0.1:80=0-40,10.0.0.2:80=40-80\"";
    const std::string other =
        "time=2026-12-04T10:00:07.500Z level=info event=request_placed process=a request=r2";
    const std::vector<std::string> lines{
        ended, "time=2026-12-04T10:00:08.000Z " + suspected, placed,
        other, "time=2026-12-04T09:00:08.000Z " + suspected, "no line of a log"};
    const auto found = find_request_lines(lines, "r1", 3s);
    REQUIRE(found.size() == 3);
    CHECK(found[0] == lines[2]);
    CHECK(found[1] == lines[1]);
    CHECK(found[2] == lines[0]);
    CHECK(find_request_lines(lines, "r3", 3s).empty());
}

TEST_SUITE_END();
