#include "snipeturn/settings/path.h"

#include <algorithm>

namespace snipeturn {
namespace internal {

constexpr std::string_view kNameCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";

bool IsName(std::string_view name) noexcept {
  return !name.empty() && name.size() <= kMaxNameLength &&
         name.find_first_not_of(kNameCharacters) == std::string_view::npos;
}

}  // namespace internal

std::optional<SettingsPath> ParseSettingsPath(std::string_view text) {
  SettingsPath path;
  if (text == "/") {
    return path;
  }
  if (text.empty() || text.front() != '/') {
    return std::nullopt;
  }
  while (!text.empty()) {
    text.remove_prefix(1);
    const std::string_view name = text.substr(0, text.find('/'));
    if (!internal::IsName(name) || path.size() == kMaxPathDepth) {
      return std::nullopt;
    }
    path.emplace_back(name);
    text.remove_prefix(name.size());
  }
  return path;
}

std::string FormatSettingsPath(const SettingsPath& path) {
  std::string text;
  for (const std::string& name : path) {
    text += '/';
    text += name;
  }
  return text.empty() ? "/" : text;
}

bool IsAtOrBelow(std::string_view path, std::string_view ancestor) noexcept {
  if (ancestor == "/") {
    return true;
  }
  return path.substr(0, ancestor.size()) == ancestor &&
         (path.size() == ancestor.size() || path[ancestor.size()] == '/');
}

bool PathsOverlap(std::string_view left, std::string_view right) noexcept {
  return IsAtOrBelow(left, right) || IsAtOrBelow(right, left);
}

const Json::Value* FindValue(const Json::Value& tree, const SettingsPath& path) {
  const Json::Value* value = &tree;
  for (const std::string& name : path) {
    value = value->isObject() ? value->find(name.data(), name.data() + name.size()) : nullptr;
    if (value == nullptr) {
      return nullptr;
    }
  }
  return value;
}

bool SetValue(Json::Value& tree, const SettingsPath& path, const Json::Value& value) {
  if (path.empty()) {
    tree = value.isNull() ? Json::Value(Json::objectValue) : value;
    return true;
  }
  SettingsPath ancestors;
  for (auto name = path.begin(); name != path.end(); ++name) {
    const Json::Value* container = FindValue(tree, ancestors);
    if (container == nullptr) {
      // Nothing exists below a missing object, so there is nothing to delete.
      if (value.isNull()) {
        return true;
      }
      break;
    }
    if (!container->isObject()) {
      return false;
    }
    ancestors.push_back(*name);
  }
  Json::Value* container = &tree;
  for (auto name = path.begin(); name + 1 != path.end(); ++name) {
    container = &(*container)[*name];
  }
  if (value.isNull()) {
    container->removeMember(path.back());
  } else {
    (*container)[path.back()] = value;
  }
  return true;
}

}  // namespace snipeturn
