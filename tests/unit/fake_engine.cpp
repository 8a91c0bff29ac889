#include "fake_engine.hpp"

#include <algorithm>

using namespace fulmaryard;

std::uint64_t mix(std::uint64_t one, std::uint64_t other)
{
    // Finalizer of splitmix64.
    std::uint64_t value = one * 0x9e3779b97f4a7c15U + other + 0x632be59bd9b4e019U;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

std::uint64_t input_of(const token& token)
{
    return mix(token.m_id, 17);
}

token sample(std::uint64_t output, std::uint32_t salt)
{
    const auto id = (static_cast<std::uint32_t>(output >> 40) << 8) | salt;
    return {id, "t" + std::to_string(id)};
}

bool ends_answer(std::uint64_t output)
{
    return output % 29 == 0;
}

fake_layers::fake_layers(layer_range range) : m_range(range), m_kv(range.m_end - range.m_begin) {}

std::uint64_t fake_layers::run(std::uint32_t position, std::uint64_t input)
{
    for (std::size_t at = 0; at < m_kv.size(); ++at)
    {
        const std::uint64_t layer = m_range.m_begin + at;
        m_kv[at] = mix(mix(m_kv[at], input), mix(layer, position));
        input = m_kv[at];
    }
    return input;
}

std::optional<std::size_t> first_mismatching_token(
    const std::string& prompt, std::uint32_t layers, std::uint32_t max_tokens,
    const std::vector<token>& answer, bool complete)
{
    fake_layers all({0, layers});
    std::uint32_t position = 0;
    std::uint64_t output = 0;
    for (const char each : prompt)
        output = all.run(position++, mix(static_cast<unsigned char>(each), 3));
    for (std::size_t index = 0; index < answer.size(); ++index)
    {
        if (answer[index] != sample(output, answer[index].m_id & 0xff))
            return index;
        const bool last = ends_answer(output) || index + 1 == max_tokens;
        if (last != (complete && index + 1 == answer.size()))
            return index;
        output = all.run(position++, input_of(answer[index]));
    }
    return complete && answer.empty() ? std::optional<std::size_t>(0) : std::nullopt;
}

std::vector<token>
reference_answer(const std::string& prompt, std::uint32_t layers, std::uint32_t max_tokens)
{
    fake_layers all({0, layers});
    std::uint32_t position = 0;
    std::uint64_t output = 0;
    for (const char each : prompt)
        output = all.run(position++, mix(static_cast<unsigned char>(each), 3));
    std::vector<token> answer;
    for (bool last = false; !last;)
    {
        answer.push_back(sample(output, 0));
        last = ends_answer(output) || answer.size() == max_tokens;
        output = all.run(position++, input_of(answer.back()));
    }
    return answer;
}

fake_engine::fake_engine(layer_range range) : m_range(range) {}

void fake_engine::begin(const engine_run& run, std::int64_t ready_ms)
{
    const bool busy = std::any_of(
        m_pending.begin(), m_pending.end(),
        [&](const auto& each) { return each.m_run.m_stream == run.m_stream; });
    if (busy)
        m_violations.emplace_back("two runs of a stream in flight");
    m_pending.push_back({run, ready_ms});
}

void fake_engine::release(const engine_release& release)
{
    m_sessions.erase(release.m_session);
    m_pending.erase(
        std::remove_if(
            m_pending.begin(), m_pending.end(),
            [&](const auto& each) { return each.m_run.m_session == release.m_session; }),
        m_pending.end());
}

void fake_engine::reset_state()
{
    m_sessions.clear();
    m_pending.clear();
}

std::size_t fake_engine::open_sessions() const
{
    return m_sessions.size();
}

std::optional<engine_result>
fake_engine::complete(std::int64_t now_ms, std::mt19937& random, bool random_sampling)
{
    const auto ready = std::find_if(
        m_pending.begin(), m_pending.end(),
        [&](const auto& each) { return each.m_ready_ms <= now_ms; });
    if (ready == m_pending.end())
        return std::nullopt;
    const engine_run run = ready->m_run;
    m_pending.erase(ready);
    auto found = m_sessions.find(run.m_session);
    if (found == m_sessions.end())
    {
        found = m_sessions.emplace(run.m_session, session{fake_layers(m_range), 0}).first;
        ++m_sessions_begun;
    }
    session& kv = found->second;
    if (run.m_first_position != kv.m_next_position)
        m_violations.push_back(
            "run starts at position " + std::to_string(run.m_first_position) + " instead of " +
            std::to_string(kv.m_next_position));
    std::vector<std::uint64_t> inputs;
    for (const char each : run.m_prompt)
        inputs.push_back(mix(static_cast<unsigned char>(each), 3));
    for (const token& each : run.m_tokens)
        inputs.push_back(input_of(each));
    for (const std::string& each : run.m_inputs)
        inputs.push_back(std::stoull(each));
    engine_result result;
    result.m_run = run.m_run;
    result.m_prompt_positions = static_cast<std::uint32_t>(run.m_prompt.size());
    std::uint64_t output = 0;
    for (const std::uint64_t input : inputs)
    {
        output = kv.m_layers.run(kv.m_next_position++, input);
        result.m_outputs.push_back(std::to_string(output));
        ++m_positions_run;
    }
    if (run.m_sample)
    {
        result.m_sampled = sample(output, random_sampling ? random() & 0xff : 0);
        result.m_finished = ends_answer(output);
    }
    return result;
}
