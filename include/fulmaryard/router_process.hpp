#ifndef FULMARYARD_ROUTER_PROCESS_HPP
#define FULMARYARD_ROUTER_PROCESS_HPP

#include <fulmaryard/endpoint_protocol.hpp>
#include <fulmaryard/object_store.hpp>
#include <fulmaryard/platform_listener.hpp>
#include <fulmaryard/router_settings.hpp>

#include <absl/status/status.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace fulmaryard
{

/// A router: takes callers' requests and carries them over endpoints that serve requests
/// themselves. Its beliefs come from a platform, through `platform_listener`.
class router_process
{
public:
    /// Reads the settings again after SIGHUP.
    using settings_source = std::function<absl::Status()>;

    router_process(
        boost::asio::io_context& io, router_settings settings, const endpoint_protocol& protocol,
        object_store& store, settings_source reload);
    ~router_process();

    /// Receives what the platform says; lives as long as the process.
    platform_listener& listener();

    /// Serves until SIGTERM, or fails when an address cannot be bound.
    absl::Status run();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace fulmaryard

#endif
