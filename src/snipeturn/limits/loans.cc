#include <algorithm>
#include <vector>

#include "snipeturn/base/hash.h"
#include "snipeturn/limits/resource.h"

namespace snipeturn {
namespace internal {
namespace {

/// A slot with its index, in a host's map of slots.
using SlotEntry = std::pair<const int, OwnedSlot>;

SlotEntry* FindLent(UpstreamLimits& limits, const HostId& borrower, std::uint64_t loan) {
  for (auto& entry : limits.slots) {
    if (entry.second.phase == SlotPhase::kLent && entry.second.loan == loan &&
        entry.second.borrower == borrower) {
      return &entry;
    }
  }
  return nullptr;
}

SlotEntry* FindLendable(UpstreamLimits& limits, int class_limit) {
  for (auto& entry : limits.slots) {
    if (entry.first < class_limit && entry.second.owned && entry.second.phase == SlotPhase::kFree) {
      return &entry;
    }
  }
  return nullptr;
}

WorkClass ClassOf(const LoanRequest& message) {
  switch (message.work_class) {
    case static_cast<std::uint8_t>(WorkClass::kCritical):
      return WorkClass::kCritical;
    case static_cast<std::uint8_t>(WorkClass::kLong):
      return WorkClass::kLong;
    default:
      return WorkClass::kShort;
  }
}

/// Tells whether a loan request is still pending, so that no other may be sent.
bool IsPending(const LimitsState::PendingLoan& pending, const Tuning& tuning, const Now& now) {
  // A busy host handles many events between a refusal and the next release of a slot; it must not
  // send a request at each of them.
  const auto backoff = pending.refused ? tuning.heartbeat_interval / 10 : tuning.loan_start;
  return now.monotonic < pending.sent + backoff;
}

/// Tells whether this host uses a loan, or may use it later.
bool IsKnownLoan(const LimitsState& state,
                 const HostName& lender,
                 std::uint64_t number,
                 const Tuning& tuning,
                 const Now& now) {
  if (state.unused_loans.count(number) > 0) {
    return true;
  }
  const auto pending = state.pending_loans.find(number);
  if (pending != state.pending_loans.end() && !pending->second.refused &&
      IsPending(pending->second, tuning, now)) {
    return true;
  }
  return std::any_of(state.holds.begin(), state.holds.end(), [&](const auto& entry) {
    const Hold& hold = entry.second;
    return (hold.lender && hold.lender->name == lender && hold.loan == number) ||
           (hold.zone_lender && hold.zone_lender->name == lender && hold.zone_loan == number);
  });
}

bool HasFreeOwnSlot(const UpstreamLimits& limits, int class_limit) {
  return std::any_of(limits.slots.begin(), limits.slots.end(), [&](const auto& entry) {
    return entry.first < class_limit && entry.second.owned &&
           entry.second.phase == SlotPhase::kFree;
  });
}

/// Owners of usable slots, one entry for each slot, so that owners of more slots are asked more
/// often.
std::vector<HostName> CandidateLenders(const MembershipState& membership,
                                       const std::string& resource,
                                       int class_limit,
                                       const Tuning& tuning,
                                       const Now& now) {
  std::vector<HostName> lenders;
  const Epoch* epoch = AdoptedEpoch(membership);
  for (int index = 0; epoch != nullptr && index < class_limit; ++index) {
    const Member* owner = SlotOwner(*epoch, resource, index, tuning);
    if (owner->id != membership.self && MayBeAlive(membership, owner->id, tuning, now)) {
      lenders.push_back(owner->id.name);
    }
  }
  return lenders;
}

void SendLoanRequest(LimitsState& state,
                     const MembershipState& membership,
                     const std::string& resource,
                     const UpstreamLimits& limits,
                     WorkClass work_class,
                     const Tuning& tuning,
                     const Now& now,
                     Effects& effects) {
  const int class_limit = ClassLimit(EffectiveLimit(state, resource, limits, tuning, now),
                                     work_class, limits.served, tuning);
  const bool asked =
      std::any_of(state.pending_loans.begin(), state.pending_loans.end(), [&](const auto& entry) {
        return entry.second.upstream == resource &&
               now.monotonic < entry.second.sent + tuning.loan_start;
      });
  const bool lent =
      std::any_of(state.unused_loans.begin(), state.unused_loans.end(), [&](const auto& entry) {
        return entry.second.upstream == resource && work_class <= entry.second.work_class &&
               now.monotonic < entry.second.start_before;
      });
  const bool own = MayStartWork(membership, tuning, now) && HasFreeOwnSlot(limits, class_limit);
  if (asked || lent || own) {
    return;
  }
  const auto lenders = CandidateLenders(membership, resource, class_limit, tuning, now);
  if (lenders.empty()) {
    return;
  }
  const std::uint64_t loan = state.next_loan++;
  const std::uint64_t place = Hash(membership.self.name + '/' + std::to_string(loan));
  const HostName& lender = lenders[place % lenders.size()];
  state.pending_loans[loan] = {resource, now.monotonic, lender, work_class, false};
  SendToPeer(membership, lender, LoanRequest{loan, resource, static_cast<std::uint8_t>(work_class)},
             effects);
}

void CheckLoans(LimitsState& state,
                const MembershipState& membership,
                const Tuning& tuning,
                const Now& now,
                Effects& effects) {
  const bool send = !state.loans_checked_at ||
                    now.monotonic - *state.loans_checked_at >= 2 * tuning.heartbeat_interval;
  if (send) {
    state.loans_checked_at = now.monotonic;
  }
  ForEachResource(state, [&](const std::string& name, UpstreamLimits& limits) {
    for (auto& [index, slot] : limits.slots) {
      if (slot.phase != SlotPhase::kLent) {
        continue;
      }
      if (MayBeAlive(membership, slot.borrower, tuning, now)) {
        slot.borrower_unreachable_since.reset();
        if (send) {
          SendToPeer(membership, slot.borrower.name, LoanCheck{slot.loan, name}, effects);
        }
      } else if (!slot.borrower_unreachable_since) {
        slot.borrower_unreachable_since = now.monotonic;
      } else if (now.monotonic - *slot.borrower_unreachable_since >= tuning.fence) {
        // The borrower starts no more work; the load report shows what it still runs.
        slot.phase = SlotPhase::kAwaitingFence;
        slot.needs_report = true;
        slot.fenced_at = now.monotonic;
        slot.borrower_unreachable_since.reset();
      }
    }
  });
}

}  // namespace

void HandleLoanRequest(LimitsState& state,
                       const MembershipState& membership,
                       const HostId& from,
                       const LoanRequest& message,
                       const Tuning& tuning,
                       const Now& now,
                       Effects& effects) {
  LoanReply answer{message.loan, message.upstream, -1, 0};
  UpstreamLimits* limits = FindResource(state, message.upstream);
  if (limits != nullptr) {
    SlotEntry* entry = FindLent(*limits, from, message.loan);
    const bool repeated = entry != nullptr;
    if (!repeated && MayStartWork(membership, tuning, now) &&
        !IsPeerWorkUnknown(*limits, tuning, now)) {
      const int limit = EffectiveLimit(state, message.upstream, *limits, tuning, now);
      entry = FindLendable(*limits, ClassLimit(limit, ClassOf(message), limits->served, tuning));
    }
    if (entry != nullptr) {
      answer.slot = entry->first;
      answer.upstream_incarnation = limits->ramp.incarnation;
      if (!repeated) {
        entry->second.phase = SlotPhase::kLent;
        entry->second.loan = message.loan;
        entry->second.borrower = from;
        entry->second.borrower_unreachable_since.reset();
      }
    }
  }
  SendToPeer(membership, from.name, answer, effects);
}

bool HandleLoanReply(LimitsState& state,
                     const MembershipState& membership,
                     const HostId& from,
                     const LoanReply& message,
                     const Tuning& tuning,
                     const Now& now,
                     Effects& effects) {
  const auto pending = state.pending_loans.find(message.loan);
  if (pending == state.pending_loans.end() || pending->second.refused ||
      pending->second.lender != from.name || pending->second.upstream != message.upstream) {
    if (message.slot >= 0 && !IsKnownLoan(state, from.name, message.loan, tuning, now)) {
      SendToPeer(membership, from.name, LoanReturned{message.loan, message.upstream}, effects);
    }
    return false;
  }
  if (message.slot < 0) {
    pending->second.refused = true;
    return false;
  }
  const LimitsState::PendingLoan request = pending->second;
  state.pending_loans.erase(pending);
  // If the lender is not the owner in this host's epoch, it may have been replaced.
  const Epoch* epoch = AdoptedEpoch(membership);
  const Member* owner =
      epoch == nullptr ? nullptr : SlotOwner(*epoch, message.upstream, message.slot, tuning);
  const TimePoint start_before = request.sent + tuning.loan_start;
  if (now.monotonic >= start_before || owner == nullptr || owner->id != from) {
    SendToPeer(membership, from.name, LoanReturned{message.loan, message.upstream}, effects);
    return false;
  }
  state.unused_loans[message.loan] = Loan{message.upstream,
                                          message.slot,
                                          from,
                                          message.loan,
                                          request.work_class,
                                          start_before,
                                          message.upstream_incarnation};
  return true;
}

void ReturnStaleLoans(LimitsState& state,
                      const MembershipState& membership,
                      const Tuning& tuning,
                      Effects& effects) {
  const Epoch& epoch = *AdoptedEpoch(membership);
  for (auto entry = state.unused_loans.begin(); entry != state.unused_loans.end();) {
    const Loan& loan = entry->second;
    if (SlotOwner(epoch, loan.upstream, loan.slot, tuning)->id == loan.lender) {
      ++entry;
      continue;
    }
    SendToPeer(membership, loan.lender.name, LoanReturned{loan.number, loan.upstream}, effects);
    entry = state.unused_loans.erase(entry);
  }
}

void HandleLoanCheck(const LimitsState& state,
                     const MembershipState& membership,
                     const HostId& from,
                     const LoanCheck& message,
                     const Tuning& tuning,
                     const Now& now,
                     Effects& effects) {
  if (!IsKnownLoan(state, from.name, message.loan, tuning, now)) {
    SendToPeer(membership, from.name, LoanReturned{message.loan, message.upstream}, effects);
  }
}

bool HandleLoanReturned(LimitsState& state,
                        const MembershipState& membership,
                        const HostId& from,
                        const LoanReturned& message,
                        Effects& effects) {
  UpstreamLimits* limits = FindResource(state, message.upstream);
  SlotEntry* entry = limits == nullptr ? nullptr : FindLent(*limits, from, message.loan);
  if (entry == nullptr) {
    return false;
  }
  FreeSlot(state, membership, message.upstream, entry->first, effects);
  return true;
}

void MaintainLoans(LimitsState& state,
                   const MembershipState& membership,
                   const Tuning& tuning,
                   const Now& now,
                   Effects& effects) {
  for (auto pending = state.pending_loans.begin(); pending != state.pending_loans.end();) {
    pending = IsPending(pending->second, tuning, now) ? std::next(pending)
                                                      : state.pending_loans.erase(pending);
  }
  for (auto loan = state.unused_loans.begin(); loan != state.unused_loans.end();) {
    if (now.monotonic < loan->second.start_before) {
      ++loan;
      continue;
    }
    SendToPeer(membership, loan->second.lender.name,
               LoanReturned{loan->first, loan->second.upstream}, effects);
    loan = state.unused_loans.erase(loan);
  }
  CheckLoans(state, membership, tuning, now, effects);
}

}  // namespace internal

void RequestLoan(LimitsState& state,
                 const MembershipState& membership,
                 const SlotRequest& request,
                 const Tuning& tuning,
                 const Now& now,
                 Effects& effects) {
  const auto found = state.upstreams.find(request.upstream);
  if (found == state.upstreams.end()) {
    return;
  }
  internal::SendLoanRequest(state, membership, request.upstream, found->second, request.work_class,
                            tuning, now, effects);
  const auto zone = state.zones.find(found->second.limited_zone);
  if (zone != state.zones.end()) {
    internal::SendLoanRequest(state, membership, ZoneResource(zone->first), zone->second,
                              request.work_class, tuning, now, effects);
  }
}

}  // namespace snipeturn
