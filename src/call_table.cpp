#include <fulmaryard/call_table.hpp>
#include <fulmaryard/http_message.hpp>

#include <utility>
#include <vector>

namespace fulmaryard
{

namespace
{

service_result lost_result(std::uint64_t call)
{
    service_result result;
    result.m_call = call;
    result.m_failure = failure_kind::endpoint_lost;
    result.m_outcome = outcome::unknown;
    return result;
}

} // namespace

std::uint64_t call_table::add(std::string peer_address, std::string peer_process, completion done)
{
    const std::lock_guard lock(m_mutex);
    m_pending[++m_last_id] = {std::move(peer_address), std::move(peer_process), std::move(done)};
    return m_last_id;
}

bool call_table::complete(const std::string& peer_address, service_result result)
{
    completion done;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_pending.find(result.m_call);
        if (found == m_pending.end() || found->second.m_peer_address != peer_address)
            return false;
        done = std::move(found->second.m_done);
        m_pending.erase(found);
    }
    if (result.m_ok && !is_status_code(result.m_status))
        done(lost_result(result.m_call));
    else
        done(std::move(result));
    return true;
}

template <typename Selected>
void call_table::fail_if(Selected selected)
{
    std::vector<std::pair<std::uint64_t, completion>> failed;
    {
        const std::lock_guard lock(m_mutex);
        for (auto it = m_pending.begin(); it != m_pending.end();)
        {
            const auto current = it++;
            if (!selected(current->second))
                continue;
            failed.emplace_back(current->first, std::move(current->second.m_done));
            m_pending.erase(current);
        }
    }
    for (auto& [call, done] : failed)
        done(lost_result(call));
}

void call_table::fail_peer(const std::string& peer_address)
{
    fail_if([&](const pending_call& call) { return call.m_peer_address == peer_address; });
}

void call_table::fail_replaced(const std::string& peer_address, const std::string& process)
{
    fail_if([&](const pending_call& call)
            { return call.m_peer_address == peer_address && call.m_peer_process != process; });
}

void call_table::remove(std::uint64_t call)
{
    const std::lock_guard lock(m_mutex);
    m_pending.erase(call);
}

std::size_t call_table::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_pending.size();
}

} // namespace fulmaryard
