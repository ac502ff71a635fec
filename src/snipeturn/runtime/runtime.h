#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "snipeturn/base/time.h"
#include "snipeturn/reducer/effect.h"
#include "snipeturn/reducer/event.h"
#include "snipeturn/runtime/pollers.h"
#include "snipeturn/settings/options.h"

namespace snipeturn {

/// The runtime's interface to the reducer. All functions are called from one thread.
struct ReducerPort {
  std::function<Effects(const Event& event, const Now& now)> reduce;
  std::function<std::optional<TimePoint>()> next_due;
  std::function<bool()> is_draining;
  /// Returns the upstreams whose load is polled if they changed since the last call, else nothing.
  std::function<std::optional<std::vector<LoadTarget>>()> changed_targets;
};

/// @brief Creates a reducer port with a new reducer state.
/// @param options The daemon's options.
/// @return The port, whose functions share ownership of the state.
[[nodiscard]] ReducerPort MakeReducerPort(const Options& options);

/// Limits of thread pools, queues, connections and buffers.
struct RuntimeBounds {
  std::size_t max_streams{1024};
  std::size_t max_calls{256};
  std::size_t max_appends{16};
  std::size_t max_queued_appends{1024};
  std::size_t max_peer_threads{64};
  std::size_t max_queued_per_peer{32};
  std::size_t max_load_threads{32};
  std::size_t max_probes{16};
  unsigned int max_connections{2048};
  std::size_t max_caller_buffer{std::size_t{1} << 20U};
  /// Maximum time to wait for open responses after the reducer's Exit effect.
  std::chrono::milliseconds exit_wait{30000};
};

/// Runs the daemon's I/O: turns requests, messages and timers into events for the reducer and
/// executes the effects that the reducer returns.
class Runtime {
 public:
  /// @brief Creates a runtime; Start() begins its work.
  /// @param options The daemon's options.
  /// @param port The interface to the reducer.
  /// @param bounds Limits of threads and buffers.
  Runtime(Options options, ReducerPort port, const RuntimeBounds& bounds = {});
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;
  /// Stops immediately and waits for in-flight exchanges to end or time out.
  ~Runtime();

  /// @brief Starts the HTTP server, the reducer's thread and the pollers.
  /// @param last_reason Receives the reason when the runtime can't start.
  /// @return True on success.
  [[nodiscard]] bool Start(std::string& last_reason);

  /// Starts a graceful shutdown; may be called from any thread.
  void RequestShutdown();

  /// Waits until the reducer has finished its shutdown and all responses have been sent, or until
  /// RuntimeBounds::exit_wait after the former.
  void AwaitExit();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace snipeturn
