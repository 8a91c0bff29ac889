#ifndef FULMARYARD_PLATFORM_LISTENER_HPP
#define FULMARYARD_PLATFORM_LISTENER_HPP

#include <fulmaryard/endpoint_record.hpp>
#include <fulmaryard/routing_configuration.hpp>

#include <string>
#include <vector>

namespace fulmaryard
{

/// Receives what the platform says; called on the router's thread.
class platform_listener
{
public:
    virtual ~platform_listener() = default;

    virtual void on_configuration(routing_configuration configuration) = 0;
    virtual void on_endpoint_listing(const std::vector<endpoint_record>& records) = 0;
    virtual void on_endpoint_changed(const endpoint_record& record) = 0;
    virtual void on_endpoint_removed(const std::string& id) = 0;
    /// Datagram addresses of all routers, this one included.
    virtual void on_routers(const std::vector<std::string>& addresses) = 0;
    virtual void on_store_lost() = 0;
    virtual void on_store_back() = 0;
};

} // namespace fulmaryard

#endif
