#include "platform/entry_wire_codec.h"

#include <catch2/catch.hpp>

#include "snipeturn/backpressure/pause.h"

namespace snipeturn::platform {
namespace {

using loop::HttpHead;

class WireCodecFixture {
 public:
  WireCodecFixture() {
    head.method = "POST";
    head.target = "/x/2f?page=3";
    head.has_body_length = true;
    head.fields = {{"Host", "a.example:80"},
                   {"Request-Id", "9c41"},
                   {"Model", "m"},
                   {"Token-Counts", "1460,80"},
                   {"Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"},
                   {"Length-Hint", "55"},
                   {"Deadline-Ms", "39000"},
                   {"Api-Key", "secret"}};
    send.upstream = "i-7f";
    send.organisation = "huka";
    send.time_left = std::chrono::milliseconds(38000);
  }

  std::string Encode() const { return codec.encode_request(head, "body", send); }

  const loop::WireCodec& codec = EntryWireCodec();
  HttpHead head;
  entry::Send send;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE_METHOD(WireCodecFixture, "request_valid_decoded", "[platform]") {
  const loop::DecodedRequest decoded = codec.decode_request(head);
  REQUIRE(decoded.head);
  CHECK(decoded.head->host == "a.example");
  CHECK(decoded.head->prompt_tokens == 1460);
  CHECK(decoded.head->max_output_tokens == 80);
  CHECK(decoded.head->expected_output_tokens == 55);
  CHECK(decoded.head->time_limit == std::chrono::milliseconds(39000));
  CHECK(decoded.head->shared_prefix == "5c1e07a2");
  CHECK(decoded.head->key == "secret");
}

// Guards against a caller who gets 404 since its client writes the host name in capitals, in which
// it is the same (RFC 9110, section 4.2.3).
TEST_CASE_METHOD(WireCodecFixture, "requestHost_capitals_lowerCase", "[platform]") {
  head.fields[0].value = "A.Example:80";
  const loop::DecodedRequest decoded = codec.decode_request(head);
  REQUIRE(decoded.head);
  CHECK(decoded.head->host == "a.example");
}

// Guards against a prompt part that is identified differently on two hosts or in two requests.
TEST_CASE_METHOD(WireCodecFixture, "promptParts_anySyntax_decodedInOrder", "[platform]") {
  const auto parts_of = [this](const std::string& text) {
    for (loop::HeaderField& field : head.fields) {
      if (field.name == "Prompt-Prefix") {
        field.value = text;
      }
    }
    return codec.decode_request(head).head->prompt_parts;
  };
  const auto parts = parts_of("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  REQUIRE(parts.size() == 3);
  CHECK(parts_of("91bd3f06:7") == std::vector{parts[1]});
  CHECK(parts_of(" 5c1e07a2 , 91bd3f06:1") == std::vector{parts[0], parts[1]});
  CHECK(parts_of(",,:5").empty());
  CHECK(parts_of("").empty());
}

// Guards against a harmful part that is never found as it stands behind others, or in the second of
// two fields.
TEST_CASE_METHOD(WireCodecFixture, "promptParts_longList_allDecoded", "[platform]") {
  constexpr std::size_t kParts = 5000;
  std::string text;
  for (std::size_t number = 0; number < kParts; ++number) {
    text += std::to_string(number) + ":1,";
  }
  head.fields.erase(std::remove_if(head.fields.begin(), head.fields.end(),
                                   [](const auto& field) { return field.name == "Prompt-Prefix"; }),
                    head.fields.end());
  SECTION("one field") {
    head.fields.push_back({"Prompt-Prefix", text});
  }
  SECTION("two fields") {
    const std::size_t half = text.find(',', text.size() / 2) + 1;
    head.fields.push_back({"Prompt-Prefix", text.substr(0, half - 1)});
    head.fields.push_back({"prompt-prefix", "\t" + text.substr(half)});
  }
  const auto parts = codec.decode_request(head).head->prompt_parts;
  CHECK(parts.size() == kParts);
  CHECK(parts.front() == quarantine::HashPart("0"));
  CHECK(parts.back() == quarantine::HashPart(std::to_string(kParts - 1)));
  // The head bounds the memory: no part takes more than the shortest entry and its number.
  CHECK(parts.size() * sizeof(parts[0]) <= 2 * text.size());
}

// Guards against request smuggling: two parsers may interpret such requests differently.
TEST_CASE_METHOD(WireCodecFixture, "request_ambiguous_rejected", "[platform]") {
  SECTION("no id") {
    head.fields.erase(head.fields.begin() + 1);
  }
  SECTION("two ids") {
    head.fields.push_back({"request-id", "other"});
  }
  SECTION("no host") {
    head.fields.erase(head.fields.begin());
  }
  SECTION("two hosts") {
    head.fields.push_back({"Host", "b.example"});
  }
  SECTION("other transfer encoding") {
    head.fields.push_back({"Transfer-Encoding", "gzip, chunked"});
  }
  SECTION("target in absolute form") {
    head.target = "http://a.example/x/";
  }
  CHECK_FALSE(codec.decode_request(head).head);
  CHECK_FALSE(codec.decode_request(head).reason.empty());
}

// Guards against a caller that forges fields which only this system may set.
TEST_CASE_METHOD(WireCodecFixture, "request_reservedFieldsOfCaller_replaced", "[platform]") {
  for (const char* name :
       {"Tenant", "Hold", "Pin-Ms", "Kv-From", "Kv-Backup", "kv-fetch", "Expect-Instance",
        "Expect-Version", "Request-Priority", "Last-Event-Id"}) {
    head.fields.push_back({name, "forged"});
  }
  const std::string bytes = Encode();
  CHECK_FALSE(Contains(bytes, "forged"));
  CHECK_FALSE(Contains(bytes, "secret"));
  CHECK(Contains(bytes, "Tenant: huka\r\n"));
  CHECK(Contains(bytes, "Expect-Instance: i-7f\r\n"));
  CHECK(Contains(bytes, "Deadline-Ms: 38000\r\n"));
}

TEST_CASE_METHOD(WireCodecFixture,
                 "request_encoded_methodPathFieldsAndBodyUnchanged",
                 "[platform]") {
  head.fields.push_back({"Connection", "keep-alive, X-Hop"});
  head.fields.push_back({"X-Hop", "1"});
  head.fields.push_back({"X-End", "2"});
  const std::string bytes = Encode();
  CHECK(bytes.rfind("POST /x/2f?page=3 HTTP/1.1\r\n", 0) == 0);
  CHECK(Contains(bytes, "Request-Id: 9c41\r\n"));
  CHECK(Contains(bytes, "Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\n"));
  CHECK(Contains(bytes, "X-End: 2\r\n"));
  CHECK_FALSE(Contains(bytes, "X-Hop"));
  CHECK(Contains(bytes, "Content-Length: 4\r\n"));
  CHECK(bytes.substr(bytes.size() - 8) == "\r\n\r\nbody");
}

TEST_CASE_METHOD(WireCodecFixture, "request_resumed_carriesCopyAndLastEvent", "[platform]") {
  send.resume = entry::Resume{{"10.0.0.9", 8080}, "h-3", 17};
  CHECK(Contains(Encode(), "Kv-From: 10.0.0.9:8080/h-3\r\nLast-Event-Id: 17\r\n"));
}

// Guards against a caller's position that isn't forwarded, and one of which only a leading number
// is parsed.
TEST_CASE_METHOD(WireCodecFixture, "request_position_decodedOnlyIfWholeNumber", "[platform]") {
  CHECK_FALSE(codec.decode_request(head).head->position);
  CHECK_FALSE(codec.decode_request(head).head->has_bad_position);
  head.fields.push_back({"Last-Event-Id", "17"});
  CHECK(codec.decode_request(head).head->position == 17U);
  send.position = 17;
  CHECK(Contains(Encode(), "Last-Event-Id: 17\r\n"));
  for (const char* text : {"", "x", "17x", "-1", "1.5", "99999999999999999999"}) {
    head.fields.back().value = text;
    CHECK(codec.decode_request(head).head->has_bad_position);
  }
  head.fields.back().value = "17";
  head.fields.push_back({"last-event-id", "17"});
  CHECK(codec.decode_request(head).head->has_bad_position);
}

TEST_CASE_METHOD(WireCodecFixture, "response_metadata_decoded", "[platform]") {
  HttpHead response;
  response.status = 503;
  response.fields = {{"Request-Id", "9c41"}, {"Not-Executed", "1"}};
  const loop::ResponseMetadata metadata = codec.decode_response(response);
  CHECK(metadata.request_id == "9c41");
  CHECK(metadata.not_executed);
  CHECK_FALSE(metadata.has_receipt);
  response.fields = {{"Response-Stamp", "3e"}};
  CHECK(codec.decode_response(response).has_receipt);
}

// Guards against a limit that is taken for another one, or for none, because of its syntax.
TEST_CASE_METHOD(WireCodecFixture, "statedLimit_anySyntax_decodedOrUnreadable", "[platform]") {
  HttpHead response;
  response.status = 200;
  CHECK_FALSE(codec.decode_response(response).signals.requests_per_second);
  CHECK_FALSE(codec.decode_response(response).signals.unreadable);
  response.fields = {{"server-limit", ""}};
  const auto signals_of = [&](const std::string& text) {
    response.fields.back().value = text;
    return codec.decode_response(response).signals;
  };
  CHECK(signals_of("2.5").requests_per_second == 2.5);
  CHECK(signals_of("0").requests_per_second == 0.0);
  CHECK(signals_of("40").requests_per_second == 40.0);
  for (const char* text : {"", "x", "2.5x", "-1", "-0", "inf", "nan", "1e3", "2,5", "0x1"}) {
    CAPTURE(text);
    CHECK_FALSE(signals_of(text).requests_per_second);
    CHECK(signals_of(text).unreadable == backpressure::SignalKind::kLimit);
  }
}

// Guards against a pause or a notice that is missed, or taken from where none is meant.
TEST_CASE_METHOD(WireCodecFixture, "statedPauseAndLeaving_anySyntax_decoded", "[platform]") {
  using backpressure::SignalKind;
  HttpHead response;
  response.status = 503;
  response.fields = {{"Retry-After", ""}};
  const auto signals_of = [&](const std::string& text) {
    response.fields.back().value = text;
    return codec.decode_response(response).signals;
  };
  CHECK(signals_of("2").pause == std::chrono::seconds(2));
  CHECK(signals_of("0.25").pause == std::chrono::milliseconds(250));
  CHECK(signals_of("0").pause == std::chrono::milliseconds(0));
  CHECK(signals_of("999999999999").pause == backpressure::kMaxPause);
  for (const char* text : {"", "-1", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "1 s"}) {
    CAPTURE(text);
    CHECK_FALSE(signals_of(text).pause);
    CHECK(signals_of(text).unreadable == SignalKind::kPause);
  }
  response.status = 429;
  CHECK_FALSE(signals_of("2").pause);
  response.fields = {{"server-leaving", ""}};
  CHECK(signals_of("1").is_leaving);
  CHECK_FALSE(signals_of("0").is_leaving);
  CHECK_FALSE(signals_of("0").unreadable);
  CHECK_FALSE(signals_of("yes").is_leaving);
  CHECK(signals_of("yes").unreadable == SignalKind::kLeaving);
}

// Guards against an absurd statement that is taken for a load, which would move requests elsewhere.
TEST_CASE_METHOD(WireCodecFixture, "statedLoad_anySyntax_decodedOrUnreadable", "[platform]") {
  HttpHead response;
  response.status = 200;
  response.fields = {{"server-load", ""}};
  const auto signals_of = [&](const std::string& text) {
    response.fields.back().value = text;
    return codec.decode_response(response).signals;
  };
  const auto usual = signals_of("3,0,24").load;
  REQUIRE(usual);
  CHECK(usual->running == 3);
  CHECK(usual->slots == 24);
  CHECK_FALSE(usual->work_time);
  const auto slow = signals_of("24, 7, 24, 250").load;
  REQUIRE(slow);
  CHECK(slow->waiting == 7);
  CHECK(slow->work_time == 2.5);
  CHECK_FALSE(signals_of("1,2,3,62.5").unreadable);
  for (const char* text : {"", "3", "3,0", "3,0,24,", "-1,0,24", "3,0,24,0", "3,0,24,-250",
                           "3,0,24,nan", "3,0,x", "3,0,24,100,5", "3,0,99999999999999999999",
                           "2000000,0,24", "3,0,24,1e9", "3,0,24,999999"}) {
    CAPTURE(text);
    CHECK_FALSE(signals_of(text).load);
    CHECK(signals_of(text).unreadable == backpressure::SignalKind::kLoad);
  }
}

TEST_CASE_METHOD(WireCodecFixture, "copyResponse_status_mapped", "[platform]") {
  using entry::CopyStatus;
  const auto copied = codec.decode_copy_response(200, R"({"handle":"h-1","created_rev":12})");
  CHECK(copied.status == CopyStatus::kCopied);
  CHECK(copied.handle == "h-1");
  CHECK(copied.events == 12);
  CHECK(codec.decode_copy_response(404, "").status == CopyStatus::kUnknownRun);
  CHECK(codec.decode_copy_response(409, "").status == CopyStatus::kBusy);
  const auto refused = codec.decode_copy_response(503, R"({"handle":"h-2"})");
  CHECK(refused.status == CopyStatus::kNoRoom);
  CHECK(refused.handle == "h-2");
  CHECK(codec.decode_copy_response(200, "{").status == CopyStatus::kNoAnswer);
  CHECK(codec.decode_copy_response(500, "").status == CopyStatus::kNoAnswer);
}

TEST_CASE_METHOD(WireCodecFixture, "report_leavingEngine_recognised", "[platform]") {
  const auto report =
      codec.decode_report_response(200, R"({"born":7,"state":"draining","runs":[]})");
  REQUIRE(report);
  CHECK(report->leaving);
  CHECK(report->start_time_ms == 7);
  CHECK(codec.decode_report_response(200, R"({"leaves_ms":900})")->leaving);
  CHECK_FALSE(codec.decode_report_response(200, R"({"state":"ready"})")->leaving);
  CHECK_FALSE(codec.decode_report_response(200, "["));
  CHECK_FALSE(codec.decode_report_response(503, "{}"));
}

}  // namespace
}  // namespace snipeturn::platform
