#pragma once

namespace snipeturn::ctl {

/// Exit codes of snipeturnctl, as listed in docs/modules/snipeturnctl.md.
enum ExitCode : int {
  kDone = 0,
  kRefused = 1,
  kUsage = 2,
  kNotReached = 3,
  kTimeout = 4,
  kUnknown = 5,
};

/// Exit codes of "snipeturnctl check".
enum CheckExitCode : int {
  kClean = 0,
  kWarnings = 1,
  kErrors = 2,
  kUnreadable = 3,
};

}  // namespace snipeturn::ctl
