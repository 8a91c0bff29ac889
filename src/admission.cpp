#include <fulmaryard/admission.hpp>
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

using seconds_f = std::chrono::duration<double>;

// Deficit round robin: an account's deficit grows by this quantum times its weight in each round.
// The cost of a request is capped at 16 quanta, so that selecting the next request takes at most 16
// rounds.
constexpr std::uint64_t tokens_per_turn = 512;
constexpr std::uint64_t max_cost = 16 * tokens_per_turn;
constexpr std::chrono::milliseconds default_retry_after{1000};
constexpr std::chrono::milliseconds shortest_queue{50}; ///< One tick of the entry.
constexpr double smallest_reported_rate = 0.01;         ///< Requests per second.

std::chrono::milliseconds to_milliseconds(seconds_f duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

/// Token bucket whose burst is one second of its rate, but at least 1. A request larger than the
/// burst is allowed when the bucket is full and makes the level negative.
struct token_bucket
{
    double m_level{0};
    admission::time_point m_updated;
    bool m_started{false};

    void refill(double rate, admission::time_point now)
    {
        const double burst = std::max(rate, 1.0);
        const double elapsed = seconds_f(now - m_updated).count();
        m_level = m_started ? std::min(burst, m_level + rate * elapsed) : burst;
        m_updated = now;
        m_started = true;
    }

    /// Time until `amount` can be taken, at the given rate per second; 0 if it can be taken now.
    seconds_f wait(double amount, double rate) const
    {
        // A request without tokens, such as a service call, need not wait for a negative level.
        const double needed = amount == 0 ? m_level : std::min(amount, std::max(rate, 1.0));
        return seconds_f(m_level >= needed ? 0 : (needed - m_level) / std::max(rate, 1e-3));
    }
};

} // namespace

struct admission::state
{
    /// Negated priority and sequence number.
    using queue_key = std::pair<std::int64_t, std::uint64_t>;

    struct waiting
    {
        std::uint64_t m_ticket{0};
        std::uint64_t m_cost{0}; ///< Tokens, capped.
        time_point m_arrived;
    };

    struct account_state
    {
        token_bucket m_requests;
        token_bucket m_tokens;
        std::uint32_t m_weight{1};
        std::size_t m_running{0};
        std::map<queue_key, waiting> m_queue;
        std::uint64_t m_deficit{0}; ///< Tokens.
        bool m_has_turn{false};     ///< Whether the deficit has grown in this round.
        double m_rate{0}; ///< Requests per second at this entry, as last reported to the others.
        std::uint64_t m_since_report{0};
    };

    struct running_ticket
    {
        std::string m_account;
        time_point m_since;
        bool m_stream{true};
    };

    struct peer_use
    {
        std::map<std::string, double> m_use; ///< Requests per second by account.
        time_point m_at;
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
        ++m_streams;
        m_running[ticket] = {name, now, true};
    }

    void enqueue(
        account_state& account, const std::string& name, const admission_request& asked,
        time_point now)
    {
        const std::int64_t order =
            m_settings.m_order == queue_order::fair ? -std::int64_t{asked.m_priority} : 0;
        const queue_key key{order, ++m_arrivals};
        account.m_queue[key] = {
            asked.m_ticket, std::clamp<std::uint64_t>(asked.m_tokens, 1, max_cost), now};
        m_queued[asked.m_ticket] = {name, key};
        if (account.m_queue.size() > 1)
            return;
        // An account without running streams goes to the front. Otherwise a small account would
        // wait for a full round of the large ones and exceed the first-token target.
        if (account.m_running == 0)
            m_turns.push_front(name);
        else
            m_turns.push_back(name);
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
            account.m_has_turn = false;
            std::erase(m_turns, name);
        }
    }

    /// Selects the account whose first queued request is next, and charges that request to the
    /// account's deficit. At least one request must be queued.
    const std::string& next_account()
    {
        if (m_settings.m_order == queue_order::first_come)
        {
            return *std::min_element(
                m_turns.begin(), m_turns.end(),
                [this](const std::string& a, const std::string& b) {
                    return m_accounts[a].m_queue.begin()->first <
                           m_accounts[b].m_queue.begin()->first;
                });
        }
        while (true)
        {
            auto& account = m_accounts[m_turns.front()];
            if (!account.m_has_turn)
            {
                account.m_deficit += account.m_weight * tokens_per_turn;
                account.m_has_turn = true;
            }
            const std::uint64_t cost = account.m_queue.begin()->second.m_cost;
            if (account.m_deficit >= cost)
            {
                account.m_deficit -= cost;
                return m_turns.front();
            }
            account.m_has_turn = false;
            m_turns.push_back(std::move(m_turns.front()));
            m_turns.pop_front();
        }
    }

    std::chrono::nanoseconds longest_wait() const
    {
        // The mean plus two mean deviations covers about 95% of the streams.
        const seconds_f reserved = m_mean_first_token + 2 * m_first_token_deviation;
        const seconds_f left = m_settings.m_first_token_target - reserved;
        // Allow a short queue in any case, so that freed capacity is reused at once.
        const seconds_f wait = std::max(left, seconds_f(shortest_queue));
        return std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::min(wait, seconds_f(m_settings.m_first_token_target)));
    }

    void admit_queued(decisions& decided, time_point now)
    {
        while (m_streams < m_capacity && !m_queued.empty())
        {
            const std::string name = next_account();
            auto& account = m_accounts[name];
            const auto [key, first] = *account.m_queue.begin();
            remove_queued(name, key);
            // `on_tick` runs only once per tick, so an expired request may still be queued.
            if (now - first.m_arrived >= longest_wait())
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
    bool make_room(const account_state& newcomer, decisions& decided)
    {
        if (m_settings.m_order == queue_order::first_come)
            return false;
        const auto longest = std::max_element(
            m_turns.begin(), m_turns.end(),
            [this](const std::string& a, const std::string& b)
            { return m_accounts[a].m_queue.size() < m_accounts[b].m_queue.size(); });
        if (longest == m_turns.end())
            return false;
        const std::string name = *longest;
        auto& queue = m_accounts[name].m_queue;
        if (queue.size() <= newcomer.m_queue.size() + 1)
            return false;
        const auto [key, last] = *queue.rbegin();
        remove_queued(name, key);
        decided.push_back(refuse(
            last.m_ticket, failure_kind::overloaded, "the queue is full", default_retry_after));
        return true;
    }

    std::size_t entries(time_point now) const
    {
        return 1 + static_cast<std::size_t>(std::count_if(
                       m_peers.begin(), m_peers.end(),
                       [&](const auto& peer)
                       { return now - peer.second.m_at < m_settings.m_peer_timeout; }));
    }

    double share(const std::string& account, time_point now) const
    {
        const auto known = m_accounts.find(account);
        const double own = known == m_accounts.end() ? 0 : known->second.m_rate;
        double total = own;
        std::size_t count = 1;
        for (const auto& [entry, peer] : m_peers)
        {
            if (now - peer.m_at >= m_settings.m_peer_timeout)
                continue;
            ++count;
            const auto use = peer.m_use.find(account);
            total += use == peer.m_use.end() ? 0 : use->second;
        }
        const double equal = 1.0 / static_cast<double>(count);
        return total > 0 ? 0.5 * equal + 0.5 * own / total : equal;
    }

    admission_settings m_settings;
    std::map<std::string, account_state> m_accounts;
    absl::flat_hash_map<std::uint64_t, running_ticket> m_running;
    absl::flat_hash_map<std::uint64_t, std::pair<std::string, queue_key>> m_queued;
    std::deque<std::string> m_turns; ///< Accounts with queued requests, in round-robin order.
    std::map<std::string, peer_use> m_peers;
    std::size_t m_streams{0};
    std::size_t m_capacity{0};
    std::uint64_t m_arrivals{0};
    seconds_f m_mean_hold{0};        ///< Moving average of the time from admission to release.
    seconds_f m_mean_first_token{0}; ///< Moving average of the time from admission to first token.
    /// Moving average of the absolute deviation from `m_mean_first_token`.
    seconds_f m_first_token_deviation{0};
    time_point m_reported;
    bool m_has_reported{false};
};

admission::admission(admission_settings settings) : m_state(std::make_unique<state>(settings)) {}

admission::~admission() = default;

admission::decisions
admission::request(const client_account& account, const admission_request& asked, time_point now)
{
    auto& self = *m_state;
    auto& known = self.m_accounts[account.m_name];
    ++known.m_since_report;
    known.m_weight = std::max(account.m_weight, 1U);
    const double share = self.share(account.m_name, now);
    const double request_rate = share * account.m_requests_per_second;
    const double token_rate = share * account.m_tokens_per_second;
    known.m_requests.refill(request_rate, now);
    known.m_tokens.refill(token_rate, now);
    const auto wait = std::max(
        known.m_requests.wait(1, request_rate), known.m_tokens.wait(asked.m_tokens, token_rate));
    if (wait.count() > 0)
    {
        return {self.refuse(
            asked.m_ticket, failure_kind::rate_limited, "the account's rate limit is reached",
            to_milliseconds(wait))};
    }
    const auto take = [&]
    {
        known.m_requests.m_level -= 1;
        known.m_tokens.m_level -= asked.m_tokens;
    };
    if (!asked.m_stream)
    {
        take();
        self.m_running[asked.m_ticket] = {account.m_name, now, false};
        return {{asked.m_ticket, absl::OkStatus(), {}}};
    }
    const auto max_streams =
        std::max<std::size_t>(1, static_cast<std::size_t>(share * account.m_max_streams));
    if (known.m_running + known.m_queue.size() >= max_streams)
    {
        return {self.refuse(
            asked.m_ticket, failure_kind::rate_limited,
            "the account's limit of concurrent streams is reached", default_retry_after)};
    }
    if (asked.m_expected_wait > self.m_settings.m_first_token_target)
    {
        return {self.refuse(
            asked.m_ticket, failure_kind::overloaded, "the first token would be late",
            to_milliseconds(asked.m_expected_wait))};
    }
    decisions decided;
    if (self.m_streams < self.m_capacity && self.m_queued.empty())
    {
        take();
        self.admit(known, account.m_name, asked.m_ticket, now);
        decided.push_back({asked.m_ticket, absl::OkStatus(), {}});
        return decided;
    }
    // Lower bound of the wait: the account's own queue, served with the whole capacity. Queues of
    // other accounts are left out, so that a large account cannot cause refusals of a small one.
    const seconds_f queue_wait = static_cast<double>(known.m_queue.size() + 1) * self.m_mean_hold /
                                 static_cast<double>(std::max<std::size_t>(self.m_capacity, 1));
    const bool late = self.m_settings.m_order == queue_order::fair && queue_wait > longest_wait();
    if (late ||
        (self.m_queued.size() >= self.m_settings.m_max_queued && !self.make_room(known, decided)))
    {
        decided.push_back(self.refuse(
            asked.m_ticket, failure_kind::overloaded, "the account's queue is too long",
            std::max(default_retry_after, to_milliseconds(queue_wait))));
        return decided;
    }
    take();
    self.enqueue(known, account.m_name, asked, now);
    self.admit_queued(decided, now);
    return decided;
}

admission::decisions admission::release(std::uint64_t ticket, time_point now)
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
    if (!ended.m_stream)
        return decided;
    --self.m_accounts[ended.m_account].m_running;
    --self.m_streams;
    const seconds_f hold = now - ended.m_since;
    self.m_mean_hold = self.m_mean_hold.count() > 0 ? 0.9 * self.m_mean_hold + 0.1 * hold : hold;
    self.admit_queued(decided, now);
    return decided;
}

admission::decisions admission::set_capacity(std::size_t streams, time_point now)
{
    decisions decided;
    m_state->m_capacity = streams;
    m_state->admit_queued(decided, now);
    return decided;
}

void admission::on_first_token(std::chrono::nanoseconds since_admission)
{
    auto& self = *m_state;
    const seconds_f sample = since_admission;
    if (self.m_mean_first_token.count() == 0)
    {
        self.m_mean_first_token = sample;
        return;
    }
    const seconds_f deviation{std::abs((sample - self.m_mean_first_token).count())};
    self.m_first_token_deviation = 0.9 * self.m_first_token_deviation + 0.1 * deviation;
    self.m_mean_first_token = 0.9 * self.m_mean_first_token + 0.1 * sample;
}

std::chrono::nanoseconds admission::longest_wait() const
{
    return m_state->longest_wait();
}

admission::decisions admission::on_tick(time_point now)
{
    auto& self = *m_state;
    decisions decided;
    std::vector<std::pair<std::string, state::queue_key>> late;
    const auto wait_limit = longest_wait();
    for (const auto& name : self.m_turns)
    {
        for (const auto& [key, waiting] : self.m_accounts[name].m_queue)
        {
            if (now - waiting.m_arrived < wait_limit)
                continue;
            late.emplace_back(name, key);
            decided.push_back(self.refuse(
                waiting.m_ticket, failure_kind::overloaded, "no capacity became free in time",
                default_retry_after));
        }
    }
    for (const auto& [name, key] : late)
        self.remove_queued(name, key);
    return decided;
}

std::map<std::string, double> admission::use(time_point now)
{
    auto& self = *m_state;
    const double elapsed =
        self.m_has_reported ? std::max(seconds_f(now - self.m_reported).count(), 1e-3) : 1.0;
    self.m_reported = now;
    self.m_has_reported = true;
    std::map<std::string, double> used;
    for (auto it = self.m_accounts.begin(); it != self.m_accounts.end();)
    {
        auto& account = it->second;
        account.m_rate =
            0.5 * account.m_rate + 0.5 * static_cast<double>(account.m_since_report) / elapsed;
        account.m_since_report = 0;
        if (account.m_rate >= smallest_reported_rate)
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

void admission::on_peer_use(
    const std::string& entry, std::map<std::string, double> use, time_point now)
{
    m_state->m_peers[entry] = {std::move(use), now};
    std::erase_if(
        m_state->m_peers, [&](const auto& peer)
        { return now - peer.second.m_at >= m_state->m_settings.m_peer_timeout; });
}

std::size_t admission::entries(time_point now) const
{
    return m_state->entries(now);
}

double admission::share(const std::string& account, time_point now) const
{
    return m_state->share(account, now);
}

std::size_t admission::queued() const
{
    return m_state->m_queued.size();
}

std::size_t admission::running() const
{
    return m_state->m_streams;
}

} // namespace fulmaryard
