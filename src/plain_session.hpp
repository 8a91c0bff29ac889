#ifndef FULMARYARD_PLAIN_SESSION_HPP
#define FULMARYARD_PLAIN_SESSION_HPP

#include "accepted_call.hpp"
#include "router_core.hpp"

#include <fulmaryard/answer_head.hpp>
#include <fulmaryard/http_exchange.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace fulmaryard
{

/// Carries one call to a plain service. A call that may run once is sent again only where its
/// endpoint is known not to have run it.
class plain_session
{
public:
    plain_session(router_core& core, http_exchange& exchange, accepted_call accepted);
    ~plain_session();

    plain_session(const plain_session&) = delete;
    plain_session& operator=(const plain_session&) = delete;

    boost::asio::awaitable<void> run();

private:
    enum class attempt_end
    {
        answered,
        not_run,
        unknown, ///< May have run.
        failed   ///< Ran, and the endpoint answered with a failure.
    };

    boost::asio::awaitable<attempt_end> attempt();
    boost::asio::awaitable<attempt_end> exchange_once(bool reused, bool& stale);
    bool may_try_again(attempt_end end);
    boost::asio::awaitable<void> finish(attempt_end end);
    bool idempotent() const { return m_accepted.m_route.m_kind == call_kind::idempotent; }

    router_core& m_core;
    http_exchange& m_exchange;
    accepted_call m_accepted;
    std::string m_endpoint;
    std::set<std::string> m_avoided;
    std::unique_ptr<endpoint_channel> m_channel;
    std::optional<http_response> m_answer; ///< The last one that an endpoint gave.
    accepted_call::time_point m_attempt_end;
    std::uint32_t m_sends{0};
    std::uint32_t m_tries{0};
    bool m_may_have_run{false}; ///< An attempt was sent and not proved not run.
    bool m_gone{false};
};

} // namespace fulmaryard

#endif
