// Part of dispatch: a lower bound of run times, for decisions to give up.
#ifndef SAPPHIREFLOW_DISPATCH_SHORTEST_RUN_TIME_H_
#define SAPPHIREFLOW_DISPATCH_SHORTEST_RUN_TIME_H_

#include <algorithm>

#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Shortest plausible run time of a task: measured run times differ from declared ones by up
/// to a factor of two either way.
/// @param slowness smallest known ratio of expected to declared run time; over 1 it does not count
inline Duration ShortestRunTime(Duration estimate, double slowness = 1.0) {
  constexpr double kShortestShare = 0.5;
  return FromMillis(ToMillis(estimate) * kShortestShare * std::min(slowness, 1.0));
}

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_DISPATCH_SHORTEST_RUN_TIME_H_
