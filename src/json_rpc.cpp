#include <fulmaryard/json_rpc.hpp>

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <json/reader.h>
#include <json/writer.h>

#include <map>
#include <utility>

namespace fulmaryard
{

namespace
{

std::string write_json(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

bool read_json(const std::string& text, Json::Value& value)
{
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    try
    {
        return reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    }
    catch (const Json::Exception&) // Thrown if nesting exceeds the reader's limit.
    {
        return false;
    }
}

/// Connector without I/O: records the request and returns a response given in advance. The client
/// of libjson-rpc-cpp blocks in its connector until the response arrives; with this connector the
/// caller does the I/O itself.
class offline_connector : public jsonrpc::IClientConnector
{
public:
    explicit offline_connector(std::string response) : m_response(std::move(response)) {}

    void SendRPCMessage(const std::string& message, std::string& result) throw(
        jsonrpc::JsonRpcException) override
    {
        m_request = message;
        result = m_response;
    }

    const std::string& request() const { return m_request; }

private:
    std::string m_request;
    std::string m_response;
};

} // namespace

class json_rpc_server::impl : public jsonrpc::IProcedureInvokationHandler
{
public:
    impl()
        : m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
              jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    void add(const std::string& name, method function)
    {
        m_protocol->AddProcedure(
            jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
        m_methods[name] = std::move(function);
    }

    std::string handle(const std::string& request)
    {
        std::string response;
        // libjson-rpc-cpp does not catch jsoncpp's exceptions, such as the one for exceeding the
        // nesting limit.
        try
        {
            m_protocol->HandleRequest(request, response);
        }
        catch (const Json::Exception&)
        {
            return R"({"jsonrpc":"2.0","id":null,)"
                   R"("error":{"code":-32700,"message":"malformed JSON"}})";
        }
        return response;
    }

    void HandleMethodCall(
        jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override
    {
        const auto result = m_methods.at(procedure.GetProcedureName())(
            input.isNull() ? std::string("{}") : write_json(input));
        if (!result.m_error.empty())
            throw jsonrpc::JsonRpcException(result.m_error_code, result.m_error);
        if (!read_json(result.m_json, output))
            throw jsonrpc::JsonRpcException(-32603, "method returned malformed JSON");
    }

    void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override {}

private:
    std::map<std::string, method> m_methods;
    std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
};

json_rpc_server::json_rpc_server() : m_impl(new impl) {}

json_rpc_server::~json_rpc_server() = default;

void json_rpc_server::add(const std::string& name, method function)
{
    m_impl->add(name, std::move(function));
}

std::string json_rpc_server::handle(const std::string& request)
{
    return m_impl->handle(request);
}

std::string make_json_rpc_request(const std::string& name, const std::string& parameters)
{
    Json::Value values(Json::objectValue);
    read_json(parameters, values);
    offline_connector connector(R"({"jsonrpc":"2.0","id":1,"result":null})");
    jsonrpc::Client(connector).CallMethod(name, values);
    return connector.request();
}

json_rpc_result read_json_rpc_response(const std::string& response)
{
    // Parses the response before the client of libjson-rpc-cpp does: a jsoncpp exception inside
    // the client would violate its `throw(...)` specifications and terminate the process.
    Json::Value value;
    if (!read_json(response, value) || !value.isObject())
        return {"", "malformed response", -32700};
    if (value.isMember("error") && !(value["error"].isObject() && value["error"]["code"].isInt() &&
                                     value["error"]["message"].isString()))
        return {"", "malformed error in the response", -32700};
    offline_connector connector(response);
    try
    {
        return {write_json(jsonrpc::Client(connector).CallMethod("", Json::Value())), "", 0};
    }
    catch (const jsonrpc::JsonRpcException& error)
    {
        return {"", error.GetMessage(), error.GetCode()};
    }
}

} // namespace fulmaryard
