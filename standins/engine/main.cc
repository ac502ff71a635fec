#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <optional>
#include <utility>

#include "standins/common/faults.h"
#include "standins/common/json.h"
#include "standins/common/program.h"
#include "standins/common/stated_signals.h"
#include "standins/engine/generation_reader.h"

namespace {

using namespace snipeturn::standin;

constexpr char kUsage[] = R"(Simulator of a model engine.

Usage:
  standin_engine [options]

Options:
  --port=N                    Port on loopback, 0 for a free one [default: 0].
  --models=LIST               Models served, separated by commas [default: flor-1].
  --step-us=N                 Duration of a step [default: 10000].
  --step-per-generation-us=N  Added to each step per running generation [default: 200].
  --prefill-us=N              Added to a step per uncached prompt token [default: 20].
  --memory-tokens=N           Memory for prompts and generated tokens [default: 65536].
  --cache-tokens=N            Memory for prompt prefixes [default: 16384].
  --slots=N                   Maximum generations in a batch [default: 16].
  --max-waiting=N             Maximum waiting generations [default: 64].
  --cold-slots=N              Generations that a cold engine can serve at once [default: 2].
  --cold-ms=N                 Time until a cold engine is warm [default: 5000].
  --cold-completions=N        Completions after which a cold engine is warm [default: 16].
  --cold-slowdown=N           Step time multiplier when cold and overloaded [default: 8].
  --report-lag-ms=N           Age of the load reports returned [default: 500].
  --reader-grace-ms=N         Time for which a generation is kept without a reader [default: 15000].
  --seed=N                    Seed for drawn lengths [default: 1].
  --drawn-lengths             Draw lengths of at most max_tokens; otherwise exactly max_tokens.
  --median-length=N           Median of drawn lengths [default: 150].
)";

EngineOptions ReadOptions(const Arguments& arguments) {
  using std::chrono::microseconds;
  EngineOptions options;
  options.step = microseconds{Number(arguments, "--step-us")};
  options.step_per_generation = microseconds{Number(arguments, "--step-per-generation-us")};
  options.prefill_per_token = microseconds{Number(arguments, "--prefill-us")};
  options.memory_tokens = static_cast<std::uint64_t>(Number(arguments, "--memory-tokens"));
  options.cache_tokens = static_cast<std::uint64_t>(Number(arguments, "--cache-tokens"));
  options.slots = static_cast<int>(Number(arguments, "--slots"));
  options.max_waiting = static_cast<int>(Number(arguments, "--max-waiting"));
  options.cold_slots = static_cast<int>(Number(arguments, "--cold-slots"));
  options.cold_time = Milliseconds(arguments, "--cold-ms");
  options.cold_completions = static_cast<int>(Number(arguments, "--cold-completions"));
  options.cold_slowdown = static_cast<int>(Number(arguments, "--cold-slowdown"));
  options.report_lag = Milliseconds(arguments, "--report-lag-ms");
  options.reader_grace = Milliseconds(arguments, "--reader-grace-ms");
  options.seed = static_cast<std::uint64_t>(Number(arguments, "--seed"));
  options.drawn_lengths = arguments.at("--drawn-lengths").asBool();
  options.median_length = static_cast<double>(Number(arguments, "--median-length"));
  const std::string models = arguments.at("--models").asString();
  boost::algorithm::split(options.models, models, boost::algorithm::is_any_of(","));
  return options;
}

HttpResponse RejectionResponse(int status, const char* reason) {
  Json::Value body;
  body["outcome"] = "not_run";
  body["reason"] = reason;
  return JsonResponse(status, std::move(body));
}

HttpResponse Stream(Engine& engine,
                    const EventFaults& faults,
                    const ReaderTicket& ticket,
                    std::uint64_t from,
                    const HttpRequest& request) {
  HttpResponse response;
  response.stream =
      std::make_unique<GenerationReader>(engine, faults, ticket, from, request.connection);
  return response;
}

HttpResponse Complete(Engine& engine,
                      const EventFaults& faults,
                      StatedSignals& signals,
                      const HttpRequest& request) {
  signals.RecordCall();
  const auto body = ParseJson(request.body);
  if (!body || !body->isObject() || !(*body)["prompt"].isString()) {
    return RejectionResponse(400, "no_prompt");
  }
  GenerationRequest generation;
  generation.model = (*body)["model"].asString();
  generation.prompt = (*body)["prompt"].asString();
  generation.max_tokens = (*body)["max_tokens"].asUInt64();
  generation.priority = (*body)["priority"].asInt();
  if (!engine.serves(generation.model)) {
    return RejectionResponse(404, "no_such_model");
  }
  const std::optional<int> max_running = signals.max_running();
  const auto ticket = engine.Start(generation, max_running);
  if (ticket) {
    return Stream(engine, faults, *ticket, 0, request);
  }
  return max_running ? signals.MakeRefusal() : RejectionResponse(503, "overloaded");
}

HttpResponse HandleGeneration(Engine& engine,
                              const EventFaults& faults,
                              const HttpRequest& request) {
  const std::string id = request.path.substr(request.path.rfind('/') + 1);
  if (request.method == "DELETE") {
    return JsonResponse(engine.Cancel(id) ? 200 : 404, Json::objectValue);
  }
  const auto ticket = engine.Resume(id);
  return ticket ? Stream(engine, faults, *ticket, QueryNumber(request, "from", 0), request)
                : JsonResponse(404, Json::objectValue);
}

HttpResponse HandleControl(const HttpServer& server,
                           Engine& engine,
                           EventFaults& faults,
                           StatedSignals& signals,
                           const HttpRequest& request) {
  const Json::Value control = ParseJson(request.body).value_or(Json::Value{});
  ApplyConnectionFaults(server, control, request.connection.get());
  faults.duplicate_every = control.get("duplicate_every", faults.duplicate_every.load()).asUInt64();
  faults.reorder_every = control.get("reorder_every", faults.reorder_every.load()).asUInt64();
  engine.Control(control);
  signals.Control(control);
  return JsonResponse(200, Json::objectValue);
}

HttpResponse Serve(Engine& engine,
                   const EventFaults& faults,
                   StatedSignals& signals,
                   const HttpRequest& request) {
  if (request.path == "/v1/completions") {
    return Complete(engine, faults, signals, request);
  }
  if (request.path.rfind("/v1/generations/", 0) == 0) {
    return HandleGeneration(engine, faults, request);
  }
  return request.path == "/load" ? JsonResponse(200, engine.Load())
                                 : RejectionResponse(404, "no_such_path");
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = StartProgram(kUsage, argc, argv);
  Engine engine{ReadOptions(arguments)};
  EventFaults faults;
  StatedSignals signals;
  const HttpServer server{static_cast<int>(Number(arguments, "--port")),
                          [&](const HttpServer& self, const HttpRequest& request) {
                            if (request.path == "/stats") {
                              Json::Value stats = engine.Stats();
                              signals.AddTo(stats);
                              return JsonResponse(200, std::move(stats));
                            }
                            if (request.path == "/control") {
                              return HandleControl(self, engine, faults, signals, request);
                            }
                            HttpResponse response = Serve(engine, faults, signals, request);
                            signals.AddTo(response);
                            return response;
                          }};
  ServeUntilSignal(server.port());
}
