#pragma once

#include <cstdint>

namespace snipeturn::quarantine {

/// Hash of the id of a prompt part; see `HashPart`. Ids may be of any length; the hash bounds
/// memory and messages. Of prompts with a thousand parts, one in four million has a part with the
/// hash of a given other one.
using PartId = std::uint32_t;
/// Hash of an attempt; the same attempt has the same id on all hosts.
using EntryId = std::uint64_t;
/// Hash of an upstream's incarnation, which ends only once.
using CrashId = std::uint64_t;

struct AnswerMemory;
struct CrashEntry;
struct CrashLog;
struct LostPrompts;
struct Sketch;
struct Suspect;

}  // namespace snipeturn::quarantine
