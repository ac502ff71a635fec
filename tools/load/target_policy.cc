#include "tools/load/target_policy.h"

#include <limits>
#include <string>
#include <utility>

#include "snipeturn/transport/http_client.h"
#include "snipeturn/transport/json_text.h"

namespace snipeturn::load {

std::optional<Policy> ParsePolicy(std::string_view text) noexcept {
  if (text == "snipeturn") {
    return Policy::kSnipeturn;
  }
  if (text == "round-robin") {
    return Policy::kRoundRobin;
  }
  return text == "least-load" ? std::optional{Policy::kLeastLoad} : std::nullopt;
}

TargetPolicy::TargetPolicy(Policy policy, std::vector<Endpoint> targets)
    : policy_{policy}, targets_{std::move(targets)}, loads_(targets_.size(), 0) {}

Endpoint TargetPolicy::Choose() {
  const std::lock_guard lock{mutex_};
  std::size_t chosen = next_++ % targets_.size();
  if (policy_ == Policy::kLeastLoad) {
    // The search starts at another target each time, which spreads calls among equal reports.
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      const std::size_t candidate = (next_ + i) % targets_.size();
      chosen = loads_[candidate] < loads_[chosen] ? candidate : chosen;
    }
  }
  return targets_[chosen];
}

void TargetPolicy::PollLoads() {
  if (policy_ != Policy::kLeastLoad) {
    return;
  }
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    HttpRequest request;
    request.endpoint = targets_[i];
    request.target = "/load";
    std::string last_reason;
    const HttpResponse answer = Exchange(request);
    const auto report = ParseJson(answer.body, last_reason);
    const std::int64_t load = report && report->isObject()
                                  ? (*report)["running"].asInt64() + (*report)["waiting"].asInt64()
                                  : std::numeric_limits<std::int64_t>::max();
    const std::lock_guard lock{mutex_};
    loads_[i] = load;
  }
}

}  // namespace snipeturn::load
