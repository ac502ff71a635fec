// The part of EntryRuntime that exchanges requests and responses with callers and upstreams.

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "snipeturn/loop/boot_clock.h"
#include "snipeturn/loop/entry_runtime.h"
#include "snipeturn/loop/upstream_pool.h"

namespace snipeturn::loop {
namespace internal {
namespace {

/// Unwritten bytes of one caller's response at which reading from its upstream pauses.
constexpr std::size_t kMaxUnwrittenBytes = 262144;
/// Largest response body that is buffered until it is complete.
constexpr std::size_t kMaxResponseBytes = 8U << 20U;
/// Responses up to this size aren't broken off for the memory of all.
constexpr std::size_t kSmallResponseBytes = 65536;
/// Time without progress after which a caller counts as one that doesn't read, when memory is
/// short. Callers in other regions read within a round trip.
constexpr std::chrono::milliseconds kMinSilence{1000};
/// Largest server-sent event; usual events have some KB.
constexpr std::size_t kMaxEventBytes = 256U << 10U;
/// Longest idle time of a connection that is reused for a request which must not run twice. The
/// other end may have dropped an idle connection silently, and such a request can't be retried.
constexpr std::chrono::milliseconds kMaxIdleNonIdempotent{4000};
constexpr std::chrono::milliseconds kMaxIdleIdempotent{60000};

/// Statuses by which this system tells a caller that the request has not run.
bool IsNotExecutedStatus(int status) noexcept {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string_view OutcomeName(int status) noexcept {
  return status == 502 || status == 504 ? "unknown" : "not_run";
}

}  // namespace
}  // namespace internal

void EntryRuntime::StartAttempt(const entry::Send& send) {
  const auto found = open_requests_.find(send.request);
  if (found == open_requests_.end()) {
    return;  // The caller has disconnected; the event that reports it is queued.
  }
  OpenRequest& open_request = found->second;
  // The caller has the events up to the position; those that a server repeats are dropped.
  open_request.last_event_id = std::max(open_request.last_event_id, send.position);
  entry::Send encoded = send;
  if (encoded.resume) {
    encoded.resume->events = open_request.last_event_id;
  }
  const entry::AttemptKey key = send.attempt;
  static_cast<void>(LimitConnections(descriptors_.for_upstreams()));
  ActiveAttempt attempt;
  attempt.request = send.request;
  attempt.upstream = send.upstream;
  attempt.sent_at = BootTime();
  attempt.is_stream = send.is_stream;
  attempt.memory = MemoryShare(response_memory_);
  HttpCall call;
  call.pool = internal::PoolName(send.upstream);
  call.endpoint = send.endpoint;
  call.bytes = codec_.encode_request(open_request.head, open_request.body, encoded);
  call.connect_timeout = internal::kConnectTimeout;
  // Another send of the same request has the same id, so its response could be taken for this one.
  call.needs_new_connection = send.is_repeat;
  call.match = ResponseMatch::kRequestId;
  call.max_idle =
      send.is_idempotent ? internal::kMaxIdleIdempotent : internal::kMaxIdleNonIdempotent;
  ExchangeHandlers handlers;
  handlers.on_head = [this, key](const HttpHead& head) { return HandleResponseHead(key, head); };
  handlers.on_interim = [this, upstream = attempt.upstream, sent_at = attempt.sent_at](
                            const HttpHead& head) { HandleSignals(upstream, sent_at, head); };
  handlers.on_body = [this, key](std::string&& bytes) {
    HandleResponseBody(key, std::move(bytes));
  };
  handlers.on_end = [this, key](ExchangeResult result, const std::string& reason) {
    HandleAttemptEnd(key, result, reason);
  };
  if (const auto connection = FindConnection(open_request.connection)) {
    const std::size_t kept = open_request.body.size() + MemoryOf(open_request.head);
    connection->SetRequestMemory(kept + call.bytes.size());
    handlers.on_sent = [weak = std::weak_ptr<CallerConnection>(connection), kept] {
      if (const auto caller = weak.lock()) {
        caller->SetRequestMemory(kept);
      }
    };
  }
  attempt.exchange = client_.Start(std::move(call), std::move(handlers));
  active_attempts_.emplace(key, std::move(attempt));
}

void EntryRuntime::HandleSignals(const entry::UpstreamId& upstream,
                                 TimePoint sent_at,
                                 const HttpHead& head) {
  const ResponseMetadata metadata = codec_.decode_response(head);
  if (!metadata.wrong_upstream) {
    Apply(entry::UpstreamSignalled{upstream, sent_at, metadata.signals, false});
  }
}

bool EntryRuntime::HandleResponseHead(entry::AttemptKey key, const HttpHead& head) {
  const auto found = active_attempts_.find(key);
  if (found == active_attempts_.end()) {
    return true;
  }
  ActiveAttempt& attempt = found->second;
  ResponseMetadata metadata = codec_.decode_response(head);
  const std::string& expected_id = state_.requests.at(attempt.request).head.id;
  if (!metadata.request_id.empty() && metadata.request_id != expected_id) {
    metrics_.Add(AddToCounter{kDroppedReplies, "other_request", 1});
    return false;
  }
  if (metadata.request_id.empty() && IsLateCallResponse(attempt, metadata)) {
    metrics_.Add(AddToCounter{kDroppedReplies, "late_call_reply", 1});
    ++attempt.skipped_without_id;
    return false;
  }
  attempt.head = head;
  if (metadata.request_id.empty() && client_.IsFirstOnConnection(attempt.exchange)) {
    client_.PreventReuse(attempt.exchange);
  } else if (metadata.request_id.empty()) {
    metrics_.Add(AddToCounter{kDroppedReplies, "no_request_id", 1});
    client_.Cancel(attempt.exchange);
    HandleAttemptEnd(key, ExchangeResult::kBroken,
                     "response without request id on a reused connection");
    return true;
  }
  attempt.metadata = std::move(metadata);
  const std::string* type = FindField(head, "Content-Type");
  constexpr int kOk = 200;
  attempt.is_event_stream = attempt.is_stream && head.status == kOk && type != nullptr &&
                            type->rfind("text/event-stream", 0) == 0;
  if (!attempt.metadata.wrong_upstream) {
    Apply(entry::UpstreamSignalled{attempt.upstream, attempt.sent_at, attempt.metadata.signals,
                                   true});
  }
  // The effects of the event above may have ended the attempt.
  const auto still_active = active_attempts_.find(key);
  if (still_active != active_attempts_.end() && LacksReceipt(still_active->second)) {
    metrics_.Add(AddToCounter{kDroppedReplies, "no_receipt", 1});
    client_.Cancel(still_active->second.exchange);
    HandleAttemptEnd(key, ExchangeResult::kBroken, "stream without a receipt");
  }
  return true;
}

bool EntryRuntime::LacksReceipt(const ActiveAttempt& attempt) const {
  const auto open_request = open_requests_.find(attempt.request);
  return attempt.is_event_stream && !attempt.metadata.has_receipt &&
         open_request != open_requests_.end() && !open_request->second.is_stream_started;
}

bool EntryRuntime::IsLateCallResponse(const ActiveAttempt& attempt,
                                      const ResponseMetadata& metadata) const {
  // Servers put a receipt into responses to requests only.
  return !metadata.has_receipt &&
         attempt.skipped_without_id < client_.CountEarlierCallsWithoutId(attempt.exchange);
}

void EntryRuntime::HandleResponseBody(entry::AttemptKey key, std::string&& bytes) {
  const auto found = active_attempts_.find(key);
  if (found == active_attempts_.end()) {
    return;
  }
  ActiveAttempt& attempt = found->second;
  if (attempt.is_event_stream) {
    const HttpClient::ExchangeKey exchange = attempt.exchange;
    attempt.splitter.Append(bytes);
    HandleStreamEvents(key, attempt);
    // The reducer may have ended the attempt in the meantime.
    const auto still_active = active_attempts_.find(key);
    if (still_active == active_attempts_.end()) {
      return;
    }
    const std::size_t incomplete =
        still_active->second.splitter.incomplete_bytes() + still_active->second.comments.size();
    if (incomplete > internal::kMaxEventBytes) {
      client_.Cancel(exchange);
      HandleAttemptEnd(key, ExchangeResult::kBroken,
                       fmt::format("{}: event too large", kUnboundedResponse));
      return;
    }
    still_active->second.memory.Set(incomplete + still_active->second.events.size());
  } else {
    attempt.body += bytes;
    if (attempt.body.size() > internal::kMaxResponseBytes) {
      client_.Cancel(attempt.exchange);
      HandleAttemptEnd(key, ExchangeResult::kBroken,
                       fmt::format("{}: body too large", kUnboundedResponse));
      return;
    }
    attempt.memory.Set(attempt.body.size());
  }
  LimitResponseMemory();
}

void EntryRuntime::LimitResponseMemory() {
  // Callers that don't read come first, responses of ordinary callers after them, and callers that
  // read slowly last.
  while (response_memory_->is_exceeded() &&
         (CloseMostUnread(0, internal::kMinSilence) || BreakOffLargestResponse() ||
          CloseMostUnread(internal::kSmallResponseBytes, std::chrono::milliseconds{0}))) {
  }
}

bool EntryRuntime::BreakOffLargestResponse() {
  const auto largest = std::max_element(
      active_attempts_.begin(), active_attempts_.end(), [](const auto& left, const auto& right) {
        return left.second.memory.bytes() < right.second.memory.bytes();
      });
  if (largest == active_attempts_.end() ||
      largest->second.memory.bytes() <= internal::kSmallResponseBytes) {
    return false;
  }
  const entry::AttemptKey key = largest->first;
  client_.Cancel(largest->second.exchange);
  HandleAttemptEnd(
      key, ExchangeResult::kBroken,
      fmt::format("{}: {} bytes, and all responses together take {} of {}", kUnboundedResponse,
                  largest->second.memory.bytes(), response_memory_->used, response_memory_->limit));
  return true;
}

void EntryRuntime::HandleStreamEvents(entry::AttemptKey key, ActiveAttempt& attempt) {
  const auto open_request = open_requests_.find(attempt.request);
  if (open_request == open_requests_.end() || attempt.has_missing_event) {
    return;
  }
  std::uint64_t& last_id = open_request->second.last_event_id;
  bool has_new_events = false;
  while (auto event = attempt.splitter.Next()) {
    if (!event->has_data && !event->id) {
      attempt.comments += event->bytes;
      continue;
    }
    const std::uint64_t id = event->id.value_or(last_id + 1);
    if (id <= last_id) {
      metrics_.Add(AddToCounter{kDroppedReplies, "repeated_event", 1});
      continue;
    }
    if (id != last_id + 1) {
      attempt.has_missing_event = true;
      break;
    }
    last_id = id;
    attempt.events += attempt.comments;
    attempt.events += event->bytes;
    attempt.comments.clear();
    has_new_events = true;
  }
  attempt.has_events = attempt.has_events || has_new_events;
  const bool has_missing_event = attempt.has_missing_event;
  const HttpClient::ExchangeKey exchange = attempt.exchange;
  if (has_new_events) {
    Apply(entry::StreamProgressed{key, last_id});
  }
  // The reducer may have ended the attempt in the meantime.
  if (has_missing_event && active_attempts_.count(key) > 0) {
    client_.Cancel(exchange);
    HandleAttemptEnd(key, ExchangeResult::kBroken, "event missing from the stream");
  }
}

void EntryRuntime::HandleAttemptEnd(entry::AttemptKey key,
                                    ExchangeResult result,
                                    const std::string& reason) {
  const auto found = active_attempts_.find(key);
  if (found == active_attempts_.end()) {
    return;
  }
  ActiveAttempt& attempt = found->second;
  if (reason.rfind(kUnboundedResponse, 0) == 0) {
    metrics_.Add(AddToCounter{kDroppedReplies, "endless", 1});
  }
  entry::AttemptEnded ended;
  ended.attempt = key;
  ended.reason = reason;
  ended.status = attempt.head.status;
  ended.is_disconnected = reason.rfind(kDisconnected, 0) == 0;
  switch (result) {
    case ExchangeResult::kUnsent:
    case ExchangeResult::kConnectionRefused:
    case ExchangeResult::kUnreachable:
      ended.result = entry::AttemptResult::kUnsent;
      break;
    case ExchangeResult::kBroken:
      ended.result = entry::AttemptResult::kBroken;
      break;
    case ExchangeResult::kComplete: {
      constexpr int kFirstNonSuccessStatus = 300;
      if (attempt.metadata.wrong_upstream) {
        ended.result = entry::AttemptResult::kWrongUpstream;
      } else if (attempt.metadata.not_executed) {
        ended.result = entry::AttemptResult::kNotExecuted;
      } else if (attempt.is_event_stream) {
        // Without a length or chunks, the end of the connection is the end of the stream, unless it
        // comes inside an event or before the first one.
        ended.ends_with_connection = !attempt.head.has_body_length;
        const bool is_complete = !attempt.splitter.has_incomplete_event() &&
                                 (attempt.head.has_body_length || attempt.has_events);
        ended.result =
            is_complete ? entry::AttemptResult::kStreamFinished : entry::AttemptResult::kBroken;
        ended.reason = is_complete ? "" : "stream truncated";
        ended.is_disconnected = !is_complete && ended.ends_with_connection;
      } else {
        ended.result = entry::AttemptResult::kAnswered;
        ended.relayable = !internal::IsNotExecutedStatus(ended.status) &&
                          (attempt.metadata.has_receipt || ended.status >= kFirstNonSuccessStatus);
      }
      break;
    }
  }
  Apply(std::move(ended));
  // The effects of the event above have relayed the response where it was wanted.
  active_attempts_.erase(key);
}

void EntryRuntime::CancelAttempt(entry::AttemptKey key) {
  const auto found = active_attempts_.find(key);
  if (found != active_attempts_.end()) {
    client_.Cancel(found->second.exchange);
    active_attempts_.erase(found);
  }
}

void EntryRuntime::RelayResponse(const entry::Relay& relay) {
  const auto open_request = open_requests_.find(relay.request);
  const auto attempt = active_attempts_.find(relay.attempt);
  if (open_request == open_requests_.end() || attempt == active_attempts_.end()) {
    return;
  }
  const auto connection = FindConnection(open_request->second.connection);
  CloseRequest(relay.request);
  if (connection == nullptr) {
    return;
  }
  const bool close = state_.is_stopping || connection->must_close();
  std::string body = std::move(attempt->second.body);
  attempt->second.memory.Set(0);
  const std::string head =
      FormatResponseHead(attempt->second.head, BodyFraming::kLength, body.size(), close);
  // A small response goes out in one packet.
  if (body.size() <= internal::kSmallResponseBytes) {
    connection->SendResponse(head + body, close);
  } else {
    connection->SendResponse(head, std::move(body), close);
  }
}

void EntryRuntime::RelayStreamEvents(const entry::RelayEvents& relay) {
  const auto open_request = open_requests_.find(relay.request);
  const auto attempt = active_attempts_.find(relay.attempt);
  if (open_request == open_requests_.end() || attempt == active_attempts_.end() ||
      attempt->second.events.empty()) {
    return;
  }
  const auto connection = FindConnection(open_request->second.connection);
  if (connection == nullptr) {
    return;
  }
  std::string bytes;
  if (!open_request->second.is_stream_started) {
    open_request->second.is_stream_started = true;
    bytes = FormatResponseHead(attempt->second.head, BodyFraming::kChunked, 0,
                               state_.is_stopping || connection->must_close());
  }
  bytes += FormatChunk(attempt->second.events);
  attempt->second.events.clear();
  connection->WriteStream(bytes);
  if (connection->unwritten_bytes() > internal::kMaxUnwrittenBytes &&
      !open_request->second.paused_attempt) {
    open_request->second.paused_attempt = relay.attempt;
    client_.SetReading(attempt->second.exchange, false);
  }
}

void EntryRuntime::FinishStream(const entry::FinishStream& finish) {
  const auto open_request = open_requests_.find(finish.request);
  const auto attempt = active_attempts_.find(finish.attempt);
  if (open_request == open_requests_.end()) {
    return;
  }
  const auto connection = FindConnection(open_request->second.connection);
  const bool is_started = open_request->second.is_stream_started;
  CloseRequest(finish.request);
  if (connection == nullptr || attempt == active_attempts_.end()) {
    return;
  }
  const bool close = state_.is_stopping || connection->must_close();
  std::string bytes;
  if (!is_started) {
    bytes = FormatResponseHead(attempt->second.head, BodyFraming::kChunked, 0, close);
  }
  bytes += kLastChunk;
  connection->FinishStreamBody(bytes, close);
}

void EntryRuntime::RefuseRequest(const entry::Refuse& refuse) {
  const auto open_request = open_requests_.find(refuse.request);
  if (open_request == open_requests_.end()) {
    return;
  }
  const auto connection = FindConnection(open_request->second.connection);
  const bool is_started = open_request->second.is_stream_started;
  CloseRequest(refuse.request);
  if (connection == nullptr) {
    return;
  }
  last_refusal_ = Refusal{connection->peer_address(), refuse.status, std::string(refuse.reason)};
  if (is_started) {
    connection->Abort();
    return;
  }
  std::string fields;
  if (refuse.retry_after) {
    fields = fmt::format("Retry-After: {:.3f}\r\n",
                         std::chrono::duration<double>(*refuse.retry_after).count());
  }
  const bool close = state_.is_stopping || connection->must_close();
  connection->SendResponse(
      FormatResponse(refuse.status, "application/problem+json",
                     fmt::format(R"({{"reason":"{}","outcome":"{}"}})", refuse.reason,
                                 internal::OutcomeName(refuse.status)),
                     fields, close),
      close);
}

void EntryRuntime::AbortResponse(entry::RequestKey key) {
  const auto open_request = open_requests_.find(key);
  if (open_request == open_requests_.end()) {
    return;
  }
  const auto connection = FindConnection(open_request->second.connection);
  CloseRequest(key);
  if (connection != nullptr) {
    connection->Abort();
  }
}

}  // namespace snipeturn::loop
