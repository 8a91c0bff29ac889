#include "process/model_system.hpp"
#include "unit/fixed_seed_property.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace fulmaryard;
using namespace fulmaryard::process_tests;

TEST_SUITE_BEGIN("system");

TEST_CASE("random prompts get the reference answer through either entry")
{
    // Guards against differences between the staged execution and a simple loop over all layers,
    // for prompts and responses of random length: stage boundaries and token positions.
    const model_system system(2, 1000);
    const std::vector<std::string> entries{system.address("entry-1"), system.address("entry-2")};
    const auto equals_reference = [&]
    {
        const auto words =
            *rc::gen::container<std::vector<std::uint16_t>>(rc::gen::arbitrary<std::uint16_t>());
        const auto max_tokens = *rc::gen::inRange<std::uint32_t>(1, 40);
        const auto entry = *rc::gen::inRange<std::size_t>(0, 2);
        std::string content = "draft";
        for (const auto word : words)
            content += " w" + std::to_string(word);
        const auto answer = test_client::complete(
            {entries[entry]}, model_system::chat("shop", content, max_tokens));
        RC_ASSERT(answer.ok());
        RC_ASSERT(answer->m_text == model_system::reference(content, max_tokens));
    };
    CHECK(holds(equals_reference, 60, 20261204));
}

TEST_SUITE_END();
