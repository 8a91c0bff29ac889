#include "reference_model.hpp"

#include "hash_chain.hpp"

#include <utility>

namespace fulmaryard::standins
{

reference_answer compute_reference(
    std::string_view prompt, std::uint32_t layers, std::uint32_t max_tokens,
    std::uint64_t finish_modulus)
{
    std::vector<std::uint64_t> inputs;
    for (const std::string& word : tokenise(prompt))
        inputs.push_back(word_id(word));
    const std::size_t prompt_positions = inputs.size();
    std::vector<std::uint64_t> kv(layers, 0);
    reference_answer answer;
    for (std::uint32_t position = 0; answer.m_ids.size() < max_tokens && !answer.m_finished;
         ++position)
    {
        std::uint64_t value = token_value(inputs[position]);
        for (std::uint32_t layer = 0; layer < layers; ++layer)
        {
            value = layer_value(value, layer, position, kv[layer]);
            kv[layer] = next_kv(kv[layer], value);
        }
        if (position + 1 < prompt_positions)
            continue;
        const std::uint64_t id = sampled_id(value);
        answer.m_ids.push_back(id);
        answer.m_text += token_text(id);
        answer.m_finished = ends_answer(value, finish_modulus);
        inputs.push_back(id);
    }
    return answer;
}

} // namespace fulmaryard::standins
