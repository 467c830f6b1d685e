// Part of experiment: benchmark of the decision pipeline, without sockets or message encoding.
#ifndef SAPPHIREFLOW_EXPERIMENT_DECISION_BENCH_H_
#define SAPPHIREFLOW_EXPERIMENT_DECISION_BENCH_H_

#include <string>

namespace sapphireflow {

/// @brief Measures decisions per second: of one shard at several numbers of workers, and of
/// several shards with one thread each.
///
/// One decision covers a task from submission through start and end to the answer.
std::string MeasureDecisions();

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_EXPERIMENT_DECISION_BENCH_H_
