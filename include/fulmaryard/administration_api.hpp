#ifndef FULMARYARD_ADMINISTRATION_API_HPP
#define FULMARYARD_ADMINISTRATION_API_HPP

#include <fulmaryard/administrator.hpp>
#include <fulmaryard/http_message.hpp>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace fulmaryard
{

struct apply_request;
class configuration_state;
class configuration_store;
class order_controller;
class status_source;
struct tenant_configuration;

/// The operators' HTTP API below "/admin/". Administrators are defined in the settings and
/// authenticate with "Authorization: Basic" or "Authorization: Bearer NAME.SECRET"; callers' keys
/// are not accepted. An administrator can read and change only its own tenants. Thread-safe.
///
/// - POST /admin/apply?dry_run=1&generation=N&apply_id=ID&file=NAME&timeout_ms=N, body YAML
/// - GET /admin/configuration?tenant=T, /admin/history?tenant=T: without key hashes
/// - POST /admin/orders, body {"instance": "IP:PORT" of a side process, "kind", "args"}: sends
///   an order to its engine under the order lease (administrators of all tenants only)
/// - GET /admin/status; GET /admin/dump (administrators of all tenants only)
class administration_api
{
public:
    /// The referenced objects must outlive this object.
    administration_api(
        std::vector<administrator> administrators, configuration_store& store,
        const configuration_state& state, const status_source& source, order_controller& orders);

    boost::asio::awaitable<http_response> handle(http_request request);

private:
    absl::StatusOr<const administrator*> authenticate(const http_request& request) const;
    boost::asio::awaitable<http_response>
    apply(const administrator& caller, const http_request& request);
    boost::asio::awaitable<http_response> preview(const tenant_configuration& file);
    boost::asio::awaitable<http_response>
    accept(const apply_request& wanted, std::chrono::milliseconds deadline);
    boost::asio::awaitable<http_response>
    history(const administrator& caller, const http_request& request);
    boost::asio::awaitable<http_response>
    order(const administrator& caller, const http_request& request);
    http_response
    show_configuration(const administrator& caller, const http_request& request) const;
    http_response show_status(const administrator& caller) const;
    http_response dump(const administrator& caller) const;

    std::vector<administrator> m_administrators;
    configuration_store& m_store;
    const configuration_state& m_state;
    const status_source& m_source;
    order_controller& m_orders;
};

} // namespace fulmaryard

#endif
