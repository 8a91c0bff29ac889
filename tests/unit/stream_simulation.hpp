#ifndef FULMARYARD_STREAM_SIMULATION_HPP
#define FULMARYARD_STREAM_SIMULATION_HPP

#include "fake_engine.hpp"

#include <fulmaryard/stage_node.hpp>
#include <fulmaryard/stream_owner.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

/// Faults that a schedule injects, and checks of the protocol that it disables.
struct schedule_options
{
    std::uint32_t m_seed{0};
    std::size_t m_stages{3};
    bool m_break_links{true};        ///< Links break and lose messages in transit.
    bool m_duplicate_messages{true}; ///< Messages are delivered a second time later.
    bool m_kill_sides{true};         ///< Sides are killed; some are restarted at the same address.
    bool m_pause_sides{true};        ///< Sides are paused, reported down, and resumed.
    bool m_handovers{false}; ///< Another entry attaches; the old one may be killed or paused.
    bool m_engine_losses{false};
    bool m_random_sampling{true}; ///< Sampling a position again can give another token.
    bool m_epoch_check{true};     ///< False: messages of old epochs are accepted.
    std::uint32_t m_max_step_ms{40};
    std::uint32_t m_fault_chance_per_mille{300}; ///< Of the steps that may inject a fault.
    std::size_t m_max_retained_bytes{1 << 20};
    std::size_t m_window_bytes{1 << 20};
    fulmaryard::recovery_strategy m_recovery{fulmaryard::recovery_strategy::rebuild_stage};
};

/// A simulated side process with its engine.
struct simulated_side
{
    fulmaryard::hello m_hello;
    std::size_t m_stage{0};
    fulmaryard::epoch m_epoch; ///< Highest received; used if m_epoch_check is false.
    std::vector<fulmaryard::stage_assignment> m_plan;
    fake_engine m_engine;
    std::unique_ptr<fulmaryard::stage_node> m_node;
    bool m_paused{false};
};

/// A simulated entry process with its only stream, and the tokens delivered to its caller.
struct simulated_entry
{
    fulmaryard::hello m_hello;
    std::unique_ptr<fulmaryard::stream_owner> m_owner;
    fulmaryard::epoch m_epoch; ///< Of the last open_stream; used if m_epoch_check is false.
    std::vector<fulmaryard::stream_attached> m_attached;
    std::int64_t m_attach_started_ms{-1};
    std::uint32_t m_first_index{0};
    /// Tokens that the caller received from earlier entries.
    std::vector<fulmaryard::token> m_received_before;
    std::vector<fulmaryard::token> m_received;
    bool m_complete{false};
    bool m_failed{false};
    bool m_paused{false};
};

/// Simulates processes and links with a seeded scheduler in virtual time. Messages on one link stay
/// in order, except for injected duplicates; all other events are interleaved at random.
/// `m_violations` lists the failed checks.
class stream_simulation
{
public:
    explicit stream_simulation(schedule_options options);

    /// Injects faults for 1.5 s, then runs without faults until the stream ends, and then for
    /// another 45 s (all in virtual time), after which the sides must have released their memory.
    void run();

    std::vector<std::string> m_violations;
    std::uint32_t m_replacements{0};
    std::uint32_t m_handovers{0};
    std::uint32_t m_reattachments{0};
    std::uint32_t m_lost_with_all_holders{0};
    std::uint32_t m_reopened_sessions{0};
    std::uint32_t m_positions_run{0};

private:
    using time_point = std::chrono::steady_clock::time_point;

    struct in_flight
    {
        fulmaryard::hello m_from;
        fulmaryard::peer_message m_message;
    };

    bool random_chance(std::uint32_t per_mille);
    std::uint32_t random_below(std::uint32_t limit);
    time_point now() const;
    void add_violation(const std::string& text);

    simulated_side& start_side(std::size_t stage, const std::string& address);
    fulmaryard::stage_assignment assignment_of(const simulated_side& side) const;
    simulated_side* side_at(const std::string& address);
    simulated_entry* entry_at(const std::string& address);

    void start_stream();
    void execute(simulated_side& side, fulmaryard::stage_node::actions actions);
    void execute(simulated_entry& entry, fulmaryard::stream_owner::actions actions);
    void supply_replacement(simulated_entry& entry, const fulmaryard::choose_replacement& choice);
    fulmaryard::stage_assignment replacement_for(std::size_t stage);
    void receive(simulated_entry& entry, const fulmaryard::deliver_tokens& delivery);
    void send(const fulmaryard::hello& from, const fulmaryard::send_message& message);

    void step();
    void deliver_one();
    void deliver(const std::string& address, in_flight message);
    static void rewrite_to_current_epoch(
        const fulmaryard::epoch& current, const fulmaryard::stage_assignment& producer,
        in_flight& message);
    void complete_engine_step();
    void advance_time();
    void inject_fault();
    void break_link();
    void reconnect(const std::string& one, const std::string& other);
    void notify_connected(const std::string& at, const fulmaryard::hello& peer);
    void report_down(const std::string& address);
    void kill_side();
    void pause_side();
    void resume(simulated_side& side);
    void reconnect_all(const std::string& address);
    void start_handover();
    void finish_attach();
    void end_faults();
    void check_answers();
    void check_memory();

    schedule_options m_options;
    std::mt19937 m_random;
    std::int64_t m_now_ms{0};
    std::uint32_t m_last_process{0};
    std::map<std::string, std::unique_ptr<simulated_side>> m_sides;    ///< By address.
    std::map<std::string, std::unique_ptr<simulated_entry>> m_entries; ///< By address.
    std::vector<std::unique_ptr<simulated_side>> m_killed_sides;
    std::map<std::pair<std::string, std::string>, std::deque<in_flight>> m_links;
    std::string m_owner_address;
    fulmaryard::stream_id m_stream{7, 7};
    fulmaryard::stream_request m_request;
};

#endif
