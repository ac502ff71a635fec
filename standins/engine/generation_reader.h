#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "standins/common/http_server.h"
#include "standins/engine/engine.h"

namespace snipeturn::standin {

/// Injected duplication and reordering of events; 0 switches a fault off.
struct EventFaults {
  /// Every n-th event is sent twice.
  std::atomic<std::uint64_t> duplicate_every{0};
  /// Every n-th event is swapped with the next one.
  std::atomic<std::uint64_t> reorder_every{0};
};

/// Streams a generation as server-sent events.
class GenerationReader : public ByteSource {
 public:
  GenerationReader(Engine& engine,
                   const EventFaults& faults,
                   ReaderTicket ticket,
                   std::uint64_t from,
                   std::shared_ptr<Connection> connection);
  ~GenerationReader() override;

  [[nodiscard]] std::optional<std::string> Next() override;

 private:
  [[nodiscard]] ReadResult Wait(std::uint64_t index) const;
  [[nodiscard]] std::string TokenEvent(std::uint64_t index) const;
  [[nodiscard]] std::string NextTokens();

  Engine& engine_;
  const EventFaults& faults_;
  ReaderTicket ticket_;
  std::uint64_t incarnation_;
  std::uint64_t next_index_;
  /// Tokens sent on this connection.
  std::uint64_t sent_tokens_{0};
  std::shared_ptr<Connection> connection_;
  bool ended_{false};
};

}  // namespace snipeturn::standin
