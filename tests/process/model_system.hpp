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

/// Two entries and a model of three stages, each with some instances.
///
/// Side processes are named "side-STAGE-N" and their engines "engine-STAGE-N", both counted from 0.
/// Accounts are "shop" and "clinic".
class model_system : public test_system
{
public:
    static constexpr std::size_t m_stages = 3;
    static constexpr std::uint32_t m_layers = 12;

    /// `relayed` names the entry or side processes that peers reach through "relay-NAME".
    explicit model_system(
        std::size_t instances_per_stage, std::uint64_t step_time_us = 3000,
        const std::vector<std::string>& relayed = {});

    void add_instance(std::size_t stage, std::size_t number, bool relayed = false);

    /// Waits until an entry's directory has `count` live endpoints.
    bool wait_live(const std::string& entry, std::size_t count) const;

    static http_request chat(
        const std::string& account, const std::string& content, std::uint32_t max_tokens,
        const std::string& request_id = "");
    static std::string reference(const std::string& content, std::uint32_t max_tokens);

    /// The side process that runs a stage of the stream at its last event, and its engine.
    std::string side_of(const running_stream& stream, std::size_t stage) const;
    static std::string engine_beside(const std::string& side);

    /// What an engine has run of a stream.
    boost::json::array journal(const std::string& engine, const stream_id& stream) const;
    std::size_t total_runs() const;

    /// Checks the journals of the engines that run: no session has a position twice or out of
    /// order, and each of `survivors` has one session with every position of the answer.
    void check_layers_once(
        const stream_id& stream, const std::vector<std::string>& survivors,
        std::size_t positions) const;

    /// Sum of a counter over its labels; `process` is an entry or a side process.
    double metric(const std::string& process, const std::string& name) const;
    boost::json::value dump(const std::string& process) const;

    /// Polls until `condition` holds; false after `deadline`.
    static bool
    eventually(const std::function<bool()>& condition, std::chrono::milliseconds deadline);

    const std::vector<std::string>& sides() const { return m_sides; }

private:
    std::vector<std::string> m_sides;
    std::map<std::string, std::string> m_side_at; ///< By advertised address.
    std::uint64_t m_step_time_us;
};

} // namespace fulmaryard::process_tests

#endif
