#include "snipeturn/requests/fairness.h"

#include <algorithm>
#include <cmath>

#include "snipeturn/requests/forecast.h"

namespace snipeturn::internal {

/// Half-life of served tokens. It bounds the advantage of an organisation that was idle to a few
/// half-lives.
constexpr std::chrono::seconds kHalfLife{30};
/// Minimum interval between two decays, because each rewrites all accounts.
constexpr std::chrono::seconds kDecayInterval{1};
constexpr double kMinServedTokens = 0.5;

void DecayServed(EventScope& scope) {
  const auto passed = scope.now.monotonic - scope.state.served_decayed_at;
  if (passed < kDecayInterval) {
    return;
  }
  const double factor =
      std::exp2(-std::chrono::duration<double>(passed) / std::chrono::duration<double>(kHalfLife));
  for (auto account = scope.state.served_tokens.begin();
       account != scope.state.served_tokens.end();) {
    account->second *= factor;
    account = account->second < kMinServedTokens ? scope.state.served_tokens.erase(account)
                                                 : std::next(account);
  }
  scope.state.served_decayed_at = scope.now.monotonic;
}

double ShareOf(EventScope& scope, const Request& request) {
  const auto account = scope.state.served_tokens.find(AccountOf(request));
  const double served_tokens = account == scope.state.served_tokens.end() ? 0.0 : account->second;
  // Settings forbid a weight of 0; the bound rules out a division by 0 all the same.
  return served_tokens / std::max(request.caller.weight, 1e-6);
}

void ChargeAtStart(EventScope& scope, Request& request) {
  const bool call = request.call.kind == CallerRequest::Kind::kCall;
  const std::uint64_t expected = call ? 1 : ExpectedOutput(scope.state, request);
  if (expected > request.charged_tokens) {
    scope.state.served_tokens[AccountOf(request)] +=
        static_cast<double>(expected - request.charged_tokens);
    request.charged_tokens = expected;
  }
}

void ChargeToken(EventScope& scope, Request& request) {
  ++request.received_tokens;
  if (request.received_tokens > request.charged_tokens) {
    scope.state.served_tokens[AccountOf(request)] += 1.0;
    request.charged_tokens = request.received_tokens;
  }
}

void RefundAtEnd(EventScope& scope, const Request& request) {
  const auto account = scope.state.served_tokens.find(AccountOf(request));
  if (request.call.kind == CallerRequest::Kind::kCall ||
      account == scope.state.served_tokens.end() ||
      request.charged_tokens <= request.received_tokens) {
    return;
  }
  const auto unused = static_cast<double>(request.charged_tokens - request.received_tokens);
  account->second = std::max(0.0, account->second - unused);
}

}  // namespace snipeturn::internal
