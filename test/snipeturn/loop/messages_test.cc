#include <unistd.h>

#include <catch2/catch.hpp>

#include "snipeturn/entry/catalogue.h"
#include "snipeturn/loop/event_splitter.h"
#include "snipeturn/loop/http_head.h"
#include "snipeturn/loop/log_writer.h"
#include "snipeturn/loop/peer_socket.h"
#include "snipeturn/runtime/log_line.h"

namespace snipeturn::loop {
namespace {

// Guards against a partial event that reaches a caller.
TEST_CASE("splitter_bytesInPieces_returnsCompleteEventsOnly", "[loop]") {
  EventSplitter splitter;
  const std::string text = "id: 7\ndata: a\n\nid: 8\r\ndata: b\r\n\r\nid: 9\ndata";
  std::vector<StreamEvent> events;
  for (const char byte : text) {
    splitter.Append(std::string_view(&byte, 1));
    while (auto event = splitter.Next()) {
      events.push_back(*event);
    }
  }
  REQUIRE(events.size() == 2);
  CHECK(events[0].bytes == "id: 7\ndata: a\n\n");
  CHECK(events[0].id == 7);
  CHECK(events[1].id == 8);
  CHECK(splitter.has_incomplete_event());
}

// Guards against quadratic time: a long event that is searched from its start after each read.
TEST_CASE("splitter_endlessEvent_searchedOnce", "[loop]") {
  EventSplitter splitter;
  const std::string piece(64, 'x');
  const auto begin = std::chrono::steady_clock::now();
  constexpr std::size_t kPieces = 40000;
  for (std::size_t count = 0; count < kPieces; ++count) {
    splitter.Append(piece);
    REQUIRE_FALSE(splitter.Next());
  }
  CHECK(splitter.incomplete_bytes() == kPieces * piece.size());
  // A search from the start after each piece scans some 50 GB.
  CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(2));
  splitter.Append("\r");
  CHECK_FALSE(splitter.Next());
  splitter.Append("\n\r");
  CHECK_FALSE(splitter.Next());
  splitter.Append("\n");
  CHECK(splitter.Next());
  CHECK_FALSE(splitter.has_incomplete_event());
}

// Guards against time that grows with the square of the bytes read: line ends, and events that end
// otherwise than the line ends that are searched first, stopped the whole loop (review/1).
TEST_CASE("splitter_manyLineEnds_linearTime", "[loop]") {
  const std::string lines = GENERATE("\r\n", "\n", "\r\n\r\nx\r\n\r\n", "a\n\n", "a\n\r\n", "\r");
  std::string piece;
  while (piece.size() < 65536) {
    piece += lines;
  }
  EventSplitter splitter;
  std::size_t bytes = 0;
  const auto begin = std::chrono::steady_clock::now();
  constexpr std::size_t kPieces = 32;
  for (std::size_t count = 0; count < kPieces; ++count) {
    splitter.Append(piece);
    while (const auto event = splitter.Next()) {
      bytes += event->bytes.size();
    }
  }
  CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(2));
  CHECK(bytes + splitter.incomplete_bytes() == kPieces * piece.size());
}

// Guards against a comment that takes the number of the event after it.
TEST_CASE("splitter_blockWithoutData_noEvent", "[loop]") {
  const std::string block =
      GENERATE(": ping\n\n", ":\r\n\r\n", "retry: 5\n\n", "event: x\n\n", "database: 1\n\n");
  EventSplitter splitter;
  splitter.Append(block + "data: a\n\n" + "data\n\n" + "event: x\r\ndata:b\r\n\r\n");
  CHECK_FALSE(splitter.Next().value().has_data);
  for (int event = 0; event < 3; ++event) {
    CHECK(splitter.Next().value().has_data);
  }
  CHECK_FALSE(splitter.Next());
}

// Guards against blank lines that count as events: each would shift the number of those after it.
TEST_CASE("splitter_blankLines_noEvents", "[loop]") {
  EventSplitter splitter;
  splitter.Append("\r\n\n\r\n\r\n");
  CHECK_FALSE(splitter.Next());
  CHECK_FALSE(splitter.has_incomplete_event());
  CHECK(splitter.incomplete_bytes() == 7);
  splitter.Append("id: 1\r\n\n\n\n");
  const auto event = splitter.Next();
  REQUIRE(event);
  CHECK(event->id == 1);
  CHECK_FALSE(splitter.Next());
  CHECK_FALSE(splitter.has_incomplete_event());
  splitter.Append("\r");
  CHECK_FALSE(splitter.Next());
  CHECK(splitter.has_incomplete_event());
}

TEST_CASE("peerLoad_roundTrip_preserved", "[loop]") {
  entry::PeerLoadReceived load;
  load.host = "host-1";
  load.zone = "zone-a";
  load.is_stopping = true;
  load.last_update = 7;
  load.configuration_position = {2, 33};
  load.configuration_version = 5;
  load.list_age = std::chrono::milliseconds(120);
  load.load["engine-1"] = {3, 9000, 2000};
  load.outcomes["engine-1"].failures = 2.5;
  load.outcomes["engine-1"].responses = 12;
  entry::UpstreamListed listed;
  listed.position = {2, 12};
  listed.entry.id = "engine-1";
  listed.entry.service = "engines";
  listed.entry.endpoint = {"10.0.0.1", 80};
  listed.entry.leaving = true;
  listed.entry.start_time_ms = 1790101750402;
  load.recent_updates = {{6, listed}, {7, entry::UpstreamUnlisted{"engine-2", {1, 13}}}};
  const bool may_have_expired = GENERATE(true, false);
  std::get<entry::UpstreamUnlisted>(load.recent_updates[1].notice).may_have_expired =
      may_have_expired;
  const auto message = DecodePeerMessage(EncodeLoad(load));
  REQUIRE(message);
  CHECK(message->host == "host-1");
  const auto* received = std::get_if<entry::PeerLoadReceived>(&message->content);
  REQUIRE(received != nullptr);
  CHECK(received->host == "host-1");
  CHECK(received->zone == "zone-a");
  CHECK(received->is_stopping);
  CHECK(received->last_update == 7);
  CHECK(received->configuration_position == entry::StorePosition(2, 33));
  CHECK(received->configuration_version == 5);
  CHECK_FALSE(received->configuration_age);
  CHECK(received->list_age == std::chrono::milliseconds(120));
  CHECK(received->load.at("engine-1").tokens == 9000);
  CHECK(received->outcomes.at("engine-1").failures == 2.5);
  CHECK(received->outcomes.at("engine-1").responses == 12);
  REQUIRE(received->recent_updates.size() == 2);
  const auto& first = std::get<entry::UpstreamListed>(received->recent_updates[0].notice);
  CHECK(first.entry.start_time_ms == 1790101750402);
  CHECK(first.entry.endpoint == Endpoint{"10.0.0.1", 80});
  CHECK(first.entry.leaving);
  CHECK(first.source == entry::UpdateSource::kPeer);
  const auto& second = std::get<entry::UpstreamUnlisted>(received->recent_updates[1].notice);
  CHECK(second.position == entry::StorePosition(1, 13));
  CHECK(second.may_have_expired == may_have_expired);
}

// Guards against a malformed datagram that crashes the process.
TEST_CASE("peerMessages_malformed_rejected", "[loop]") {
  for (const char* text :
       {"", "{", "[]", "{}", R"({"host":1,"load":[]})", R"({"host":"h","load":[[1,2,3,4]]})",
        R"({"host":"h","load":[["e",-1]]})", R"({"host":"h","load":[["e",1,-2,3]]})",
        R"({"host":"h","load":[],"recent":[7]})", R"({"host":"h","load":[],"recent":[[1,2]]})",
        R"({"host":"h","load":[],"recent":[[1,2,""]]})",
        R"({"host":"h","load":[],"recent":[[1,2,"e","s","a","x","z",1,true,0,0,0]]})",
        R"({"host":"h","load":[],"news":"x"})",
        R"({"host":"h","load":[],"outcomes":[["e","x",1]]})", R"({"host":"h","asked_us":"x"})",
        R"({"host":"h","answered_us":1,"configuration":-1,"configuration_age_ms":1})",
        R"({"host":"h","answered_us":1,"configuration":1,"configuration_age_ms":-1})"}) {
    CHECK_FALSE(DecodePeerMessage(text));
  }
  CHECK_FALSE(DecodePeerMessage(R"({"host":"h","load":)" + std::string(5000, '[')));
}

// Guards against statements that count as current for ever: with an overflow of its age, or with a
// negative one, a statement lies in the future.
TEST_CASE("peerMessages_ageOutOfRange_rejected", "[loop]") {
  const std::string message =
      GENERATE(R"({"host":"h","load":[],"list_age_ms":AGE})",
               R"({"host":"h","load":[],"configuration_age_ms":AGE})",
               R"({"host":"h","load":[],"limits":[["plain-1",2.5,AGE]]})",
               R"({"host":"h","answered_us":1,"configuration":1,"configuration_age_ms":AGE})",
               R"({"host":"h","crash_report":{"crashes":[[1,2,AGE,1.0,[3]]]}})",
               R"({"host":"h","crash_report":{"answers":[[1,AGE]]}})");
  const auto decode = [&message](const std::string& age) {
    std::string text = message;
    return DecodePeerMessage(text.replace(text.find("AGE"), 3, age));
  };
  REQUIRE(decode("340"));
  for (const char* age : {"-1", "18446743073709552", "9223372036854775807", "1e300"}) {
    CAPTURE(message, age);
    CHECK_FALSE(decode(age));
  }
}

TEST_CASE("cellLoad_roundTrip_preserved", "[loop]") {
  entry::CellLoadReceived sum;
  sum.cell = "zone-a/1";
  sum.zone = "zone-a";
  sum.hosts = 49;
  sum.is_forwarded = true;
  sum.load["engine-1"] = {12, 40000, 6000};
  sum.outcomes["engine-1"].count.failures = 2.5;
  sum.outcomes["engine-1"].count.responses = 12;
  sum.outcomes["engine-1"].hosts = 4;
  const auto message = DecodePeerMessage(EncodeCellLoad("host-1", sum));
  REQUIRE(message);
  CHECK(message->host == "host-1");
  const auto* read = std::get_if<entry::CellLoadReceived>(&message->content);
  REQUIRE(read != nullptr);
  CHECK(read->cell == "zone-a/1");
  CHECK(read->zone == "zone-a");
  CHECK(read->hosts == 49);
  CHECK(read->is_forwarded);
  CHECK(read->load.at("engine-1").tokens == 40000);
  CHECK(read->load.at("engine-1").pending_prompt_tokens == 6000);
  CHECK(read->outcomes.at("engine-1").count.failures == Approx(2.5));
  CHECK(read->outcomes.at("engine-1").hosts == 4);
  for (const char* text : {R"({"host":"a","cell":"","hosts":1,"sum":[]})",
                           R"({"host":"a","cell":"c","hosts":0,"sum":[]})",
                           R"({"host":"a","cell":"c","hosts":1,"sum":[[1,2,3,4]]})",
                           R"({"host":"a","cell":"c","hosts":1,"sum":[],"outcomes":[["e",1]]})"}) {
    CHECK_FALSE(DecodePeerMessage(text));
  }
}

TEST_CASE("upstreamSignals_roundTrip_preserved", "[loop]") {
  const std::vector<entry::ReportedLimit> limits{{"plain-1", 2.5, std::chrono::milliseconds(40)},
                                                 {"plain-2", std::nullopt, {}},
                                                 {"plain-3", 0.0, {}}};
  entry::PeerLoadReceived load;
  load.limits = limits;
  load.leaving = {{"plain-4", 17}};
  entry::CellLoadReceived sum;
  sum.cell = "zone-a";
  sum.hosts = 3;
  sum.limits = limits;
  sum.leaving = load.leaving;
  const auto loads = DecodePeerMessage(EncodeLoad(load));
  const auto sums = DecodePeerMessage(EncodeCellLoad("host-1", sum));
  REQUIRE(loads);
  REQUIRE(sums);
  for (const auto& decoded : {std::get<entry::PeerLoadReceived>(loads->content).leaving,
                              std::get<entry::CellLoadReceived>(sums->content).leaving}) {
    REQUIRE(decoded.size() == 1);
    CHECK(decoded[0].id == "plain-4");
    CHECK(decoded[0].start_time_ms == 17);
  }
  for (const auto& decoded : {std::get<entry::PeerLoadReceived>(loads->content).limits,
                              std::get<entry::CellLoadReceived>(sums->content).limits}) {
    REQUIRE(decoded.size() == 3);
    CHECK(decoded[0].id == "plain-1");
    CHECK(decoded[0].requests_per_second == 2.5);
    CHECK(decoded[0].age == std::chrono::milliseconds(40));
    CHECK_FALSE(decoded[1].requests_per_second);
    CHECK(decoded[2].requests_per_second == 0.0);
  }
}

// Guards against a row that dates a statement in the future, which nothing could replace.
TEST_CASE("statedLimits_malformed_rejected", "[loop]") {
  for (const char* rows : {R"([["plain-1",2.5]])", R"([["plain-1",2.5,-1]])", R"([[7,2.5,0]])",
                           R"(["plain-1"])", R"([["plain-1","x",0]])"}) {
    CAPTURE(rows);
    CHECK_FALSE(
        DecodePeerMessage(std::string(R"({"host":"host-1","load":[],"limits":)") + rows + "}"));
  }
}

// Guards against tables that hosts of an earlier release drop, and against rows of a later one.
TEST_CASE("capacity_roundTrip_underItsOwnKey", "[loop]") {
  entry::PeerLoadReceived load;
  load.host = "host-1";
  load.load["engine-1"] = {1, 2, 3};
  CHECK(EncodeLoad(load).find("capacity") == std::string::npos);
  load.capacity = {{"engine-1", 1700000000123, 8, -70, 4, -90, 1, 5, 2, 60, 11}};
  const std::string text = EncodeLoad(load);
  CHECK(text.find(R"("load":[["engine-1",1,2,3]])") != std::string::npos);
  const auto message = DecodePeerMessage(text);
  REQUIRE(message);
  const auto& rows = std::get<entry::PeerLoadReceived>(message->content).capacity;
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].start_time_ms == 1700000000123);
  CHECK(rows[0].speed_weight == 8);
  CHECK(rows[0].recent_speed == -90);
  CHECK(rows[0].busy_requests == 11);
  std::string longer = text;
  longer.replace(longer.find(",60,11]"), 7, ",60,11,9]");
  const auto later = DecodePeerMessage(longer);
  REQUIRE(later);
  CHECK(std::get<entry::PeerLoadReceived>(later->content).capacity.empty());
  entry::CellLoadReceived sum;
  sum.cell = "zone-a";
  sum.hosts = 2;
  sum.capacity = load.capacity;
  const auto cell = DecodePeerMessage(EncodeCellLoad("host-1", sum));
  REQUIRE(cell);
  CHECK(std::get<entry::CellLoadReceived>(cell->content).capacity.size() == 1);
}

TEST_CASE("confirmations_roundTrip_preserved", "[loop]") {
  const TimePoint requested_at{std::chrono::microseconds(123456789012)};
  const auto request_message =
      DecodePeerMessage(EncodeConfirmationRequest("host-1", {"host-2", requested_at}));
  REQUIRE(request_message);
  const auto* request = std::get_if<entry::ConfirmationRequested>(&request_message->content);
  REQUIRE(request != nullptr);
  CHECK(request->host == "host-1");
  CHECK(request->requested_at == requested_at);
  const auto reply_message = DecodePeerMessage(EncodeConfirmationReply(
      "host-2", {"host-1", requested_at, {3, 44}, 9, std::chrono::milliseconds(320)}));
  REQUIRE(reply_message);
  const auto* reply = std::get_if<entry::ConfirmationReceived>(&reply_message->content);
  REQUIRE(reply != nullptr);
  CHECK(reply->requested_at == requested_at);
  CHECK(reply->position == entry::StorePosition(3, 44));
  CHECK(reply->version == 9);
  CHECK(reply->age == std::chrono::milliseconds(320));
}

TEST_CASE("responseHead_hopByHopFields_notForwarded", "[loop]") {
  HttpHead head;
  head.status = 200;
  head.reason = "OK";
  head.fields = {{"Connection", "X-Hop"}, {"X-Hop", "1"},      {"Keep-Alive", "timeout=3"},
                 {"Content-Length", "9"}, {"X-Stamp", "3e1b"}, {"Transfer-Encoding", "chunked"}};
  CHECK(FormatResponseHead(head, BodyFraming::kLength, 4, false) ==
        "HTTP/1.1 200 OK\r\nX-Stamp: 3e1b\r\nContent-Length: 4\r\n\r\n");
  CHECK(FormatResponseHead(head, BodyFraming::kChunked, 0, true) ==
        "HTTP/1.1 200 OK\r\nX-Stamp: 3e1b\r\nTransfer-Encoding: chunked\r\nConnection: "
        "close\r\n\r\n");
}

// Guards against a full pipe that blocks the daemon, and against uncounted lost lines.
TEST_CASE("logWriter_blockedReader_linesDroppedAndCounted", "[loop]") {
  int pipe_ends[2];
  REQUIRE(::pipe(pipe_ends) == 0);
  LogWriter writer("host-1", pipe_ends[1]);
  const EmitLog line{entry::log_events::kSent, "id=" + std::string(1000, 'x')};
  for (int count = 0; count < 2000; ++count) {
    writer.Write(line, WallTime{});
    writer.Flush();
  }
  CHECK(writer.dropped_lines() > 0);
  ::close(pipe_ends[0]);
  ::close(pipe_ends[1]);
}

// Guards against a log that no reader of text accepts, because of one byte in a key or a path.
TEST_CASE("logLine_bytesOfNoText_replaced", "[loop]") {
  const auto format = [](const std::string& fields) {
    const std::string line =
        FormatLogLine({entry::log_events::kSent, fields}, "host-1", WallTime{});
    return line.substr(line.find("id="));
  };
  CHECK(format("id=\xc3\xbc") == "id=\xc3\xbc\n");
  CHECK(format("id=\xed\xa0\x80 a") == "id=??? a\n");
  CHECK(format("id=\xff\n") == "id=? \n");
  CHECK(format("id=\xc3") == "id=?\n");
}

// Guards against a quarantine that differs between hosts because a report was changed on its way.
TEST_CASE("crashReport_roundTrip_preserved", "[loop]") {
  using namespace std::chrono_literals;
  entry::CrashReport report;
  report.crashes = {{0xFFFFFFFFFFFFFFFFULL, 2, {3, 0xFEDCBA98U}, 12.5, 340ms}};
  report.answers = {{3, 20ms}};
  report.digest = 77;
  report.is_reply = true;
  const auto message = DecodePeerMessage(EncodeCrashMessage("host-1", report));
  REQUIRE(message);
  CHECK(message->host == "host-1");
  const auto* received = std::get_if<entry::CrashReportReceived>(&message->content);
  REQUIRE(received != nullptr);
  REQUIRE(received->report.crashes.size() == 1);
  CHECK(received->report.crashes[0].id == report.crashes[0].id);
  CHECK(received->report.crashes[0].crash == 2);
  CHECK(received->report.crashes[0].parts == report.crashes[0].parts);
  CHECK(received->report.crashes[0].answers_per_second == 12.5);
  CHECK(received->report.crashes[0].age == 340ms);
  REQUIRE(received->report.answers.size() == 1);
  CHECK(received->report.answers[0].age == 20ms);
  CHECK(received->report.digest == report.digest);
  CHECK(received->report.is_reply);
}

// Guards against parts that are found at one host only as a message of their collection was
// changed.
TEST_CASE("crashReport_collectionRoundTrip_preserved", "[loop]") {
  using namespace std::chrono_literals;
  quarantine::PartSet parts;
  for (quarantine::PartId part = 1; part <= 900; ++part) {
    parts.push_back(part * 4000000U);
  }
  entry::CrashReport report;
  report.crashes = {
      {1, 2, parts, 12.5, 340ms}, {2, 3, parts, 12.5, 340ms}, {3, 4, {}, 1, 5ms, 900}};
  report.crashes.push_back({4, 5, {}, 1, 5ms, 0, quarantine::EntryId{1}});
  report.sketch_request = entry::SketchRequest{{7, 8}, 21};
  report.sketches = {{7, 15, quarantine::EncodePartSet({1, 5, 70}, 21)}};
  report.common = entry::CommonBuckets{{3, 9}, 21, true};
  report.answered = entry::AnsweredParts{parts, 80ms};
  const std::string text = EncodeCrashMessage("host-1", report);
  // The second list of parts refers to the first.
  CHECK(text.size() < 2 * 900 * 6);
  const auto message = DecodePeerMessage(text);
  REQUIRE(message);
  const auto* received = std::get_if<entry::CrashReportReceived>(&message->content);
  REQUIRE(received != nullptr);
  REQUIRE(received->report.crashes.size() == 4);
  CHECK(received->report.crashes[0].parts == parts);
  CHECK(received->report.crashes[1].parts == parts);
  CHECK(received->report.crashes[2].hidden_parts == 900);
  CHECK(received->report.crashes[3].same_parts_as == quarantine::EntryId{1});
  REQUIRE(received->report.sketch_request);
  CHECK(received->report.sketch_request->crashes == report.sketch_request->crashes);
  CHECK(received->report.sketch_request->bits == 21);
  REQUIRE(received->report.sketches.size() == 1);
  CHECK(received->report.sketches[0].prompts == 15);
  CHECK(received->report.sketches[0].buckets == report.sketches[0].buckets);
  REQUIRE(received->report.common);
  CHECK(received->report.common->buckets == quarantine::PartSet{3, 9});
  CHECK(received->report.common->asks_for_answers);
  REQUIRE(received->report.answered);
  CHECK(received->report.answered->parts == parts);
  CHECK(received->report.answered->age == 80ms);
}

// Guards against a quarantine that ends at the roll-out of the release with shorter hashes.
TEST_CASE("crashReport_partOf64Bits_firstBitsUsed", "[loop]") {
  const auto message = DecodePeerMessage(
      R"({"host":"h","crash_report":{"crashes":[[1,2,5,1.0,[18364758544493064720]]]}})");
  REQUIRE(message);
  const auto& report = std::get<entry::CrashReportReceived>(message->content).report;
  CHECK(report.crashes.at(0).parts == std::vector<quarantine::PartId>{0xFEDCBA98U});
}

// Guards against a damaged message of a collection that ends the process or hides parts.
TEST_CASE("crashReport_malformedCollection_rejected", "[loop]") {
  for (const char* report :
       {R"({"crashes":[[1,2,5,1.0,"AA"]]})", R"({"crashes":[[1,2,5,1.0,true]]})",
        R"({"crashes":[[1,2,5,1.0,{}]]})", R"({"crashes":[[1,2,5,1.0,[],0]]})",
        R"({"crashes":[[1,2,5,1.0,[],-1]]})", R"({"collect":[1],"bits":0})",
        R"({"collect":[1],"bits":33})", R"({"collect":["x"],"bits":20})", R"({"sketches":[[1,2]]})",
        R"({"sketches":[[1,2,""]]})", R"({"sketches":[[1,2,"%%%%"]]})", R"({"common":""})",
        R"({"common":7})", R"({"answered":"AAAA","answered_age_ms":1})"}) {
    CAPTURE(report);
    CHECK_FALSE(DecodePeerMessage(std::string(R"({"host":"h","crash_report":)") + report + "}"));
  }
}

// Guards against a report that quarantines prompts from a damaged datagram.
TEST_CASE("crashReport_malformed_rejected", "[loop]") {
  for (const char* text :
       {R"({"host":"h","crash_report":7})", R"({"host":"h","crash_report":{"crashes":[[1]]}})",
        R"({"host":"h","crash_report":{"crashes":[[1,2,-5,1.0,[3]]]}})",
        R"({"host":"h","crash_report":{"crashes":[[1,2,5,-1.0,[3]]]}})",
        R"({"host":"h","crash_report":{"crashes":[[1,2,5,1.0,[]]]}})",
        R"({"host":"h","crash_report":{"crashes":[[1,2,5,1.0,["x"]]]}})",
        R"({"host":"h","crash_report":{"answers":[[1,-1]]}})"}) {
    CHECK_FALSE(DecodePeerMessage(text));
  }
}

}  // namespace
}  // namespace snipeturn::loop
