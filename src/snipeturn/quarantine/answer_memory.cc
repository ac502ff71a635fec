#include "snipeturn/quarantine/answer_memory.h"

#include <algorithm>

namespace snipeturn::quarantine {
namespace internal {
namespace {

std::size_t PlaceOf(const AnswerMemory& memory, PartId part) noexcept {
  return part & (memory.places.size() - 1);
}

}  // namespace
}  // namespace internal

void StartRecording(AnswerMemory& memory, std::size_t max_bytes) {
  if (!memory.places.empty()) {
    return;
  }
  std::size_t places = 1;
  while (2 * places * sizeof(AnswerMemory::Place) <= max_bytes) {
    places *= 2;
  }
  memory.places.resize(places);
}

void StopRecording(AnswerMemory& memory) {
  memory.places = {};
}

void RememberAnswer(AnswerMemory& memory, const std::vector<PartId>& parts, TimePoint at) {
  if (memory.places.empty()) {
    return;
  }
  const auto units = static_cast<std::uint32_t>(at.time_since_epoch() / kAnswerTimeUnit);
  for (const PartId part : parts) {
    AnswerMemory::Place& place = memory.places[internal::PlaceOf(memory, part)];
    const auto known = std::find_if(place.begin(), place.end(), [part](const auto& slot) {
      return slot.part == part && slot.at > 0;
    });
    const auto slot =
        known != place.end()
            ? known
            : std::min_element(place.begin(), place.end(), [](const auto& left, const auto& right) {
                return left.at < right.at;
              });
    *slot = {part, known != place.end() ? std::max(known->at, units) : units};
  }
}

std::vector<PartId> AnsweredSince(const AnswerMemory& memory, TimePoint time, TimePoint& oldest) {
  std::vector<PartId> parts;
  for (const AnswerMemory::Place& place : memory.places) {
    for (const AnswerMemory::Slot& slot : place) {
      const TimePoint at(slot.at * kAnswerTimeUnit);
      if (slot.at > 0 && at > time) {
        oldest = parts.empty() ? at : std::min(oldest, at);
        parts.push_back(slot.part);
      }
    }
  }
  return parts;
}

std::optional<TimePoint> LastAnswer(const AnswerMemory& memory, PartId part) noexcept {
  if (memory.places.empty()) {
    return std::nullopt;
  }
  for (const AnswerMemory::Slot& slot : memory.places[internal::PlaceOf(memory, part)]) {
    if (slot.part == part && slot.at > 0) {
      return TimePoint(slot.at * kAnswerTimeUnit);
    }
  }
  return std::nullopt;
}

}  // namespace snipeturn::quarantine
