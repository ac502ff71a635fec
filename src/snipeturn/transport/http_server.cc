#include "snipeturn/transport/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <ulfius.h>

#include <algorithm>
#include <cctype>
#include <cstring>
#include <fstream>
#include <iterator>

#include "snipeturn/transport/problem.h"

namespace snipeturn {
namespace internal {
namespace {

constexpr std::size_t kBlockSize = std::size_t{16} << 10U;
// Memory of libmicrohttpd per connection. The header may take half of it
// (ServerBounds::max_header); the rest is for the library's own buffers.
constexpr std::size_t kConnectionMemory = std::size_t{32} << 10U;
constexpr std::size_t kThreadStack = std::size_t{512} << 10U;

/// Sends a complete body.
class TextSource : public BodySource {
 public:
  explicit TextSource(std::string text) : text_(std::move(text)) {}

  std::optional<std::size_t> Read(char* buffer, std::size_t size) override {
    const std::size_t count = std::min(size, text_.size() - sent_);
    if (count == 0) {
      return std::nullopt;
    }
    std::memcpy(buffer, text_.data() + sent_, count);
    sent_ += count;
    return count;
  }

 private:
  std::string text_;
  std::size_t sent_{0};
};

/// Counts a request as open until libmicrohttpd has sent its response.
class OpenRequest {
 public:
  explicit OpenRequest(std::atomic<std::size_t>& open) : open_(open) { ++open_; }
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;
  ~OpenRequest() {
    source.reset();
    --open_;
  }

  std::unique_ptr<BodySource> source;

 private:
  std::atomic<std::size_t>& open_;
};

ssize_t ReadSource(void* data, std::uint64_t /*offset*/, char* buffer, std::size_t size) {
  const auto count = static_cast<OpenRequest*>(data)->source->Read(buffer, size);
  return count ? static_cast<ssize_t>(*count) : U_STREAM_END;
}

void FreeSource(void* data) {
  delete static_cast<OpenRequest*>(data);
}

/// Copies an ulfius map; returns the size of its entries as header lines, in bytes.
std::size_t CopyMap(const _u_map* from, bool lower_case, std::map<std::string, std::string>& to) {
  std::size_t bytes = 0;
  for (int index = 0; index < from->nb_values; ++index) {
    std::string name(from->keys[index]);
    std::string value(from->values[index], from->lengths[index]);
    // ulfius includes the terminating NUL in the length of some values.
    value.erase(value.find_last_not_of('\0') + 1);
    bytes += name.size() + value.size() + 4;
    if (lower_case) {
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char character) { return std::tolower(character); });
    }
    to[std::move(name)] = std::move(value);
  }
  return bytes;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

}  // namespace
}  // namespace internal

class HttpServer::Implementation {
 public:
  ~Implementation() { Stop(); }

  bool Start(const Endpoint& endpoint,
             const std::optional<TlsFiles>& tls,
             const ServerBounds& bounds,
             RequestHandler handler,
             std::string& last_reason) {
    bounds_ = bounds;
    handler_ = std::move(handler);
    if (!Initialize(endpoint)) {
      last_reason = "the address is not an IP address";
      return false;
    }
    is_initialized_ = true;
    instance_.allowed_post_processor = U_POST_PROCESS_NONE;
    // ulfius silently truncates longer bodies. Accepting one more byte than allowed makes them
    // detectable.
    instance_.max_post_body_size = bounds_.max_body + 1;
    ulfius_set_default_endpoint(&instance_, &Implementation::OnRequest, this);
    if (!Listen(tls, last_reason)) {
      return false;
    }
    is_running_ = true;
    return true;
  }

  void Stop() {
    if (is_running_) {
      ulfius_stop_framework(&instance_);
      is_running_ = false;
    }
    if (is_initialized_) {
      ulfius_clean_instance(&instance_);
      is_initialized_ = false;
    }
  }

  [[nodiscard]] std::size_t open_requests() const noexcept { return open_; }

 private:
  bool Initialize(const Endpoint& endpoint) {
    const auto port = static_cast<unsigned int>(endpoint.port);
    if (::inet_pton(AF_INET, endpoint.address.c_str(), &v4_.sin_addr) == 1) {
      v4_.sin_family = AF_INET;
      v4_.sin_port = htons(static_cast<std::uint16_t>(port));
      return ulfius_init_instance(&instance_, port, &v4_, nullptr) == U_OK;
    }
    if (::inet_pton(AF_INET6, endpoint.address.c_str(), &v6_.sin6_addr) == 1) {
      v6_.sin6_family = AF_INET6;
      v6_.sin6_port = htons(static_cast<std::uint16_t>(port));
      return ulfius_init_instance_ipv6(&instance_, port, &v6_, U_USE_IPV6, nullptr) == U_OK;
    }
    return false;
  }

  bool Listen(const std::optional<TlsFiles>& tls, std::string& last_reason) {
    unsigned int flags =
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
    std::vector<MHD_OptionItem> options{
        {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&mhd_request_completed), nullptr},
        {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&ulfius_uri_logger), nullptr},
        {MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(bounds_.max_connections), nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(bounds_.idle_timeout), nullptr},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT, static_cast<intptr_t>(internal::kConnectionMemory),
         nullptr},
        {MHD_OPTION_THREAD_STACK_SIZE, static_cast<intptr_t>(internal::kThreadStack), nullptr}};
    if (tls) {
      certificate_ = internal::ReadFile(tls->certificate);
      key_ = internal::ReadFile(tls->key);
      if (certificate_.empty() || key_.empty()) {
        last_reason = "the certificate or its key can't be read";
        return false;
      }
      flags |= MHD_USE_TLS;
      options.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, key_.data()});
      options.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, certificate_.data()});
    }
    options.push_back({MHD_OPTION_END, 0, nullptr});
    if (ulfius_start_framework_with_mhd_options(&instance_, flags, options.data()) != U_OK) {
      last_reason = "the address is in use or the certificate is invalid";
      return false;
    }
    return true;
  }

  static int OnRequest(const _u_request* request, _u_response* response, void* data) {
    auto& self = *static_cast<Implementation*>(data);
    auto open = std::make_unique<internal::OpenRequest>(self.open_);
    Send(self.Handle(*request), std::move(open), response);
    return U_CALLBACK_COMPLETE;
  }

  ServerResponse Handle(const _u_request& request) const {
    ServerRequest copy;
    copy.method = request.http_verb;
    const std::string_view target(request.http_url);
    const std::size_t question = target.find('?');
    copy.path = target.substr(0, question);
    if (question != std::string_view::npos) {
      copy.query = target.substr(question + 1);
    }
    internal::CopyMap(request.map_url, false, copy.parameters);
    const std::size_t header_size =
        internal::CopyMap(request.map_header, true, copy.headers) + target.size();
    if (header_size > bounds_.max_header) {
      return MakeRequestProblem(431, "header_too_large", "the header exceeds its bound");
    }
    if (request.binary_body_length > bounds_.max_body) {
      return MakeRequestProblem(413, "body_too_large", "the body exceeds its bound");
    }
    if (request.binary_body_length > 0) {
      copy.body.assign(static_cast<const char*>(request.binary_body), request.binary_body_length);
    }
    return handler_(copy);
  }

  static void Send(ServerResponse handler_response,
                   std::unique_ptr<internal::OpenRequest> open,
                   _u_response* response) {
    if (!handler_response.content_type.empty()) {
      u_map_put(response->map_header, "Content-Type", handler_response.content_type.c_str());
    }
    for (const auto& [name, value] : handler_response.headers) {
      u_map_put(response->map_header, name.c_str(), value.c_str());
    }
    // Complete bodies are streamed too: only then does the library report when the response was
    // sent.
    std::uint64_t size = U_STREAM_SIZE_UNKNOWN;
    open->source = std::move(handler_response.source);
    if (!open->source) {
      size = handler_response.body.size();
      open->source = std::make_unique<internal::TextSource>(std::move(handler_response.body));
    }
    if (ulfius_set_stream_response(response, static_cast<unsigned int>(handler_response.status),
                                   internal::ReadSource, internal::FreeSource, size,
                                   internal::kBlockSize, open.get()) == U_OK) {
      open.release();  // NOLINT(bugprone-unused-return-value): FreeSource deletes it.
    }
  }

  _u_instance instance_{};
  sockaddr_in v4_{};
  sockaddr_in6 v6_{};
  std::string certificate_;
  std::string key_;
  ServerBounds bounds_;
  RequestHandler handler_;
  std::atomic<std::size_t> open_{0};
  bool is_initialized_{false};
  bool is_running_{false};
};

HttpServer::HttpServer() : implementation_(std::make_unique<Implementation>()) {}

HttpServer::~HttpServer() = default;

bool HttpServer::Start(const Endpoint& endpoint,
                       const std::optional<TlsFiles>& tls,
                       const ServerBounds& bounds,
                       RequestHandler handler,
                       std::string& last_reason) {
  return implementation_->Start(endpoint, tls, bounds, std::move(handler), last_reason);
}

void HttpServer::Stop() {
  implementation_->Stop();
}

std::size_t HttpServer::open_requests() const noexcept {
  return implementation_->open_requests();
}

std::string FindHeader(const ServerRequest& request, const std::string& name) {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? std::string{} : found->second;
}

std::optional<std::string> FindParameter(const ServerRequest& request, const std::string& name) {
  const auto found = request.parameters.find(name);
  return found == request.parameters.end() ? std::nullopt : std::make_optional(found->second);
}

}  // namespace snipeturn
