#include "src/snipeturnctl/http_client.h"

#include <ulfius.h>

namespace snipeturn::ctl {
namespace internal {

/// Owns an ulfius request and response.
class Exchange {
 public:
  Exchange() {
    ulfius_init_request(&request_);
    ulfius_init_response(&response_);
  }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  ~Exchange() {
    ulfius_clean_response(&response_);
    ulfius_clean_request(&request_);
  }

  [[nodiscard]] _u_request* request() noexcept { return &request_; }
  [[nodiscard]] _u_response* response() noexcept { return &response_; }

 private:
  _u_request request_{};
  _u_response response_{};
};

}  // namespace internal

std::optional<HttpResponse> Send(const HttpTarget& target, const HttpRequest& request) {
  internal::Exchange exchange;
  const std::string url = "http://" + target.host + request.path;
  ulfius_set_request_properties(exchange.request(), U_OPT_HTTP_VERB, request.method.c_str(),
                                U_OPT_HTTP_URL, url.c_str(), U_OPT_TIMEOUT,
                                static_cast<unsigned long>(request.timeout.count()), U_OPT_NONE);
  for (const auto& [name, value] : request.parameters) {
    ulfius_set_request_properties(exchange.request(), U_OPT_URL_PARAMETER, name.c_str(),
                                  value.c_str(), U_OPT_NONE);
  }
  if (!target.key.empty()) {
    ulfius_set_request_properties(exchange.request(), U_OPT_HEADER_PARAMETER, "Authorization",
                                  ("Bearer " + target.key).c_str(), U_OPT_NONE);
  }
  if (!request.body.empty()) {
    ulfius_set_request_properties(exchange.request(), U_OPT_HEADER_PARAMETER, "Content-Type",
                                  "application/json", U_OPT_BINARY_BODY, request.body.data(),
                                  request.body.size(), U_OPT_NONE);
  }
  if (ulfius_send_http_request(exchange.request(), exchange.response()) != U_OK) {
    return std::nullopt;
  }
  const _u_response& response = *exchange.response();
  HttpResponse result;
  result.status = static_cast<int>(response.status);
  if (response.binary_body != nullptr) {
    result.body.assign(static_cast<const char*>(response.binary_body), response.binary_body_length);
  }
  return result;
}

}  // namespace snipeturn::ctl
