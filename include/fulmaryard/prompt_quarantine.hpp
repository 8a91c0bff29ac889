#ifndef FULMARYARD_PROMPT_QUARANTINE_HPP
#define FULMARYARD_PROMPT_QUARANTINE_HPP

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmaryard
{

/// Finds parts of prompts, and requests, under which endpoints crash, and keeps requests that hold
/// such a part or repeat such a request away from endpoints.
///
/// A request as a whole is one more part of itself, with the name that `request_part` gives; so the
/// same crashes are weighed for both. It is quarantined after a few crashes, however many others
/// there are, since a sound one is seldom sent so often without an answer, and only its repeats are
/// kept away. It is known only while it is under suspicion, so requests that crash nothing cost
/// nothing.
///
/// A request is evidence against the shared parts of its prompt if its endpoint crashed just as it
/// began to answer, and for them if it went on answering. A part is quarantined once several
/// endpoints crashed under it, none of its requests was answered since the first of them, and that
/// would be unlikely for a sound part, given how many other requests are answered. After a time one
/// router sends a single request as a trial; the quarantine ends when that is answered, and lasts
/// twice as long when it crashes its endpoint.
///
/// One part of a request is enough to explain its crash. A part is not quarantined for crashes that
/// a stronger suspect explains. Where several parts explain the same crashes about as well, only
/// requests that hold all of them are kept away; the outcome of any other tells the parts apart.
/// Does no I/O. Not thread-safe.
class prompt_quarantine
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    using part_list = std::vector<std::string>;

    /// A crash with one cause may end several endpoints at the same moment.
    static constexpr std::chrono::milliseconds crash_spacing{50};
    static constexpr std::size_t min_crashes = 3;
    /// A request that crashed fewer endpoints may be sent to another one.
    static constexpr std::size_t max_repeated_crashes = 2;
    /// Largest probability that a part is sound and is quarantined.
    static constexpr double max_error = 1e-3;

    /// Time for a trial that is due to be sent and answered, told to callers meanwhile.
    static constexpr std::chrono::milliseconds trial_time{5'000};

    /// Crashes and answers count for this long.
    static constexpr std::chrono::milliseconds evidence_lifetime{30'000};

    /// A trial may cost the work of an endpoint and the time to load its layers again.
    static constexpr std::chrono::milliseconds initial_duration{30'000};
    static constexpr std::chrono::milliseconds max_duration{900'000};

    /// An answer is reported to others for this long after one of them suspected the part.
    static constexpr std::chrono::milliseconds answer_report_time{2'000};

    /// Limits what parts that nobody uses again may occupy.
    static constexpr std::size_t max_parts = 8'192;

    /// What one router has observed of a part, to send to others.
    struct report
    {
        std::string m_part;
        std::map<std::string, std::chrono::milliseconds> m_crashes; ///< Ages, by crashed run.
        std::optional<std::chrono::milliseconds> m_answer;          ///< Age of the last answer.
        std::optional<std::chrono::milliseconds> m_quarantine;      ///< Remaining time.
    };

    /// Whether this router sends the trial of a part.
    using trial_owner = std::function<bool(const std::string& part)>;

    /// Name of a request as a whole among its parts; ids of parts have no colon.
    static std::string request_part(std::string_view identity);

    /// Whether a request whose identity begins with `outline` is under suspicion.
    bool suspects_request(std::string_view outline) const;

    /// A request with these parts goes on answering.
    void on_answered(const part_list& parts, time_point now);

    /// The run `run` of an endpoint ended as it began to answer a request with these parts, or, if
    /// they are the request as a whole only, before that. Returns the parts that are quarantined
    /// since.
    part_list on_crashed(const part_list& parts, const std::string& run, time_point now);

    /// Returns the parts that are quarantined since.
    part_list on_peer_report(const report& peer, time_point now);

    /// Returns nullopt if a request with these parts may be sent, otherwise the time after which it
    /// may be tried again. Counts a trial as sent if it is due and `owns_trial` agrees.
    std::optional<std::chrono::milliseconds>
    admit(const part_list& parts, time_point now, const trial_owner& owns_trial);

    /// Whether a part is quarantined, without sending a trial.
    bool quarantined(const part_list& parts, time_point now) const;

    /// Whether a request with these parts that crashed its endpoint may be sent to another one: all
    /// of its parts were answered lately, and as a whole it crashed few.
    bool may_repeat(const part_list& parts, time_point now) const;

    /// What this router has observed of the parts under suspicion.
    std::vector<report> reports(time_point now) const;

    /// Forgets what no longer counts. To be called now and then.
    void on_tick(time_point now);

    /// Changes whenever a part is quarantined.
    std::uint64_t generation() const { return m_generation; }

private:
    using crash_times = std::map<std::string, time_point>; ///< By crashed run.

    struct part_state
    {
        bool m_is_request{false};
        crash_times m_own_crashes;
        crash_times m_crashes;                   ///< Those of all routers.
        std::optional<time_point> m_answered;    ///< Last answer to this router.
        std::optional<time_point> m_last_answer; ///< Last answer to any router.
        std::optional<time_point> m_disputed; ///< When another router suspected an answered part.
        std::optional<time_point> m_until;    ///< End of the quarantine.
        std::chrono::milliseconds m_duration{0}; ///< Of the current quarantine; 0: none.
        std::optional<time_point> m_trial;       ///< When the last trial was sent.
    };

    /// What speaks against a part; the greater, the more.
    struct evidence
    {
        std::size_t m_moments{0}; ///< Of its crashes.
        bool m_is_new{false};     ///< No router had it answered lately.

        friend auto operator<=>(const evidence&, const evidence&) = default;
    };

    static bool is_request(std::string_view part);
    /// Whether the state of a part must not be created now.
    bool is_full(const std::string& part) const;
    static void acquit(part_state& state);
    /// Number of crashes at different moments. A request runs at one endpoint after the other, so
    /// each of its crashes counts.
    static std::size_t count_moments(const crash_times& crashes, bool is_request);
    static evidence strength(const part_state& state, time_point now);
    /// Whether the crashes of `other` explain those that it shares with `state`. Allows for one
    /// crash of another cause in `state`, but asks for more of a part that was answered lately,
    /// since few parts change.
    static bool explains(const part_state& other, const part_state& state, time_point now);
    /// Crashes in `state` that no other quarantined part explains which `counts`.
    template <typename Predicate>
    crash_times unexplained(const part_state& state, time_point now, const Predicate& counts) const;
    /// Whether a sound part would hardly have `crashes`, some or all of those in `state`.
    bool are_conclusive(const crash_times& crashes, const part_state& state) const;
    /// Whether the part has crashes that neither chance nor a stronger suspect explains.
    bool is_suspect(const part_state& state, time_point now) const;
    /// Whether the quarantine of a part, given its state, applies to a request with `parts`.
    bool applies_to(const part_state& state, const part_list& parts, time_point now) const;
    void begin_quarantine(part_state& state, time_point until, std::chrono::milliseconds duration);
    void count_outcomes(double answered, double crashed, time_point now);

    part_state& state_of(const std::string& part);

    std::map<std::string, part_state> m_parts;
    double m_answered{0}; ///< Requests answered lately; older ones count less.
    double m_crashed{0};
    time_point m_counted;
    time_point m_next_cleanup;
    std::uint64_t m_generation{0};
};

} // namespace fulmaryard

#endif
