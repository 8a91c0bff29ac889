#ifndef FULMARYARD_FAKE_ENGINE_HPP
#define FULMARYARD_FAKE_ENGINE_HPP

#include <fulmaryard/engine_release.hpp>
#include <fulmaryard/engine_result.hpp>
#include <fulmaryard/engine_run.hpp>
#include <fulmaryard/layer_range.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// Layers whose output is a hash chain over input, layer, position and KV state. Skipping,
/// repeating or reordering a layer, or changing its input, changes every later token.
class fake_layers
{
public:
    explicit fake_layers(fulmaryard::layer_range range);

    std::uint64_t run(std::uint32_t position, std::uint64_t input);

private:
    fulmaryard::layer_range m_range;
    std::vector<std::uint64_t> m_kv;
};

std::uint64_t mix(std::uint64_t one, std::uint64_t other);
std::uint64_t input_of(const fulmaryard::token& token);

/// Samples a token from `output`; the low byte of the token's id is `salt`.
fulmaryard::token sample(std::uint64_t output, std::uint32_t salt);
bool ends_answer(std::uint64_t output);

/// Checks `answer` against a reference that runs all layers in one loop with the tokens of `answer`
/// as inputs. Returns the index of the first token that the layers could not have produced, or
/// nothing. When `complete` is true, exactly the last token must end the answer; otherwise no token
/// may end it.
std::optional<std::size_t> first_mismatching_token(
    const std::string& prompt, std::uint32_t layers, std::uint32_t max_tokens,
    const std::vector<fulmaryard::token>& answer, bool complete);

/// Generates the complete reference answer with salt 0, running all layers in one loop.
std::vector<fulmaryard::token>
reference_answer(const std::string& prompt, std::uint32_t layers, std::uint32_t max_tokens);

/// Simulated engine that tracks its sessions and records a violation when the positions of a
/// session do not run exactly once and in order, or when two runs of a stream are in flight.
class fake_engine
{
public:
    explicit fake_engine(fulmaryard::layer_range range = {});

    void begin(const fulmaryard::engine_run& run, std::int64_t ready_ms);
    void release(const fulmaryard::engine_release& release);
    void reset_state();

    /// Completes the first pending run that is ready at `now_ms`; empty when there is none.
    std::optional<fulmaryard::engine_result>
    complete(std::int64_t now_ms, std::mt19937& random, bool random_sampling);

    std::size_t open_sessions() const;

    std::uint32_t m_sessions_begun{0};
    std::uint32_t m_positions_run{0};
    std::vector<std::string> m_violations;

private:
    struct session
    {
        fake_layers m_layers;
        std::uint32_t m_next_position{0};
    };
    struct pending_run
    {
        fulmaryard::engine_run m_run;
        std::int64_t m_ready_ms{0};
    };

    fulmaryard::layer_range m_range;
    std::map<std::uint64_t, session> m_sessions;
    std::vector<pending_run> m_pending;
};

#endif
