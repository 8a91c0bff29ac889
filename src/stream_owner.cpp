#include <fulmaryard/failure.hpp>
#include <fulmaryard/stream_owner.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <utility>

namespace fulmaryard
{

namespace
{

// A stage drops a stream after 10 s without a message from its owner. With this interval, three
// keep-alives are sent within that time.
constexpr std::chrono::milliseconds keep_alive_interval{3000};

// After this time without a token, the owner requests the tokens from the last stage again.
constexpr std::chrono::milliseconds token_pull_interval{1000};

// The low bits of an epoch number count the plans of one owner, the high bits count the owners. By
// default, an owner makes at most 16 replacements, each with a new plan.
constexpr unsigned plan_number_bits = 16;

constexpr std::string_view exit_message = "the process exits before the answer is complete";

enum class stream_phase : std::uint8_t
{
    opening,    ///< At least one stage has not accepted the plan yet.
    running,    ///< All stages have accepted the plan.
    recovering, ///< Waiting for a replacement of a stage or of the plan.
    ended
};

std::string_view to_string(stream_phase value)
{
    switch (value)
    {
    case stream_phase::opening:
        return "opening";
    case stream_phase::running:
        return "running";
    case stream_phase::recovering:
        return "recovering";
    case stream_phase::ended:
        break;
    }
    return "ended";
}

} // namespace

struct stream_owner::state
{
    /// State of one stage in the current epoch, as known to the owner.
    struct stage_status
    {
        bool m_opened{false};
        time_point m_last_sent; ///< When `open_stream` was last sent.
    };

    /// State of a process to which `open_stream` was sent, across epochs.
    struct process_status
    {
        bool m_refused{false};       ///< Refused the most recent `open_stream`.
        bool m_accepted_open{false}; ///< Has accepted an `open_stream`.
        time_point m_first_sent;     ///< In any epoch; a new plan does not extend the deadline.
    };

    stream_owner_settings m_settings;
    stream_id m_id;
    stream_request m_request;
    std::vector<stage_assignment> m_plan;
    std::vector<stage_status> m_stages;
    epoch m_epoch;
    std::uint32_t m_min_session_epoch{0}; ///< Engine sessions of epochs below this are discarded.
    stream_phase m_phase{stream_phase::opening};
    std::vector<token> m_tokens;   ///< All generated tokens received so far, from index 0.
    std::uint32_t m_delivered{0};  ///< Index of the next token to deliver.
    bool m_answer_complete{false}; ///< The last of m_tokens ends the response.
    std::set<std::size_t> m_awaiting_replacement; ///< Stages that wait for a replacement.
    bool m_awaiting_plan{false};                  ///< The stream waits for a new plan.
    std::vector<std::string> m_excluded; ///< Ids of processes that failed or refused the stream.
    std::map<std::string, process_status> m_processes;
    std::uint32_t m_replacements{0};
    bool m_any_stage_accepted{false};  ///< At least one stage has accepted a plan.
    bool m_all_stages_accepted{false}; ///< All stages have accepted a plan.
    time_point m_now;                  ///< Time of the current call.
    time_point m_start_time;
    time_point m_last_token_activity; ///< Last tokens, request for tokens or start of epoch.
    time_point m_last_keep_alive;     ///< Last round of keep-alives, or start of the epoch.
    actions m_actions;

    actions take_actions() { return std::exchange(m_actions, {}); }

    bool ended() const { return m_phase == stream_phase::ended; }

    // ---- opening

    void send_open(std::size_t stage)
    {
        open_stream open;
        open.m_stream = m_id;
        open.m_epoch = m_epoch;
        open.m_plan = m_plan;
        open.m_stage = static_cast<std::uint32_t>(stage);
        open.m_model = m_request.m_model;
        open.m_account = m_request.m_account;
        open.m_request_id = m_request.m_request_id;
        open.m_owner_address = m_settings.m_address;
        open.m_prompt = m_request.m_prompt;
        if (m_settings.m_recovery == recovery_strategy::rebuild_stage)
            open.m_known_tokens = m_tokens;
        open.m_min_session_epoch = m_min_session_epoch;
        open.m_max_tokens = m_request.m_max_tokens;
        open.m_priority = m_request.m_priority;
        open.m_generation = m_request.m_generation;
        const process_status unsent{false, false, m_now};
        m_processes.try_emplace(m_plan[stage].m_process, unsent).first->second.m_refused = false;
        m_stages[stage].m_last_sent = m_now;
        m_actions.emplace_back(send_message{m_plan[stage].m_address, std::move(open)});
    }

    void begin_epoch()
    {
        ++m_epoch.m_number;
        m_epoch.m_owner = std::hash<std::string>{}(m_settings.m_process);
        m_phase = stream_phase::opening;
        m_stages.assign(m_plan.size(), {});
        m_last_token_activity = m_now;
        m_last_keep_alive = m_now;
        for (std::size_t stage = 0; stage < m_plan.size(); ++stage)
            send_open(stage);
    }

    // Restarts all stages from the prompt, in new engine sessions.
    void restart_from_prompt()
    {
        m_min_session_epoch = m_epoch.m_number + 1;
        begin_epoch();
    }

    // ---- lost stages

    void exclude(const std::string& process)
    {
        if (std::find(m_excluded.begin(), m_excluded.end(), process) == m_excluded.end())
            m_excluded.push_back(process);
    }

    bool count_replacement()
    {
        if (m_replacements >= m_settings.m_max_replacements)
        {
            fail(failure_kind::endpoint_lost, "too many stages of the stream were lost");
            return false;
        }
        ++m_replacements;
        return true;
    }

    void handle_stage_loss(std::size_t stage)
    {
        if (ended() || m_awaiting_plan || m_awaiting_replacement.count(stage) != 0)
            return;
        exclude(m_plan[stage].m_process);
        if (!count_replacement())
            return;
        m_phase = stream_phase::recovering;
        if (m_settings.m_recovery == recovery_strategy::restart)
        {
            m_awaiting_plan = true;
            m_actions.emplace_back(choose_replacement{stage, m_excluded, true});
            return;
        }
        m_awaiting_replacement.insert(stage);
        m_actions.emplace_back(choose_replacement{stage, m_excluded, false});
    }

    void reopen_all_stages()
    {
        // While a replacement is being chosen, a new epoch is about to begin anyway. A stage that
        // lacks retained outputs reports its failure again in that epoch.
        if (m_phase != stream_phase::recovering && count_replacement())
            restart_from_prompt();
    }

    // ---- end of the stream

    dispatch_progress progress() const
    {
        if (m_any_stage_accepted)
            return dispatch_progress::started;
        if (m_processes.empty())
            return dispatch_progress::not_sent;
        const bool refused = std::all_of(
            m_processes.begin(), m_processes.end(),
            [](const auto& each) { return each.second.m_refused; });
        return refused ? dispatch_progress::refused : dispatch_progress::sent;
    }

    void cancel_stages()
    {
        for (const stage_assignment& stage : m_plan)
            if (m_processes.count(stage.m_process) != 0 || m_answer_complete)
                m_actions.emplace_back(send_message{stage.m_address, cancel_stream{m_id, m_epoch}});
        m_phase = stream_phase::ended;
    }

    void fail(failure_kind kind, std::string_view message)
    {
        if (ended())
            return;
        cancel_stages();
        m_actions.emplace_back(fail_stream{make_failure(kind, message, progress())});
    }

    void end_for_exit()
    {
        switch (decide_outcome(progress()))
        {
        case outcome::not_run:
            return fail(failure_kind::draining, exit_message);
        case outcome::failed:
            return fail(failure_kind::deadline_exceeded, exit_message);
        case outcome::unknown:
            break;
        }
        fail(failure_kind::outcome_unknown, exit_message);
    }

    // ---- messages

    bool is_process_of_stage(std::size_t stage, const hello& from) const
    {
        return stage < m_plan.size() && m_plan[stage].m_process == from.m_process;
    }

    void on(const hello& from, const stream_opened& message)
    {
        if (message.m_epoch != m_epoch || !is_process_of_stage(message.m_stage, from))
            return;
        m_any_stage_accepted = true;
        m_processes[from.m_process].m_accepted_open = true;
        m_stages[message.m_stage].m_opened = true;
        const bool all_opened = std::all_of(
            m_stages.begin(), m_stages.end(), [](const auto& each) { return each.m_opened; });
        if (m_phase != stream_phase::opening || !all_opened)
            return;
        m_phase = stream_phase::running;
        m_all_stages_accepted = true;
        if (m_epoch.m_number > 1)
            pull_tokens();
    }

    void on(const hello& from, const stream_refused& message)
    {
        if (message.m_epoch != m_epoch)
            return;
        if (message.m_reason == failure_kind::stale_epoch)
        {
            // Another owner has taken over the stream, so this one must not cancel it.
            m_phase = stream_phase::ended;
            return;
        }
        for (std::size_t stage = 0; stage < m_plan.size(); ++stage)
        {
            if (!is_process_of_stage(stage, from))
                continue;
            m_processes[from.m_process].m_refused = true;
            if (message.m_reason == failure_kind::stale_generation)
                return fail(message.m_reason, "the plan was made under an older configuration");
            return handle_stage_loss(stage);
        }
    }

    void on(const hello&, const stage_failed& message)
    {
        if (message.m_epoch != m_epoch || message.m_stage >= m_plan.size())
            return;
        m_any_stage_accepted = true;
        if (message.m_reason == failure_kind::overloaded)
            return reopen_all_stages();
        handle_stage_loss(message.m_stage);
    }

    void on(const hello& from, const tokens& message)
    {
        if (message.m_epoch != m_epoch || !is_process_of_stage(m_plan.size() - 1, from))
            return;
        m_any_stage_accepted = true;
        m_last_token_activity = m_now;
        if (message.m_first_index > m_tokens.size())
            return pull_tokens();
        for (std::size_t at = m_tokens.size() - message.m_first_index; at < message.m_tokens.size();
             ++at)
            m_tokens.push_back(message.m_tokens[at]);
        const std::size_t end = message.m_first_index + message.m_tokens.size();
        if (message.m_finished && end == m_tokens.size())
            m_answer_complete = true;
        deliver();
    }

    void deliver()
    {
        if (m_tokens.size() >= m_request.m_max_tokens)
            m_answer_complete = true;
        if (m_tokens.size() > m_delivered || m_answer_complete)
        {
            deliver_tokens action{m_delivered, {}, m_answer_complete};
            for (; m_delivered < m_tokens.size(); ++m_delivered)
                action.m_tokens.push_back(m_tokens[m_delivered]);
            m_actions.emplace_back(std::move(action));
        }
        if (m_answer_complete)
            cancel_stages();
    }

    template <typename Other>
    void on(const hello&, const Other&)
    {
        // Owners ignore all other messages.
    }

    void send_pull(std::size_t stage, pull_kind kind)
    {
        m_actions.emplace_back(send_message{
            m_plan[stage].m_address, pull{
                                         m_id, m_epoch, static_cast<std::uint32_t>(m_tokens.size()),
                                         m_settings.m_address, kind}});
    }

    void pull_tokens()
    {
        m_last_token_activity = m_now;
        send_pull(m_plan.size() - 1, pull_kind::outputs);
    }

    // ---- links and time

    void connected(const hello& peer)
    {
        for (std::size_t stage = 0; stage < m_plan.size() && !ended(); ++stage)
        {
            if (m_plan[stage].m_address != peer.m_address)
                continue;
            if (m_plan[stage].m_process != peer.m_process)
                handle_stage_loss(stage);
            else if (!m_stages.empty() && !m_stages[stage].m_opened)
                send_open(stage);
            else
                send_pull(
                    stage, stage + 1 == m_plan.size() ? pull_kind::outputs : pull_kind::keep_alive);
        }
    }

    void check_opens()
    {
        for (std::size_t stage = 0; stage < m_plan.size() && !ended(); ++stage)
        {
            const stage_status& status = m_stages[stage];
            if (status.m_opened || m_awaiting_replacement.count(stage) != 0 || m_awaiting_plan)
                continue;
            // A process that has answered before counts as alive while its link is up. It answers
            // `open_stream` without waiting for its engine, so a missing answer was probably lost
            // and `open_stream` is sent again.
            const process_status& record = m_processes[m_plan[stage].m_process];
            if (!record.m_accepted_open &&
                m_now - record.m_first_sent >= m_settings.m_open_deadline)
                handle_stage_loss(stage);
            else if (m_now - status.m_last_sent >= m_settings.m_open_deadline / 4)
                send_open(stage);
        }
    }

    void keep_alive()
    {
        if (m_now - m_last_keep_alive < keep_alive_interval)
            return;
        m_last_keep_alive = m_now;
        for (std::size_t stage = 0; stage < m_plan.size(); ++stage)
            if (m_stages[stage].m_opened)
                send_pull(stage, pull_kind::keep_alive);
    }

    void tick()
    {
        if (m_now - m_start_time >= m_settings.m_stream_deadline)
            return fail(failure_kind::deadline_exceeded, "the stream passed its deadline");
        check_opens();
        if (m_phase == stream_phase::running &&
            m_now - m_last_token_activity >= token_pull_interval)
            pull_tokens();
        if (!ended())
            keep_alive();
    }
};

stream_owner::stream_owner(
    stream_owner_settings settings, stream_id id, stream_request request,
    std::vector<stage_assignment> plan)
    : m_state(std::make_unique<state>())
{
    m_state->m_settings = std::move(settings);
    m_state->m_id = id;
    m_state->m_request = std::move(request);
    m_state->m_plan = std::move(plan);
}

stream_owner::stream_owner(
    stream_owner_settings settings, stream_request request, const stream_attached& attached,
    std::uint32_t next_index)
    : stream_owner(std::move(settings), attached.m_stream, std::move(request), attached.m_plan)
{
    m_state->m_request.m_model = attached.m_model;
    m_state->m_request.m_prompt = attached.m_prompt;
    m_state->m_request.m_max_tokens = attached.m_max_tokens;
    m_state->m_request.m_priority = attached.m_priority;
    m_state->m_epoch = attached.m_epoch;
    // The new epoch must exceed every epoch that the previous owner can still begin. Otherwise a
    // previous owner that was paused, or does not know of this one yet, could take the stream back
    // by replacing a stage.
    m_state->m_epoch.m_number |= (1U << plan_number_bits) - 1;
    m_state->m_min_session_epoch = attached.m_min_session_epoch;
    m_state->m_tokens = attached.m_tokens;
    m_state->m_delivered = next_index;
    m_state->m_answer_complete = attached.m_finished;
    m_state->m_any_stage_accepted = true; // A stage has this stream open.
    m_state->m_all_stages_accepted = true;
}

stream_owner::~stream_owner() = default;

stream_owner::actions stream_owner::start(time_point now)
{
    m_state->m_now = now;
    m_state->m_start_time = now;
    if (m_state->m_plan.empty())
        m_state->fail(failure_kind::no_endpoint, "the plan has no stage");
    else if (!m_state->m_tokens.empty() || m_state->m_answer_complete)
        m_state->deliver();
    if (!m_state->ended())
        m_state->begin_epoch();
    return m_state->take_actions();
}

stream_owner::actions
stream_owner::on_message(const hello& from, const peer_message& message, time_point now)
{
    m_state->m_now = now;
    const auto handle = [&](const auto& each) { m_state->on(from, each); };
    if (!m_state->ended())
        std::visit(handle, message);
    return m_state->take_actions();
}

stream_owner::actions stream_owner::on_peer_connected(const hello& peer, time_point now)
{
    m_state->m_now = now;
    m_state->connected(peer);
    return m_state->take_actions();
}

stream_owner::actions stream_owner::on_peer_down(const std::string& address, time_point now)
{
    m_state->m_now = now;
    for (std::size_t stage = 0; stage < m_state->m_plan.size(); ++stage)
        if (m_state->m_plan[stage].m_address == address)
            m_state->handle_stage_loss(stage);
    return m_state->take_actions();
}

stream_owner::actions stream_owner::on_tick(time_point now)
{
    m_state->m_now = now;
    if (!m_state->ended())
        m_state->tick();
    return m_state->take_actions();
}

stream_owner::actions
stream_owner::replace_stage(std::size_t stage, stage_assignment assignment, time_point now)
{
    m_state->m_now = now;
    if (m_state->ended() || m_state->m_awaiting_replacement.erase(stage) == 0)
        return {};
    m_state->m_plan[stage] = std::move(assignment);
    if (m_state->m_awaiting_replacement.empty())
        m_state->begin_epoch();
    return m_state->take_actions();
}

stream_owner::actions stream_owner::replace_plan(std::vector<stage_assignment> plan, time_point now)
{
    m_state->m_now = now;
    if (m_state->ended())
        return {};
    if (plan.empty())
        return fail(failure_kind::no_endpoint, "the new plan has no stage");
    m_state->m_plan = std::move(plan);
    m_state->m_awaiting_replacement.clear();
    m_state->m_awaiting_plan = false;
    m_state->restart_from_prompt();
    return m_state->take_actions();
}

stream_owner::actions stream_owner::fail(failure_kind kind, std::string_view message)
{
    m_state->fail(kind, message);
    return m_state->take_actions();
}

stream_owner::actions stream_owner::end_for_exit()
{
    m_state->end_for_exit();
    return m_state->take_actions();
}

stream_owner::actions stream_owner::cancel()
{
    if (!m_state->ended())
        m_state->cancel_stages();
    return m_state->take_actions();
}

bool stream_owner::ended() const
{
    return m_state->ended();
}

stream_id stream_owner::id() const
{
    return m_state->m_id;
}

const std::vector<stage_assignment>& stream_owner::plan() const
{
    return m_state->m_plan;
}

std::uint32_t stream_owner::delivered() const
{
    return m_state->m_delivered;
}

std::uint32_t stream_owner::replacements() const
{
    return m_state->m_replacements;
}

bool stream_owner::all_stages_accepted() const
{
    return m_state->m_all_stages_accepted;
}

std::string stream_owner::dump() const
{
    boost::json::array plan;
    for (const stage_assignment& stage : m_state->m_plan)
        plan.push_back(
            boost::json::object{{"process", stage.m_process}, {"address", stage.m_address}});
    const std::string_view phase = to_string(m_state->m_phase);
    return boost::json::serialize(boost::json::object{
        {"stream", to_string(m_state->m_id)},
        {"epoch", m_state->m_epoch.m_number},
        {"phase", boost::json::string_view(phase.data(), phase.size())},
        {"delivered", m_state->m_delivered},
        {"replacements", m_state->m_replacements},
        {"plan", std::move(plan)}});
}

} // namespace fulmaryard
