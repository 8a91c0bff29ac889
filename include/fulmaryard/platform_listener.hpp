#ifndef FULMARYARD_PLATFORM_LISTENER_HPP
#define FULMARYARD_PLATFORM_LISTENER_HPP

#include <fulmaryard/endpoint_record.hpp>
#include <fulmaryard/routing_configuration.hpp>
#include <fulmaryard/store_read.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace fulmaryard
{

/// Receives configuration and endpoint updates from the platform. All functions are called on the
/// router's thread.
class platform_listener
{
public:
    virtual ~platform_listener() = default;

    virtual void on_configuration(routing_configuration configuration) = 0;
    /// All endpoint records were read; `records` leaves out malformed ones.
    virtual void on_endpoints_listed(const std::vector<endpoint_record>& records) = 0;
    virtual void on_endpoint_changed(const endpoint_record& record) = 0;
    virtual void on_endpoint_removed(const std::string& id) = 0;
    /// The newest change that the last call about endpoints contained has the revision `newest`, or
    /// 0 if it contained none; the call covers all changes up to `read_to`.
    virtual void on_endpoints_revision(std::uint64_t newest, std::uint64_t read_to) = 0;
    /// `addresses` are the datagram addresses of all routers, including this one.
    virtual void on_router_addresses(const std::vector<std::string>& addresses) = 0;
    /// A call to the store failed. Not repeated for further failures before `on_store_recovered`.
    virtual void on_store_unavailable() = 0;
    /// A call to the store succeeded for the first time after `on_store_unavailable`.
    virtual void on_store_recovered() = 0;
    /// The store has come back from an older copy: what was written since that copy is gone, and
    /// entries may be listed that were removed since.
    virtual void on_store_restored() = 0;
    /// A read of the configuration or of the endpoints has ended.
    virtual void on_store_read(const store_read& read) = 0;
};

} // namespace fulmaryard

#endif
