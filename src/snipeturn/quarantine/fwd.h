#pragma once

#include <cstdint>

namespace snipeturn::quarantine {

/// Hash of the id of a prompt part. Ids may be of any length; the hash bounds memory and messages.
using PartId = std::uint64_t;
/// Hash of an attempt; the same attempt has the same id on all hosts.
using EntryId = std::uint64_t;
/// Hash of an upstream's incarnation, which ends only once.
using CrashId = std::uint64_t;

struct CrashEntry;
struct CrashLog;
struct Suspect;

}  // namespace snipeturn::quarantine
