// The part of EntryRuntime that makes the host's own calls to upstreams: copies and reports.

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "snipeturn/loop/boot_clock.h"
#include "snipeturn/loop/entry_runtime.h"
#include "snipeturn/loop/upstream_pool.h"

namespace snipeturn::loop {
namespace internal {
namespace {

/// Largest response to a call of this host's own; a report lists all generations of an engine.
constexpr std::uint64_t kMaxCallResponseBytes = 512U << 10U;
/// Longest copy of a generation: the time that an engine runs on after its termination notice.
constexpr std::chrono::milliseconds kCopyTimeout{2500};
constexpr std::chrono::milliseconds kDropTimeout{1000};
constexpr std::chrono::milliseconds kReportTimeout{500};

/// Returns the status of a copy call that got no complete response.
entry::CopyStatus UnansweredCopyStatus(ExchangeResult result) noexcept {
  switch (result) {
    case ExchangeResult::kUnsent:
      return entry::CopyStatus::kUnsent;
    case ExchangeResult::kConnectionRefused:
      return entry::CopyStatus::kConnectionRefused;
    case ExchangeResult::kUnreachable:
      return entry::CopyStatus::kUnreachable;
    case ExchangeResult::kComplete:
    case ExchangeResult::kBroken:
      break;
  }
  return entry::CopyStatus::kNoAnswer;
}

}  // namespace
}  // namespace internal

void EntryRuntime::StartCopy(const entry::StartCopy& copy) {
  const auto request = state_.requests.find(copy.request);
  if (request == state_.requests.end()) {
    return;
  }
  CallUpstream(copy.source_id, copy.source,
               codec_.encode_copy_request(copy, request->second.head.id), internal::kCopyTimeout,
               ResponseMatch::kConnection, copy.needs_new_connection,
               [this, key = copy.request, copy_number = copy.copy](
                   ExchangeResult result, int status, const std::string& body) {
                 entry::CopyEnded ended;
                 if (result == ExchangeResult::kComplete) {
                   ended = codec_.decode_copy_response(status, body);
                 } else {
                   ended.status = internal::UnansweredCopyStatus(result);
                 }
                 ended.request = key;
                 ended.copy = copy_number;
                 Apply(std::move(ended));
               });
}

void EntryRuntime::ReadReport(const entry::ReadReport& call) {
  // An upstream that says that it leaves does so until its end, and a report names its start: an
  // earlier report says nothing that doesn't hold.
  CallUpstream(
      call.upstream, call.endpoint, codec_.encode_report_request(call), internal::kReportTimeout,
      ResponseMatch::kNone, false,
      [this, id = call.upstream](ExchangeResult result, int status, const std::string& body) {
        // Failures are ignored here: whether an upstream works is judged by its requests.
        if (result != ExchangeResult::kComplete) {
          return;
        }
        if (auto report = codec_.decode_report_response(status, body)) {
          report->id = id;
          Apply(std::move(*report));
        }
      });
}

void EntryRuntime::ForgetUpstream(const entry::UpstreamId& upstream) {
  client_.CloseIdleConnections(internal::PoolName(upstream));
}

void EntryRuntime::CallUpstream(const entry::UpstreamId& upstream,
                                const Endpoint& endpoint,
                                std::string bytes,
                                std::chrono::milliseconds timeout,
                                ResponseMatch match,
                                bool needs_new_connection,
                                std::function<void(ExchangeResult, int, const std::string&)> done) {
  struct Response {
    HttpClient::ExchangeKey exchange{0};
    int status{0};
    std::string body;
  };
  auto response = std::make_shared<Response>();
  HttpCall call;
  call.pool = internal::PoolName(upstream);
  call.endpoint = endpoint;
  call.bytes = std::move(bytes);
  call.connect_timeout = internal::kConnectTimeout;
  call.timeout = timeout;
  call.needs_new_connection = needs_new_connection;
  call.match = match;
  call.max_body_bytes = internal::kMaxCallResponseBytes;
  ExchangeHandlers handlers;
  const TimePoint sent_at = BootTime();
  handlers.on_head = [this, response, upstream, sent_at](const HttpHead& head) {
    if (!codec_.decode_response(head).request_id.empty()) {
      // A call has no request id, so this is a late response to a caller's request.
      metrics_.Add(AddToCounter{kDroppedReplies, "other_request", 1});
      return false;
    }
    response->status = head.status;
    if (client_.CountEarlierCallsWithoutId(response->exchange) == 0) {
      HandleSignals(upstream, sent_at, head);
    }  // Else the response may be older than what the upstream has said since.
    return true;
  };
  handlers.on_interim = [this, upstream, sent_at](const HttpHead& head) {
    HandleSignals(upstream, sent_at, head);
  };
  handlers.on_body = [response](std::string&& part) { response->body += part; };
  handlers.on_end = [response, done = std::move(done)](ExchangeResult result,
                                                       const std::string& /*reason*/) {
    done(result, response->status, response->body);
  };
  response->exchange = client_.Start(std::move(call), std::move(handlers));
}

void EntryRuntime::DropCopy(const entry::DropCopy& drop) {
  // The result is ignored: the engine frees an unused copy itself after some seconds.
  CallUpstream(drop.source_id, drop.source, codec_.encode_drop_copy_request(drop),
               internal::kDropTimeout, ResponseMatch::kNone, false,
               [](ExchangeResult /*result*/, int /*status*/, const std::string& /*body*/) {});
}

}  // namespace snipeturn::loop
