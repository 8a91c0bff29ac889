#ifndef FULMARYARD_REQUEST_CONTEXT_HPP
#define FULMARYARD_REQUEST_CONTEXT_HPP

#include <fulmaryard/completion_request.hpp>
#include <fulmaryard/http_message.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace fulmaryard
{

class configuration_index;
struct client_account;
struct model_definition;
struct service_definition;

/// What the filters have found out about one request.
struct request_context
{
    std::chrono::steady_clock::time_point m_arrived;
    const http_request* m_request{nullptr};
    /// Held until the request ends; the pointers below point into it.
    std::shared_ptr<const configuration_index> m_configuration;
    std::string m_request_id;
    const client_account* m_account{nullptr};
    const model_definition* m_model{nullptr};
    const service_definition* m_service{nullptr};
    std::optional<completion_request> m_completion;
    bool m_chat{false};
    bool m_list_models{false};
    std::uint32_t m_priority{0};
};

} // namespace fulmaryard

#endif
