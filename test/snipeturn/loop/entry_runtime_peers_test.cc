#include "snipeturn/entry/load.h"
#include "snipeturn/loop/peer_socket.h"
#include "snipeturn/loop/runtime_fixture.h"

namespace snipeturn::loop {
namespace {

// Guards against a host that counts its own load twice, and itself as another host: a record of
// another writer names its address.
TEST_CASE_METHOD(RuntimeFixture, "peer_isThisHost_ownLoadIgnored", "[loop]") {
  runtime.SetPeers({{"other", peer}});
  RunFor(1200ms);
  CHECK(runtime.state().peers.empty());
  CHECK(runtime.state().hosts <= 1);
}

// Guards against tables that no host receives, because updates with long names don't fit into one
// datagram.
TEST_CASE_METHOD(RuntimeFixture, "updates_longNames_tableFitsDatagram", "[loop]") {
  constexpr std::size_t kMaxDatagramBytes = 32768;
  for (int i = 0; i < 96; ++i) {
    entry::UpstreamEntry upstream;
    upstream.id = std::string(250, 'i') + std::to_string(i);
    upstream.service = std::string(255, 's');
    upstream.zone = std::string(255, 'z');
    upstream.endpoint = {"10.123.123.123", 65535};
    upstream.slots = 6;
    runtime.Apply(entry::UpstreamListed{upstream, ++last_offset});
  }
  const auto table = entry::MakeLoadBroadcast(runtime.state(), BootTime());
  CHECK(EncodeLoad(table).size() < kMaxDatagramBytes);
  CHECK(table.last_update >= 96);
  CHECK_FALSE(table.recent_updates.empty());
}

}  // namespace
}  // namespace snipeturn::loop
