// Part of recovery: what owners and coordinators ask about tasks that may crash their workers.
#ifndef SAPPHIREFLOW_RECOVERY_CRASH_HISTORY_H_
#define SAPPHIREFLOW_RECOVERY_CRASH_HISTORY_H_

#include <string>

#include "sapphireflow/model/address.h"
#include "sapphireflow/model/job_order.h"
#include "sapphireflow/model/time.h"
#include "sapphireflow/model/worker_filter.h"
#include "sapphireflow/model/worker_loss.h"

namespace sapphireflow {

/// @brief What the losses of its workers mean for the next run of a task.
enum class TaskStanding {
  kClear,     ///< it may run like any other
  kSuspect,   ///< it may run alone on a worker, so that another crash shows its cause
  kOnHold,    ///< it must not run before it is known whether its workers have crashed
  kCondemned  ///< it crashes its workers and must not run again
};

/// @brief Knowledge about lost workers. Thread-safe.
class CrashHistory {
 public:
  virtual ~CrashHistory() = default;
  virtual TaskStanding StandingOf(const TaskKey& task, Instant now) const = 0;
  /// @brief The workers that may run tasks of the queue. A crash-prone queue, whose tasks have
  /// crashed several workers within the last seconds, is confined to a part of them, the same part
  /// at every VM. Null if the queue is not crash-prone.
  virtual WorkerFilter ConfinementOf(const std::string& queue, Instant now) const = 0;
  /// @brief The workers to which crash-prone queues are confined. Null if there are none.
  virtual WorkerFilter ExposedWorkers(Instant now) const = 0;
  /// @brief Whether the process was reported lost before `answered_at`, and is not known to have
  /// crashed: its answer shows that it was only cut off.
  virtual bool IsSuspected(const WorkerIncarnation& incarnation, Instant answered_at) const = 0;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_RECOVERY_CRASH_HISTORY_H_
