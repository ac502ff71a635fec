#include "standins/engine/generation_reader.h"

#include <fmt/format.h>

#include <utility>

#include "standins/common/json.h"

namespace snipeturn::standin {

GenerationReader::GenerationReader(Engine& engine,
                                   const EventFaults& faults,
                                   ReaderTicket ticket,
                                   std::uint64_t from,
                                   std::shared_ptr<Connection> connection)
    : engine_{engine},
      faults_{faults},
      ticket_{std::move(ticket)},
      incarnation_{engine.incarnation()},
      next_index_{from},
      connection_{std::move(connection)} {}

GenerationReader::~GenerationReader() {
  engine_.Detach(ticket_);
}

std::optional<std::string> GenerationReader::Next() {
  if (ended_) {
    return std::nullopt;
  }
  switch (Wait(next_index_)) {
    case ReadResult::kToken:
      return NextTokens();
    case ReadResult::kDone:
      ended_ = true;
      return "data: [DONE]\n\n";
    case ReadResult::kSuperseded:
      ended_ = true;
      return "event: superseded\ndata: {}\n\n";
    case ReadResult::kCancelled:
      ended_ = true;
      return "event: cancelled\ndata: {}\n\n";
    default:
      connection_->Cut();
      return std::nullopt;
  }
}

ReadResult GenerationReader::Wait(std::uint64_t index) const {
  ReadResult result = ReadResult::kPending;
  while (result == ReadResult::kPending) {
    result = engine_.WaitForToken(ticket_, index);
    if (result == ReadResult::kPending && !connection_->is_open()) {
      return ReadResult::kFailed;
    }
  }
  return result;
}

std::string GenerationReader::NextTokens() {
  const std::uint64_t reorder = faults_.reorder_every;
  const std::uint64_t duplicate = faults_.duplicate_every;
  const std::uint64_t index = next_index_++;
  std::string events = TokenEvent(index);
  // Counts tokens of this connection rather than using the index: otherwise a reader that resumes
  // after a fault would hit the same fault at the same token again.
  ++sent_tokens_;
  if (reorder > 0 && sent_tokens_ % reorder == 0 && Wait(next_index_) == ReadResult::kToken) {
    events = TokenEvent(next_index_++) + events;
  }
  if (duplicate > 0 && sent_tokens_ % duplicate == 0) {
    events += TokenEvent(index);
  }
  return events;
}

std::string GenerationReader::TokenEvent(std::uint64_t index) const {
  Json::Value choice;
  choice["index"] = 0;
  choice["text"] = TokenText(ticket_.generation, index);
  Json::Value event;
  event["id"] = ticket_.generation;
  event["incarnation"] = Json::UInt64{incarnation_};
  event["token_index"] = Json::UInt64{index};
  event["choices"].append(std::move(choice));
  return fmt::format("data: {}\n\n", WriteJson(event));
}

}  // namespace snipeturn::standin
