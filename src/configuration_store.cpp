#include "use_tuple_inl.hpp"

#include <fulmaryard/configuration_apply.hpp>
#include <fulmaryard/configuration_codec.hpp>
#include <fulmaryard/configuration_difference.hpp>
#include <fulmaryard/configuration_store.hpp>
#include <fulmaryard/failure.hpp>
#include <fulmaryard/key_hash.hpp>
#include <fulmaryard/platform_client.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace fulmaryard
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

// Platform calls normally take milliseconds; after one second an answer is unlikely.
constexpr milliseconds call_deadline{1000};
// Bounds of the exponential backoff after a failed platform call.
constexpr milliseconds initial_delay{20};
constexpr milliseconds max_delay{500};

/// Returns a random duration between half of `delay` and `delay`, so that competing operators do
/// not retry in lockstep.
milliseconds with_jitter(milliseconds delay)
{
    thread_local std::minstd_rand random{std::random_device{}()};
    return milliseconds(
        std::uniform_int_distribution<milliseconds::rep>(delay.count() / 2, delay.count())(random));
}

milliseconds time_until(std::chrono::steady_clock::time_point expiry)
{
    const auto remaining = expiry - std::chrono::steady_clock::now();
    return std::max(std::chrono::duration_cast<milliseconds>(remaining), milliseconds(0));
}

asio::awaitable<void> wait(milliseconds delay)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(delay);
    co_await timer.async_wait(use_tuple);
}

asio::awaitable<void> perform(
    configuration_apply& operation, platform_client& platform, apply_step step,
    milliseconds deadline)
{
    if (step.m_action == apply_step::action::read)
    {
        const auto object = co_await platform.get(step.m_object, deadline);
        operation.on_read(object);
        co_return;
    }
    const auto version =
        co_await platform.put(step.m_object, step.m_value, step.m_version, deadline);
    operation.on_written(version);
}

/// Executes the steps of `operation` until it has finished; retries with exponential backoff.
asio::awaitable<void>
execute_steps(configuration_apply& operation, platform_client& platform, milliseconds deadline)
{
    const auto expiry = std::chrono::steady_clock::now() + deadline;
    milliseconds delay = initial_delay;
    for (auto step = operation.next(); step.m_action != apply_step::action::finished;
         step = operation.next())
    {
        if (step.m_needs_backoff)
        {
            const milliseconds max_wait = time_until(expiry);
            co_await wait(std::min(with_jitter(delay), max_wait));
            delay = std::min(2 * delay, max_delay);
        }
        const milliseconds remaining = std::min(time_until(expiry), call_deadline);
        if (remaining <= milliseconds(0))
            operation.on_deadline();
        else
            co_await perform(operation, platform, std::move(step), remaining);
    }
}

} // namespace

configuration_store::configuration_store(platform_client& platform) : m_platform(platform) {}

asio::awaitable<absl::StatusOr<applied_file>> configuration_store::apply(
    const apply_request& request, milliseconds deadline, std::vector<std::string>& difference)
{
    // Allocated on the heap to keep the coroutine frame small: for frames larger than 2 KB, GCC 12
    // reports a mismatch between Asio's own operators new and delete.
    const auto operation = std::make_unique<configuration_apply>(request);
    co_await execute_steps(*operation, m_platform, deadline);
    if (!operation->conflicting_hash().empty())
    {
        const auto in_force = co_await read_file(operation->conflicting_hash(), call_deadline);
        if (in_force.ok())
            difference = configuration_difference(*in_force, request.m_file);
    }
    co_return operation->result();
}

asio::awaitable<absl::StatusOr<current_configuration>>
configuration_store::read_current(milliseconds deadline)
{
    const auto object = co_await m_platform.get(std::string(current_configuration_name), deadline);
    if (!object.ok())
        co_return object.status();
    co_return decode_current_configuration(object->m_value);
}

asio::awaitable<absl::StatusOr<tenant_configuration>>
configuration_store::read_file(std::string hash, milliseconds deadline)
{
    {
        const std::lock_guard lock(m_mutex);
        if (const auto found = m_files.find(hash); found != m_files.end())
            co_return found->second;
    }
    const auto object = co_await m_platform.get(configuration_file_name(hash), deadline);
    if (!object.ok())
        co_return object.status();
    auto file = decode_tenant_configuration(object->m_value);
    // The hash covers the stored text, not the decoded file: the text may hold members that only a
    // newer release knows.
    if (!file.ok() || sha256_hex(object->m_value) != hash)
    {
        co_return make_failure(
            failure_kind::internal,
            "object " + configuration_file_name(hash) + " does not hold the file of its name");
    }
    const std::lock_guard lock(m_mutex);
    m_files[hash] = *file;
    co_return *std::move(file);
}

asio::awaitable<absl::StatusOr<std::shared_ptr<const configuration>>>
configuration_store::load(current_configuration current, milliseconds deadline)
{
    auto loaded = std::make_shared<configuration>();
    loaded->m_generation = current.m_generation;
    for (const auto& [tenant, hash] : current.m_files)
    {
        auto file = co_await read_file(hash, deadline);
        if (!file.ok())
            co_return file.status();
        loaded->m_tenants.push_back(*std::move(file));
    }
    // Evicts files that are not in this configuration, which bounds the cache.
    const std::lock_guard lock(m_mutex);
    std::erase_if(
        m_files,
        [&](const auto& cached)
        {
            return std::none_of(
                current.m_files.begin(), current.m_files.end(),
                [&](const auto& named) { return named.second == cached.first; });
        });
    co_return std::shared_ptr<const configuration>(std::move(loaded));
}

} // namespace fulmaryard
