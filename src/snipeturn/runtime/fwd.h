#pragma once

namespace snipeturn {

class AttemptRunner;
class CallerChannel;
class ChannelRegistry;
class EventQueue;
class LoadPollers;
class LogPollers;
class LogSink;
class MetricsRegistry;
class PeerSender;
class Runtime;
class StallWatch;
class WorkerPool;
struct ReducerPort;

}  // namespace snipeturn
