#pragma once

namespace snipeturn {

struct Cursor;
struct Request;
struct RequestsState;

}  // namespace snipeturn
