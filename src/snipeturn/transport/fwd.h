#pragma once

namespace snipeturn {

class BodySource;
class HttpServer;
class JsonRpcServer;
class SseParser;
struct HttpResponse;
struct HttpRequest;
struct ServerRequest;
struct ServerResponse;
struct SseEvent;

}  // namespace snipeturn
