#include "snipeturn/transport/peer_codec.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <limits>
#include <utility>
#include <vector>

#include "snipeturn/base/digest.h"
#include "snipeturn/base/work_class.h"
#include "snipeturn/transport/json_text.h"

namespace snipeturn {
namespace internal {
namespace {

constexpr std::chrono::milliseconds kMaxAge = std::chrono::hours{24 * 3650};
constexpr std::array<std::string_view, 4> kKnowledge{"none", "pending", "dispatched", "finished"};

/// Writes each member that Describe names.
class MemberWriter {
 public:
  template <typename Value>
  using Ref = const Value&;

  void Field(const char* name, std::uint64_t value) { object_[name] = Json::UInt64{value}; }
  void Field(const char* name, int value) { object_[name] = value; }
  void Field(const char* name, bool value) { object_[name] = value; }
  void Field(const char* name, const std::string& value) { object_[name] = value; }
  void Field(const char* name, const Json::Value& value) { object_[name] = value; }
  void Field(const char* name, std::chrono::milliseconds value) {
    const auto age = std::clamp(value, std::chrono::milliseconds{0}, kMaxAge);
    object_[name] = Json::Int64{age.count()};
  }
  void Field(const char* name, ClaimKnowledge value) {
    object_[name] = std::string(kKnowledge.at(static_cast<std::size_t>(value)));
  }
  void ClassField(const char* name, std::uint8_t value) { object_[name] = value; }
  void Field(const char* name, const std::vector<int>& values) {
    object_[name] = Json::arrayValue;
    for (const int value : values) {
      object_[name].append(value);
    }
  }
  template <typename Item>
  void Field(const char* name, const std::vector<Item>& items);

  [[nodiscard]] Json::Value TakeObject() noexcept { return std::move(object_); }

 private:
  Json::Value object_{Json::objectValue};
};

/// Reads each member that Describe names and notes the first fault.
class MemberReader {
 public:
  template <typename Value>
  using Ref = Value&;

  MemberReader(const Json::Value& object, std::string& reason) : object_(object), reason_(reason) {
    if (!object_.isObject()) {
      Fail("the message is not an object");
    }
  }

  void Field(const char* name, std::uint64_t& value) {
    const Json::Value* member = Member(name);
    if (Require(member, member != nullptr && member->isUInt64(), name)) {
      value = member->asUInt64();
    }
  }
  void Field(const char* name, int& value) {
    const Json::Value* member = Member(name);
    if (Require(member, member != nullptr && member->isInt(), name)) {
      value = member->asInt();
    }
  }
  void Field(const char* name, bool& value) {
    const Json::Value* member = Member(name);
    if (Require(member, member != nullptr && member->isBool(), name)) {
      value = member->asBool();
    }
  }
  void Field(const char* name, std::string& value) {
    const Json::Value* member = Member(name);
    if (Require(member, member != nullptr && member->isString(), name)) {
      value = member->asString();
    }
  }
  void Field(const char* name, Json::Value& value) {
    const Json::Value* member = Member(name);
    if (Require(member, member != nullptr && member->isObject(), name)) {
      value = *member;
    }
  }
  void Field(const char* name, std::chrono::milliseconds& value) {
    const Json::Value* member = Member(name);
    const bool valid = member != nullptr && member->isInt64() && member->asInt64() >= 0 &&
                       member->asInt64() <= kMaxAge.count();
    if (Require(member, valid, name)) {
      value = std::chrono::milliseconds{member->asInt64()};
    }
  }
  void Field(const char* name, ClaimKnowledge& value) {
    std::string text;
    Field(name, text);
    const auto* const found = std::find(kKnowledge.begin(), kKnowledge.end(), text);
    if (found == kKnowledge.end()) {
      Fail(std::string("member '") + name + "' has an unknown value");
    } else {
      value = static_cast<ClaimKnowledge>(found - kKnowledge.begin());
    }
  }
  void ClassField(const char* name, std::uint8_t& value) {
    int number = 0;
    Field(name, number);
    if (number < 0 || number > static_cast<int>(WorkClass::kShort)) {
      Fail(std::string("member '") + name + "' has an unknown value");
    } else {
      value = static_cast<std::uint8_t>(number);
    }
  }
  void Field(const char* name, std::vector<int>& values) {
    const Json::Value* member = Member(name);
    if (!Require(member, member != nullptr && member->isArray(), name)) {
      return;
    }
    for (const Json::Value& item : *member) {
      if (!Require(member, item.isInt(), name)) {
        return;
      }
      values.push_back(item.asInt());
    }
  }
  template <typename Item>
  void Field(const char* name, std::vector<Item>& items);

  /// Tells whether all members were read and no other is there.
  [[nodiscard]] bool Finish() {
    if (reason_.empty() && object_.size() != read_) {
      for (const std::string& name : object_.getMemberNames()) {
        if (std::find(names_.begin(), names_.end(), name) == names_.end()) {
          Fail("unknown member '" + name + "'");
        }
      }
    }
    return reason_.empty();
  }

 private:
  const Json::Value* Member(const char* name) {
    names_.emplace_back(name);
    if (!object_.isObject() || !object_.isMember(name)) {
      return nullptr;
    }
    ++read_;
    return &object_[name];
  }

  bool Require(const Json::Value* member, bool valid, const char* name) {
    if (member == nullptr) {
      Fail(std::string("member '") + name + "' is missing");
    } else if (!valid) {
      Fail(std::string("member '") + name + "' has a wrong type or range");
    }
    return member != nullptr && valid;
  }

  void Fail(const std::string& reason) {
    if (reason_.empty()) {
      reason_ = reason;
    }
  }

  const Json::Value& object_;
  std::string& reason_;
  std::vector<std::string> names_;
  Json::ArrayIndex read_{0};
};

// Describe names the members of each type once, for reading and for writing.

template <typename Archive>
void Describe(Archive& archive, typename Archive::template Ref<UpstreamGossip> gossip) {
  archive.Field("upstream", gossip.upstream);
  archive.Field("incarnation", gossip.incarnation);
  archive.Field("cold_generation", gossip.cold_generation);
  archive.Field("level", gossip.level);
  archive.Field("evidence_age_ms", gossip.warm_evidence_age);
  archive.Field("aged_holds", gossip.long_running_slots);
  archive.Field("excess_holds", gossip.used_slots_over_limit);
}

template <typename Archive>
void Describe(Archive& archive, typename Archive::template Ref<Heartbeat> message) {
  archive.Field("sequence", message.sequence);
  archive.Field("echo", message.echo);
  archive.Field("epoch", message.epoch);
  archive.Field("log_read_age_ms", message.log_read_age);
  archive.Field("settings_offset", message.settings_offset);
  archive.Field("draining", message.draining);
  archive.Field("upstreams", message.upstreams);
}

template <typename Archive>
void Describe(Archive& archive, typename Archive::template Ref<UpstreamSuspected> message) {
  archive.Field("upstream", message.upstream);
  archive.Field("incarnation", message.incarnation);
  archive.Field("cold_generation", message.cold_generation);
}

template <typename Archive, typename Message>
void DescribeSlots(Archive& archive, Message& message) {
  archive.Field("epoch", message.epoch);
  archive.Field("upstream", message.upstream);
  archive.Field("slots", message.slots);
}

template <typename Archive>
void Describe(Archive& archive, typename Archive::template Ref<SlotReleaseRequest> message) {
  DescribeSlots(archive, message);
}

template <typename Archive>
void Describe(Archive& archive, typename Archive::template Ref<SlotsReleased> message) {
  DescribeSlots(archive, message);
}

template <typename Archive>
void Describe(Archive& archive, typename Archive::template Ref<LoanRequest> message) {
  archive.Field("loan", message.loan);
  archive.Field("upstream", message.upstream);
  archive.ClassField("work_class", message.work_class);
}

template <typename Archive>
void Describe(Archive& archive, typename Archive::template Ref<LoanReply> message) {
  archive.Field("loan", message.loan);
  archive.Field("upstream", message.upstream);
  archive.Field("slot", message.slot);
  archive.Field("upstream_incarnation", message.upstream_incarnation);
}

template <typename Archive>
void Describe(Archive& archive, typename Archive::template Ref<LoanCheck> message) {
  archive.Field("loan", message.loan);
  archive.Field("upstream", message.upstream);
}

template <typename Archive>
void Describe(Archive& archive, typename Archive::template Ref<LoanReturned> message) {
  archive.Field("loan", message.loan);
  archive.Field("upstream", message.upstream);
}

template <typename Archive>
void Describe(Archive& archive, typename Archive::template Ref<SettingsRequest> message) {
  archive.Field("have", message.applied_offset);
}

template <typename Archive>
void Describe(Archive& archive, typename Archive::template Ref<SettingsCopy> message) {
  archive.Field("snapshot", message.snapshot);
}

template <typename Archive>
void Describe(Archive& archive, typename Archive::template Ref<ClaimQuery> message) {
  archive.Field("query", message.query);
  archive.Field("key_digest", message.key_digest);
}

template <typename Archive>
void Describe(Archive& archive, typename Archive::template Ref<ClaimAnswer> message) {
  archive.Field("query", message.query);
  archive.Field("key_digest", message.key_digest);
  archive.Field("knowledge", message.knowledge);
}

template <typename Item>
void MemberWriter::Field(const char* name, const std::vector<Item>& items) {
  object_[name] = Json::arrayValue;
  for (const Item& item : items) {
    MemberWriter writer;
    Describe(writer, item);
    object_[name].append(writer.TakeObject());
  }
}

template <typename Item>
void MemberReader::Field(const char* name, std::vector<Item>& items) {
  const Json::Value* member = Member(name);
  if (!Require(member, member != nullptr && member->isArray(), name)) {
    return;
  }
  for (const Json::Value& element : *member) {
    MemberReader reader(element, reason_);
    Describe(reader, items.emplace_back());
    if (!reader.Finish()) {
      return;
    }
  }
}

template <std::size_t kIndex = 0>
std::optional<PeerMessage> DecodeAs(std::size_t index,
                                    const Json::Value& value,
                                    std::string& reason) {
  if constexpr (kIndex < std::variant_size_v<PeerMessage>) {
    if (index != kIndex) {
      return DecodeAs<kIndex + 1>(index, value, reason);
    }
    std::variant_alternative_t<kIndex, PeerMessage> message;
    MemberReader reader(value, reason);
    Describe(reader, message);
    if (reader.Finish()) {
      return PeerMessage{std::move(message)};
    }
  }
  return std::nullopt;
}

/// The signed text: who sends what to whom.
struct SignedText {
  std::string method;
  std::string sender;
  Incarnation incarnation{0};
  std::string receiver;
  Json::Value message;
};

template <typename Archive>
void Describe(Archive& archive, typename Archive::template Ref<SignedText> text) {
  archive.Field("method", text.method);
  archive.Field("sender", text.sender);
  archive.Field("incarnation", text.incarnation);
  archive.Field("receiver", text.receiver);
  archive.Field("message", text.message);
}

/// What is sent: the signed text as a string, with its code.
struct Envelope {
  std::string signed_text;
  std::string code;
};

template <typename Archive>
void Describe(Archive& archive, typename Archive::template Ref<Envelope> envelope) {
  archive.Field("signed", envelope.signed_text);
  archive.Field("code", envelope.code);
}

template <typename Value>
std::optional<Value> ParseAs(std::string_view text, std::string& reason) {
  reason.clear();
  const auto json = ParseJson(text, reason);
  if (!json) {
    return std::nullopt;
  }
  Value value;
  MemberReader reader(*json, reason);
  Describe(reader, value);
  return reader.Finish() ? std::make_optional(std::move(value)) : std::nullopt;
}

template <typename Value>
Json::Value Write(const Value& value) {
  MemberWriter writer;
  Describe(writer, value);
  return writer.TakeObject();
}

}  // namespace
}  // namespace internal

std::string_view PeerMethod(const PeerMessage& message) noexcept {
  return kPeerMethods[message.index()];
}

Json::Value EncodePeerMessage(const PeerMessage& message) {
  return std::visit([](const auto& alternative) { return internal::Write(alternative); }, message);
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view method,
                                             const Json::Value& value,
                                             std::string& last_reason) {
  last_reason.clear();
  const auto* const found = std::find(kPeerMethods.begin(), kPeerMethods.end(), method);
  if (found == kPeerMethods.end()) {
    last_reason = "unknown method";
    return std::nullopt;
  }
  return internal::DecodeAs(static_cast<std::size_t>(found - kPeerMethods.begin()), value,
                            last_reason);
}

std::string_view ToString(SealReason reason) noexcept {
  switch (reason) {
    case SealReason::kNone:
      return "none";
    case SealReason::kMalformed:
      return "malformed";
    case SealReason::kForged:
      return "forged";
    case SealReason::kMisdirected:
      return "misdirected";
  }
  return "";
}

std::string SealPeerMessage(const HostId& from,
                            const HostName& to,
                            const PeerMessage& message,
                            std::string_view key) {
  internal::SignedText text{std::string(PeerMethod(message)), from.name, from.incarnation, to,
                            EncodePeerMessage(message)};
  internal::Envelope envelope;
  envelope.signed_text = WriteJson(internal::Write(text));
  envelope.code = Base64UrlEncode(HmacSha256(key, envelope.signed_text));
  return WriteJson(internal::Write(envelope));
}

std::optional<OpenedMessage> OpenPeerMessage(std::string_view method,
                                             std::string_view params,
                                             const HostName& self,
                                             std::string_view key,
                                             SealReason& last_reason,
                                             std::string& detail) {
  last_reason = SealReason::kMalformed;
  const auto envelope = internal::ParseAs<internal::Envelope>(params, detail);
  if (!envelope) {
    return std::nullopt;
  }
  const auto code = Base64UrlDecode(envelope->code);
  if (!code || !EqualInConstantTime(*code, HmacSha256(key, envelope->signed_text))) {
    last_reason = SealReason::kForged;
    detail = "the code does not match";
    return std::nullopt;
  }
  const auto text = internal::ParseAs<internal::SignedText>(envelope->signed_text, detail);
  if (!text) {
    return std::nullopt;
  }
  if (text->method != method || text->receiver != self) {
    last_reason = SealReason::kMisdirected;
    detail = "the message is for " + text->method + " of host " + text->receiver;
    return std::nullopt;
  }
  auto message = DecodePeerMessage(method, text->message, detail);
  if (!message) {
    return std::nullopt;
  }
  last_reason = SealReason::kNone;
  return OpenedMessage{HostId{text->sender, text->incarnation}, std::move(*message)};
}

}  // namespace snipeturn
