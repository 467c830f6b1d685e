// Part of experiment: measures how memory, message sizes and CPU time grow, for docs/CAPACITY.md.
#ifndef SAPPHIREFLOW_EXPERIMENT_CAPACITY_BENCH_H_
#define SAPPHIREFLOW_EXPERIMENT_CAPACITY_BENCH_H_

#include <string>

namespace sapphireflow {

/// @brief Measures memory, encoded bytes and CPU time against the number of jobs, workers, peers,
/// table rows, successor notes and tasks.
/// @return one line per quantity: its value at three sizes, and the slope between the smallest and
/// the largest size.
std::string MeasureCapacity();

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_EXPERIMENT_CAPACITY_BENCH_H_
