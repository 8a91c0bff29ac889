#include "capacity_parts.hpp"
#include "slope_fit.hpp"

#include <fulmaryard/admission_controller.hpp>
#include <fulmaryard/call_ledger.hpp>
#include <fulmaryard/configuration_codec.hpp>
#include <fulmaryard/configuration_delta.hpp>
#include <fulmaryard/configuration_index.hpp>
#include <fulmaryard/configuration_state.hpp>
#include <fulmaryard/endpoint_directory.hpp>
#include <fulmaryard/http_message.hpp>
#include <fulmaryard/key_hash.hpp>
#include <fulmaryard/peer_message.hpp>
#include <fulmaryard/request_context.hpp>
#include <fulmaryard/request_filter.hpp>
#include <fulmaryard/snapshot.hpp>
#include <fulmaryard/stage_node.hpp>
#include <fulmaryard/stage_planner.hpp>
#include <fulmaryard/stream_owner.hpp>

#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace fulmaryard::benchmark
{

namespace
{

using steady = std::chrono::steady_clock;

// Size of one position's activation, for a hidden size of 8,192 in fp16.
constexpr std::size_t activation_bytes = 16'384;
constexpr std::uint32_t prompt_positions = 4;
// Assumed, because the design scale specifies the number of accounts but not of tenants.
constexpr int accounts_per_tenant = 10;

std::string account_name(int number)
{
    return fmt::format("account-{:05}", number);
}

configuration make_configuration(int accounts)
{
    static const std::string hash = make_key_hash("secret");
    configuration made;
    made.m_generation = 1;
    for (int first = 0; first < accounts; first += accounts_per_tenant)
    {
        tenant_configuration tenant;
        tenant.m_tenant = fmt::format("tenant-{:05}", first / accounts_per_tenant);
        tenant.m_models = {{"model", 80, 1024}};
        tenant.m_pipelines = {{"pipeline", "model", {{0, 20}, {20, 40}, {40, 60}, {60, 80}}}};
        binding_rule rule;
        rule.m_models = {"model"};
        for (int at = first; at < std::min(first + accounts_per_tenant, accounts); ++at)
        {
            client_account account;
            account.m_name = account_name(at);
            account.m_key_hashes = {hash};
            rule.m_accounts.push_back(account.m_name);
            tenant.m_accounts.push_back(std::move(account));
        }
        tenant.m_rules.push_back(std::move(rule));
        made.m_tenants.push_back(std::move(tenant));
    }
    return made;
}

load_report make_report(int number, std::uint32_t outstanding)
{
    load_report report;
    report.m_process = fmt::format("side-{:05}/0123456789abcdef0123456789abcdef", number);
    report.m_address = fmt::format("10.{}.{}.1:7001", number / 256, number % 256);
    report.m_model = "model";
    report.m_kind = "kind-a";
    report.m_region = fmt::format("region-{}", number % 8);
    report.m_failure_domain = fmt::format("domain-{}", number % 19);
    report.m_layers = {0, 20};
    report.m_outstanding = outstanding;
    report.m_batch_limit = 256;
    report.m_step_time_us = 15'000;
    report.m_free_kv_positions = 1'000'000;
    report.m_engine_up = true;
    report.m_generation = 1;
    return report;
}

void fill_directory(endpoint_directory& directory, int count)
{
    instance_list list;
    list.m_version = 1;
    for (int at = 0; at < count; ++at)
    {
        const auto report = make_report(at, 0);
        list.m_instances.push_back(
            {fmt::format("side-{:05}", at), "side", report.m_address, report.m_region,
             report.m_failure_domain, false});
    }
    directory.on_instance_list(list);
    // Reports each peer's link before its load: publishing a view takes time proportional to the
    // directory size, and a report that makes an endpoint live publishes one as well.
    for (int at = 0; at < count; ++at)
    {
        const auto report = make_report(at, 0);
        directory.on_peer_up({report.m_process, "side", report.m_address, 1});
        directory.on_load_report(report);
    }
}

/// Measures a change of one tenant's file: the bytes that a peer sends, and the CPU time to encode
/// and to apply them.
void measure_delta()
{
    slope_fit bytes;
    slope_fit serve;
    slope_fit apply;
    for (const int accounts : {1000, 5000, 19'000})
    {
        auto next = make_configuration(accounts);
        const auto before = std::make_shared<const configuration>(next);
        ++next.m_generation;
        next.m_tenants.front().m_accounts.front().m_weight = 2;
        configuration_state state;
        state.offer(before);
        state.offer(std::make_shared<const configuration>(std::move(next)));
        const std::string text = encode_configuration_delta(*state.changes_since(1));
        bytes.add(accounts, static_cast<double>(text.size()));
        if (accounts == 19'000)
            print_value(
                "wire_per_configuration_delta_19000_accounts", static_cast<double>(text.size()),
                "bytes");
        slope_fit served;
        add_times(
            served, {5, 10, 15},
            [&](int times)
            {
                for (int at = 0; at < times; ++at)
                    std::ignore = encode_configuration_delta(*state.changes_since(1));
            });
        serve.add(accounts, served.slope());
        snapshot<configuration_index> published(nullptr);
        slope_fit applied;
        add_times(
            applied, {5, 10, 15},
            [&](int times)
            {
                for (int at = 0; at < times; ++at)
                {
                    const auto delta = decode_configuration_delta(text);
                    auto made = apply_delta(*before, *delta);
                    // Records the changes for peers that request them, as every process does.
                    configuration_state receiver;
                    receiver.offer(before);
                    receiver.offer(std::make_shared<const configuration>(*std::move(made)));
                    published.publish(
                        std::make_shared<configuration_index>(receiver.published().load()));
                }
            });
        apply.add(accounts, applied.slope());
        if (accounts == 19'000)
            print_value("cpu_per_configuration_delta_19000_accounts", applied.slope() * 1e3, "ms");
    }
    bytes.print("wire_per_configuration_delta_and_account", "bytes");
    serve.print("cpu_per_configuration_delta_served_and_account", "us", 1e6);
    apply.print("cpu_per_configuration_delta_and_account", "us", 1e6);
}

void measure_configuration()
{
    slope_fit values;
    slope_fit indexes;
    slope_fit bytes;
    for (const int accounts : {1000, 5000, 19'000})
    {
        const double empty = allocated_bytes();
        const auto value = std::make_shared<const configuration>(make_configuration(accounts));
        const double with_value = allocated_bytes();
        const auto index = std::make_shared<configuration_index>(value);
        const double with_index = allocated_bytes();
        values.add(accounts, with_value - empty);
        indexes.add(accounts, with_index - with_value);
        bytes.add(accounts, static_cast<double>(encode_configuration(*value).size()));
    }
    values.print("memory_per_account_configuration", "bytes");
    indexes.print("memory_per_account_index", "bytes");
    bytes.print("wire_per_account_whole_configuration", "bytes");

    slope_fit whole;
    for (const int accounts : {10, 1000, 19'000})
    {
        const std::string text = encode_configuration(make_configuration(accounts));
        snapshot<configuration_index> published(nullptr);
        slope_fit repeated;
        const int scale = std::max(1, 200 / accounts);
        add_times(
            repeated, {scale, 2 * scale, 3 * scale},
            [&](int times)
            {
                for (int at = 0; at < times; ++at)
                {
                    auto decoded = decode_configuration(text);
                    published.publish(std::make_shared<configuration_index>(
                        std::make_shared<const configuration>(*std::move(decoded))));
                }
            });
        repeated.print(
            fmt::format("cpu_per_configuration_change_{}_accounts", accounts), "ms", 1e3);
        whole.add(accounts, repeated.slope());
    }
    whole.print("cpu_per_configuration_change_and_account", "us", 1e6);
    measure_delta();
}

void measure_requests()
{
    const std::atomic<bool> draining{false};
    const auto filters = make_request_filters(draining);
    const auto index = std::make_shared<const configuration_index>(
        std::make_shared<const configuration>(make_configuration(19'000)));
    std::string words;
    for (int at = 0; at < 200; ++at)
        words += "word ";
    http_request request;
    request.m_method = "POST";
    request.m_target = "/v1/chat/completions";
    request.m_fields = {
        {"Host", "fulmaryard"},
        {"Content-Type", "application/json"},
        {"Authorization", "Bearer " + account_name(7777) + ".secret"}};
    request.m_body = fmt::format(
        R"({{"model":"model","stream":true,"max_tokens":233,)"
        R"("messages":[{{"role":"user","content":"{}"}}]}})",
        words);
    int refused = 0;
    slope_fit chain;
    add_times(
        chain, {2000, 4000, 6000},
        [&](int count)
        {
            for (int at = 0; at < count; ++at)
            {
                request_context context;
                context.m_request = &request;
                context.m_configuration = index;
                refused += apply_filters(filters, context).ok() ? 0 : 1;
            }
        });
    if (refused > 0)
        fmt::print(stderr, "filters refused {} requests\n", refused);
    chain.print("cpu_per_request_filter_chain", "us", 1e6);

    const std::string hash = make_key_hash("secret");
    slope_fit keys;
    add_times(
        keys, {5000, 10'000, 15'000},
        [&](int count)
        {
            for (int at = 0; at < count; ++at)
                refused += verify_key("secret", hash) ? 0 : 1;
        });
    keys.print("cpu_per_key_verification", "us", 1e6);

    slope_fit admitted;
    admission_controller controller{admission_settings{}};
    const auto start = steady::now();
    controller.set_capacity(1'000'000, start);
    std::vector<client_account> accounts(19'000);
    for (std::size_t at = 0; at < accounts.size(); ++at)
    {
        accounts[at].m_name = account_name(static_cast<int>(at));
        accounts[at].m_requests_per_second = 1'000'000;
        accounts[at].m_tokens_per_second = 1'000'000'000;
    }
    std::uint64_t ticket = 0;
    add_times(
        admitted, {19'000, 38'000, 57'000},
        [&](int count)
        {
            for (int at = 0; at < count; ++at)
            {
                const auto now = start + std::chrono::microseconds(++ticket);
                const auto& account = accounts[ticket * 7919 % accounts.size()];
                controller.request(
                    account, {ticket, 433, 0, std::chrono::nanoseconds(0), true}, now);
                controller.release(ticket, now);
            }
        });
    admitted.print("cpu_per_admission_decision_and_release", "us", 1e6);
}

void measure_directory()
{
    slope_fit memory;
    slope_fit published;
    for (const int count : {500, 1000, 2000})
    {
        const double before = allocated_bytes();
        endpoint_directory directory;
        fill_directory(directory, count);
        memory.add(count, allocated_bytes() - before);

        slope_fit repeated;
        std::uint32_t load = 0;
        add_times(
            repeated, {5, 10, 15},
            [&](int times)
            {
                for (int at = 0; at < times; ++at)
                {
                    directory.on_load_report(make_report(0, ++load));
                    directory.publish_load();
                }
            });
        published.add(count, repeated.slope());
    }
    memory.print("memory_per_endpoint_in_directory", "bytes");
    published.print("cpu_per_endpoint_and_publication", "us", 1e6);

    endpoint_directory directory;
    fill_directory(directory, 100);
    std::vector<std::string> encoded;
    encoded.reserve(100);
    for (int at = 0; at < 100; ++at)
        encoded.push_back(encode(make_report(at, 7)));
    slope_fit reports;
    add_times(
        reports, {5000, 10'000, 15'000},
        [&](int count)
        {
            for (int at = 0; at < count; ++at)
            {
                const auto message = decode(encoded[static_cast<std::size_t>(at) % 100]);
                directory.on_load_report(std::get<load_report>(*message));
            }
        });
    reports.print("cpu_per_load_report_received", "us", 1e6);
    slope_fit sent;
    add_times(
        sent, {5000, 10'000, 15'000},
        [&](int count)
        {
            std::size_t size = 0;
            const peer_message report = make_report(1, 7);
            for (int at = 0; at < count; ++at)
                size += encode(report).size();
            if (size == 0)
                fmt::print(stderr, "encoding produced no bytes\n");
        });
    sent.print("cpu_per_load_report_encoded", "us", 1e6);
}

void measure_planner()
{
    slope_fit per_candidate;
    for (const int count : {10, 100, 1000})
    {
        directory_view view;
        for (int at = 0; at < count; ++at)
        {
            endpoint known;
            known.m_report = make_report(at, static_cast<std::uint32_t>(at % 50));
            known.m_address = known.m_report.m_address;
            known.m_state = endpoint_state::live;
            known.m_counters = std::make_shared<endpoint_counters>();
            view.m_endpoints.push_back(std::move(known));
        }
        const pipeline_definition pipeline{"pipeline", "model", {{0, 20}}};
        stage_planner planner(make_least_wait_strategy(), 1);
        slope_fit stages;
        const int scale = 200'000 / (count + 100);
        add_times(
            stages, {scale, 2 * scale, 3 * scale},
            [&](int times)
            {
                for (int at = 0; at < times; ++at)
                {
                    const std::string prompt = fmt::format("prompt {}", at % 100);
                    if (!planner.plan(view, pipeline, {prompt, 433, "region-1", "domain-1", {}})
                             .ok())
                        fmt::print(stderr, "cannot plan a stage\n");
                }
            });
        stages.print(fmt::format("cpu_per_planned_stage_{}_candidates", count), "us", 1e6);
        per_candidate.add(count, stages.slope());
    }
    per_candidate.print("cpu_per_planned_stage_and_candidate", "us", 1e6);
}

const hello entry_peer{"entry-0/0123456789abcdef0123456789abcdef", "entry", "10.0.0.9:7001", 1};

std::vector<stage_assignment> make_plan()
{
    std::vector<stage_assignment> plan;
    for (std::uint32_t stage = 0; stage < 4; ++stage)
    {
        const auto report = make_report(static_cast<int>(stage), 0);
        plan.push_back({report.m_process, report.m_address, {20 * stage, 20 * stage + 20}});
    }
    return plan;
}

hello peer_of(const stage_assignment& stage)
{
    return {stage.m_process, "side", stage.m_address, 1};
}

open_stream make_open(std::uint64_t number)
{
    open_stream opened;
    opened.m_stream = {number, number};
    opened.m_epoch = {1, 7};
    opened.m_plan = make_plan();
    opened.m_stage = 1;
    opened.m_model = "model";
    opened.m_account = account_name(7777);
    opened.m_request_id = "0123456789abcdef0123456789abcdef";
    opened.m_owner_address = entry_peer.m_address;
    opened.m_prompt = std::string(1000, 'p');
    opened.m_max_tokens = 100'000;
    opened.m_generation = 1;
    return opened;
}

token make_token(std::uint32_t number)
{
    return {number, "word "};
}

/// Stage 1 of 4 with an engine that responds immediately. Encodes and decodes messages as a link
/// does.
class stage_harness
{
public:
    explicit stage_harness(std::size_t value_bytes) : m_value(value_bytes, 'a')
    {
        const auto plan = make_plan();
        stage_node_settings settings;
        settings.m_process = plan[1].m_process;
        settings.m_address = plan[1].m_address;
        settings.m_model = "model";
        settings.m_layers = plan[1].m_layers;
        settings.m_max_streams = 100'000;
        settings.m_max_retained_bytes = std::size_t{1} << 30;
        m_node = std::make_unique<stage_node>(settings);
        m_previous = peer_of(plan[0]);
    }

    void open(std::uint64_t number)
    {
        perform_actions(m_node->on_message(entry_peer, make_open(number), m_now));
    }

    void prompt(std::uint64_t number)
    {
        activations sent = message(number, 0);
        sent.m_values.assign(prompt_positions, m_value);
        receive(sent);
    }

    /// Sends the stream's next token, which has number `index`.
    void next_token(std::uint64_t number, std::uint32_t index)
    {
        activations sent = message(number, prompt_positions + index);
        sent.m_values = {m_value};
        sent.m_input_tokens = {make_token(index)};
        receive(sent);
    }

    std::size_t runs() const { return m_runs; }
    std::size_t sent_activations() const { return m_sent; }

private:
    static activations message(std::uint64_t number, std::uint32_t first)
    {
        activations sent;
        sent.m_stream = {number, number};
        sent.m_epoch = {1, 7};
        sent.m_first_position = first;
        sent.m_prompt_positions = prompt_positions;
        return sent;
    }

    void receive(const activations& sent)
    {
        const auto decoded = decode(encode(sent));
        perform_actions(m_node->on_message(m_previous, *decoded, m_now));
    }

    void perform_actions(stage_node::actions actions)
    {
        std::deque<stage_action> todo(
            std::make_move_iterator(actions.begin()), std::make_move_iterator(actions.end()));
        while (!todo.empty())
        {
            const stage_action action = std::move(todo.front());
            todo.pop_front();
            if (const auto* const run = std::get_if<engine_run>(&action))
            {
                ++m_runs;
                engine_result result;
                result.m_run = run->m_run;
                result.m_outputs.assign(run->m_inputs.size(), m_value);
                for (auto& next : m_node->on_engine_result(result, m_now))
                    todo.push_back(std::move(next));
            }
            else if (const auto* const sent = std::get_if<send_message>(&action))
            {
                m_bytes += encode(sent->m_message).size();
                m_sent += std::holds_alternative<activations>(sent->m_message) ? 1 : 0;
            }
        }
    }

    std::string m_value;
    std::unique_ptr<stage_node> m_node;
    hello m_previous;
    steady::time_point m_now{steady::now()};
    std::size_t m_runs{0};
    std::size_t m_sent{0};
    std::size_t m_bytes{0};
};

void measure_stage()
{
    slope_fit streams;
    for (const int count : {500, 1000, 2000})
    {
        const double before = allocated_bytes();
        stage_harness stage(16);
        for (int at = 1; at <= count; ++at)
            stage.open(static_cast<std::uint64_t>(at));
        streams.add(count, allocated_bytes() - before);
    }
    streams.print("memory_per_stream_side_1000_byte_prompt", "bytes");

    for (const std::size_t size : {std::size_t{64}, activation_bytes})
    {
        // Each token is sent separately, so that sequences are as long as those of the design
        // scale.
        slope_fit retained;
        slope_fit time;
        for (const std::uint32_t positions : {1000U, 2000U, 4000U})
        {
            const double before = allocated_bytes();
            stage_harness stage(size);
            for (std::uint64_t stream = 1; stream <= 16; ++stream)
            {
                stage.open(stream);
                stage.prompt(stream);
            }
            const double opened = allocated_bytes() - before;
            const double started = thread_seconds();
            for (std::uint32_t index = 0; index < positions / 16; ++index)
            {
                for (std::uint64_t stream = 1; stream <= 16; ++stream)
                    stage.next_token(stream, index);
            }
            const std::uint32_t run = positions / 16 * 16;
            time.add(run, thread_seconds() - started);
            retained.add(run, allocated_bytes() - before - opened);
            if (stage.runs() != 16 + run)
                fmt::print(stderr, "unexpected number of engine runs: {}\n", stage.runs());
        }
        retained.print(fmt::format("memory_per_retained_position_of_{}_bytes", size), "bytes");
        time.print(
            fmt::format("cpu_per_token_stage_node_and_codec_{}_byte_activation", size), "us", 1e6);
    }
}

void measure_owner()
{
    const auto plan = make_plan();
    const stream_owner_settings settings = []
    {
        stream_owner_settings made;
        made.m_process = entry_peer.m_process;
        made.m_address = entry_peer.m_address;
        return made;
    }();
    stream_request request;
    request.m_request_id = "0123456789abcdef0123456789abcdef";
    request.m_account = account_name(7777);
    request.m_model = "model";
    request.m_prompt = std::string(1000, 'p');
    request.m_max_tokens = 100'000;
    const auto now = steady::now();
    const auto open = [&](std::uint64_t number)
    {
        auto owner =
            std::make_unique<stream_owner>(settings, stream_id{number, number}, request, plan);
        const auto actions = owner->start(now);
        for (const auto& action : actions)
        {
            const auto* const sent = std::get_if<send_message>(&action);
            if (!sent)
                continue;
            const auto& opened = std::get<open_stream>(sent->m_message);
            stream_opened answer;
            answer.m_stream = opened.m_stream;
            answer.m_epoch = opened.m_epoch;
            answer.m_stage = opened.m_stage;
            owner->on_message(peer_of(plan[opened.m_stage]), answer, now);
        }
        return std::pair(
            std::move(owner),
            std::get<open_stream>(std::get<send_message>(actions.front()).m_message).m_epoch);
    };
    slope_fit memory;
    for (const int count : {500, 1000, 2000})
    {
        const double before = allocated_bytes();
        std::vector<std::unique_ptr<stream_owner>> owners;
        for (int at = 1; at <= count; ++at)
            owners.push_back(open(static_cast<std::uint64_t>(at)).first);
        memory.add(count, allocated_bytes() - before);
    }
    memory.print("memory_per_stream_entry_owner_1000_byte_prompt", "bytes");

    slope_fit time;
    slope_fit token_memory;
    for (const std::uint32_t count : {2000U, 4000U, 8000U})
    {
        const auto [owner, number] = open(1);
        const double before = allocated_bytes();
        const double started = thread_seconds();
        std::uint32_t delivered = 0;
        for (std::uint32_t index = 0; index < count; ++index)
        {
            tokens sent;
            sent.m_stream = {1, 1};
            sent.m_epoch = number;
            sent.m_first_index = index;
            sent.m_tokens = {make_token(index)};
            const auto decoded = decode(encode(sent));
            for (const auto& action : owner->on_message(peer_of(plan[3]), *decoded, now))
                delivered += std::holds_alternative<deliver_tokens>(action) ? 1 : 0;
        }
        time.add(count, thread_seconds() - started);
        token_memory.add(count, allocated_bytes() - before);
        if (delivered != count)
            fmt::print(stderr, "{} of {} tokens were delivered\n", delivered, count);
    }
    time.print("cpu_per_token_stream_owner_and_codec", "us", 1e6);
    token_memory.print("memory_per_token_stream_owner", "bytes");
}

/// Call ledger whose reads, writes and calls complete immediately. Counts reads and writes, and
/// keeps the size of the partition's last written object.
class ledger_harness
{
public:
    ledger_harness() : m_ledger(settings()) {}

    void order(int number)
    {
        service_call call;
        call.m_call = static_cast<std::uint64_t>(number);
        call.m_reply_address = entry_peer.m_address;
        call.m_account = account_name(7);
        call.m_service = "orders";
        call.m_key = fmt::format("0123456789abcdef0123456789abcdef-{:06}", number);
        call.m_method = "POST";
        call.m_path = "/orders";
        call.m_body = R"({"kit":"first aid"})";
        call.m_idempotent = false;
        call.m_deadline_ms = 10'000;
        perform_actions(m_ledger.begin(call, m_now, m_wall));
    }

    std::size_t m_object_bytes{0};
    std::size_t m_writes{0};
    std::size_t m_reads{0};

private:
    static call_ledger_settings settings()
    {
        call_ledger_settings made;
        made.m_process = "side-1/0123456789abcdef0123456789abcdef";
        made.m_partitions = 1;
        return made;
    }

    void perform_actions(call_ledger::actions actions)
    {
        std::deque<ledger_action> todo(actions.begin(), actions.end());
        while (!todo.empty())
        {
            const ledger_action action = std::move(todo.front());
            todo.pop_front();
            call_ledger::actions more;
            if (std::holds_alternative<read_partition>(action))
            {
                ++m_reads;
                more = m_ledger.on_read(0, platform_object{}, m_now, m_wall);
            }
            else if (const auto* const write = std::get_if<write_partition>(&action))
            {
                ++m_writes;
                m_object_bytes = write->m_value.size();
                more = m_ledger.on_written(0, write->m_version + 1, m_now, m_wall);
            }
            else if (const auto* const run = std::get_if<run_call>(&action))
            {
                service_result result;
                result.m_ok = true;
                result.m_status = 201;
                result.m_content_type = "application/json";
                result.m_body = R"({"order":1})";
                more = m_ledger.on_call_ended(run->m_ticket, result, m_now, m_wall);
            }
            for (auto& next : more)
                todo.push_back(std::move(next));
        }
    }

    steady::time_point m_now{steady::now()};
    call_ledger::wall_time m_wall{std::chrono::system_clock::now()};
    call_ledger m_ledger;
};

void measure_ledger()
{
    slope_fit memory;
    slope_fit object;
    slope_fit writes;
    for (const int count : {200, 400, 800})
    {
        const double before = allocated_bytes();
        ledger_harness ledger;
        for (int at = 1; at <= count; ++at)
            ledger.order(at);
        memory.add(count, allocated_bytes() - before);
        object.add(count, static_cast<double>(ledger.m_object_bytes));
        writes.add(count, static_cast<double>(ledger.m_writes + ledger.m_reads));
    }
    memory.print("memory_per_ledger_record", "bytes");
    object.print("object_bytes_per_ledger_record", "bytes");
    writes.print("platform_calls_per_ledger_record_one_at_a_time", "calls");
}

void measure_wire()
{
    const auto size = [](const peer_message& message)
    { return static_cast<double>(encode(message).size()); };
    print_value("wire_hello", size(entry_peer), "bytes");
    print_value("wire_load_report", size(make_report(1, 7)), "bytes");
    slope_fit prompt;
    slope_fit values;
    slope_fit words;
    for (const std::size_t count : {100U, 1000U, 10'000U})
    {
        auto opened = make_open(1);
        opened.m_prompt.assign(count, 'p');
        prompt.add(static_cast<double>(count), size(opened));
    }
    for (const std::size_t count : {1U, 4U, 16U})
    {
        activations sent;
        sent.m_values.assign(count, std::string(activation_bytes, 'a'));
        values.add(static_cast<double>(count), size(sent));
        tokens answer;
        answer.m_tokens.assign(count, make_token(1));
        words.add(static_cast<double>(count), size(answer));
    }
    print_value("wire_open_stream_1000_byte_prompt", size(make_open(1)), "bytes");
    prompt.print("wire_per_prompt_byte_open_stream", "bytes");
    activations step;
    step.m_values = {std::string(activation_bytes, 'a')};
    step.m_input_tokens = {make_token(1)};
    print_value("wire_activations_of_one_token", size(step), "bytes");
    values.print("wire_per_position_activations", "bytes");
    tokens one;
    one.m_tokens = {make_token(1)};
    print_value("wire_tokens_of_one_token", size(one), "bytes");
    words.print("wire_per_token_tokens", "bytes");
}

} // namespace

} // namespace fulmaryard::benchmark

int main()
{
    using namespace fulmaryard::benchmark;
    measure_wire();
    measure_configuration();
    measure_requests();
    measure_directory();
    measure_planner();
    measure_stage();
    measure_owner();
    measure_ledger();
    measure_links();
    measure_platform_calls();
}
