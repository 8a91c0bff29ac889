#include "standins/hash_chain.hpp"
#include "standins/reference_model.hpp"
#include "standins/stage_session.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace fulmaryard;
using namespace fulmaryard::standins;

namespace
{

// Runs all stages in order for each position, as a pipeline of engines does.
reference_answer run_in_stages(
    const std::string& prompt, const std::vector<layer_range>& stages, std::uint32_t max_tokens,
    std::uint64_t finish_modulus)
{
    std::vector<stage_session> sessions;
    sessions.reserve(stages.size());
    for (const layer_range& stage : stages)
        sessions.emplace_back(stage);
    const auto run = [&sessions](std::uint64_t id)
    {
        std::uint64_t value = token_value(id);
        for (stage_session& session : sessions)
            value = session.run(value);
        return value;
    };
    std::uint64_t value = 0;
    for (const std::string& word : tokenise(prompt))
        value = run(word_id(word));
    reference_answer answer;
    while (answer.m_ids.size() < max_tokens)
    {
        const std::uint64_t id = sampled_id(value);
        answer.m_ids.push_back(id);
        answer.m_text += token_text(id);
        answer.m_finished = ends_answer(value, finish_modulus);
        if (answer.m_finished)
            break;
        value = run(id);
    }
    return answer;
}

// Splits the layers [0, layers) into stages at the given boundaries.
std::vector<layer_range>
split_layers(std::uint32_t layers, const std::set<std::uint32_t>& boundaries)
{
    std::vector<layer_range> stages;
    std::uint32_t begin = 0;
    for (const std::uint32_t boundary : boundaries)
    {
        stages.push_back({begin, boundary});
        begin = boundary;
    }
    stages.push_back({begin, layers});
    return stages;
}

rc::Gen<std::string> arbitrary_prompt()
{
    return rc::gen::container<std::string>(rc::gen::element('a', 'b', 'c', ' ', '\n'));
}

} // namespace

TEST_SUITE_BEGIN("unit");

TEST_CASE("the reference answer does not depend on how layers are split into stages")
{
    // Guards against a reference that matches the engines for one particular split only.
    CHECK(rc::check(
        "any split of the layers",
        []
        {
            const auto layers = *rc::gen::inRange<std::uint32_t>(1, 40);
            const auto max_tokens = *rc::gen::inRange<std::uint32_t>(0, 30);
            const auto modulus = *rc::gen::element<std::uint64_t>(0, 1, 5, 1000);
            const auto prompt = *arbitrary_prompt();
            const auto generated_boundaries = *rc::gen::container<std::vector<std::uint32_t>>(
                rc::gen::inRange<std::uint32_t>(1, 40));
            std::set<std::uint32_t> boundaries(
                generated_boundaries.begin(), generated_boundaries.end());
            boundaries.erase(boundaries.lower_bound(layers), boundaries.end());
            RC_ASSERT(
                run_in_stages(prompt, split_layers(layers, boundaries), max_tokens, modulus) ==
                compute_reference(prompt, layers, max_tokens, modulus));
        }));
}

TEST_CASE("the reference answer shows which layers ran, in which order and for which prompt")
{
    // Guards against a layer computation whose result does not reveal that a layer was skipped,
    // repeated or run out of order.
    GIVEN("the answer of a model with six layers")
    {
        const std::string prompt = "two rowing clubs";
        const reference_answer expected = compute_reference(prompt, 6, 8);
        REQUIRE(expected.m_ids.size() == 8);

        THEN("a skipped, repeated or reordered layer changes it")
        {
            CHECK(run_in_stages(prompt, {{0, 3}, {4, 6}}, 8, 0) != expected);
            CHECK(run_in_stages(prompt, {{0, 3}, {2, 6}}, 8, 0) != expected);
            CHECK(run_in_stages(prompt, {{3, 6}, {0, 3}}, 8, 0) != expected);
        }
        THEN("another prompt changes it")
        {
            CHECK(compute_reference("two rowing club", 6, 8) != expected);
            CHECK(compute_reference("rowing two clubs", 6, 8) != expected);
        }
    }
}

TEST_SUITE_END();
