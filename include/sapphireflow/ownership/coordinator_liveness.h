// Part of ownership: the interface through which owners learn until when a coordinator was running
// and wanted its runs.
#ifndef SAPPHIREFLOW_OWNERSHIP_COORDINATOR_LIVENESS_H_
#define SAPPHIREFLOW_OWNERSHIP_COORDINATOR_LIVENESS_H_

#include <cstdint>
#include <optional>

#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/job_order.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Proves that coordinators were running, and wanted a run, at a time by the clock of this
/// VM: a member that echoes a heartbeat was running after the heartbeat was sent, and its own
/// heartbeats name the runs that it may give up. Neither a pause of this VM nor a message that was
/// delayed moves that time. Thread-safe.
///
/// A caller whose coordinator has ended submits its job again `LeaseLimits::caller_return` later at
/// the earliest, and a coordinator replaces a run no sooner after it has begun to doubt it. Runs
/// that end within that time of a proof are not beside their successors.
class CoordinatorLiveness {
 public:
  virtual ~CoordinatorLiveness() = default;
  /// @return the newest time at which the process was certainly running; `now` for this VM itself,
  /// the epoch if there is no such time.
  virtual Instant AliveAt(const NodeId& coordinator, Instant now) const = 0;
  /// @return the newest time at which the coordinator certainly wanted the run, by its heartbeats;
  /// `now` for this VM itself, the epoch if there is no such time. Once a heartbeat names the run
  /// as doubted, the time stays as it was.
  virtual Instant WantedAt(const NodeId& coordinator, const RunKey& run, Instant now) const = 0;
  /// @return the same for a run whose coordinator is not known: the oldest time among all members.
  virtual Instant WantedByAllAt(const RunKey& run, Instant now) const = 0;
  /// @return when this VM sent the heartbeat that a message from the member echoes; empty if that
  /// is not known. The message was sent later.
  virtual std::optional<Instant> EchoedAt(const NodeId& member, std::uint64_t echo) const = 0;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OWNERSHIP_COORDINATOR_LIVENESS_H_
