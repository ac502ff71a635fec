#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "snipeturn/backpressure/signals.h"
#include "snipeturn/base/host.h"
#include "snipeturn/entry/effect.h"
#include "snipeturn/entry/event.h"
#include "snipeturn/loop/http_head.h"

namespace snipeturn::loop {

/// A caller's request in the terms of the entry path, or the reason why it was rejected.
struct DecodedRequest {
  std::optional<entry::RequestHead> head;
  /// Reason code when there is no head; callers rely on it.
  std::string_view reason;
};

/// What the head of an upstream's response says about the request.
struct ResponseMetadata {
  /// Id of the request that it answers; empty when the response names none.
  std::string request_id;
  bool not_executed{false};
  /// The address belongs to another upstream now.
  bool wrong_upstream{false};
  /// The response carries the upstream's receipt: it was written by the upstream itself.
  bool has_receipt{false};
  backpressure::Signals signals;
};

/// Functions that encode and decode messages in the platform's formats; `platform/` supplies them.
struct WireCodec {
  DecodedRequest (*decode_request)(const HttpHead& head);
  /// Encodes a caller's request for an upstream.
  std::string (*encode_request)(const HttpHead& head,
                                std::string_view body,
                                const entry::Send& send);
  ResponseMetadata (*decode_response)(const HttpHead& head);
  /// Encodes the call that copies a generation; `request_id` is the caller's id of the request.
  std::string (*encode_copy_request)(const entry::StartCopy& copy, std::string_view request_id);
  entry::CopyEnded (*decode_copy_response)(int status, std::string_view body);
  std::string (*encode_drop_copy_request)(const entry::DropCopy& drop);
  std::string (*encode_report_request)(const entry::ReadReport& call);
  /// Returns nothing when the report can't be decoded.
  std::optional<entry::UpstreamReported> (*decode_report_response)(int status,
                                                                   std::string_view body);
  bool (*is_readiness_check)(const HttpHead& head);
};

}  // namespace snipeturn::loop
