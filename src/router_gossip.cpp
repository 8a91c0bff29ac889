#include "router_gossip.hpp"
#include "stable_hash_inl.hpp"
#include "use_tuple_inl.hpp"

#include <fulmaryard/failure.hpp>
#include <fulmaryard/log.hpp>
#include <fulmaryard/peer_address.hpp>
#include <fulmaryard/rendezvous.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

using time_point = std::chrono::steady_clock::time_point;

// Reservations change by only a few requests in this time.
constexpr std::chrono::milliseconds min_interval{150};

// The interval grows with the number of routers, so that the rate of datagrams that one router
// receives stays bounded.
constexpr std::chrono::milliseconds interval_per_router{12};

// Number of routers that read the store closely. Several can be lost at once without a delay.
constexpr std::size_t store_readers = 8;

// Largest datagram in bytes; the state of 100 endpoints takes about 5 KB.
constexpr std::size_t max_datagram_bytes = 60'000;

} // namespace

router_gossip::router_gossip(router_core& core) : m_core(core), m_socket(core.m_io)
{
    m_core.m_owns_trial = [this](const std::string& part) { return is_first_by_hash(part); };
}

absl::Status router_gossip::open()
{
    const auto address = parse_address(m_core.m_settings.m_peer_listen);
    if (!address.ok())
        return address.status();
    boost::system::error_code error;
    m_socket.open(asio::ip::udp::v4(), error);
    if (!error)
        m_socket.bind({address->address(), address->port()}, error);
    if (error)
    {
        return make_failure(
            failure_kind::internal,
            fmt::format("cannot bind {}: {}", m_core.m_settings.m_peer_listen, error.message()));
    }
    m_socket.non_blocking(true, error);
    asio::co_spawn(m_core.m_io, receive(), asio::detached);
    return absl::OkStatus();
}

void router_gossip::set_routers(const std::vector<std::string>& addresses)
{
    m_routers.clear();
    for (const auto& text : addresses)
    {
        if (text == m_core.m_settings.m_peer_listen)
            continue;
        const auto address = parse_address(text);
        if (address.ok())
            m_routers.emplace_back(address->address(), address->port());
        else
        {
            log_event(log_level::warning, "router_entry_refused")
                .with("address", text)
                .with("error", message_of(address.status()));
        }
    }
}

std::chrono::milliseconds router_gossip::interval() const
{
    return std::max(min_interval, interval_per_router * static_cast<int>(m_routers.size()));
}

void router_gossip::send_early(std::chrono::steady_clock::time_point now)
{
    if (now - m_last_early_send < interval())
        return;
    m_last_early_send = now;
    send_soon();
}

void router_gossip::on_tick(std::chrono::steady_clock::time_point now)
{
    m_core.m_rate_limits.set_routers(m_core.m_router_count, interval());
    if (now < m_next_send || m_routers.empty())
        return;
    update_store_reader(now);
    m_next_send = now + interval();
    const auto text = encode();
    for (const auto& router : m_routers)
    {
        // The next datagram makes up for one that the socket does not accept.
        boost::system::error_code ignored;
        m_socket.send_to(asio::buffer(text), router, 0, ignored);
    }
}

std::vector<std::string> router_gossip::live_routers() const
{
    std::vector<std::string> routers{m_core.m_settings.m_name};
    for (const auto& [name, router] : m_core.m_presence.routers())
        routers.push_back(name);
    return routers;
}

bool router_gossip::is_first_by_hash(const std::string& text) const
{
    return rendezvous_order(stable_hash(text), live_routers()).front() == m_core.m_settings.m_name;
}

void router_gossip::update_store_reader(std::chrono::steady_clock::time_point now)
{
    m_core.m_presence.on_tick(now);
    const auto order = rendezvous_order(0, live_routers());
    const auto own = std::find(order.begin(), order.end(), m_core.m_settings.m_name);
    m_core.m_is_store_reader =
        static_cast<std::size_t>(std::distance(order.begin(), own)) < store_readers;
}

json::array router_gossip::encode_prompt_parts() const
{
    const auto encode_age = [](const std::optional<std::chrono::milliseconds>& age)
    { return age ? json::value(age->count()) : json::value(nullptr); };
    json::array parts;
    for (const auto& report : m_core.m_quarantine.reports(std::chrono::steady_clock::now()))
    {
        json::object crashes;
        for (const auto& [run, age] : report.m_crashes)
            crashes[run] = age.count();
        parts.push_back(json::array{
            report.m_part, std::move(crashes), encode_age(report.m_answer),
            encode_age(report.m_quarantine)});
    }
    return parts;
}

void router_gossip::decode_prompt_parts(const json::array& parts)
{
    const auto decode_age = [](const json::value& age)
    {
        return age.is_null()
                   ? std::nullopt
                   : std::optional(std::chrono::milliseconds(age.to_number<std::int64_t>()));
    };
    for (const auto& item : parts)
    {
        const auto& fields = item.as_array();
        prompt_quarantine::report report{fields.at(0).as_string().c_str(), {}, {}, {}};
        for (const auto& [run, age] : fields.at(1).as_object())
            report.m_crashes[run] = std::chrono::milliseconds(age.to_number<std::int64_t>());
        report.m_answer = decode_age(fields.at(2));
        report.m_quarantine = decode_age(fields.at(3));
        const auto now = std::chrono::steady_clock::now();
        m_core.note_quarantine(m_core.m_quarantine.on_peer_report(report, now), "other router");
    }
}

json::array router_gossip::encode_rate_limits() const
{
    const auto now = std::chrono::steady_clock::now();
    const auto age = [now](time_point time)
    {
        return time == time_point()
                   ? json::value(nullptr)
                   : json::value(
                         std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count());
    };
    json::array limits;
    for (const auto& report : m_core.m_rate_limits.reports(now))
    {
        json::array demand;
        for (const auto& [rank, rate] : report.m_demand)
            demand.push_back(json::array{rank, rate});
        const auto& limit = report.m_limit;
        limits.push_back(json::array{
            report.m_endpoint, report.m_started_ms, limit.rate(), age(limit.confirmed()),
            age(limit.named()), age(limit.cleared()), report.m_sent, report.m_tokens,
            std::move(demand)});
    }
    return limits;
}

void router_gossip::decode_rate_limits(const std::string& router, const json::array& limits)
{
    const auto now = std::chrono::steady_clock::now();
    const auto time = [now](const json::value& age)
    {
        return age.is_null() ? time_point()
                             : now - std::chrono::milliseconds(age.to_number<std::int64_t>());
    };
    std::vector<rate_limit_report> reports;
    for (const auto& item : limits)
    {
        const auto& fields = item.as_array();
        auto& report = reports.emplace_back();
        report.m_endpoint = fields.at(0).as_string().c_str();
        report.m_started_ms = fields.at(1).to_number<std::uint64_t>();
        report.m_limit = named_rate_limit::of(
            fields.at(2).to_number<double>(), time(fields.at(3)), time(fields.at(4)),
            time(fields.at(5)));
        report.m_sent = fields.at(6).to_number<std::uint64_t>();
        report.m_tokens = fields.at(7).to_number<double>();
        for (const auto& demand : fields.at(8).as_array())
        {
            const auto& pair = demand.as_array();
            report.m_demand[pair.at(0).to_number<std::uint32_t>()] = pair.at(1).to_number<double>();
        }
    }
    m_core.m_rate_limits.on_peer_reports(router, reports, now);
}

json::object router_gossip::encode_arrivals() const
{
    json::object arrivals;
    for (const auto& [service, demand] : m_core.m_rank_demand)
    {
        json::array rates;
        for (const auto& [rank, rate] : demand.own_rates(std::chrono::steady_clock::now()))
            rates.push_back(json::array{rank, static_cast<std::int64_t>(rate)});
        if (!rates.empty())
            arrivals[service] = std::move(rates);
    }
    return arrivals;
}

void router_gossip::decode_arrivals(const std::string& router, const json::object& arrivals)
{
    for (auto& [service, demand] : m_core.m_rank_demand)
    {
        rank_demand::rates rates;
        const auto* reported = arrivals.if_contains(service);
        for (const auto& item : reported == nullptr ? json::array() : reported->as_array())
        {
            const auto& pair = item.as_array();
            rates[pair.at(0).to_number<std::uint32_t>()] = pair.at(1).to_number<double>();
        }
        demand.on_peer_report(router, std::move(rates), std::chrono::steady_clock::now());
    }
}

std::string router_gossip::encode() const
{
    json::object use;
    for (const auto& [endpoint, usage] : m_core.m_reservations.own())
    {
        use[endpoint] = json::array{
            static_cast<std::int64_t>(usage.m_kv_token_layers),
            static_cast<std::int64_t>(usage.m_unread), usage.m_starting_requests,
            usage.m_crossing_requests};
    }
    json::array suspected;
    for (const auto& [endpoint, started] : m_core.m_health.own(suspicion_cause::failure))
        suspected.push_back(json::array{endpoint, started});
    json::array silent;
    for (const auto& [endpoint, started] : m_core.m_health.own(suspicion_cause::silence))
        silent.push_back(json::array{endpoint, started});
    json::array slow;
    for (const auto& [endpoint, slowdown] : m_core.m_health.slow(std::chrono::steady_clock::now()))
        slow.push_back(json::array{endpoint, slowdown});
    json::array refusing;
    for (const auto& [endpoint, left] :
         m_core.m_refusals.repeated_refusals(std::chrono::steady_clock::now()))
        refusing.push_back(json::array{endpoint, left.count()});
    json::array layers;
    for (const auto& [endpoint, reported] : m_core.m_observed_layers)
    {
        const auto& [started, range] = reported;
        layers.push_back(json::array{endpoint, started, range.m_begin, range.m_end});
    }
    json::object message{
        {"router", m_core.m_settings.m_name},
        {"domain", m_core.m_settings.m_failure_domain},
        {"stopping", m_core.m_drain_start.has_value()},
        {"versions", json::array{m_core.m_versions.m_configuration, m_core.m_versions.m_endpoints}},
        {"use", std::move(use)},
        {"suspected", std::move(suspected)},
        {"silent", std::move(silent)},
        {"slow", std::move(slow)},
        {"refusing", std::move(refusing)},
        {"prompt_parts", encode_prompt_parts()},
        {"layers", std::move(layers)}};
    // Only where requests of a service differ in priority.
    if (auto arrivals = encode_arrivals(); !arrivals.empty())
        message["arrivals"] = std::move(arrivals);
    if (auto limits = encode_rate_limits(); !limits.empty())
        message["rate_limits"] = std::move(limits);
    return json::serialize(message);
}

asio::awaitable<void> router_gossip::receive()
{
    std::vector<char> buffer(max_datagram_bytes);
    asio::ip::udp::endpoint sender;
    for (;;)
    {
        const auto [error, size] =
            co_await m_socket.async_receive_from(asio::buffer(buffer), sender, use_tuple);
        if (error == asio::error::operation_aborted)
            co_return;
        // Errors are ignored: they report that an earlier datagram reached a router that has
        // exited.
        if (!error)
            decode(std::string_view(buffer.data(), size));
    }
}

void router_gossip::on_peer_versions(const std::string& router, known_versions versions)
{
    const auto now = std::chrono::steady_clock::now();
    const known_versions own{m_core.m_versions.m_configuration, m_core.m_endpoints_read_to};
    const auto lagging = m_version_lag.on_peer_versions(own, versions, now);
    if (!lagging.any() || !m_core.m_refresh)
        return;
    log_event(log_level::info, "store_read_again")
        .with("router", router)
        .with("configuration", versions.m_configuration)
        .with("configuration_lags", lagging.m_configuration)
        .with("endpoints", versions.m_endpoints)
        .with("endpoints_lag", lagging.m_endpoints);
    m_core.m_refresh(lagging);
}

void router_gossip::decode(std::string_view text)
{
    const auto now = std::chrono::steady_clock::now();
    try
    {
        const auto value = json::parse(boost::json::string_view(text.data(), text.size()));
        const auto& message = value.as_object();
        endpoint_reservations::usage_by_endpoint use;
        for (const auto& [endpoint, usage] : message.at("use").as_object())
        {
            const auto& numbers = usage.as_array();
            use[std::string(endpoint)] = {
                numbers.at(0).to_number<double>(), numbers.at(1).to_number<double>(),
                numbers.at(2).to_number<std::int64_t>(), numbers.at(3).to_number<std::int64_t>()};
        }
        for (const auto& item : message.at("suspected").as_array())
        {
            const auto& pair = item.as_array();
            m_core.m_health.on_peer_suspicion(
                pair.at(0).as_string().c_str(), pair.at(1).to_number<std::uint64_t>(), now);
        }
        const std::string router = message.at("router").as_string().c_str();
        // Routers of an earlier release do not send the fields "domain" and "stopping".
        const auto* domain = message.if_contains("domain");
        const auto* stopping = message.if_contains("stopping");
        m_core.m_presence.on_report(
            router, {domain == nullptr ? "" : domain->as_string().c_str(),
                     stopping != nullptr && stopping->as_bool(), now});
        // Routers of an earlier release do not send the fields "versions" and "silent".
        if (const auto* versions = message.if_contains("versions"))
        {
            const auto& numbers = versions->as_array();
            on_peer_versions(
                router, {numbers.at(0).to_number<std::uint64_t>(),
                         numbers.at(1).to_number<std::uint64_t>()});
        }
        const auto* silent = message.if_contains("silent");
        for (const auto& item : silent == nullptr ? json::array() : silent->as_array())
        {
            const auto& pair = item.as_array();
            m_core.m_health.on_peer_silence(
                router, pair.at(0).as_string().c_str(), pair.at(1).to_number<std::uint64_t>(), now);
        }
        for (const auto& item : message.at("slow").as_array())
        {
            const auto& pair = item.as_array();
            m_core.record_pace(
                pair.at(0).as_string().c_str(), pair.at(1).to_number<double>(), false);
        }
        for (const auto& item : message.at("refusing").as_array())
        {
            const auto& pair = item.as_array();
            const std::chrono::milliseconds left(pair.at(1).to_number<std::int64_t>());
            m_core.m_refusals.on_peer_pause(pair.at(0).as_string().c_str(), now + left, now);
        }
        // Routers of an earlier release do not send this field.
        if (const auto* parts = message.if_contains("prompt_parts"))
            decode_prompt_parts(parts->as_array());
        const auto* limits = message.if_contains("rate_limits");
        decode_rate_limits(router, limits == nullptr ? json::array() : limits->as_array());
        const auto* arrivals = message.if_contains("arrivals");
        decode_arrivals(router, arrivals == nullptr ? json::object() : arrivals->as_object());
        for (const auto& item : message.at("layers").as_array())
        {
            const auto& entry = item.as_array();
            m_core.m_reported_layers[entry.at(0).as_string().c_str()] = {
                entry.at(1).to_number<std::uint64_t>(),
                {entry.at(2).to_number<std::uint32_t>(), entry.at(3).to_number<std::uint32_t>()}};
        }
        m_core.m_reservations.on_peer_report(router, std::move(use), now);
    }
    catch (const std::exception& error)
    {
        log_event(log_level::warning, "gossip_unreadable").with("error", error.what());
    }
}

} // namespace fulmaryard
