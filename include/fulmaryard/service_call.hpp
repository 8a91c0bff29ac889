#ifndef FULMARYARD_SERVICE_CALL_HPP
#define FULMARYARD_SERVICE_CALL_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// Message from an entry to a side process: a request to run one call of a plain service.
struct service_call
{
    std::uint64_t m_call{0}; ///< Id of the call, unique at the sender.
    std::string m_reply_address;
    std::string m_request_id;
    std::string m_account;
    std::string m_service;
    std::string m_key; ///< Idempotency key; empty for an idempotent call.
    std::string m_method;
    std::string m_path;
    std::string m_content_type;
    std::string m_body;
    bool m_idempotent{true};
    std::uint32_t m_deadline_ms{0}; ///< Time remaining when sent, in ms; 0: use the default.
    std::uint64_t m_generation{0};

    friend auto operator<=>(const service_call&, const service_call&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(
            m_call, m_reply_address, m_request_id, m_account, m_service, m_key, m_method, m_path,
            m_content_type, m_body, m_idempotent, m_deadline_ms, m_generation);
    }
};

} // namespace fulmaryard

#endif
