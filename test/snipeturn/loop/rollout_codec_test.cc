#include "snipeturn/loop/rollout_codec.h"

#include <json/reader.h>
#include <json/value.h>

#include <catch2/catch.hpp>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include "snipeturn/loop/peer_socket.h"

namespace snipeturn::loop {
namespace {

rollout::EvidenceRow MakeRow(const std::string& route) {
  rollout::EvidenceRow row;
  row.route = route;
  row.side = rollout::Side::kTarget;
  row.response = {1200, 5526.2041, 26010.125};
  row.pace = {3, -6.5, 14.25};
  row.groups[0] = {1000, 14};
  row.groups[15] = {200, 200};
  return row;
}

entry::ReportedRollout MakeRollout(std::size_t rows) {
  entry::ReportedRollout rollout;
  rollout.service = "chat";
  rollout.target = "v2";
  rollout.order = {3, 41};
  rollout.phase = rollout::Phase::kPromoting;
  rollout.age = std::chrono::milliseconds(3200);
  rollout.duration = std::chrono::seconds(12);
  rollout.published = entry::RecordedState{entry::RolloutState::kRunning, 7};
  rollout.incarnation = 1790101750402;
  for (std::size_t row = 0; row < rows; ++row) {
    rollout.rows.push_back(MakeRow("route-" + std::to_string(row)));
  }
  return rollout;
}

void CheckEqual(const entry::ReportedRollout& rollout, std::size_t rows) {
  CHECK(rollout.service == "chat");
  CHECK(rollout.target == "v2");
  CHECK(rollout.order == entry::StorePosition(3, 41));
  CHECK(rollout.phase == rollout::Phase::kPromoting);
  CHECK(rollout.age == std::chrono::milliseconds(3200));
  CHECK(rollout.duration == std::chrono::seconds(12));
  CHECK(rollout.published == entry::RecordedState{entry::RolloutState::kRunning, 7});
  CHECK(rollout.incarnation == 1790101750402);
  REQUIRE(rollout.rows.size() == rows);
  for (std::size_t index = 0; index < rows; ++index) {
    const rollout::EvidenceRow& row = rollout.rows[index];
    CHECK(row.route == "route-" + std::to_string(index));
    CHECK(row.side == rollout::Side::kTarget);
    CHECK(row.response.count == 1200);
    CHECK(row.response.sum == Approx(5526.2041).margin(0.001));
    CHECK(row.response.sum_of_squares == Approx(26010.125).margin(0.001));
    CHECK(row.pace.sum == Approx(-6.5));
    CHECK(row.groups[0].responses == 1000);
    CHECK(row.groups[0].failures == 14);
    CHECK(row.groups[7].responses == 0);
    CHECK(row.groups[15].failures == 200);
  }
}

template <typename Content>
Content Decode(const std::string& datagram) {
  CHECK(datagram.size() <= kMaxDatagramBytes);
  const auto message = DecodePeerMessage(datagram);
  REQUIRE(message);
  return std::get<Content>(message->content);
}

entry::PeerLoadReceived MakeLoad() {
  entry::PeerLoadReceived load;
  load.host = "host-1";
  load.load["i-1"] = {3, 9000, 2000};
  return load;
}

entry::PeerUpdate MakeUpdate(std::uint64_t number, const std::string& version) {
  entry::UpstreamListed listed;
  listed.position = {2, number};
  listed.entry.id = "i-" + std::to_string(number);
  listed.entry.service = "chat";
  listed.entry.endpoint = {"10.0.0.1", 80};
  listed.entry.version = version;
  return {number, listed};
}

TEST_CASE("rollouts_roundTrip_preserved", "[loop]") {
  entry::PeerLoadReceived load = MakeLoad();
  load.rollouts = {MakeRollout(2)};
  const auto received = Decode<entry::PeerLoadReceived>(EncodeLoad(load));
  REQUIRE(received.rollouts.size() == 1);
  CheckEqual(received.rollouts[0], 2);
  entry::CellLoadReceived sum;
  sum.cell = "zone-a/1";
  sum.hosts = 49;
  sum.rollouts = {MakeRollout(64)};
  const auto received_sum = Decode<entry::CellLoadReceived>(EncodeCellLoad("host-1", sum));
  REQUIRE(received_sum.rollouts.size() == 1);
  CheckEqual(received_sum.rollouts[0], 64);
}

// Guards against messages that change where there are no roll-outs and no versions.
TEST_CASE("load_withoutRollouts_noFurtherKeys", "[loop]") {
  entry::PeerLoadReceived load = MakeLoad();
  load.recent_updates = {MakeUpdate(5, "")};
  const std::string text = EncodeLoad(load);
  CHECK(text.find("rollouts") == std::string::npos);
  CHECK(text.find("recent_versions") == std::string::npos);
  CHECK(EncodeCellLoad("host-1", {}).find("rollouts") == std::string::npos);
}

// Guards against a malformed roll-out that hides the load of its host.
TEST_CASE("rollouts_malformed_droppedAlone", "[loop]") {
  const std::string valid = R"(["chat","v2",41,3,90,12000,"canary",null,7,[]])";
  const auto decode = [&valid](const std::string& rollouts) {
    const std::string text = R"({"host":"h","load":[["i-1",1,2,3]],"rollouts":)" + rollouts + "}";
    const auto received = Decode<entry::PeerLoadReceived>(text);
    CHECK(received.load.at("i-1").tokens == 2);
    return received.rollouts.size();
  };
  REQUIRE(decode("[" + valid + "]") == 1);
  REQUIRE(decode(R"([["chat","v2",41,3,90,12000,"succeeded","succeeded",7,[]]])") == 1);
  for (const std::string eras : {"7", "[]", "[-1]", "[\"x\"]", "{}"}) {
    CAPTURE(eras);
    CHECK(decode("[" + valid + R"(],"rollout_eras":)" + eras) == 1);
  }
  for (const std::string rollouts : {"7", "\"x\"", "{}", "null", "[]"}) {
    CAPTURE(rollouts);
    CHECK(decode(rollouts) == 0);
  }
  for (const std::string row :
       {R"(7)",
        R"([])",
        R"(["chat","v2",41,3,90,12000,"canary",null,7])",
        R"(["","v2",41,3,90,12000,"canary",null,7,[]])",
        R"(["chat","",41,3,90,12000,"canary",null,7,[]])",
        R"(["chat",2,41,3,90,12000,"canary",null,7,[]])",
        R"(["chat","v2",-1,3,90,12000,"canary",null,7,[]])",
        R"(["chat","v2",41,3,90,12000,"odd",null,7,[]])",
        R"(["chat","v2",41,3,90,12000,"canary","odd",7,[]])",
        R"(["chat","v2",41,3,-1,12000,"canary",null,7,[]])",
        R"(["chat","v2",41,3,90,1e300,"canary",null,7,[]])",
        R"(["chat","v2",41,3,90,12000,"canary",null,-7,[]])",
        R"(["chat","v2",41,3,90,12000,"canary",null,7,{}])",
        R"(["chat","v2",41,3,90,12000,"canary",null,7,[7]])",
        R"(["chat","v2",41,3,90,12000,"canary",null,7,[["r",true,[1,2,3],[0,0,0],[0,1]]]])",
        R"(["chat","v2",41,3,90,12000,"canary",null,7,[["r",true,[1,2,3],[0,0,0],[64,1,1]]]])",
        R"(["chat","v2",41,3,90,12000,"canary",null,7,[["r",true,[1,2,3],[0,0,0],[0,1,2]]]])",
        R"(["chat","v2",41,3,90,12000,"canary",null,7,[["r",true,[-1,2,3],[0,0,0],[0,1,1]]]])",
        R"(["chat","v2",41,3,90,12000,"canary",null,7,[["r",true,[1,2,-3],[0,0,0],[0,1,1]]]])",
        R"(["chat","v2",41,3,90,12000,"canary",null,7,[["r",true,[1,1e300,3],[0,0,0],[0,1,1]]]])",
        R"(["chat","v2",41,3,90,12000,"canary",null,7,[["r",1,[1,2,3],[0,0,0],[0,1,1]]]])"}) {
    CAPTURE(row);
    CHECK(decode("[" + row + "," + valid + "]") == 1);
  }
  std::string rows;
  for (int row = 0; row < 65; ++row) {
    rows += (row == 0 ? "" : ",") + std::string(R"(["r",true,[1,2,3],[0,0,0],[]])");
  }
  CHECK(decode(R"([["chat","v2",41,3,90,12000,"canary",null,7,[)" + rows + "]]]") == 0);
}

// Guards against a table that no host receives because evidence made it too large.
TEST_CASE("rollouts_tooManyRows_cutToDatagram", "[loop]") {
  entry::PeerLoadReceived load = MakeLoad();
  load.rollouts = {MakeRollout(70), MakeRollout(70), MakeRollout(70), MakeRollout(70)};
  for (entry::ReportedRollout& rollout : load.rollouts) {
    for (rollout::EvidenceRow& row : rollout.rows) {
      row.route += std::string(200, 'r');
    }
  }
  const auto received = Decode<entry::PeerLoadReceived>(EncodeLoad(load));
  REQUIRE(received.rollouts.size() == 4);
  CHECK(received.rollouts[3].phase == rollout::Phase::kPromoting);
  CHECK(received.rollouts[3].rows.size() >= 16);
  CHECK(received.load.size() == 1);
}

// Guards against an upstream of a new version that a host takes for one of the old version because
// it learned of it from another host.
TEST_CASE("listUpdates_versions_preserved", "[loop]") {
  entry::PeerLoadReceived load = MakeLoad();
  load.recent_updates = {
      MakeUpdate(5, ""), {6, entry::UpstreamUnlisted{"i-6", {1, 13}}}, MakeUpdate(7, "v2")};
  const std::string text = EncodeLoad(load);
  const auto received = Decode<entry::PeerLoadReceived>(text);
  REQUIRE(received.recent_updates.size() == 3);
  const auto version = [&received](std::size_t index) {
    return std::get<entry::UpstreamListed>(received.recent_updates[index].notice).entry.version;
  };
  CHECK(version(0).empty());
  CHECK(version(2) == "v2");
  // Hosts of an earlier release drop longer rows.
  Json::Value root;
  std::istringstream(text) >> root;
  CHECK(root["recent"][0].size() == 12);
  CHECK(root["recent"][1].size() == 4);
}

// Guards against an update with a wrong version: the receiver must see that it misses one.
TEST_CASE("listUpdates_malformedVersion_updateLeftOut", "[loop]") {
  const std::string versions =
      GENERATE("[7,\"v2\"]", "[\"v 2\",\"v2\"]", "[null,\"v2\"]", "[]", "{}", "7", "\"v2\"");
  CAPTURE(versions);
  const auto received = Decode<entry::PeerLoadReceived>(
      R"({"host":"h","news":7,"load":[],"recent":[)"
      R"([6,12,"i-6","s","10.0.0.1",80,"z",1,false,0,0,0],)"
      R"([7,13,"i-7","s","10.0.0.1",80,"z",1,false,0,0,0]],"recent_versions":)" +
      versions + "}");
  CHECK(received.last_update == 7);
  for (const entry::PeerUpdate& update : received.recent_updates) {
    CHECK(update.number == 7);
    CHECK(std::get<entry::UpstreamListed>(update.notice).entry.version == "v2");
  }
}

// Guards against a table that no host receives because versions made it too large.
TEST_CASE("listUpdates_longVersions_newestKept", "[loop]") {
  entry::PeerLoadReceived load = MakeLoad();
  load.last_update = 200;
  for (std::uint64_t number = 1; number <= 200; ++number) {
    load.recent_updates.push_back(MakeUpdate(number, std::string(255, 'v')));
  }
  const auto received = Decode<entry::PeerLoadReceived>(EncodeLoad(load));
  CHECK(received.last_update == 200);
  REQUIRE(received.recent_updates.size() >= 20);
  CHECK(received.recent_updates.back().number == 200);
}

}  // namespace
}  // namespace snipeturn::loop
