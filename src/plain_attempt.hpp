#ifndef FULMARYARD_PLAIN_ATTEMPT_HPP
#define FULMARYARD_PLAIN_ATTEMPT_HPP

#include <fulmaryard/answer_share.hpp>
#include <fulmaryard/endpoint_channel.hpp>
#include <fulmaryard/endpoint_run.hpp>
#include <fulmaryard/http_message.hpp>

#include <cstdint>
#include <exception>
#include <memory>
#include <optional>

namespace fulmaryard
{

/// State of one attempt of a call to a plain service: the endpoint, the connection to it and what
/// it answered. Two attempts may run at the same time.
struct plain_attempt
{
    enum class outcome
    {
        answered, ///< The endpoint responded with a status below 500.
        not_run,  ///< The endpoint was not reached, or states that it did not run the call.
        unknown,  ///< The endpoint may have run the call.
        failed    ///< The endpoint ran the call and responded with a status of 500 or above.
    };

    explicit plain_attempt(answer_memory& memory) : m_share(memory) {}

    /// Ends the attempt soon, since its answer is not needed any more.
    void close()
    {
        m_closed = true;
        if (m_channel != nullptr)
            m_channel->close();
    }

    std::uint32_t m_number{0}; ///< From 1 in the order of the call's attempts.
    endpoint_run m_run;
    bool m_may_reuse{false}; ///< A pooled connection may be used.
    std::unique_ptr<endpoint_channel> m_channel;
    answer_share m_share; ///< For the body of the response.
    std::optional<http_response> m_response;
    bool m_connection_lost{false}; ///< The endpoint closed it before the answer had ended.
    bool m_crashed{false};         ///< The endpoint crashed.
    bool m_is_hedge{false};        ///< Sent because the answer of another attempt is late.
    bool m_closed{false};
    std::optional<outcome> m_outcome; ///< Set once the attempt has ended.
    std::exception_ptr m_failure;     ///< Set with the outcome if an exception ended it.
};

} // namespace fulmaryard

#endif
