#pragma once

#include <chrono>
#include <optional>

#include "snipeturn/base/time.h"

namespace snipeturn::backpressure {

/// The number of requests a second that an upstream takes from all hosts together, as it last
/// stated, and a token bucket with this host's part of it.
struct RateLimit {
  /// Empty if no limit is in force.
  std::optional<double> requests_per_second;
  /// Time of the statement; a newer statement replaces an older one.
  TimePoint stated_at{};
  /// Last time that a host, or the upstream itself, stated it.
  TimePoint heard_at{};
  /// Last time that the limit began, changed or ended.
  TimePoint changed_at{};
  /// This host had the statement from the upstream itself, and tells other hosts about it.
  bool is_own{false};
  /// The upstream itself has stated a limit to this host, and nothing has ended it since.
  bool binds_host{false};
  double tokens{0};
  TimePoint refilled_at{};
};

/// A statement of an upstream, from one of its responses or from another host.
struct LimitStatement {
  std::optional<double> requests_per_second;
  TimePoint at{};
  bool is_own{false};
};

/// @brief Dates a statement that came with a response.
///
/// Responses overtake one another, so one without a limit ends a limit only if its request was sent
/// after the limit was stated.
/// @param requests_per_second The stated limit, if any.
/// @param sent_at When the request was sent.
/// @param now When its response arrived.
[[nodiscard]] LimitStatement MakeStatement(std::optional<double> requests_per_second,
                                           TimePoint sent_at,
                                           TimePoint now) noexcept;

/// @brief Adopts a statement unless a newer one is known.
/// @return True if the limit begins, changes or ends.
bool AdoptStatement(RateLimit& limit, const LimitStatement& statement, TimePoint now) noexcept;

/// @brief Tells whether a limit no longer holds since no host repeats it. One that this host has
///     heard from the upstream holds until a response states another or none.
[[nodiscard]] bool HasExpired(const RateLimit& limit, TimePoint now) noexcept;

/// @brief Tells whether other hosts should hear of the last statement from this host.
[[nodiscard]] bool IsReported(const RateLimit& limit, TimePoint now) noexcept;

/// @brief Number of hosts that may send requests under a limit.
///
/// Each of them can have a request saved up, so their number bounds the excess of a moment. With a
/// low limit, fewer hosts with a useful share are better than many that wait for minutes.
[[nodiscard]] int MaxSendingHosts(double requests_per_second) noexcept;

/// @brief Requests a second that one of the sending hosts may send.
/// @param requests_per_second The limit.
/// @param hosts Number of sending hosts.
[[nodiscard]] double HostRate(double requests_per_second, int hosts) noexcept;

/// @brief Earliest time at which this host may send the next request.
/// @param limit A limit that is in force.
/// @param host_rate Requests a second that this host may send; 0 if it may send none.
/// @return `now` if it may be sent at once; the maximum if no time is known.
[[nodiscard]] TimePoint NextStart(const RateLimit& limit, double host_rate, TimePoint now) noexcept;

/// @brief Charges a request to this host's part of a limit.
void RecordStart(RateLimit& limit, double host_rate, TimePoint now) noexcept;

}  // namespace snipeturn::backpressure
