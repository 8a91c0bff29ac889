#ifndef FULMARYARD_ROUTER_PROCESS_HPP
#define FULMARYARD_ROUTER_PROCESS_HPP

#include <fulmaryard/endpoint_protocol.hpp>
#include <fulmaryard/object_store.hpp>
#include <fulmaryard/platform_listener.hpp>
#include <fulmaryard/router_settings.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace fulmaryard
{

/// A router process: accepts requests from callers and forwards them to endpoints that serve
/// requests themselves. It learns its configuration, endpoints and peer routers from a platform,
/// through `platform_listener`.
class router_process
{
public:
    /// Reads the settings again; called on SIGHUP.
    using settings_source = std::function<absl::StatusOr<router_settings>()>;

    router_process(
        boost::asio::io_context& io, router_settings settings, const endpoint_protocol& protocol,
        object_store& store, settings_source reload);
    ~router_process();

    /// Receives the updates of the platform; valid as long as this object.
    platform_listener& listener();

    /// Sets a function that reads the platform's state again. It is called when other routers know
    /// newer versions of it.
    void set_refresh(std::function<void(lagging_state)> refresh);

    /// Whether this router is one of the few that read the platform's state closely.
    bool is_store_reader() const;

    /// Serves until it has drained after SIGTERM; returns an error when an address cannot be bound.
    absl::Status run();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace fulmaryard

#endif
