#pragma once

namespace snipeturn::capacity {

struct Baseline;
struct Estimate;
struct Evidence;
struct HostEvidence;
struct Observation;
struct Row;

}  // namespace snipeturn::capacity
