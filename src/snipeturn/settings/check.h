#pragma once

#include <json/value.h>

#include <string>
#include <vector>

#include "snipeturn/settings/schema.h"

namespace snipeturn {

/// A difference between two settings trees.
struct SettingsDifference {
  /// Path of the value.
  std::string path;
  /// "added", "removed" or "changed".
  std::string kind;
  /// What callers or operators notice, or the values.
  std::string effect;
};

/// @brief Validates a whole settings tree.
/// @param tree The tree.
/// @return All faults against the schemas; if there are none, the first reference that is wrong.
///     Empty if and only if daemons accept the tree.
[[nodiscard]] std::vector<DocumentFault> FindTreeFaults(const Json::Value& tree);

/// @brief Finds settings that are valid but have no effect, or contradict one another.
/// @param tree A tree without faults.
/// @return The findings; `allowed` is empty.
[[nodiscard]] std::vector<DocumentFault> FindUnusedSettings(const Json::Value& tree);

/// @brief Compares two settings trees.
/// @param before The tree in force.
/// @param after The tree that is to replace it.
/// @return The differences by path.
[[nodiscard]] std::vector<SettingsDifference> CompareTrees(const Json::Value& before,
                                                           const Json::Value& after);

}  // namespace snipeturn
