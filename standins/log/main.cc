#include "standins/common/faults.h"
#include "standins/common/json.h"
#include "standins/common/program.h"
#include "standins/log/log_service.h"

namespace {

constexpr char kUsage[] = R"(Simulator of the platform's log and host list.

Usage:
  standin_log [options]

Options:
  --port=N                Port on loopback, 0 for a free one [default: 0].
  --retention-ms=N        Age at which records are dropped [default: 1800000].
  --list-lag-ms=N         Lag of the host list [default: 500].
  --host-ttl-ms=N         Time without renewal after which a host is removed [default: 3000].
  --appends-per-second=N  Rate limit of all appends together [default: 400].
)";

}  // namespace

int main(int argc, char** argv) {
  using namespace snipeturn::standin;
  const Arguments arguments = StartProgram(kUsage, argc, argv);
  LogOptions options;
  options.retention = Milliseconds(arguments, "--retention-ms");
  options.list_lag = Milliseconds(arguments, "--list-lag-ms");
  options.host_ttl = Milliseconds(arguments, "--host-ttl-ms");
  options.appends_per_second = static_cast<double>(Number(arguments, "--appends-per-second"));

  LogService service{options};
  const HttpServer server{static_cast<int>(Number(arguments, "--port")),
                          [&service](const HttpServer& self, const HttpRequest& request) {
                            if (request.path != "/control") {
                              return service.Handle(request);
                            }
                            const Json::Value control =
                                ParseJson(request.body).value_or(Json::Value{});
                            ApplyConnectionFaults(self, control, request.connection.get());
                            service.Control(control);
                            return JsonResponse(200, Json::objectValue);
                          }};
  ServeUntilSignal(server.port());
}
