#ifndef FULMARYARD_MODEL_SYSTEM_HPP
#define FULMARYARD_MODEL_SYSTEM_HPP

#include "process/running_stream.hpp"
#include "process/test_system.hpp"

#include <boost/json/array.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fulmaryard::process_tests
{

/// A test system with two entries and a model of three stages, each with several instances.
///
/// Side processes are named "side-STAGE-N" and their engines "engine-STAGE-N"; STAGE and N start
/// at 0.
/// The accounts are "shop" and "clinic".
class model_system : public test_system
{
public:
    static constexpr std::size_t m_stages = 3;
    static constexpr std::uint32_t m_layers = 12;

    /// `relayed` lists the entries and side processes that peers reach through "relay-NAME".
    explicit model_system(
        std::size_t instances_per_stage, std::uint64_t step_time_us = 3000,
        const std::vector<std::string>& relayed = {});

    /// Starts an additional engine, and starts and registers its side process. `settings` are
    /// additional YAML lines for the side process.
    void add_instance(std::size_t stage, std::size_t number, const std::string& settings = "");

    /// Waits until an entry's directory has at least `count` live endpoints whose engine is up,
    /// for at most 10 s.
    bool wait_live(const std::string& entry, std::size_t count) const;

    static http_request chat(
        const std::string& account, const std::string& content, std::uint32_t max_tokens,
        const std::string& request_id = "");
    static std::string reference(const std::string& content, std::uint32_t max_tokens);

    /// Returns the side process that ran a stage of the stream as of its last event.
    std::string side_at_stage(const running_stream& stream, std::size_t stage) const;
    static std::string engine_of_side(const std::string& side);

    /// Returns the runs that an engine recorded for a stream.
    boost::json::array journal(const std::string& engine, const stream_id& stream) const;
    std::size_t total_engine_runs() const;

    /// Checks the journals of the running engines: no session has a repeated or out-of-order
    /// position, and each of `survivors` has one session with every position of the response.
    void check_positions_run_once(
        const stream_id& stream, const std::vector<std::string>& survivors,
        std::size_t positions) const;

    /// Returns the sum of a counter over its labels; `process` is an entry or a side process.
    /// Throws std::runtime_error if the process does not respond.
    double metric(const std::string& process, const std::string& name) const;
    boost::json::value dump(const std::string& process) const;

    /// Polls until `condition` holds. Returns false if it does not hold within `deadline`.
    static bool
    eventually(const std::function<bool()>& condition, std::chrono::milliseconds deadline);

    const std::vector<std::string>& sides() const { return m_sides; }

private:
    void start_engine(std::size_t stage, std::size_t number);
    void start_side(
        std::size_t stage, std::size_t number, bool relayed, const std::string& settings = "");

    std::vector<std::string> m_sides;
    std::map<std::string, std::string> m_side_by_address; ///< By advertised address.
    std::uint64_t m_step_time_us;
};

} // namespace fulmaryard::process_tests

#endif
