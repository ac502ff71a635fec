#pragma once

// This header is included by a C++14 source and by C++17 sources: it uses only types whose layout
// is the same in both.

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipeturn {

/// Handles a call: receives the method and its parameters as JSON text; returns an empty string
/// when it accepts the call, else the reason for refusing it.
using RpcHandler = std::function<std::string(const std::string& method, const std::string& params)>;

/// Sends a request body and stores the body of the response; false when there is no response.
using RpcPost = std::function<bool(const std::string& request, std::string& response)>;

/// JSON-RPC 2.0 server, independent of the transport.
class JsonRpcServer {
 public:
  /// @brief Creates a server.
  /// @param methods The methods that may be called.
  /// @param handler Called for each well-formed call, on the thread that calls Handle().
  JsonRpcServer(const std::vector<std::string>& methods, RpcHandler handler);
  JsonRpcServer(const JsonRpcServer&) = delete;
  JsonRpcServer& operator=(const JsonRpcServer&) = delete;
  ~JsonRpcServer();

  /// @brief Handles one request.
  /// @param body The request body as received.
  /// @return The body of the response; it holds an error object for a refused or malformed call.
  std::string Handle(const std::string& body);

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

/// @brief Calls a method.
/// @param post Sends the request.
/// @param method The method.
/// @param params The parameters as JSON text of an object.
/// @param last_reason Receives the reason when the call fails.
/// @return True when the server accepted the call.
bool CallJsonRpc(const RpcPost& post,
                 const std::string& method,
                 const std::string& params,
                 std::string& last_reason);

}  // namespace snipeturn
