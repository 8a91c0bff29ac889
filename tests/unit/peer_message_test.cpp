#include <fulmaryard/peer_message.hpp>

#include <doctest/doctest.h>

using namespace fulmaryard;

TEST_SUITE_BEGIN("unit");

TEST_CASE("peer messages are equal after encoding and decoding")
{
    GIVEN("a message with every kind of field")
    {
        activations original;
        original.m_stream = {1, 2};
        original.m_epoch = {3, 4};
        original.m_first_position = 5;
        original.m_prompt_positions = 6;
        original.m_values = {std::string("\0\xff", 2), ""};
        original.m_input_tokens = {{7, "token"}};

        WHEN("it is encoded and decoded")
        {
            const auto decoded = decode(encode(original));
            THEN("the copy is equal")
            {
                CHECK(*decoded == peer_message(original));
            }
        }
        WHEN("the bytes are truncated at any position")
        {
            const std::string bytes = encode(original);
            for (std::size_t size = 0; size < bytes.size(); ++size)
                CHECK_FALSE(decode(std::string_view(bytes).substr(0, size)).ok());
        }
    }
    GIVEN("bytes that are not a valid message")
    {
        CHECK_FALSE(decode("not a message").ok());
    }
}

TEST_SUITE_END();
