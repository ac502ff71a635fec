#pragma once

#include <cstdint>

namespace snipeturn::loop {

/// Local number of a caller's connection.
using ConnectionKey = std::uint64_t;

class CallerConnection;
class Connection;
class EntryRuntime;
class HttpClient;
class LogWriter;
class PeerSocket;
struct HttpHead;
struct MemoryAccount;
struct WireCodec;

}  // namespace snipeturn::loop
