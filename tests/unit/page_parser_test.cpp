#include "page_parser.hpp"

#include <doctest/doctest.h>

#include <string>
#include <tuple>

using namespace fulmaryard;

namespace
{

std::string page_with(const std::string& entry)
{
    return R"({"as_of":12,"items":[{"name":"a, \"]"}, )" + entry +
           R"(,{"name":"b"}],"has_more":false})";
}

std::string nested(std::size_t depth)
{
    std::string text;
    for (std::size_t i = 0; i < depth; ++i)
        text += R"({"x":[)";
    for (std::size_t i = 0; i < depth; ++i)
        text += "]}";
    return text;
}

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("a page of the store with an entry that cannot be parsed")
{
    // Guards against one odd entry that hides all others, or ends the process.
    std::string odd;
    SUBCASE("because it is nested too deeply")
    {
        odd = nested(100);
    }
    SUBCASE("because it is nested so deeply that recursion would end the process")
    {
        odd = nested(1'000'000);
    }
    SUBCASE("because a number is too large")
    {
        odd = R"({"born":1e99999999999999999999})";
    }
    SUBCASE("because a text is no UTF-8")
    {
        odd = "{\"name\":\"\xff\xfe\"}";
    }
    SUBCASE("because it is no JSON")
    {
        odd = "{name:[]}";
    }
    const auto page = parse_page(page_with(odd), "items");
    REQUIRE(page.ok());
    CHECK(page->m_unreadable == 1);
    REQUIRE(page->m_entries.size() == 2);
    CHECK(page->m_entries[1].at("name") == "b");
    CHECK(page->m_fields.at("as_of") == 12);
    CHECK(page->m_fields.at("has_more") == false);
}

TEST_CASE("an entry of the store that cannot be parsed and has a name")
{
    // The name is needed to continue a listing after the entry.
    const auto odd = R"({"metadata":{"name":"q\"x"},"spec":)" + nested(1'000) + "}";
    const auto page = parse_page(page_with(odd), "items");
    REQUIRE(page.ok());
    REQUIRE(page->m_entries.size() == 3);
    CHECK(page->m_entries[1].at("metadata").at("name") == "q\"x");
    CHECK_FALSE(page->m_entries[1].as_object().contains("spec"));
}

TEST_CASE("a page of the store that can be parsed")
{
    const auto page = parse_page(page_with(R"({"name":"c"})"), "items");
    REQUIRE(page.ok());
    CHECK(page->m_unreadable == 0);
    CHECK(page->m_entries.size() == 3);
    CHECK_FALSE(page->m_fields.contains("items"));
}

TEST_CASE("a response of the store that is no page")
{
    for (const std::string text :
         {"", "[]", "{}", R"({"items":{}})", R"({"items":[)", R"({"items":[{]})", R"({"items":[])",
          R"({"x":{"items":[1]})"})
    {
        CAPTURE(text);
        CHECK_FALSE(parse_page(text, "items").ok());
    }
}

TEST_CASE("pages of the store that are cut or changed at any place")
{
    // The parser must end, within the bounds that the address sanitizer checks.
    const std::string whole = page_with(nested(40));
    for (std::size_t at = 0; at < whole.size(); ++at)
    {
        std::ignore = parse_page(whole.substr(0, at), "items");
        for (const char changed : {'"', '\\', '[', '}', ','})
        {
            std::string text = whole;
            text[at] = changed;
            std::ignore = parse_page(text, "items");
        }
    }
}

TEST_SUITE_END();
