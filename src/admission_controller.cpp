#include <fulmaryard/admission_controller.hpp>
#include <fulmaryard/failure.hpp>

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <string_view>
#include <utility>

namespace fulmaryard
{

namespace
{

using floating_seconds = std::chrono::duration<double>;

// Deficit round robin: an account's deficit grows by this quantum times its weight in each round.
// The cost of a request is capped at 16 quanta, so that selecting the next request takes at most 16
// rounds.
constexpr std::uint64_t quantum_tokens = 512;
constexpr std::uint64_t max_cost_tokens = 16 * quantum_tokens;
constexpr std::chrono::milliseconds default_retry_after{1000};
constexpr std::chrono::milliseconds min_queue_wait{50}; ///< One tick of the entry.
constexpr double min_reported_rate = 0.01;              ///< Requests per second.

std::chrono::milliseconds to_milliseconds(floating_seconds duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

/// Token bucket whose burst is one second of its rate, but at least 1. A request larger than the
/// burst is allowed when the bucket is full and makes the level negative.
struct token_bucket
{
    double m_level{0};
    admission_controller::time_point m_updated;
    bool m_initialized{false};

    void refill(double rate, admission_controller::time_point now)
    {
        const double burst = std::max(rate, 1.0);
        const double elapsed = floating_seconds(now - m_updated).count();
        m_level = m_initialized ? std::min(burst, m_level + rate * elapsed) : burst;
        m_updated = now;
        m_initialized = true;
    }

    /// Time until `amount` can be taken, at the given rate per second; 0 if it can be taken now.
    floating_seconds wait(double amount, double rate) const
    {
        // A request without tokens, such as a service call, need not wait for a negative level.
        const double needed = amount == 0 ? m_level : std::min(amount, std::max(rate, 1.0));
        return floating_seconds(m_level >= needed ? 0 : (needed - m_level) / std::max(rate, 1e-3));
    }
};

} // namespace

struct admission_controller::state
{
    /// Negated priority and sequence number.
    using queue_key = std::pair<std::int64_t, std::uint64_t>;

    struct queued_request
    {
        std::uint64_t m_ticket{0};
        std::uint64_t m_cost{0}; ///< Tokens, capped.
        time_point m_queued_at;
    };

    struct account_state
    {
        token_bucket m_request_bucket;
        token_bucket m_tokens;
        std::uint32_t m_weight{1};
        std::size_t m_running{0};
        std::map<queue_key, queued_request> m_queue;
        std::uint64_t m_deficit{0}; ///< Tokens.
        bool m_has_quantum{false};  ///< Whether the deficit has grown in this round.
        double m_rate{0}; ///< Requests per second at this entry, as last reported to the others.
        std::uint64_t m_requests_since_report{0};
    };

    struct running_request
    {
        std::string m_account;
        time_point m_admitted_at;
        bool m_is_stream{true};
    };

    struct peer_report
    {
        std::map<std::string, double> m_usage; ///< Requests per second by account.
        time_point m_received_at;
    };

    explicit state(admission_settings settings) : m_settings(settings) {}

    admission_decision refuse(
        std::uint64_t ticket, failure_kind kind, std::string_view message,
        std::chrono::milliseconds retry_after) const
    {
        return {ticket, make_failure(kind, message), retry_after};
    }

    void
    admit(account_state& account, const std::string& name, std::uint64_t ticket, time_point now)
    {
        ++account.m_running;
        ++m_running_streams;
        m_running[ticket] = {name, now, true};
    }

    void enqueue(
        account_state& account, const std::string& name, const admission_request& new_request,
        time_point now)
    {
        const std::int64_t order =
            m_settings.m_order == queue_order::fair ? -std::int64_t{new_request.m_priority} : 0;
        const queue_key key{order, ++m_last_sequence};
        account.m_queue[key] = {
            new_request.m_ticket,
            std::clamp<std::uint64_t>(new_request.m_tokens, 1, max_cost_tokens), now};
        m_queued[new_request.m_ticket] = {name, key};
        if (account.m_queue.size() > 1)
            return;
        // An account without running streams goes to the front. Otherwise a small account would
        // wait for a full round of the large ones and exceed the first-token target.
        if (account.m_running == 0)
            m_active_accounts.push_front(name);
        else
            m_active_accounts.push_back(name);
    }

    void remove_queued(const std::string& name, const queue_key& key)
    {
        auto& account = m_accounts[name];
        const auto found = account.m_queue.find(key);
        m_queued.erase(found->second.m_ticket);
        account.m_queue.erase(found);
        if (account.m_queue.empty())
        {
            account.m_deficit = 0;
            account.m_has_quantum = false;
            std::erase(m_active_accounts, name);
        }
    }

    /// Selects the account whose first queued request is next, and charges that request to the
    /// account's deficit. At least one request must be queued.
    const std::string& select_next_account()
    {
        if (m_settings.m_order == queue_order::fifo)
        {
            return *std::min_element(
                m_active_accounts.begin(), m_active_accounts.end(),
                [this](const std::string& a, const std::string& b) {
                    return m_accounts[a].m_queue.begin()->first <
                           m_accounts[b].m_queue.begin()->first;
                });
        }
        while (true)
        {
            auto& account = m_accounts[m_active_accounts.front()];
            if (!account.m_has_quantum)
            {
                account.m_deficit += account.m_weight * quantum_tokens;
                account.m_has_quantum = true;
            }
            const std::uint64_t cost = account.m_queue.begin()->second.m_cost;
            if (account.m_deficit >= cost)
            {
                account.m_deficit -= cost;
                return m_active_accounts.front();
            }
            account.m_has_quantum = false;
            m_active_accounts.push_back(std::move(m_active_accounts.front()));
            m_active_accounts.pop_front();
        }
    }

    std::chrono::nanoseconds max_queue_wait() const
    {
        // The mean plus two mean deviations covers about 95% of the streams.
        const floating_seconds reserved = m_mean_first_token + 2 * m_first_token_deviation;
        const floating_seconds remaining = m_settings.m_first_token_target - reserved;
        // Allow a short queue in any case, so that freed capacity is reused at once.
        const floating_seconds wait = std::max(remaining, floating_seconds(min_queue_wait));
        return std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::min(wait, floating_seconds(m_settings.m_first_token_target)));
    }

    void admit_queued(decisions& decided, time_point now)
    {
        while (m_running_streams < m_capacity && !m_queued.empty())
        {
            const std::string name = select_next_account();
            auto& account = m_accounts[name];
            const auto [key, first] = *account.m_queue.begin();
            remove_queued(name, key);
            // `on_tick` runs only once per tick, so an expired request may still be queued.
            if (now - first.m_queued_at >= max_queue_wait())
            {
                decided.push_back(refuse(
                    first.m_ticket, failure_kind::overloaded, "no capacity became free in time",
                    default_retry_after));
                continue;
            }
            admit(account, name, first.m_ticket, now);
            decided.push_back({first.m_ticket, absl::OkStatus(), {}});
        }
    }

    /// Refuses the last request of the longest account queue, provided that this queue is longer
    /// than that of `incoming_account` would be with its new request. Returns whether it did.
    bool drop_from_longest_queue(const account_state& incoming_account, decisions& decided)
    {
        if (m_settings.m_order == queue_order::fifo)
            return false;
        const auto longest = std::max_element(
            m_active_accounts.begin(), m_active_accounts.end(),
            [this](const std::string& a, const std::string& b)
            { return m_accounts[a].m_queue.size() < m_accounts[b].m_queue.size(); });
        if (longest == m_active_accounts.end())
            return false;
        const std::string name = *longest;
        auto& queue = m_accounts[name].m_queue;
        if (queue.size() <= incoming_account.m_queue.size() + 1)
            return false;
        const auto [key, last] = *queue.rbegin();
        remove_queued(name, key);
        decided.push_back(refuse(
            last.m_ticket, failure_kind::overloaded, "the queue is full", default_retry_after));
        return true;
    }

    std::size_t live_entry_count(time_point now) const
    {
        return 1 + static_cast<std::size_t>(std::count_if(
                       m_peers.begin(), m_peers.end(),
                       [&](const auto& peer)
                       { return now - peer.second.m_received_at < m_settings.m_peer_timeout; }));
    }

    double share(const std::string& account, time_point now) const
    {
        const auto known = m_accounts.find(account);
        const double own = known == m_accounts.end() ? 0 : known->second.m_rate;
        double total = own;
        std::size_t count = 1;
        for (const auto& [entry, peer] : m_peers)
        {
            if (now - peer.m_received_at >= m_settings.m_peer_timeout)
                continue;
            ++count;
            const auto usage = peer.m_usage.find(account);
            total += usage == peer.m_usage.end() ? 0 : usage->second;
        }
        const double equal_share = 1.0 / static_cast<double>(count);
        return total > 0 ? 0.5 * equal_share + 0.5 * own / total : equal_share;
    }

    admission_settings m_settings;
    std::map<std::string, account_state> m_accounts;
    absl::flat_hash_map<std::uint64_t, running_request> m_running;
    absl::flat_hash_map<std::uint64_t, std::pair<std::string, queue_key>> m_queued;
    std::deque<std::string>
        m_active_accounts; ///< Accounts with queued requests, in round-robin order.
    std::map<std::string, peer_report> m_peers;
    std::size_t m_running_streams{0};
    std::size_t m_capacity{0};
    std::uint64_t m_last_sequence{0};
    floating_seconds m_mean_stream_duration{
        0}; ///< Moving average of the time from admission to release.
    floating_seconds m_mean_first_token{
        0}; ///< Moving average of the time from admission to first token.
    /// Moving average of the absolute deviation from `m_mean_first_token`.
    floating_seconds m_first_token_deviation{0};
    time_point m_last_report;
    bool m_has_reported{false};
};

admission_controller::admission_controller(admission_settings settings)
    : m_state(std::make_unique<state>(settings))
{
}

admission_controller::~admission_controller() = default;

admission_controller::decisions admission_controller::request(
    const client_account& account, const admission_request& new_request, time_point now)
{
    auto& self = *m_state;
    auto& known = self.m_accounts[account.m_name];
    ++known.m_requests_since_report;
    known.m_weight = std::max(account.m_weight, 1U);
    const double share = self.share(account.m_name, now);
    const double request_rate = share * account.m_requests_per_second;
    const double token_rate = share * account.m_tokens_per_second;
    known.m_request_bucket.refill(request_rate, now);
    known.m_tokens.refill(token_rate, now);
    const auto wait = std::max(
        known.m_request_bucket.wait(1, request_rate),
        known.m_tokens.wait(new_request.m_tokens, token_rate));
    if (wait.count() > 0)
    {
        return {self.refuse(
            new_request.m_ticket, failure_kind::rate_limited, "the account's rate limit is reached",
            to_milliseconds(wait))};
    }
    const auto charge_buckets = [&]
    {
        known.m_request_bucket.m_level -= 1;
        known.m_tokens.m_level -= new_request.m_tokens;
    };
    if (!new_request.m_is_stream)
    {
        charge_buckets();
        self.m_running[new_request.m_ticket] = {account.m_name, now, false};
        return {{new_request.m_ticket, absl::OkStatus(), {}}};
    }
    const auto max_streams =
        std::max<std::size_t>(1, static_cast<std::size_t>(share * account.m_max_streams));
    if (known.m_running + known.m_queue.size() >= max_streams)
    {
        return {self.refuse(
            new_request.m_ticket, failure_kind::rate_limited,
            "the account's limit of concurrent streams is reached", default_retry_after)};
    }
    if (new_request.m_expected_wait > self.m_settings.m_first_token_target)
    {
        return {self.refuse(
            new_request.m_ticket, failure_kind::overloaded, "the first token would be late",
            to_milliseconds(new_request.m_expected_wait))};
    }
    decisions decided;
    if (self.m_running_streams < self.m_capacity && self.m_queued.empty())
    {
        charge_buckets();
        self.admit(known, account.m_name, new_request.m_ticket, now);
        decided.push_back({new_request.m_ticket, absl::OkStatus(), {}});
        return decided;
    }
    // Lower bound of the wait: the account's own queue, served with the whole capacity. Queues of
    // other accounts are left out, so that a large account cannot cause refusals of a small one.
    const floating_seconds queue_wait =
        static_cast<double>(known.m_queue.size() + 1) * self.m_mean_stream_duration /
        static_cast<double>(std::max<std::size_t>(self.m_capacity, 1));
    const bool late = self.m_settings.m_order == queue_order::fair && queue_wait > max_queue_wait();
    if (late || (self.m_queued.size() >= self.m_settings.m_max_queued &&
                 !self.drop_from_longest_queue(known, decided)))
    {
        decided.push_back(self.refuse(
            new_request.m_ticket, failure_kind::overloaded, "the account's queue is too long",
            std::max(default_retry_after, to_milliseconds(queue_wait))));
        return decided;
    }
    charge_buckets();
    self.enqueue(known, account.m_name, new_request, now);
    self.admit_queued(decided, now);
    return decided;
}

admission_controller::decisions admission_controller::release(std::uint64_t ticket, time_point now)
{
    auto& self = *m_state;
    decisions decided;
    if (const auto queued = self.m_queued.find(ticket); queued != self.m_queued.end())
    {
        const auto [name, key] = queued->second;
        self.remove_queued(name, key);
        return decided;
    }
    const auto found = self.m_running.find(ticket);
    if (found == self.m_running.end())
        return decided;
    const auto ended = found->second;
    self.m_running.erase(found);
    if (!ended.m_is_stream)
        return decided;
    --self.m_accounts[ended.m_account].m_running;
    --self.m_running_streams;
    const floating_seconds stream_duration = now - ended.m_admitted_at;
    self.m_mean_stream_duration = self.m_mean_stream_duration.count() > 0
                                      ? 0.9 * self.m_mean_stream_duration + 0.1 * stream_duration
                                      : stream_duration;
    self.admit_queued(decided, now);
    return decided;
}

admission_controller::decisions
admission_controller::set_capacity(std::size_t streams, time_point now)
{
    decisions decided;
    m_state->m_capacity = streams;
    m_state->admit_queued(decided, now);
    return decided;
}

void admission_controller::on_first_token(std::chrono::nanoseconds since_admission)
{
    auto& self = *m_state;
    const floating_seconds sample = since_admission;
    if (self.m_mean_first_token.count() == 0)
    {
        self.m_mean_first_token = sample;
        return;
    }
    const floating_seconds deviation{std::abs((sample - self.m_mean_first_token).count())};
    self.m_first_token_deviation = 0.9 * self.m_first_token_deviation + 0.1 * deviation;
    self.m_mean_first_token = 0.9 * self.m_mean_first_token + 0.1 * sample;
}

std::chrono::nanoseconds admission_controller::max_queue_wait() const
{
    return m_state->max_queue_wait();
}

admission_controller::decisions admission_controller::on_tick(time_point now)
{
    auto& self = *m_state;
    decisions decided;
    std::vector<std::pair<std::string, state::queue_key>> late;
    const auto wait_limit = max_queue_wait();
    for (const auto& name : self.m_active_accounts)
    {
        for (const auto& [key, queued_request] : self.m_accounts[name].m_queue)
        {
            if (now - queued_request.m_queued_at < wait_limit)
                continue;
            late.emplace_back(name, key);
            decided.push_back(self.refuse(
                queued_request.m_ticket, failure_kind::overloaded,
                "no capacity became free in time", default_retry_after));
        }
    }
    for (const auto& [name, key] : late)
        self.remove_queued(name, key);
    return decided;
}

std::map<std::string, double> admission_controller::usage(time_point now)
{
    auto& self = *m_state;
    const double elapsed = self.m_has_reported
                               ? std::max(floating_seconds(now - self.m_last_report).count(), 1e-3)
                               : 1.0;
    self.m_last_report = now;
    self.m_has_reported = true;
    std::map<std::string, double> used;
    for (auto it = self.m_accounts.begin(); it != self.m_accounts.end();)
    {
        auto& account = it->second;
        account.m_rate = 0.5 * account.m_rate +
                         0.5 * static_cast<double>(account.m_requests_since_report) / elapsed;
        account.m_requests_since_report = 0;
        if (account.m_rate >= min_reported_rate)
            used[it->first] = account.m_rate;
        else
            account.m_rate = 0;
        // Idle accounts can be forgotten: buckets without debt refill within a second, and those of
        // a new account start full.
        const bool idle = account.m_rate == 0 && account.m_running == 0 &&
                          account.m_queue.empty() && account.m_tokens.m_level >= 0;
        it = idle ? self.m_accounts.erase(it) : std::next(it);
    }
    return used;
}

void admission_controller::on_peer_usage(
    const std::string& entry, std::map<std::string, double> usage, time_point now)
{
    m_state->m_peers[entry] = {std::move(usage), now};
    std::erase_if(
        m_state->m_peers, [&](const auto& peer)
        { return now - peer.second.m_received_at >= m_state->m_settings.m_peer_timeout; });
}

std::size_t admission_controller::live_entry_count(time_point now) const
{
    return m_state->live_entry_count(now);
}

double admission_controller::share(const std::string& account, time_point now) const
{
    return m_state->share(account, now);
}

std::size_t admission_controller::queued() const
{
    return m_state->m_queued.size();
}

std::size_t admission_controller::running() const
{
    return m_state->m_running_streams;
}

} // namespace fulmaryard
