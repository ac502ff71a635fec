// Compiled as C++14: the headers of libjsonrpccpp use dynamic exception specifications.

#include "snipeturn/transport/json_rpc_adapter.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

#include <exception>
#include <utility>

namespace snipeturn {
namespace internal {
namespace {

// First code of the range that JSON-RPC 2.0 reserves for server-defined errors.
constexpr int kRefusedCode = -32000;

/// Passes requests to the library directly and stores each response in the string that the
/// request's `add_info` points to.
class LocalServerConnector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* add_info) override {
    *static_cast<std::string*>(add_info) = response;
    return true;
  }
};

/// Dispatches all methods to one handler.
class Dispatcher : public jsonrpc::AbstractServer<Dispatcher> {
 public:
  Dispatcher(jsonrpc::AbstractServerConnector& connector,
             const std::vector<std::string>& methods,
             RpcHandler handler)
      : jsonrpc::AbstractServer<Dispatcher>(connector), handler_(std::move(handler)) {
    for (const std::string& method : methods) {
      bindAndAddMethod(
          jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_BOOLEAN, nullptr),
          &Dispatcher::Unused);
    }
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure,
                        const Json::Value& input,
                        Json::Value& output) override {
    const std::string reason =
        handler_(procedure.GetProcedureName(), Json::FastWriter().write(input));
    if (!reason.empty()) {
      throw jsonrpc::JsonRpcException(kRefusedCode, reason);
    }
    output = true;
  }

 private:
  // The library requires a member function per method; HandleMethodCall overrides the dispatch.
  void Unused(const Json::Value& /*input*/, Json::Value& /*output*/) {}

  RpcHandler handler_;
};

/// Sends a client's requests through a function.
class LocalClientConnector : public jsonrpc::IClientConnector {
 public:
  explicit LocalClientConnector(const RpcPost& post) : post_(post) {}

  void SendRPCMessage(const std::string& message,
                      std::string& result) throw(jsonrpc::JsonRpcException) override {
    if (!post_(message, result)) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "no response");
    }
  }

 private:
  const RpcPost& post_;
};

}  // namespace
}  // namespace internal

class JsonRpcServer::Implementation {
 public:
  Implementation(const std::vector<std::string>& methods, RpcHandler handler)
      : dispatcher_(connector_, methods, std::move(handler)) {}

  std::string Handle(const std::string& body) {
    std::string response;
    connector_.OnRequest(body, &response);
    return response;
  }

 private:
  internal::LocalServerConnector connector_;
  internal::Dispatcher dispatcher_;
};

JsonRpcServer::JsonRpcServer(const std::vector<std::string>& methods, RpcHandler handler)
    : implementation_(new Implementation(methods, std::move(handler))) {}

JsonRpcServer::~JsonRpcServer() = default;

std::string JsonRpcServer::Handle(const std::string& body) {
  try {
    return implementation_->Handle(body);
  } catch (const std::exception&) {
    // jsoncpp throws when the nesting exceeds its limit, and libjsonrpccpp doesn't catch that.
    return R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"malformed JSON"}})";
  }
}

bool CallJsonRpc(const RpcPost& post,
                 const std::string& method,
                 const std::string& params,
                 std::string& last_reason) {
  Json::Value value;
  if (!Json::Reader().parse(params, value)) {
    last_reason = "malformed parameters";
    return false;
  }
  try {
    internal::LocalClientConnector connector(post);
    jsonrpc::Client client(connector);
    return client.CallMethod(method, value).asBool();
  } catch (const jsonrpc::JsonRpcException& exception) {
    last_reason = exception.GetMessage();
  } catch (const std::exception& exception) {
    // jsoncpp throws when the response is JSON but not of the expected structure.
    last_reason = exception.what();
  }
  return false;
}

}  // namespace snipeturn
