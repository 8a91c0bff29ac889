#include <fulmaryard/process_lifecycle.hpp>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <mutex>
#include <utility>

namespace fulmaryard
{

namespace
{

namespace msm = boost::msm;

struct started
{
};
struct drain_requested
{
};
struct drained
{
};

struct lifecycle_definition : msm::front::state_machine_def<lifecycle_definition>
{
    template <lifecycle_phase Phase>
    struct phase_state : msm::front::state<>
    {
        template <typename Event, typename Machine>
        void on_entry(const Event&, Machine& machine)
        {
            machine.m_phase = Phase;
        }
    };

    using starting = phase_state<lifecycle_phase::starting>;
    using ready = phase_state<lifecycle_phase::ready>;
    using draining = phase_state<lifecycle_phase::draining>;
    using stopped = phase_state<lifecycle_phase::stopped>;
    using initial_state = starting;

    template <typename Source, typename Event, typename Target>
    using row = msm::front::Row<Source, Event, Target, msm::front::none, msm::front::none>;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        row<starting, started,       ready>,
        row<starting, drain_requested, draining>,
        row<ready,    drain_requested, draining>,
        row<draining, drained,       stopped>>
    {
    };
    // clang-format on

    template <typename Event, typename Machine>
    void no_transition(const Event&, Machine&, int)
    {
    }

    lifecycle_phase m_phase{lifecycle_phase::starting};
};

} // namespace

std::string_view to_string(lifecycle_phase phase) noexcept
{
    constexpr std::string_view names[] = {"starting", "ready", "draining", "stopped"};
    return names[static_cast<std::size_t>(phase)];
}

struct process_lifecycle::state
{
    template <typename Event>
    bool process(const Event& event)
    {
        lifecycle_phase phase;
        {
            const std::lock_guard lock(m_mutex);
            const lifecycle_phase before = m_machine.m_phase;
            m_machine.process_event(event);
            phase = m_machine.m_phase;
            if (phase == before)
                return false;
        }
        if (m_on_change)
            m_on_change(phase);
        return true;
    }

    change_handler m_on_change;
    mutable std::mutex m_mutex;
    msm::back::state_machine<lifecycle_definition> m_machine;
};

process_lifecycle::process_lifecycle(change_handler on_change) : m_state(std::make_unique<state>())
{
    m_state->m_on_change = std::move(on_change);
    m_state->m_machine.start();
}

process_lifecycle::~process_lifecycle() = default;

bool process_lifecycle::become_ready()
{
    return m_state->process(started{});
}

bool process_lifecycle::begin_drain()
{
    return m_state->process(drain_requested{});
}

bool process_lifecycle::finish_drain()
{
    return m_state->process(drained{});
}

lifecycle_phase process_lifecycle::phase() const
{
    const std::lock_guard lock(m_state->m_mutex);
    return m_state->m_machine.m_phase;
}

} // namespace fulmaryard
