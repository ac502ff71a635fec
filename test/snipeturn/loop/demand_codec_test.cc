#include "snipeturn/loop/demand_codec.h"

#include <catch2/catch.hpp>
#include <variant>

#include "snipeturn/loop/peer_socket.h"

namespace snipeturn::loop {
namespace {

entry::DemandTable DemandOf(const std::string& text) {
  const auto message = DecodePeerMessage(text);
  REQUIRE(message);
  return std::get<entry::PeerLoadReceived>(message->content).demand;
}

// Guards against tables whose load is lost with their demand.
TEST_CASE("loadTable_withDemand_decodedAsEncoded", "[loop]") {
  entry::PeerLoadReceived load;
  load.host = "host-2";
  load.load["engine-1"] = {2, 4000, 2200};
  load.demand["engines"] = {3, 2.5, 5500, 8800};
  const std::string text = EncodeLoad(load);
  const entry::Demand demand = DemandOf(text).at("engines");
  CHECK(demand.queued == 3);
  CHECK(demand.sends_per_second == 2.5);
  CHECK(demand.urgent_tokens_per_second == 5500);
  CHECK(demand.urgent_tokens == 8800);
}

// Guards against other bytes on the wire where nothing competes for capacity.
TEST_CASE("loadTable_withoutDemand_noKey", "[loop]") {
  entry::PeerLoadReceived load;
  load.host = "host-2";
  CHECK(EncodeLoad(load).find("demand") == std::string::npos);
  CHECK(DemandOf(EncodeLoad(load)).empty());
}

TEST_CASE("loadTable_unusableDemand_leftOut", "[loop]") {
  CHECK(DemandOf(R"({"host":"h","load":[],"demand":{"a":[-1,0,0,0],"b":[1,2],"c":[1,1e300,0,0]}})")
            .empty());
  CHECK_FALSE(DecodePeerMessage(R"({"host":"h","load":[],"demand":{"a":["x",0,0,0]}})"));
  CHECK_FALSE(DecodePeerMessage(R"({"host":"h","load":[],"demand":7})"));
}

}  // namespace
}  // namespace snipeturn::loop
