// Schedule of signals, restarts and changes that follow each other closely and overlap.
#ifndef SAPPHIREFLOW_TESTS_SOAK_SERIES_SCHEDULE_H_
#define SAPPHIREFLOW_TESTS_SOAK_SERIES_SCHEDULE_H_

#include "schedule.h"

namespace sapphireflow::soak {

/// @brief Series of signals on several nodes, of crashes on several workers and of changes of the
/// configuration, beside single faults. One seed in four has planned stops, reloads and changes
/// only.
class SeriesSchedule : public Schedule {
 public:
  SeriesSchedule(std::uint32_t seed, std::size_t nodes, std::size_t workers, Duration length);
  bool direct_callers() const override { return true; }

 private:
  // jobs whose task crashes each worker that starts it
  void AddDeadlyJobs(Duration at);
  void AddShrinking(std::size_t worker, Duration at);
  // all connections at once
  void AddConnectionLoss(Duration at);
  // an entry in the list of workers that names no worker to use
  void AddOddEntry(Duration at);
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_SERIES_SCHEDULE_H_
