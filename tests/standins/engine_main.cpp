// Stand-in for an engine: continuous batching over a hash chain, with injected faults.
// docs/engine-protocol.md describes the protocol.

#include "engine_connection.hpp"
#include "engine_options.hpp"
#include "hash_chain.hpp"
#include "prefix_cache.hpp"
#include "stage_session.hpp"
#include "standin_options.hpp"
#include "standin_support.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <fmt/core.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <tuple>

using namespace fulmaryard;
using namespace fulmaryard::standins;
namespace asio = boost::asio;
namespace json = boost::json;
using steady_clock = std::chrono::steady_clock;

namespace
{

using session_key = std::pair<std::string, std::uint64_t>; ///< Stream id and session number.
using connection_pointer = std::shared_ptr<engine_connection>;

struct engine_run_request
{
    connection_pointer m_connection;
    std::uint64_t m_run{0};
    session_key m_session;
    std::uint64_t m_first_position{0};
    std::uint64_t m_priority{0};
    bool m_sample{false};
    std::uint64_t m_prompt_positions{0};
    std::vector<std::uint64_t> m_token_ids; ///< Token ids, in stage 0 only.
    std::vector<std::uint64_t> m_values;    ///< Inputs of the first layer, one per position.
    bool m_cancelled{false};
};

struct journal_entry
{
    session_key m_session;
    std::uint64_t m_position;
    layer_range m_layers;
    std::optional<std::uint64_t> m_token;   ///< Id of the input, in stage 0.
    std::optional<std::uint64_t> m_sampled; ///< Id of the token sampled after this position.
};

struct cache_event
{
    std::uint64_t m_sequence;
    const char* m_operation;
    std::uint64_t m_block;
    steady_clock::time_point m_publish_time;
};

class engine_standin
{
public:
    engine_standin(asio::io_context& io, const engine_options& options)
        : m_io(io),
          m_options(options),
          m_layers{
              static_cast<std::uint32_t>(options.m_first_layer),
              static_cast<std::uint32_t>(options.m_end_layer)},
          m_cache(
              options.m_cache_blocks, [this](const char* operation, std::uint64_t block)
              { record_cache_event(operation, block); }),
          m_step_timer(io),
          m_load_timer(io)
    {
        sample_load();
    }

    asio::awaitable<void> answer(http_exchange& exchange);
    void accept(asio::ip::tcp::socket socket, engine_connection::upgrade_request request);

private:
    // Bounds memory in long runs.
    static constexpr std::size_t journal_limit = 1'000'000;
    static constexpr std::size_t waiting_limit = 100'000;
    static constexpr std::size_t event_limit = 10'000;
    static constexpr std::size_t order_limit = 10'000;
    static constexpr std::size_t silenced_limit = 1024;

    void on_message(const connection_pointer& from, const std::string& text);
    void on_run(const connection_pointer& from, const json::object& message);
    void on_cancel(const json::object& message);
    void on_order(const connection_pointer& from, const json::object& message);
    void on_export(const connection_pointer& from, const json::object& message);
    void on_import(const connection_pointer& from, const json::object& message);
    bool apply_order(std::string_view kind, const json::object& arguments);
    std::string read_inputs(const json::object& message, engine_run_request& run) const;
    void start_step(bool consecutive);
    void finish_step();
    std::string check_run(const engine_run_request& run) const;
    void execute(const engine_run_request& run);
    void drop_session(const session_key& key);
    static void
    fail(const connection_pointer& connection, std::uint64_t run, std::string_view reason);
    http_response handle_http(const http_request& request, std::string_view path);
    http_response faults(const http_request& request);
    http_response journal(const http_request& request) const;
    http_response cache_events(const http_request& request) const;
    json::object info() const;
    void record_cache_event(const char* operation, std::uint64_t block);
    void sample_load();

    asio::io_context& m_io;
    engine_options m_options;
    layer_range m_layers;
    std::string m_role{"both"};
    std::string m_adapter;
    std::map<session_key, stage_session> m_sessions;
    std::uint64_t m_kv_used{0};
    std::vector<engine_run_request> m_waiting; ///< In order of arrival.
    std::vector<engine_run_request> m_running;
    bool m_stepping{false};
    std::uint64_t m_steps{0}; ///< Steps completed since the start.
    steady_clock::time_point m_step_end;
    prefix_cache m_cache;
    std::deque<cache_event> m_events;
    std::uint64_t m_event_sequence{0};
    std::deque<journal_entry> m_journal;
    std::uint64_t m_journal_dropped{0};
    std::uint64_t m_highest_epoch{0};
    json::array m_orders;
    std::size_t m_reported_load{0};
    asio::steady_timer m_step_timer;
    asio::steady_timer m_load_timer;
    std::vector<std::weak_ptr<engine_connection>> m_connections;
    std::deque<connection_pointer> m_silent_connections; ///< Held so that their sockets stay open.
    std::uint64_t m_last_connection{0};
    std::uint64_t m_last_silent_connection{0};
    std::uint64_t m_runs_to_fail{0};
    double m_slow_factor{1};
    steady_clock::time_point m_slow_end;
};

session_key key_of(const json::object& message)
{
    return {text_of(message, "stream"), number_of(message, "session", 0)};
}

std::size_t load_of(
    const std::vector<engine_run_request>& waiting, const std::vector<engine_run_request>& running)
{
    return waiting.size() + running.size();
}

void engine_standin::accept(
    asio::ip::tcp::socket socket, engine_connection::upgrade_request request)
{
    if (request.target() != "/v1/stream")
        return; // Closes the socket.
    std::erase_if(m_connections, [](const auto& each) { return each.expired(); });
    const auto connection = std::make_shared<engine_connection>(
        std::move(socket), [this](const connection_pointer& from, const std::string& text)
        { on_message(from, text); });
    m_connections.push_back(connection);
    connection->start(std::move(request));
}

void engine_standin::on_message(const connection_pointer& from, const std::string& text)
{
    const auto message = parse_object(text);
    const std::string operation = message ? text_of(*message, "op") : "";
    if (operation == "run")
        on_run(from, *message);
    else if (operation == "cancel")
        on_cancel(*message);
    else if (operation == "order")
        on_order(from, *message);
    else if (operation == "export")
        on_export(from, *message);
    else if (operation == "import")
        on_import(from, *message);
    else
        from->send({{"op", "error"}, {"reason", "unknown operation"}});
}

void engine_standin::fail(
    const connection_pointer& connection, std::uint64_t run, std::string_view reason)
{
    connection->send({{"op", "failed"}, {"run", run}, {"reason", reason}});
}

// Reads the inputs into `run`. Returns the reason if they are invalid, else an empty string.
std::string engine_standin::read_inputs(const json::object& message, engine_run_request& run) const
{
    const json::value* tokens = message.if_contains("tokens");
    const json::value* inputs = message.if_contains("inputs");
    if (m_layers.m_begin > 0)
    {
        if (inputs == nullptr || !inputs->is_array() || inputs->get_array().empty())
            return "no inputs";
        for (const json::value& input : inputs->get_array())
        {
            const auto value =
                input.is_string() ? from_hex({input.get_string().data(), input.get_string().size()})
                                  : std::nullopt;
            if (!value)
                return "malformed input";
            run.m_values.push_back(*value);
        }
        return {};
    }
    // Only the first run contains the prompt. An empty prompt still has one position.
    const json::value* prompt = message.if_contains("prompt");
    if (prompt != nullptr && prompt->is_string() && run.m_first_position == 0)
    {
        for (const std::string& word : tokenise(text_of(message, "prompt")))
            run.m_token_ids.push_back(word_id(word));
        run.m_prompt_positions = run.m_token_ids.size();
    }
    if (tokens != nullptr && tokens->is_array())
    {
        for (const json::value& token : tokens->get_array())
        {
            json::error_code error;
            run.m_token_ids.push_back(token.to_number<std::uint64_t>(error));
            if (error)
                return "malformed token";
        }
    }
    if (run.m_token_ids.empty())
        return "no tokens";
    for (const std::uint64_t id : run.m_token_ids)
        run.m_values.push_back(token_value(id));
    return {};
}

void engine_standin::on_run(const connection_pointer& from, const json::object& message)
{
    engine_run_request run;
    run.m_connection = from;
    run.m_run = number_of(message, "run", 0);
    run.m_session = key_of(message);
    run.m_first_position = number_of(message, "first", 0);
    run.m_priority = number_of(message, "priority", 0);
    run.m_sample = flag_of(message, "sample");
    std::string reason = read_inputs(message, run);
    if (reason.empty() && run.m_sample && m_layers.m_end != m_options.m_total_layers)
        reason = "not the last stage";
    if (reason.empty() && m_waiting.size() >= waiting_limit)
        reason = "queue full";
    if (!reason.empty())
    {
        fail(from, run.m_run, reason);
        return;
    }
    m_waiting.push_back(std::move(run));
    start_step(false);
}

void engine_standin::on_cancel(const json::object& message)
{
    const session_key key = key_of(message);
    // Runs of the current step fail when it ends, so that they do not recreate the session.
    for (engine_run_request& run : m_running)
        run.m_cancelled = run.m_cancelled || run.m_session == key;
    std::erase_if(
        m_waiting,
        [&key](const engine_run_request& run)
        {
            if (run.m_session != key)
                return false;
            fail(run.m_connection, run.m_run, "cancelled");
            return true;
        });
    drop_session(key);
}

void engine_standin::drop_session(const session_key& key)
{
    const auto found = m_sessions.find(key);
    if (found == m_sessions.end())
        return;
    m_kv_used -= found->second.next_position();
    m_sessions.erase(found);
}

void engine_standin::start_step(bool consecutive)
{
    if (m_stepping || m_waiting.empty())
        return;
    m_stepping = true;
    std::stable_sort(
        m_waiting.begin(), m_waiting.end(),
        [](const engine_run_request& left, const engine_run_request& right)
        { return left.m_priority > right.m_priority; });
    const auto batch_size = static_cast<std::ptrdiff_t>(
        std::min<std::size_t>(m_waiting.size(), m_options.m_batch_limit));
    m_running.assign(
        std::make_move_iterator(m_waiting.begin()),
        std::make_move_iterator(m_waiting.begin() + batch_size));
    m_waiting.erase(m_waiting.begin(), m_waiting.begin() + batch_size);
    std::uint64_t prefill_positions = 0;
    for (const engine_run_request& run : m_running)
    {
        const std::size_t cached = run.m_first_position == 0 ? m_cache.visit(run.m_values) : 0;
        const std::size_t uncached = run.m_values.size() - cached;
        prefill_positions += uncached > 0 ? uncached - 1 : 0;
    }
    const auto now = steady_clock::now();
    const double factor = now < m_slow_end ? m_slow_factor : 1;
    const std::chrono::duration<double, std::micro> length{
        factor *
        static_cast<double>(
            m_options.m_step_time_us + prefill_positions * m_options.m_prefill_position_us)};
    const auto step = std::chrono::duration_cast<steady_clock::duration>(length);
    // Consecutive steps are timed from the planned end of the previous one, so that late timers
    // do not lower the rate. After an idle period or a pause the step starts immediately.
    const bool paced = consecutive && now - m_step_end < std::chrono::milliseconds(1);
    m_step_end = (paced ? m_step_end : now) + step;
    m_step_timer.expires_at(m_step_end);
    m_step_timer.async_wait([this](const boost::system::error_code&) { finish_step(); });
}

void engine_standin::finish_step()
{
    for (const engine_run_request& run : m_running)
    {
        const std::string reason = check_run(run);
        if (reason.empty() && m_runs_to_fail == 0)
        {
            execute(run);
            continue;
        }
        if (reason.empty())
            --m_runs_to_fail;
        fail(run.m_connection, run.m_run, reason.empty() ? "injected fault" : reason);
    }
    m_running.clear();
    ++m_steps;
    m_stepping = false;
    start_step(true);
}

// Returns the reason why a run cannot be executed, or an empty string.
std::string engine_standin::check_run(const engine_run_request& run) const
{
    if (run.m_cancelled)
        return "cancelled";
    const auto session = m_sessions.find(run.m_session);
    const std::uint64_t next = session == m_sessions.end() ? 0 : session->second.next_position();
    // A run at position 0 restarts the session, which frees the session's old state.
    const std::uint64_t released = run.m_first_position == 0 ? next : 0;
    if (run.m_first_position != 0 && run.m_first_position != next)
        return fmt::format("session is at position {}", next);
    if (m_kv_used - released + run.m_values.size() > m_options.m_kv_positions)
        return "no KV memory";
    return {};
}

void engine_standin::execute(const engine_run_request& run)
{
    if (run.m_first_position == 0)
        drop_session(run.m_session);
    stage_session& session =
        m_sessions.try_emplace(run.m_session, stage_session(m_layers)).first->second;
    m_kv_used += run.m_values.size();
    json::array outputs;
    std::uint64_t value = 0;
    for (std::size_t index = 0; index < run.m_values.size(); ++index)
    {
        journal_entry entry{run.m_session, session.next_position(), m_layers, {}, {}};
        if (index < run.m_token_ids.size())
            entry.m_token = run.m_token_ids[index];
        value = session.run(run.m_values[index]);
        if (run.m_sample && index + 1 == run.m_values.size())
            entry.m_sampled = sampled_id(value);
        m_journal.push_back(std::move(entry));
        outputs.emplace_back(to_hex(value));
    }
    while (m_journal.size() > journal_limit)
    {
        m_journal.pop_front();
        ++m_journal_dropped;
    }
    json::object answer{{"op", "ran"}, {"run", run.m_run}, {"outputs", std::move(outputs)}};
    if (run.m_prompt_positions > 0)
        answer["prompt_positions"] = run.m_prompt_positions;
    if (run.m_sample)
    {
        const std::uint64_t id = sampled_id(value);
        answer["sampled"] = {{"id", id}, {"text", token_text(id)}};
    }
    answer["finished"] = run.m_sample && ends_answer(value, m_options.m_finish_modulus);
    run.m_connection->send(answer);
}

void engine_standin::on_order(const connection_pointer& from, const json::object& message)
{
    const std::uint64_t epoch = number_of(message, "epoch", 0);
    const std::string kind = text_of(message, "kind");
    const json::value* arguments = message.if_contains("args");
    const bool fenced = !m_options.m_ignore_fencing && epoch < m_highest_epoch;
    const bool accepted = !fenced && apply_order(
                                         kind, arguments != nullptr && arguments->is_object()
                                                   ? arguments->get_object()
                                                   : json::object());
    if (accepted)
        m_highest_epoch = std::max(m_highest_epoch, epoch);
    if (m_orders.size() < order_limit)
        m_orders.push_back({{"epoch", epoch}, {"kind", kind}, {"accepted", accepted}});
    from->send({{"op", "ordered"}, {"accepted", accepted}, {"epoch", epoch}});
}

bool engine_standin::apply_order(std::string_view kind, const json::object& arguments)
{
    if (kind == "set_role")
        m_role = text_of(arguments, "role");
    else if (kind == "load_adapter")
        m_adapter = text_of(arguments, "adapter");
    else if (kind == "load_model")
    {
        const json::value* layers = arguments.if_contains("layers");
        if (layers == nullptr || !layers->is_array() || layers->get_array().size() != 2)
            return false;
        json::error_code begin_error;
        json::error_code end_error;
        const auto begin = layers->get_array()[0].to_number<std::uint32_t>(begin_error);
        const auto end = layers->get_array()[1].to_number<std::uint32_t>(end_error);
        if (begin_error || end_error || begin >= end || end > m_options.m_total_layers)
            return false;
        m_options.m_model = text_of(arguments, "model");
        m_layers = {begin, end};
        // Loading other weights invalidates the KV state and the runs that wait for it.
        m_sessions.clear();
        m_kv_used = 0;
        m_cache.clear();
        for (engine_run_request& run : m_running)
            run.m_cancelled = true;
        for (const engine_run_request& run : std::exchange(m_waiting, {}))
            fail(run.m_connection, run.m_run, "model replaced");
    }
    else
        return false;
    return true;
}

void engine_standin::on_export(const connection_pointer& from, const json::object& message)
{
    const session_key key = key_of(message);
    const auto found = m_sessions.find(key);
    json::object answer{
        {"op", "exported"},
        {"stream", key.first},
        {"session", key.second},
        {"found", found != m_sessions.end()}};
    if (found != m_sessions.end())
    {
        json::array kv;
        for (const std::uint64_t value : found->second.kv())
            kv.emplace_back(to_hex(value));
        answer["next"] = found->second.next_position();
        answer["kv"] = std::move(kv);
    }
    from->send(answer);
}

void engine_standin::on_import(const connection_pointer& from, const json::object& message)
{
    const session_key key = key_of(message);
    const std::uint64_t next = number_of(message, "next", 0);
    std::vector<std::uint64_t> kv;
    const json::value* values = message.if_contains("kv");
    if (values != nullptr && values->is_array())
    {
        for (const json::value& each : values->get_array())
        {
            const auto value = each.is_string()
                                   ? from_hex({each.get_string().data(), each.get_string().size()})
                                   : std::nullopt;
            if (value)
                kv.push_back(*value);
        }
    }
    const bool accepted = next > 0 && next <= m_options.m_kv_positions &&
                          kv.size() == m_layers.m_end - m_layers.m_begin &&
                          !m_sessions.contains(key) && m_kv_used + next <= m_options.m_kv_positions;
    if (accepted)
    {
        m_sessions.emplace(
            key, stage_session(m_layers, static_cast<std::uint32_t>(next), std::move(kv)));
        m_kv_used += next;
    }
    from->send(
        {{"op", "imported"},
         {"stream", key.first},
         {"session", key.second},
         {"accepted", accepted}});
}

asio::awaitable<void> engine_standin::answer(http_exchange& exchange)
{
    const http_request& request = exchange.request();
    const std::string path(target_path(request.m_target));
    if (path.substr(0, 4) == "/v1/")
    {
        m_last_connection = std::max(m_last_connection, exchange.connection());
        if (exchange.connection() <= m_last_silent_connection)
        {
            co_await never_answer(exchange);
            co_return;
        }
    }
    std::ignore = co_await exchange.respond(handle_http(request, path));
}

http_response engine_standin::handle_http(const http_request& request, std::string_view path)
{
    const bool read = request.m_method == "GET";
    if (read && path == "/v1/info")
        return json_response(200, info());
    if (read && path == "/v1/cache_events")
        return cache_events(request);
    if (read && path == "/orders")
        return json_response(200, {{"orders", m_orders}, {"highest_epoch", m_highest_epoch}});
    if (path == "/journal")
    {
        if (request.m_method == "DELETE")
        {
            m_journal.clear();
            m_journal_dropped = 0;
        }
        return journal(request);
    }
    if (path == "/faults")
        return faults(request);
    return error_response(404, "no such resource");
}

json::object engine_standin::info() const
{
    return {
        {"kind", m_options.m_kind},
        {"model", m_options.m_model},
        {"adapter", m_adapter},
        {"role", m_role},
        {"layers", {m_layers.m_begin, m_layers.m_end}},
        {"layers_total", m_options.m_total_layers},
        {"step_time_us", m_options.m_step_time_us},
        {"prefill_position_us", m_options.m_prefill_position_us},
        {"batch_limit", m_options.m_batch_limit},
        {"kv_positions", m_options.m_kv_positions},
        {"kv_free", m_options.m_kv_positions - m_kv_used},
        {"sessions", m_sessions.size()},
        {"steps", m_steps},
        {"load", m_reported_load}};
}

http_response engine_standin::journal(const http_request& request) const
{
    const auto stream = query_parameter(request.m_target, "stream");
    json::array runs;
    for (const journal_entry& each : m_journal)
    {
        if (stream && *stream != each.m_session.first)
            continue;
        json::object run{
            {"stream", each.m_session.first},
            {"session", each.m_session.second},
            {"position", each.m_position},
            {"layers", {each.m_layers.m_begin, each.m_layers.m_end}}};
        if (each.m_token)
            run["token"] = *each.m_token;
        if (each.m_sampled)
            run["sampled"] = *each.m_sampled;
        runs.push_back(std::move(run));
    }
    json::object answer{{"dropped", m_journal_dropped}};
    answer["runs"] = std::move(runs);
    return json_response(200, answer);
}

http_response engine_standin::faults(const http_request& request)
{
    if (request.m_method == "DELETE")
    {
        m_runs_to_fail = 0;
        m_slow_end = {};
        return json_response(200, json::object());
    }
    const auto description = parse_object(request.m_body);
    const std::string kind = description ? text_of(*description, "kind") : "";
    const std::uint64_t ms = description ? number_of(*description, "ms", 0) : 0;
    if (kind == "pause")
        pause_process(ms);
    else if (kind == "slow")
    {
        // Without a duration the fault lasts until the faults are cleared.
        m_slow_factor = std::clamp(real_of(*description, "factor", 1), 0.01, 1000.0);
        m_slow_end = ms == 0
                         ? steady_clock::time_point::max()
                         : steady_clock::now() +
                               std::chrono::milliseconds(std::min<std::uint64_t>(ms, 86'400'000));
    }
    else if (kind == "silent")
    {
        m_last_silent_connection = m_last_connection;
        for (const auto& each : m_connections)
        {
            const auto connection = each.lock();
            if (!connection || !connection->open())
                continue;
            connection->silence();
            m_silent_connections.push_back(connection);
            if (m_silent_connections.size() > silenced_limit)
                m_silent_connections.pop_front();
        }
        m_connections.clear();
    }
    else if (kind == "fail_runs")
        m_runs_to_fail = number_of(*description, "count", 1);
    else if (kind == "exit")
    {
        const auto timer = std::make_shared<asio::steady_timer>(
            m_io, std::chrono::milliseconds(std::min<std::uint64_t>(ms, 86'400'000)));
        timer->async_wait([timer](const boost::system::error_code&) { std::_Exit(1); });
    }
    else
        return error_response(400, "unknown kind");
    return json_response(200, json::object());
}

void engine_standin::record_cache_event(const char* operation, std::uint64_t block)
{
    ++m_event_sequence;
    if (m_options.m_cache_event_gap > 0 && m_event_sequence % m_options.m_cache_event_gap == 0)
        return;
    m_events.push_back(
        {m_event_sequence, operation, block,
         steady_clock::now() + std::chrono::milliseconds(m_options.m_cache_event_lag_ms)});
    if (m_events.size() > event_limit)
        m_events.pop_front();
}

http_response engine_standin::cache_events(const http_request& request) const
{
    std::uint64_t after = 0;
    if (const auto text = query_parameter(request.m_target, "after"))
        after = std::strtoull(text->c_str(), nullptr, 10);
    const auto now = steady_clock::now();
    json::array events;
    for (const cache_event& each : m_events)
    {
        if (each.m_sequence <= after || each.m_publish_time > now)
            continue;
        events.push_back(
            {{"sequence", each.m_sequence},
             {"op", each.m_operation},
             {"block", to_hex(each.m_block)}});
    }
    json::object answer;
    answer["events"] = std::move(events);
    return json_response(200, answer);
}

void engine_standin::sample_load()
{
    m_reported_load = load_of(m_waiting, m_running);
    m_load_timer.expires_after(
        std::chrono::milliseconds(std::max<std::uint64_t>(m_options.m_load_lag_ms, 1)));
    m_load_timer.async_wait([this](const boost::system::error_code&) { sample_load(); });
}

} // namespace

int main(int count, char** values)
{
    engine_options options;
    if (!read_options(
            count, values,
            {{"listen", &options.m_listen},
             {"kind", &options.m_kind},
             {"model", &options.m_model},
             {"first-layer", &options.m_first_layer},
             {"end-layer", &options.m_end_layer},
             {"total-layers", &options.m_total_layers},
             {"step-time-us", &options.m_step_time_us},
             {"prefill-position-us", &options.m_prefill_position_us},
             {"batch-limit", &options.m_batch_limit},
             {"kv-positions", &options.m_kv_positions},
             {"finish-modulus", &options.m_finish_modulus},
             {"load-lag-ms", &options.m_load_lag_ms},
             {"cache-blocks", &options.m_cache_blocks},
             {"cache-event-lag-ms", &options.m_cache_event_lag_ms},
             {"cache-event-gap", &options.m_cache_event_gap},
             {"ignore-fencing", &options.m_ignore_fencing}}))
    {
        return 2;
    }
    if (options.m_first_layer >= options.m_end_layer ||
        options.m_end_layer > options.m_total_layers || options.m_total_layers > 10'000 ||
        options.m_batch_limit == 0)
    {
        fmt::print(stderr, "the layers or the batch limit are out of range\n");
        return 2;
    }
    asio::io_context io(1);
    engine_standin engine(io, options);
    serve(
        io, options.m_listen,
        [&engine](http_exchange& exchange) -> asio::awaitable<void>
        { return engine.answer(exchange); },
        [&engine](asio::ip::tcp::socket socket, engine_connection::upgrade_request request)
        { engine.accept(std::move(socket), std::move(request)); });
}
