#include "stream_simulation.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <iterator>

using namespace fulmaryard;

namespace
{

constexpr std::uint32_t layers_per_stage = 2;
constexpr std::int64_t fault_phase_ms = 1500;
constexpr std::int64_t progress_limit_ms = 60'000; // Without the time of engine steps.

template <typename Map>
typename Map::iterator iterator_at(Map& map, std::uint32_t index)
{
    auto at = map.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(index));
    return at;
}

} // namespace

stream_simulation::stream_simulation(schedule_options options)
    : m_options(options),
      m_random(options.m_seed)
{
    m_request.m_request_id = "request";
    m_request.m_account = "account";
    m_request.m_model = "model";
    m_request.m_max_tokens = 12 + random_below(20);
    for (std::uint32_t left = 1 + random_below(6); left > 0; --left)
        m_request.m_prompt.push_back(static_cast<char>('a' + random_below(26)));
    m_request.m_generation = 1;
}

bool stream_simulation::random_chance(std::uint32_t per_mille)
{
    return random_below(1000) < per_mille;
}

std::uint32_t stream_simulation::random_below(std::uint32_t limit)
{
    return static_cast<std::uint32_t>(m_random() % limit);
}

stream_simulation::time_point stream_simulation::now() const
{
    return time_point(std::chrono::milliseconds(1'000'000 + m_now_ms));
}

void stream_simulation::add_violation(const std::string& text)
{
    m_violations.push_back("seed " + std::to_string(m_options.m_seed) + ": " + text);
}

simulated_side& stream_simulation::start_side(std::size_t stage, const std::string& address)
{
    auto side = std::make_unique<simulated_side>();
    const auto first = static_cast<std::uint32_t>(stage) * layers_per_stage;
    const layer_range range{first, first + layers_per_stage};
    side->m_hello = {"side-" + std::to_string(++m_last_process), "side", address, 1};
    side->m_stage = stage;
    side->m_engine = fake_engine(range);
    stage_node_settings settings;
    settings.m_process = side->m_hello.m_process;
    settings.m_address = address;
    settings.m_model = "model";
    settings.m_layers = range;
    settings.m_max_retained_bytes = m_options.m_max_retained_bytes;
    settings.m_message_bytes = m_options.m_window_bytes / 2;
    settings.m_window_bytes = m_options.m_window_bytes;
    side->m_node = std::make_unique<stage_node>(settings);
    simulated_side& added = *side;
    m_sides[address] = std::move(side);
    return added;
}

stage_assignment stream_simulation::assignment_of(const simulated_side& side) const
{
    const auto first = static_cast<std::uint32_t>(side.m_stage) * layers_per_stage;
    return {side.m_hello.m_process, side.m_hello.m_address, {first, first + layers_per_stage}};
}

simulated_side* stream_simulation::side_at(const std::string& address)
{
    const auto found = m_sides.find(address);
    return found == m_sides.end() ? nullptr : found->second.get();
}

simulated_entry* stream_simulation::entry_at(const std::string& address)
{
    const auto found = m_entries.find(address);
    return found == m_entries.end() ? nullptr : found->second.get();
}

void stream_simulation::start_stream()
{
    std::vector<stage_assignment> plan;
    for (std::size_t stage = 0; stage < m_options.m_stages; ++stage)
        plan.push_back(assignment_of(start_side(stage, "side:" + std::to_string(stage))));
    auto entry = std::make_unique<simulated_entry>();
    entry->m_hello = {"entry-0", "entry", "entry:0", 1};
    stream_owner_settings settings;
    settings.m_process = entry->m_hello.m_process;
    settings.m_address = entry->m_hello.m_address;
    settings.m_max_replacements = 100;
    settings.m_recovery = m_options.m_recovery;
    entry->m_owner = std::make_unique<stream_owner>(settings, m_stream, m_request, plan);
    m_owner_address = "entry:0";
    simulated_entry& added = *(m_entries["entry:0"] = std::move(entry));
    execute(added, added.m_owner->start(now()));
}

void stream_simulation::execute(simulated_side& side, stage_node::actions actions)
{
    for (stage_action& action : actions)
    {
        if (const auto* const message = std::get_if<send_message>(&action))
            send(side.m_hello, *message);
        else if (const auto* const run = std::get_if<engine_run>(&action))
            side.m_engine.begin(*run, m_now_ms + random_below(m_options.m_max_step_ms));
        else
            side.m_engine.release(std::get<engine_release>(action));
    }
}

void stream_simulation::execute(simulated_entry& entry, stream_owner::actions actions)
{
    for (owner_action& action : actions)
    {
        if (const auto* const message = std::get_if<send_message>(&action))
        {
            if (const auto* const open = std::get_if<open_stream>(&message->m_message))
                entry.m_epoch = open->m_epoch;
            send(entry.m_hello, *message);
        }
        else if (const auto* const delivery = std::get_if<deliver_tokens>(&action))
            receive(entry, *delivery);
        else if (const auto* const choice = std::get_if<choose_replacement>(&action))
            supply_replacement(entry, *choice);
        else
            entry.m_failed = true;
    }
}

// In 10 % of the calls during the fault phase, the replacement is an endpoint that has already been
// killed, as a planner with outdated state would choose it.
stage_assignment stream_simulation::replacement_for(std::size_t stage)
{
    const std::string address = "side:" + std::to_string(100 + m_last_process);
    stage_assignment chosen = assignment_of(start_side(stage, address));
    if (m_options.m_kill_sides && m_now_ms < fault_phase_ms && random_chance(100))
    {
        m_killed_sides.push_back(std::move(m_sides[address]));
        m_sides.erase(address);
    }
    return chosen;
}

void stream_simulation::supply_replacement(simulated_entry& entry, const choose_replacement& choice)
{
    if (!choice.m_replace_plan)
        return execute(
            entry,
            entry.m_owner->replace_stage(choice.m_stage, replacement_for(choice.m_stage), now()));
    std::vector<stage_assignment> plan = entry.m_owner->plan();
    for (std::size_t stage = 0; stage < plan.size(); ++stage)
        if (std::count(choice.m_excluded.begin(), choice.m_excluded.end(), plan[stage].m_process) !=
            0)
            plan[stage] = replacement_for(stage);
    execute(entry, entry.m_owner->replace_plan(plan, now()));
}

void stream_simulation::receive(simulated_entry& entry, const deliver_tokens& delivery)
{
    if (entry.m_complete)
        add_violation("tokens were delivered after the end of the stream");
    if (delivery.m_first_index != entry.m_first_index + entry.m_received.size())
        add_violation("tokens were delivered out of order");
    for (const token& each : delivery.m_tokens)
        entry.m_received.push_back(each);
    entry.m_complete = delivery.m_finished;
}

void stream_simulation::send(const hello& from, const send_message& message)
{
    m_links[{from.m_address, message.m_address}].push_back({from, message.m_message});
}

void stream_simulation::run()
{
    start_stream();
    while (m_now_ms < fault_phase_ms)
        step();
    end_faults();
    const auto ended = [&]
    {
        const simulated_entry* const entry = entry_at(m_owner_address);
        return entry->m_complete || entry->m_failed;
    };
    const std::int64_t limit =
        progress_limit_ms +
        static_cast<std::int64_t>(
            m_options.m_max_step_ms * m_options.m_stages * (m_request.m_max_tokens + 1));
    while (!ended() && m_now_ms < limit)
        step();
    check_answers();
    const std::int64_t expired = m_now_ms + 45'000;
    while (m_now_ms < expired)
        step();
    check_memory();
}

void stream_simulation::step()
{
    const std::uint32_t choice = random_below(100);
    if (choice < 70)
        deliver_one();
    else if (choice < 85)
        complete_engine_step();
    else if (choice < 97 || m_now_ms >= fault_phase_ms)
        advance_time();
    else if (random_chance(m_options.m_fault_chance_per_mille))
        inject_fault();
}

void stream_simulation::deliver_one()
{
    if (m_links.empty())
        return advance_time();
    const auto at = iterator_at(m_links, random_below(static_cast<std::uint32_t>(m_links.size())));
    const std::string address = at->first.second;
    const simulated_side* const side = side_at(address);
    const simulated_entry* const entry = entry_at(address);
    if ((side && side->m_paused) || (entry && entry->m_paused))
        return advance_time();
    in_flight message = at->second.front();
    at->second.pop_front();
    if (m_options.m_duplicate_messages && m_now_ms < fault_phase_ms && random_chance(50))
        at->second.push_back(message);
    if (at->second.empty())
        m_links.erase(at);
    deliver(address, std::move(message));
}

void stream_simulation::deliver(const std::string& address, in_flight message)
{
    if (simulated_side* const side = side_at(address))
    {
        if (const auto* const open = std::get_if<open_stream>(&message.m_message))
            if (open->m_epoch > side->m_epoch)
            {
                side->m_epoch = open->m_epoch;
                side->m_plan = open->m_plan;
            }
        const std::size_t count = side->m_plan.size();
        // Tokens sent to the last stage report what other processes hold; they are not its input.
        if (!m_options.m_epoch_check && count > 1 &&
            (side->m_stage == 0 || std::holds_alternative<activations>(message.m_message)))
            rewrite_to_current_epoch(
                side->m_epoch, side->m_plan[(side->m_stage + count - 1) % count], message);
        return execute(*side, side->m_node->on_message(message.m_from, message.m_message, now()));
    }
    simulated_entry* const entry = entry_at(address);
    if (!entry)
        return;
    if (!m_options.m_epoch_check && entry->m_owner)
        rewrite_to_current_epoch(entry->m_epoch, entry->m_owner->plan().back(), message);
    if (const auto* const attached = std::get_if<stream_attached>(&message.m_message))
        entry->m_attached.push_back(*attached);
    else if (entry->m_owner)
        execute(*entry, entry->m_owner->on_message(message.m_from, message.m_message, now()));
}

// Changes a message from a replaced stage so that it appears to come from its successor in the
// current plan.
void stream_simulation::rewrite_to_current_epoch(
    const epoch& current, const stage_assignment& producer, in_flight& message)
{
    const auto rewrite = [&](auto& output)
    {
        if (output.m_epoch >= current)
            return;
        output.m_epoch = current;
        message.m_from.m_process = producer.m_process;
    };
    if (auto* const input = std::get_if<activations>(&message.m_message))
        rewrite(*input);
    else if (auto* const generated = std::get_if<tokens>(&message.m_message))
        rewrite(*generated);
}

void stream_simulation::complete_engine_step()
{
    std::vector<simulated_side*> sides;
    for (auto& [address, side] : m_sides)
        if (!side->m_paused)
            sides.push_back(side.get());
    if (sides.empty())
        return;
    // Completes the first step that is ready, starting at a random side.
    const std::uint32_t start = random_below(static_cast<std::uint32_t>(sides.size()));
    for (std::size_t tried = 0; tried < sides.size(); ++tried)
    {
        simulated_side& side = *sides[(start + tried) % sides.size()];
        if (const auto result =
                side.m_engine.complete(m_now_ms, m_random, m_options.m_random_sampling))
            return execute(side, side.m_node->on_engine_result(*result, now()));
    }
}

void stream_simulation::advance_time()
{
    const std::int64_t before = m_now_ms;
    m_now_ms += m_links.empty() ? 10 : 1 + random_below(3);
    if (before / 50 == m_now_ms / 50)
        return;
    for (auto& [address, side] : m_sides)
        if (!side->m_paused)
            execute(*side, side->m_node->on_tick(now()));
    // Choosing a replacement may add sides but no entries, so this iteration stays valid.
    for (auto& [address, entry] : m_entries)
        if (entry->m_owner && !entry->m_paused)
            execute(*entry, entry->m_owner->on_tick(now()));
    finish_attach();
}

void stream_simulation::inject_fault()
{
    switch (random_below(6))
    {
    case 0:
    case 1:
        return m_options.m_break_links ? break_link() : void();
    case 2:
        return m_options.m_kill_sides ? kill_side() : void();
    case 3:
        return m_options.m_pause_sides ? pause_side() : void();
    case 4:
        if (m_options.m_engine_losses && !m_sides.empty())
        {
            simulated_side& side =
                *iterator_at(m_sides, random_below(static_cast<std::uint32_t>(m_sides.size())))
                     ->second;
            if (side.m_paused)
                return;
            side.m_engine.reset_state();
            execute(side, side.m_node->on_engine_down(now()));
            side.m_node->on_engine_up();
        }
        return;
    default:
        return m_options.m_handovers ? start_handover() : void();
    }
}

void stream_simulation::break_link()
{
    if (m_links.empty())
        return;
    const auto at = iterator_at(m_links, random_below(static_cast<std::uint32_t>(m_links.size())));
    const auto [from, to] = at->first;
    at->second.erase(
        at->second.begin() + random_below(static_cast<std::uint32_t>(at->second.size())),
        at->second.end());
    if (at->second.empty())
        m_links.erase(at);
    reconnect(from, to);
}

void stream_simulation::reconnect(const std::string& one, const std::string& other)
{
    const auto hello_of = [&](const std::string& address) -> const hello*
    {
        if (const simulated_side* const side = side_at(address))
            return &side->m_hello;
        const simulated_entry* const entry = entry_at(address);
        return entry ? &entry->m_hello : nullptr;
    };
    const hello* const first = hello_of(one);
    const hello* const second = hello_of(other);
    if (!first || !second)
        return;
    const hello first_copy = *first;
    const hello second_copy = *second;
    notify_connected(one, second_copy);
    notify_connected(other, first_copy);
}

void stream_simulation::notify_connected(const std::string& at, const hello& peer)
{
    if (simulated_side* const side = side_at(at))
        execute(*side, side->m_node->on_peer_connected(peer, now()));
    else if (simulated_entry* const entry = entry_at(at); entry && entry->m_owner)
        execute(*entry, entry->m_owner->on_peer_connected(peer, now()));
}

void stream_simulation::report_down(const std::string& address)
{
    for (auto& [other, side] : m_sides)
        if (other != address && !side->m_paused)
            execute(*side, side->m_node->on_peer_down(address, now()));
    for (auto& [other, entry] : m_entries)
        if (entry->m_owner && !entry->m_paused)
            execute(*entry, entry->m_owner->on_peer_down(address, now()));
}

void stream_simulation::kill_side()
{
    if (m_sides.empty())
        return;
    const auto at = iterator_at(m_sides, random_below(static_cast<std::uint32_t>(m_sides.size())));
    const std::string address = at->first;
    const std::size_t stage = at->second->m_stage;
    m_killed_sides.push_back(std::move(at->second));
    m_sides.erase(at);
    for (auto link = m_links.begin(); link != m_links.end();)
    {
        const bool of_killed = link->first.second == address;
        link = of_killed ? m_links.erase(link) : std::next(link);
    }
    if (random_chance(500))
        return report_down(address);
    // Restarted before its peers detect the failure: they see a new process id at the address.
    const hello restarted = start_side(stage, address).m_hello;
    std::vector<std::string> peers;
    for (const auto& [other, side] : m_sides)
        peers.push_back(other);
    for (const auto& [other, entry] : m_entries)
        peers.push_back(other);
    for (const std::string& peer : peers)
        if (peer != address)
            notify_connected(peer, restarted);
}

void stream_simulation::pause_side()
{
    if (m_sides.empty())
        return;
    simulated_side& side =
        *iterator_at(m_sides, random_below(static_cast<std::uint32_t>(m_sides.size())))->second;
    if (side.m_paused)
        return resume(side);
    side.m_paused = true;
    report_down(side.m_hello.m_address);
}

void stream_simulation::resume(simulated_side& side)
{
    side.m_paused = false;
    reconnect_all(side.m_hello.m_address);
}

// Reconnects a resumed process to its peers, and reports to it the peers that were killed.
void stream_simulation::reconnect_all(const std::string& address)
{
    std::vector<std::string> peers;
    for (const auto& [other, each] : m_sides)
        peers.push_back(other);
    for (const auto& [other, each] : m_entries)
        peers.push_back(other);
    for (const std::string& peer : peers)
        if (peer != address)
            reconnect(address, peer);
    for (const auto& side : m_killed_sides)
    {
        const std::string gone = side->m_hello.m_address;
        if (side_at(gone))
            continue;
        if (simulated_side* const resumed = side_at(address))
            execute(*resumed, resumed->m_node->on_peer_down(gone, now()));
        else if (simulated_entry* const entry = entry_at(address); entry && entry->m_owner)
            execute(*entry, entry->m_owner->on_peer_down(gone, now()));
    }
}

// Attaches another entry for the same caller; the old entry is killed, paused or left running.
void stream_simulation::start_handover()
{
    simulated_entry& old = *entry_at(m_owner_address);
    if (!old.m_owner || old.m_owner->ended())
        return;
    auto entry = std::make_unique<simulated_entry>();
    const std::string number = std::to_string(++m_handovers);
    entry->m_hello = {"entry-" + number, "entry", "entry:" + number, 1};
    entry->m_first_index = old.m_first_index + static_cast<std::uint32_t>(old.m_received.size());
    entry->m_received_before = old.m_received_before;
    entry->m_received_before.insert(
        entry->m_received_before.end(), old.m_received.begin(), old.m_received.end());
    entry->m_attach_started_ms = m_now_ms;
    m_owner_address = entry->m_hello.m_address;
    for (const stage_assignment& stage : old.m_owner->plan())
        send(
            entry->m_hello,
            {stage.m_address,
             attach_stream{
                 m_stream, {}, m_request.m_account, m_request.m_request_id, m_owner_address}});
    m_entries[m_owner_address] = std::move(entry);
    // Killed, paused until the fault phase ends, or left running (only the connection of the caller
    // broke).
    if (const std::uint32_t fate = random_below(3); fate == 0)
        old.m_owner.reset();
    else
        old.m_paused = fate == 1;
}

void stream_simulation::finish_attach()
{
    simulated_entry& entry = *entry_at(m_owner_address);
    if (entry.m_owner && entry.m_owner->ended() && !entry.m_complete && !entry.m_failed)
    {
        // Superseded by another owner although this one serves the caller: it attaches again.
        entry.m_owner.reset();
        entry.m_attached.clear();
        entry.m_attach_started_ms = m_now_ms;
        ++m_reattachments;
    }
    if (entry.m_owner || entry.m_failed || entry.m_attach_started_ms < 0 ||
        m_now_ms - entry.m_attach_started_ms < 100)
        return;
    const auto best = std::max_element(
        entry.m_attached.begin(), entry.m_attached.end(),
        [](const auto& one, const auto& other) { return one.m_epoch < other.m_epoch; });
    if (best == entry.m_attached.end())
    {
        const bool held = std::any_of(
            m_sides.begin(), m_sides.end(),
            [](const auto& each)
            { return each.second->m_node->dump(1).find("\"held\":0") == std::string::npos; });
        if (!held)
        {
            // Every process that held the stream has been lost, including its entry.
            entry.m_failed = true;
            ++m_lost_with_all_holders;
            return;
        }
        // The responses were lost: the entry sends the request to every running side.
        entry.m_attach_started_ms = m_now_ms;
        for (const auto& [address, side] : m_sides)
            send(
                entry.m_hello,
                {address,
                 attach_stream{
                     m_stream, {}, m_request.m_account, m_request.m_request_id, m_owner_address}});
        return;
    }
    stream_owner_settings settings;
    settings.m_process = entry.m_hello.m_process;
    settings.m_address = entry.m_hello.m_address;
    settings.m_max_replacements = 100;
    settings.m_recovery = m_options.m_recovery;
    const stream_attached attached = *best;
    entry.m_owner = std::make_unique<stream_owner>(
        settings, m_request, attached,
        entry.m_first_index + static_cast<std::uint32_t>(entry.m_received.size()));
    execute(entry, entry.m_owner->start(now()));
    for (const stage_assignment& stage : attached.m_plan)
        if (!side_at(stage.m_address))
            execute(entry, entry.m_owner->on_peer_down(stage.m_address, now()));
}

void stream_simulation::end_faults()
{
    for (auto& [address, entry] : m_entries)
        if (std::exchange(entry->m_paused, false))
            reconnect_all(address);
    std::vector<simulated_side*> paused;
    for (auto& [address, side] : m_sides)
        if (side->m_paused)
            paused.push_back(side.get());
    for (simulated_side* const side : paused)
        resume(*side);
}

void stream_simulation::check_answers()
{
    const auto layers = static_cast<std::uint32_t>(m_options.m_stages) * layers_per_stage;
    std::vector<token> answer;
    const simulated_entry& last = *entry_at(m_owner_address);
    const auto expected = reference_answer(m_request.m_prompt, layers, m_request.m_max_tokens);
    if (!last.m_complete && m_lost_with_all_holders == 0)
        add_violation("the answer is incomplete after the fault phase");
    for (const auto& [address, entry] : m_entries)
    {
        if (entry->m_owner)
            m_replacements += entry->m_owner->replacements();
        if (m_options.m_random_sampling)
            continue;
        // Every owner, superseded or not, must have delivered a part of the same answer.
        for (std::size_t at = 0; at < entry->m_received.size(); ++at)
            if (entry->m_first_index + at >= expected.size() ||
                entry->m_received[at] != expected[entry->m_first_index + at])
                add_violation("a wrong token was delivered by " + entry->m_hello.m_process);
    }
    if (m_options.m_random_sampling)
    {
        answer = last.m_received_before;
        answer.insert(answer.end(), last.m_received.begin(), last.m_received.end());
        if (const auto wrong = first_mismatching_token(
                m_request.m_prompt, layers, m_request.m_max_tokens, answer, last.m_complete))
            add_violation("token " + std::to_string(*wrong) + " does not follow from the answer");
    }
    else if (last.m_complete && last.m_first_index + last.m_received.size() != expected.size())
        add_violation("the answer has a wrong number of tokens");
}

void stream_simulation::check_memory()
{
    std::vector<simulated_side*> all;
    for (auto& [address, side] : m_sides)
    {
        all.push_back(side.get());
        const auto dump = boost::json::parse(side->m_node->dump(10)).as_object();
        if (dump.at("held").as_int64() != 0 || side->m_node->retained_bytes() != 0 ||
            side->m_engine.open_sessions() != 0)
            add_violation(
                "memory was not released after the end of the stream: " + side->m_node->dump(10));
    }
    for (auto& side : m_killed_sides)
        all.push_back(side.get());
    for (const simulated_side* const side : all)
    {
        m_positions_run += side->m_engine.m_positions_run;
        if (side->m_engine.m_sessions_begun > 1)
            m_reopened_sessions += side->m_engine.m_sessions_begun - 1;
        for (const std::string& text : side->m_engine.m_violations)
            add_violation(side->m_hello.m_process + ": " + text);
    }
}
