#include "process/router_system.hpp"

#include <fstream>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("invalid_answers");

namespace
{

constexpr const char* signature_field = "Fulmaryard-Response-Signature";

/// An answer with one invalid part, between the fields that match it to its call and the rest of a
/// sound answer.
struct invalid_answer
{
    std::string m_status_line;
    std::string m_line;   ///< Follows the signature.
    std::string m_reason; ///< Why the answer is rejected, as logged.

    std::string bytes(const std::string& call, const std::string& rest) const
    {
        return m_status_line + fmt::format(
                                   "Fulmaryard-Attempt-Id: {}\r\n{}: s\r\n{}{}", call,
                                   signature_field, m_line, rest);
    }
};

const std::string ok_line = "HTTP/1.1 200 OK\r\n";

const std::vector<invalid_answer> invalid_answers{
    {"garbage\r\n", "", "bad version"},
    {"HTTP/1.1 000 OK\r\n", "", "bad status"},
    {"HTTP/1.1 099 \r\n", "", "bad status"},
    {"HTTP/1.1 600 Oops\r\n", "", "bad status"},
    {"HTTP/1.1 999 Oops\r\n", "", "bad status"},
    {"HTTP/1.1 2000 OK\r\n", "", "bad status"},
    {ok_line, " folded\r\n", "bad obs-fold"},
    {ok_line, "\tfolded\r\n", "bad obs-fold"},
    {ok_line, "X:\r\n folded\r\n", "bad obs-fold"},
    {ok_line, "X Y: value\r\n", "bad field"},
    {ok_line, "X\t: value\r\n", "bad field"},
    {ok_line, "X\x01Y: value\r\n", "bad field"},
    {ok_line, std::string("X\0Y: value\r\n", 12), "bad field"},
    {ok_line, "X\x7f: value\r\n", "bad field"},
    {ok_line, "X\xe9: value\r\n", "bad field"},
    {ok_line, "Content-Length : 2\r\n", "bad field"},
    {ok_line, "Transfer-Encoding\t: chunked\r\n", "bad field"}};

std::string chunked(const std::string& body)
{
    return fmt::format(
        "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body);
}

std::string with_length(const std::string& body)
{
    return fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
}

/// The rest of an answer for each way to delimit its body.
std::vector<std::string> framings(const std::string& body)
{
    return {with_length(body), chunked(body), "\r\n" + body, "\r\n"};
}

constexpr const char* stream_target = "/chat/1";

std::string body_for(const std::string& target)
{
    return target == stream_target ? "id: 1\ndata: x\n\nid: 2\ndata: x\n\n" : "done";
}

/// Id of a call. It tells the endpoint which invalid answer to send.
std::string call_id(const std::string& target, std::size_t answer, std::size_t framing)
{
    return fmt::format("{}-{}-{}", target.substr(1, 4), answer, framing);
}

scripted_endpoint::reply invalid_reply(const std::string& call, const std::string& body)
{
    const auto numbers = call.substr(call.find('-') + 1);
    const auto answer = std::stoul(numbers);
    const auto framing = std::stoul(numbers.substr(numbers.find('-') + 1));
    // The end of the connection is the end of a body that is not delimited otherwise.
    return {invalid_answers.at(answer).bytes(call, framings(body).at(framing)), true};
}

/// What `fulmaryard explain` prints of a request.
std::string explain(const std::string& request, const std::string& log)
{
    const temporary_directory directory;
    std::ofstream(directory.file("log")) << log;
    child_process process(
        FULMARYARD_BINARY, {"explain", request, directory.file("log")}, directory.file("explain"));
    REQUIRE(process.wait(10s).ok());
    return process.output();
}

/// Sends a request for every invalid answer and every framing, and checks the response.
template <typename Check>
void send_all(const router_system& system, const std::string& target, const Check& check)
{
    const std::string method = target == "/look/1" ? "GET" : "POST";
    const test_client client(system.address("router-1"));
    for (std::size_t answer = 0; answer < invalid_answers.size(); ++answer)
    {
        for (std::size_t framing = 0; framing < framings("").size(); ++framing)
        {
            const auto id = call_id(target, answer, framing);
            CAPTURE(id);
            check(
                id, invalid_answers[answer],
                client.send(router_system::make_request(method, target, id)));
        }
    }
}

} // namespace

TEST_CASE("an endpoint whose answers are invalid")
{
    // Guards against an answer that is passed on although it is not a valid HTTP response.
    scripted_endpoint plain([](const std::string& call, int)
                            { return invalid_reply(call, body_for("/orders/1")); });
    const auto model_script = [](const std::string& call, int)
    { return invalid_reply(call, body_for(stream_target)); };
    // Streams wait for another path if there is one first endpoint only.
    scripted_endpoint first(model_script);
    scripted_endpoint other_first(model_script);
    scripted_endpoint last(model_script);
    router_system system(0, 0);
    system.add_endpoint("plain", plain, std::nullopt);
    system.add_endpoint("first", first, layer_range{0, 6});
    system.add_endpoint("other-first", other_first, layer_range{0, 6});
    system.add_endpoint("last", last, layer_range{6, 12});
    system.start_router("router-1");
    std::vector<std::pair<std::string, std::string>> reasons; // By call.
    for (const std::string target : {"/orders/1", "/look/1", stream_target})
    {
        CAPTURE(target);
        send_all(
            system, target,
            [&](const std::string& id, const invalid_answer& invalid,
                const absl::StatusOr<http_response>& response)
            {
                REQUIRE(plain.arrivals(id) + first.arrivals(id) + other_first.arrivals(id) >= 1);
                REQUIRE(response.ok());
                CHECK(response->m_status == 502);
                CHECK_FALSE(find_field(response->m_fields, signature_field));
                reasons.emplace_back(id, invalid.m_reason);
            });
    }
    const auto log = system.process("router-1").output();
    // One framing of each answer is enough here, since each query is a process.
    for (std::size_t i = 0; i < reasons.size(); i += framings("").size())
    {
        const auto& id = reasons[i].first;
        const auto& reason = reasons[i].second;
        CAPTURE(id);
        CHECK(explain(id, log).find(fmt::format("reason=\"{}\"", reason)) != std::string::npos);
    }
}

TEST_CASE("an endpoint whose answers are invalid beside a sound one")
{
    // Guards against an invalid answer that is passed on instead of one from another endpoint.
    const auto sound_reply = [](const std::string& call, const std::string& body)
    {
        return scripted_endpoint::reply{
            ok_line + fmt::format(
                          "Fulmaryard-Attempt-Id: {}\r\n{}: sound\r\n{}", call, signature_field,
                          with_length(body))};
    };
    const auto faulty_script = [](const std::string& target)
    {
        return [body = body_for(target)](const std::string& call, int)
        { return invalid_reply(call, body); };
    };
    const auto sound_script = [&](const std::string& target)
    {
        return [&, body = body_for(target)](const std::string& call, int)
        { return sound_reply(call, body); };
    };
    scripted_endpoint faulty(faulty_script("/look/1"));
    scripted_endpoint faulty_model(faulty_script(stream_target));
    scripted_endpoint sound(sound_script("/look/1"));
    scripted_endpoint sound_model(sound_script(stream_target));
    scripted_endpoint last([](const std::string&, int) { return scripted_endpoint::reply{}; });
    router_system system(0, 0);
    system.add_endpoint("faulty", faulty, std::nullopt);
    system.add_endpoint("sound", sound, std::nullopt);
    system.add_endpoint("faulty-first", faulty_model, layer_range{0, 6});
    system.add_endpoint("sound-first", sound_model, layer_range{0, 6});
    system.add_endpoint("last", last, layer_range{6, 12});
    system.start_router("router-1");
    for (const std::string target : {"/look/1", stream_target})
    {
        CAPTURE(target);
        int sent_to_faulty = 0;
        int answered_by_other = 0;
        send_all(
            system, target,
            [&](const std::string& id, const invalid_answer&,
                const absl::StatusOr<http_response>& response)
            {
                const bool met_faulty =
                    (target == stream_target ? faulty_model : faulty).arrivals(id) > 0;
                REQUIRE(response.ok());
                sent_to_faulty += met_faulty ? 1 : 0;
                if (response->m_status == 200)
                {
                    CHECK(response->m_body == body_for(target));
                    CHECK(find_field(response->m_fields, signature_field) == "sound");
                    answered_by_other += met_faulty ? 1 : 0;
                }
                else
                {
                    CHECK(response->m_status == 502);
                    CHECK_FALSE(find_field(response->m_fields, signature_field));
                }
            });
        CHECK(sent_to_faulty > 0);
        CHECK(answered_by_other > 0);
    }
}

TEST_CASE("an endpoint whose answers are unusual but valid")
{
    // Guards against checks that reject more than the standard does.
    const std::string many_fields = []
    {
        std::string lines;
        for (int i = 0; i < 50; ++i)
            lines += fmt::format("X-{}: {}\r\n", i, std::string(100, 'v'));
        return lines;
    }();
    struct unusual_answer
    {
        std::string m_before; ///< Provisional responses.
        std::string m_status_line;
        std::string m_lines;
        http_field m_field; ///< As the caller gets it; without a name, none is checked.
    };
    const std::vector<unusual_answer> answers{
        {"", "HTTP/1.1 200 \r\n", "", {}},
        {"", ok_line, "X-A: \t value \t \r\n", {"X-A", "value"}},
        {"", ok_line, "X-A:\r\n", {"X-A", ""}},
        {"", ok_line, "X-A: \x80\xff\r\n", {"X-A", "\x80\xff"}},
        {"", ok_line, "!#$%&'*+-.^_`|~09azAZ: value\r\n", {"!#$%&'*+-.^_`|~09azAZ", "value"}},
        {"", ok_line, many_fields, {"X-49", std::string(100, 'v')}},
        {"", ok_line, "X-A: a\r\nX-A: a\r\n", {"X-A", "a"}},
        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: a\r\n\r\n", ok_line, "", {}}};
    const auto script = [&](const std::string& target)
    {
        return [&, body = body_for(target)](const std::string& call, int)
        {
            const auto& answer = answers.at(std::stoul(call.substr(call.find('-') + 1)));
            const auto rest =
                call.ends_with("chunked")
                    ? fmt::format(
                          "Transfer-Encoding: chunked\r\n\r\n{:x};name=\"a b\"\r\n{}\r\n0\r\n"
                          "Trailer-Field: value\r\n\r\n",
                          body.size(), body)
                    : with_length(body);
            return scripted_endpoint::reply{
                answer.m_before + answer.m_status_line +
                fmt::format(
                    "Fulmaryard-Attempt-Id: {}\r\n{}: s\r\n{}{}", call, signature_field,
                    answer.m_lines, rest)};
        };
    };
    scripted_endpoint plain(script("/orders/1"));
    scripted_endpoint model(script(stream_target));
    router_system system(0, 0);
    system.add_endpoint("plain", plain, std::nullopt);
    system.add_endpoint("first", model, layer_range{0, 6});
    system.add_endpoint("last", model, layer_range{6, 12});
    system.start_router("router-1");
    const test_client client(system.address("router-1"));
    for (const std::string target : {"/orders/1", stream_target})
    {
        for (std::size_t i = 0; i < answers.size(); ++i)
        {
            for (const std::string framing : {"length", "chunked"})
            {
                const auto id = fmt::format("{}-{}-{}", target.substr(1, 4), i, framing);
                CAPTURE(id);
                const auto response = client.send(router_system::make_request("POST", target, id));
                REQUIRE(response.ok());
                CHECK(response->m_status == 200);
                CHECK(response->m_body == body_for(target));
                CHECK(find_field(response->m_fields, signature_field) == "s");
                if (const auto& field = answers[i].m_field; !field.m_name.empty())
                    CHECK(find_field(response->m_fields, field.m_name) == field.m_value);
            }
        }
    }
}

TEST_SUITE_END();
