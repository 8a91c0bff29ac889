#ifndef FULMARYARD_ENTRY_PROCESS_HPP
#define FULMARYARD_ENTRY_PROCESS_HPP

#include <fulmaryard/entry_settings.hpp>
#include <fulmaryard/http_message.hpp>

#include <absl/status/status.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace fulmaryard
{

class configuration_state;
class platform_client;

/// The entry process: serves callers and peers until it is told to leave.
class entry_process
{
public:
    /// Answers requests whose path begins with "/admin/" on the peer address.
    using administration_handler =
        std::function<boost::asio::awaitable<http_response>(http_request)>;

    explicit entry_process(entry_settings settings);
    ~entry_process();

    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    /// Call it before `run`; without a handler those paths are answered with 404.
    void set_administration(administration_handler handler);

    /// What the administration API is constructed with.
    boost::asio::any_io_executor executor();
    configuration_state& configuration();
    platform_client& platform();
    const entry_settings& settings() const;
    /// State as a JSON object, also served at `/dump`.
    std::string status() const;

    /// Serves until SIGTERM or SIGINT, then finishes the requests in flight. Returns a failure when
    /// an address cannot be bound or the drain limit passed with requests in flight.
    absl::Status run();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace fulmaryard

#endif
