#ifndef FULMARYARD_SERVICE_CALL_HPP
#define FULMARYARD_SERVICE_CALL_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace fulmaryard
{

/// Entry to side process: run one call of a plain service.
struct service_call
{
    std::uint64_t m_call{0}; ///< Unique at the sender.
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
    std::uint32_t m_deadline_ms{0}; ///< Time left when sent, milliseconds.
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
