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

/// State of one request, filled in by the request filters.
struct request_context
{
    std::chrono::steady_clock::time_point m_arrived;
    const http_request* m_request{nullptr};
    /// Keeps the configuration alive until the request ends; the pointers below refer to it.
    std::shared_ptr<const configuration_index> m_configuration;
    std::string m_request_id;
    const client_account* m_account{nullptr};
    const model_definition* m_model{nullptr};     ///< Set for a completion request.
    const service_definition* m_service{nullptr}; ///< Set for a call of a plain service.
    std::optional<completion_request> m_completion;
    bool m_chat{false};        ///< The request is a chat completion.
    bool m_list_models{false}; ///< The request is for the list of models.
    std::uint32_t m_priority{0};
};

} // namespace fulmaryard

#endif
