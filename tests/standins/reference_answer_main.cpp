// Prints the answer that the engines must give: reference_answer --prompt TEXT --layers N
// --max-tokens N [--finish-modulus N]

#include "reference_model.hpp"
#include "standin_options.hpp"

#include <fmt/core.h>

int main(int count, char** values)
{
    std::string prompt;
    std::uint64_t layers = 0;
    std::uint64_t max_tokens = 0;
    std::uint64_t finish_modulus = 0;
    if (!fulmaryard::standins::read_options(
            count, values,
            {{"prompt", &prompt},
             {"layers", &layers},
             {"max-tokens", &max_tokens},
             {"finish-modulus", &finish_modulus}}))
    {
        return 2;
    }
    if (layers == 0 || layers > 10'000 || max_tokens > 1'000'000)
    {
        fmt::print(stderr, "--layers must be 1 to 10000 and --max-tokens at most 1000000\n");
        return 2;
    }
    const auto answer = fulmaryard::standins::compute_reference(
        prompt, static_cast<std::uint32_t>(layers), static_cast<std::uint32_t>(max_tokens),
        finish_modulus);
    fmt::print("{}\n", answer.m_text);
    return 0;
}
