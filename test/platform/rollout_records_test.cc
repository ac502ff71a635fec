#include "platform/rollout_records.h"

#include <catch2/catch.hpp>
#include <string>

#include "platform/records.h"

namespace snipeturn::platform {
namespace {

constexpr char kOrder[] = R"({"service":"chat","target":"v2","duration_s":12.5,"new":1})";

KeyedRecord MakeOrder(const std::string& value) {
  return {"rollout/chat", value, {3, 41}};
}

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

TEST_CASE("rolloutOrder_valid_decoded", "[platform]") {
  std::string failure;
  const auto order = ParseRolloutOrder(MakeOrder(kOrder), failure);
  REQUIRE(order);
  CHECK(order->service == "chat");
  CHECK(order->target == "v2");
  CHECK(order->duration == std::chrono::milliseconds(12500));
  CHECK(order->position == entry::StorePosition(3, 41));
  CHECK_FALSE(order->is_deleted);
}

// Guards against an order that stays in force after the operator has withdrawn it.
TEST_CASE("rolloutOrder_deleted_decoded", "[platform]") {
  std::string failure;
  const auto order = ParseRolloutOrder({"rollout/chat", std::nullopt, {3, 42}}, failure);
  REQUIRE(order);
  CHECK(order->service == "chat");
  CHECK(order->is_deleted);
}

// Guards against a malformed order that moves traffic.
TEST_CASE("rolloutOrder_malformed_rejected", "[platform]") {
  const std::string text =
      GENERATE("", "{", "[]", "7", Replace(kOrder, "\"chat\"", "\"search\""),
               Replace(kOrder, "\"chat\"", "7"), Replace(kOrder, "service", "name"),
               Replace(kOrder, "\"v2\"", "\"\""), Replace(kOrder, "\"v2\"", "2"),
               Replace(kOrder, "\"v2\"", "\"v 2\""), Replace(kOrder, "\"v2\"", "null"),
               Replace(kOrder, "v2", std::string(256, 'v')), Replace(kOrder, "12.5", "0"),
               Replace(kOrder, "12.5", "-1"), Replace(kOrder, "12.5", "\"12\""),
               Replace(kOrder, "12.5", "1e300"), Replace(kOrder, "12.5", "0.0001"));
  CAPTURE(text);
  std::string failure;
  CHECK_FALSE(ParseRolloutOrder(MakeOrder(text), failure));
  CHECK_FALSE(failure.empty());
}

TEST_CASE("rolloutKey_anyKey_serviceOrNone", "[platform]") {
  CHECK(ParseRolloutKey("rollout/chat") == "chat");
  CHECK_FALSE(ParseRolloutKey("rollouts"));
  CHECK_FALSE(ParseRolloutKey("evacuate/zone-a"));
  std::string failure;
  CHECK_FALSE(ParseRolloutOrder({"rollout/", kOrder, {}}, failure));
}

TEST_CASE("rolloutStatus_roundTrip_preserved", "[platform]") {
  const auto state = GENERATE(entry::RolloutState::kRunning, entry::RolloutState::kSucceeded,
                              entry::RolloutState::kRolledBack);
  const std::optional<std::uint64_t> order =
      GENERATE(std::optional<std::uint64_t>{}, std::optional<std::uint64_t>{0},
               std::optional<std::uint64_t>{41});
  std::string failure;
  const auto status =
      ParseRolloutStatus("chat", WriteRolloutStatus("chat", {"v2", state, order}), failure);
  REQUIRE(status);
  CHECK(status->target == "v2");
  CHECK(status->state == state);
  CHECK(status->order == order);
}

// Guards against a status that the platform can't read.
TEST_CASE("rolloutStatus_withoutOrder_asThePlatformStatesIt", "[platform]") {
  CHECK(WriteRolloutStatus("chat", {"v2", entry::RolloutState::kRolledBack, {}}) ==
        R"({"service":"chat","state":"rolled_back","target":"v2"})");
}

// Guards against a final state that is made up from a malformed record.
TEST_CASE("rolloutStatus_malformed_rejected", "[platform]") {
  const std::string valid = R"({"service":"chat","target":"v2","state":"succeeded"})";
  std::string failure;
  REQUIRE(ParseRolloutStatus("chat", valid, failure));
  CHECK(ParseRolloutStatus("chat", Replace(valid, "}", R"(,"order":"x"})"), failure));
  for (const std::string& text :
       {std::string(), std::string("[]"), Replace(valid, "succeeded", "done"),
        Replace(valid, "chat", "search"), Replace(valid, "\"v2\"", "2"),
        Replace(valid, "state", "phase")}) {
    CAPTURE(text);
    CHECK_FALSE(ParseRolloutStatus("chat", text, failure));
  }
}

// Guards against a version that breaks the messages between hosts, and against entries that are
// refused for a field that no roll-out uses.
TEST_CASE("upstreamVersion_anyValue_readOrRejected", "[platform]") {
  const std::string entry =
      R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":24,"state":"ready"VERSION})";
  const auto parse = [&entry](const std::string& field, bool reads_version) {
    std::string failure;
    return ParseUpstream("i-1", Replace(entry, "VERSION", field), failure, reads_version);
  };
  CHECK(parse(R"(,"version":"v1")", true).value().version == "v1");
  CHECK(parse("", true).value().version.empty());
  CHECK(parse(R"(,"version":null)", true).value().version.empty());
  CHECK(parse(R"(,"version":")" + std::string(255, 'v') + "\"", true));
  for (const std::string& field :
       {std::string(R"(,"version":1)"), std::string(R"(,"version":["v1"])"),
        std::string(R"(,"version":"v 1")"), std::string(R"(,"version":"v\u0000")"),
        R"(,"version":")" + std::string(256, 'v') + "\""}) {
    CAPTURE(field);
    CHECK_FALSE(parse(field, true));
    CHECK(parse(field, false).value().version.empty());
  }
  CHECK(parse(R"(,"version":"v1")", false).value().version.empty());
}

}  // namespace
}  // namespace snipeturn::platform
