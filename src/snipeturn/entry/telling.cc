#include "snipeturn/entry/telling.h"

#include <algorithm>
#include <chrono>

#include "snipeturn/entry/readers.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// An unchanged load table is told again after so long, within the time after which it lapses.
constexpr std::chrono::milliseconds kLoadRepeat{500};
/// In a large deployment hosts of other zones are told what ends only so often.
constexpr std::size_t kSmallDeployment = 16;
constexpr std::chrono::milliseconds kFarRepeat{1400};
/// Least time between two tables.
constexpr std::chrono::milliseconds kLeastInterval{20};
/// Mean time between two tables of changes; the more hosts there are the longer, so that a host
/// gets at most some 400 tables a second.
constexpr std::chrono::microseconds kIntervalPerPeer{2500};
/// Tables of changes that a host may send at once after it was quiet: enough for the streams of a
/// burst, which start some 10 ms apart on one host.
constexpr double kMostAllowance = 4;

/// Lets the allowance grow with the time that has passed.
void Refill(Telling& telling, std::size_t peers, TimePoint now) noexcept {
  const auto interval = std::max<std::chrono::microseconds>(
      kLeastInterval, kIntervalPerPeer * static_cast<std::int64_t>(peers));
  const std::chrono::duration<double, std::micro> passed = now - telling.allowance_at;
  telling.allowance =
      std::min(kMostAllowance,
               telling.allowance + passed / std::chrono::duration<double, std::micro>(interval));
  telling.allowance_at = now;
}

}  // namespace
}  // namespace internal

Audience TakeAudience(Telling& telling, const State& state, std::size_t peers, TimePoint now) {
  const bool has_news = telling.news != state.news;
  const bool has_changed = telling.changes != state.load_changes;
  const auto since = now - telling.told_at;
  internal::Refill(telling, peers, now);
  const bool is_due = has_news      ? since >= internal::kLeastInterval
                      : has_changed ? since >= internal::kLeastInterval && telling.allowance >= 1
                                    : since >= internal::kLoadRepeat;
  if (peers == 0 || !is_due) {
    return Audience::kNobody;
  }
  const bool is_for_all = has_news || has_changed || peers <= internal::kSmallDeployment ||
                          now - telling.told_all_at >= internal::kFarRepeat ||
                          IsListReader(state, now) || IsConfigurationReader(state, now);
  if (has_changed) {
    telling.allowance = std::max(0.0, telling.allowance - 1);
  }
  telling.changes = state.load_changes;
  telling.news = state.news;
  telling.told_at = now;
  if (is_for_all) {
    telling.told_all_at = now;
  }
  return is_for_all ? Audience::kAll : Audience::kOwnZone;
}

}  // namespace snipeturn::entry
