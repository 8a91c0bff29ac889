#include "entry_services.hpp"

#include <chrono>
#include <random>
#include <utility>

namespace fulmaryard
{

namespace
{

admission_settings admission_settings_of(const entry_settings& settings)
{
    admission_settings admission;
    admission.m_first_token_target = std::chrono::milliseconds(settings.m_first_token_target_ms);
    return admission;
}

} // namespace

entry_services::entry_services(entry_settings settings, std::string process, metrics& registry)
    : m_settings(std::move(settings)),
      m_process(std::move(process)),
      m_metrics(registry),
      m_planner(make_planning_strategy(m_settings.m_planner), std::random_device{}()),
      m_gate(std::make_shared<admission_gate>(admission_settings_of(m_settings))),
      m_index(std::make_shared<configuration_index>(std::make_shared<fulmaryard::configuration>()))
{
}

bool entry_services::try_retry()
{
    const std::lock_guard lock(m_budget_mutex);
    const bool granted = m_retry_budget.try_retry(std::chrono::steady_clock::now());
    if (granted)
        m_metrics.m_retries.add();
    return granted;
}

void entry_services::count_request()
{
    const std::lock_guard lock(m_budget_mutex);
    m_retry_budget.on_request(std::chrono::steady_clock::now());
}

std::shared_ptr<const configuration_index> entry_services::configuration() const
{
    thread_local const entry_services* owner = nullptr;
    thread_local std::unique_ptr<snapshot<configuration_index>::reader> reader;
    if (owner != this)
    {
        owner = this;
        reader = std::make_unique<snapshot<configuration_index>::reader>(m_index);
    }
    return reader->get();
}

} // namespace fulmaryard
