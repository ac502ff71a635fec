#pragma once

#include <string>
#include <tuple>

#include "snipeturn/base/fwd.h"

namespace snipeturn {

/// IP address and TCP port.
struct Endpoint {
  std::string address;
  int port{0};
};

/// One incarnation of a host. A restarted or replaced host keeps its name and gets a new
/// incarnation.
struct HostId {
  HostName name;
  Incarnation incarnation{0};
};

[[nodiscard]] inline bool operator==(const Endpoint& left, const Endpoint& right) noexcept {
  return left.port == right.port && left.address == right.address;
}

[[nodiscard]] inline bool operator==(const HostId& left, const HostId& right) noexcept {
  return left.incarnation == right.incarnation && left.name == right.name;
}

[[nodiscard]] inline bool operator!=(const HostId& left, const HostId& right) noexcept {
  return !(left == right);
}

[[nodiscard]] inline bool operator<(const HostId& left, const HostId& right) noexcept {
  return std::tie(left.name, left.incarnation) < std::tie(right.name, right.incarnation);
}

}  // namespace snipeturn
