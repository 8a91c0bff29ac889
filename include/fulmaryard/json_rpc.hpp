#ifndef FULMARYARD_JSON_RPC_HPP
#define FULMARYARD_JSON_RPC_HPP

// Also compiled as C++14, which the headers of libjsonrpccpp require. Exposes no type of that
// library.

#include <functional>
#include <memory>
#include <string>

namespace fulmaryard
{

/// Result of a JSON-RPC method: a JSON value, or an error if `m_error` is not empty.
struct json_rpc_result
{
    std::string m_json;
    std::string m_error;
    int m_error_code{0};
};

/// JSON-RPC 2.0 server over any transport: maps method names to functions. Methods are added
/// before the first call of `handle`, which is thread-safe if the methods are.
class json_rpc_server
{
public:
    /// Receives the parameters as the text of a JSON object.
    using method = std::function<json_rpc_result(const std::string& parameters)>;

    json_rpc_server();
    ~json_rpc_server();

    json_rpc_server(const json_rpc_server&) = delete;
    json_rpc_server& operator=(const json_rpc_server&) = delete;

    void add(const std::string& name, method function);

    /// Returns the JSON-RPC response to a request; protocol errors are also returned as responses.
    std::string handle(const std::string& request);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

/// Returns the JSON-RPC request for `name` with `parameters`, the text of a JSON object.
std::string make_json_rpc_request(const std::string& name, const std::string& parameters);

/// Parses a JSON-RPC response.
json_rpc_result read_json_rpc_response(const std::string& response);

} // namespace fulmaryard

#endif
