#include <docopt/docopt.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <map>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "snipeturn/transport/http_client.h"
#include "snipeturn/transport/json_text.h"
#include "tools/load/caller.h"

namespace {

using namespace snipeturn;
using namespace snipeturn::load;

constexpr char kUsage[] =
    R"(Generates a seeded load with a bounded number of open calls and measures it at the caller.

Calls start at times that don't depend on the responses (open loop). With a baseline policy
(round-robin, least-load) calls go directly to the engines and services, not through the daemons.

Usage:
  snipeturn_load [options]

Options:
  --policy=NAME    snipeturn, round-robin or least-load [default: snipeturn].
  --hosts=LIST     Daemons as address:port, separated by commas; required for snipeturn.
  --engines=LIST   Engines as address:port; their /stats are read under every policy.
  --services=LIST  Plain services as address:port; their /stats are read under every policy.
  --keys=LIST      Bearer keys, one per organisation; the first two organisations are large
                   [default: none].
  --model=NAME     Model of completions [default: flor-1].
  --service=NAME   Plain service of critical calls [default: outlet-ops].
  --rate=N         Calls per second [default: 5].
  --seconds=N      Time in which calls start [default: 8].
  --seed=N         Seed of the workload [default: 1].
  --json           Print one JSON value instead of lines.
)";

// Bounds the threads of this program; calls beyond it are counted as failures.
constexpr int kMaxOpenCalls = 256;
constexpr std::chrono::seconds kPollInterval{1};

using Arguments = std::map<std::string, docopt::value>;

struct Options {
  WorkloadOptions workload;
  CallerOptions caller;
  std::vector<Endpoint> hosts;
  std::vector<Endpoint> engines;
  std::vector<Endpoint> services;
};

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  boost::algorithm::split(parts, text, boost::algorithm::is_any_of(","));
  return parts;
}

std::vector<Endpoint> ReadEndpoints(const Arguments& arguments, const std::string& option) {
  std::vector<Endpoint> endpoints;
  if (!arguments.at(option).isString()) {
    return endpoints;
  }
  for (const std::string& text : Split(arguments.at(option).asString())) {
    const std::size_t colon = text.rfind(':');
    const auto port = ParseNumber(text.substr(colon == std::string::npos ? 0 : colon + 1));
    if (colon == std::string::npos || !port || *port > 65535) {
      throw std::invalid_argument(fmt::format("{}: '{}' is not address:port", option, text));
    }
    endpoints.push_back({text.substr(0, colon), static_cast<int>(*port)});
  }
  return endpoints;
}

Options ReadOptions(const Arguments& arguments) {
  Options options;
  const auto policy = ParsePolicy(arguments.at("--policy").asString());
  if (!policy) {
    throw std::invalid_argument("--policy: unknown policy");
  }
  options.caller.policy = *policy;
  options.caller.model = arguments.at("--model").asString();
  options.caller.service = arguments.at("--service").asString();
  options.caller.keys = Split(arguments.at("--keys").asString());
  options.hosts = ReadEndpoints(arguments, "--hosts");
  options.engines = ReadEndpoints(arguments, "--engines");
  options.services = ReadEndpoints(arguments, "--services");
  options.workload.rate = std::stod(arguments.at("--rate").asString());
  options.workload.duration = std::chrono::seconds{arguments.at("--seconds").asLong()};
  options.workload.seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
  options.workload.organisations = options.caller.keys.size();
  if (options.engines.empty() || options.services.empty() ||
      (*policy == Policy::kSnipeturn && options.hosts.empty())) {
    throw std::invalid_argument(
        "--engines and --services are required, and --hosts for the policy snipeturn");
  }
  return options;
}

Json::Value ReadStats(const Endpoint& endpoint) {
  HttpRequest request;
  request.endpoint = endpoint;
  request.target = "/stats";
  request.timeout = std::chrono::seconds{5};
  std::string parse_error;
  const auto stats = ParseJson(Exchange(request).body, parse_error);
  if (!stats || !stats->isObject()) {
    throw std::runtime_error(
        fmt::format("port {} returned no JSON object for /stats", endpoint.port));
  }
  return *stats;
}

std::int64_t Preemptions(const std::vector<Endpoint>& engines) {
  std::int64_t sum = 0;
  for (const Endpoint& engine : engines) {
    sum += ReadStats(engine)["preemptions"].asInt64();
  }
  return sum;
}

/// Starts each call at its planned time and waits for all of them to end.
void Run(const Options& options, Measurements& measurements) {
  const bool through_hosts = options.caller.policy == Policy::kSnipeturn;
  TargetPolicy engines{options.caller.policy, through_hosts ? options.hosts : options.engines};
  TargetPolicy services{options.caller.policy, through_hosts ? options.hosts : options.services};
  std::atomic<bool> stopped{false};
  std::thread poller{[&] {
    while (!stopped) {
      engines.PollLoads();
      services.PollLoads();
      std::this_thread::sleep_for(kPollInterval);
    }
  }};
  std::atomic<int> open{0};
  std::vector<std::thread> callers;
  const Clock::time_point start_time = Clock::now();
  for (const PlannedCall& call : DrawWorkload(options.workload)) {
    std::this_thread::sleep_until(start_time + call.start);
    if (open >= kMaxOpenCalls) {
      CallResult result;
      result.work_class = call.work_class;
      result.failure = "too_many_open_calls";
      measurements.AddResult(std::move(result));
      continue;
    }
    ++open;
    TargetPolicy& policy = call.work_class == WorkClass::kCritical ? services : engines;
    callers.emplace_back([&options, &measurements, &open, call, target = policy.Choose()] {
      MakeCall(options.caller, call, target, measurements);
      --open;
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  stopped = true;
  poller.join();
}

/// Checks the outcomes of calls with an idempotency key against the executions that the services
/// counted.
Json::Value CheckExecutions(const Options& options, const Measurements& measurements) {
  std::map<std::string, int> executions;
  for (const Endpoint& service : options.services) {
    const Json::Value stats = ReadStats(service);
    for (const std::string& key : stats["executions"].getMemberNames()) {
      executions[key] += stats["executions"][key].asInt();
    }
  }
  int repeated = 0;
  int answered_but_not_run = 0;
  int run_but_refused = 0;
  for (const CallResult& result : measurements.results()) {
    const int count = result.key.empty() ? 0 : executions[result.key];
    repeated += count > 1 ? 1 : 0;
    answered_but_not_run += !result.key.empty() && result.is_answered && count == 0 ? 1 : 0;
    run_but_refused += result.is_refused_as_not_run && count > 0 ? 1 : 0;
  }
  Json::Value checks;
  checks["executed_more_than_once"] = repeated;
  checks["answered_but_not_executed"] = answered_but_not_run;
  checks["refused_as_not_run_but_executed"] = run_but_refused;
  return checks;
}

Json::Value Measure(const Options& options) {
  Measurements measurements;
  const std::int64_t preemptions = Preemptions(options.engines);
  Run(options, measurements);
  Json::Value summary = measurements.Summary();
  summary["seconds"] = Json::Int64{options.workload.duration.count()};
  summary["preemptions"] = Json::Int64{Preemptions(options.engines) - preemptions};
  int peak = 0;
  for (const Endpoint& engine : options.engines) {
    peak = std::max(peak, ReadStats(engine)["peak_concurrency"].asInt());
  }
  // The engine's peak since its own start, which may precede this run.
  summary["engine_peak_concurrency"] = peak;
  summary["exactly_once"] = CheckExecutions(options, measurements);
  return summary;
}

void PrintLines(const Json::Value& summary) {
  for (const std::string& name : summary.getMemberNames()) {
    fmt::print("{}: {}\n", name, WriteJson(summary[name]));
  }
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  try {
    const Json::Value summary = Measure(ReadOptions(arguments));
    if (arguments.at("--json").asBool()) {
      fmt::print("{}\n", WriteJson(summary));
    } else {
      PrintLines(summary);
    }
  } catch (const std::exception& error) {
    fmt::print(stderr, "snipeturn_load: {}\n", error.what());
    return 1;
  }
  return 0;
}
