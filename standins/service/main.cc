#include "standins/common/faults.h"
#include "standins/common/json.h"
#include "standins/common/program.h"
#include "standins/service/service.h"

namespace {

constexpr char kUsage[] = R"(Simulator of a plain service.

Usage:
  standin_service [options]

Options:
  --port=N              Port on loopback, 0 for a free one [default: 0].
  --latency-ms=N        Duration of a call [default: 20].
  --slots=N             Maximum concurrent calls [default: 16].
  --cold-slots=N        Concurrent calls that a cold service can serve [default: 2].
  --cold-ms=N           Time until a cold service is warm [default: 3000].
  --cold-completions=N  Completed calls after which a cold service is warm [default: 16].
  --cold-slowdown=N     Latency multiplier when cold and overloaded [default: 8].
  --dedupe              Return the stored response for an idempotency key already executed.
)";

}  // namespace

int main(int argc, char** argv) {
  using namespace snipeturn::standin;
  const Arguments arguments = StartProgram(kUsage, argc, argv);
  ServiceOptions options;
  options.latency = Milliseconds(arguments, "--latency-ms");
  options.slots = static_cast<int>(Number(arguments, "--slots"));
  options.cold_slots = static_cast<int>(Number(arguments, "--cold-slots"));
  options.cold_time = Milliseconds(arguments, "--cold-ms");
  options.cold_completions = static_cast<int>(Number(arguments, "--cold-completions"));
  options.cold_slowdown = static_cast<int>(Number(arguments, "--cold-slowdown"));
  options.dedupe = arguments.at("--dedupe").asBool();

  Service service{options};
  const HttpServer server{static_cast<int>(Number(arguments, "--port")),
                          [&service](const HttpServer& self, const HttpRequest& request) {
                            if (request.path == "/load") {
                              return service.ReportLoad();
                            }
                            if (request.path == "/stats") {
                              return JsonResponse(200, service.Stats());
                            }
                            if (request.path != "/control") {
                              return service.Call(request);
                            }
                            const Json::Value control =
                                ParseJson(request.body).value_or(Json::Value{});
                            ApplyConnectionFaults(self, control, request.connection.get());
                            service.Control(control);
                            return JsonResponse(200, Json::objectValue);
                          }};
  ServeUntilSignal(server.port());
}
