// Part of ownership: the workers of some services that this VM commands, and the runs that wait
// for them.
#ifndef SAPPHIREFLOW_OWNERSHIP_OWNER_SHARD_H_
#define SAPPHIREFLOW_OWNERSHIP_OWNER_SHARD_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "sapphireflow/dispatch/room_board.h"
#include "sapphireflow/ownership/detail/worker_session.h"
#include "sapphireflow/ownership/ownership_event.h"
#include "sapphireflow/ownership/speed_estimator.h"
#include "sapphireflow/ownership/start_order.h"
#include "sapphireflow/ownership/worker_choice.h"
#include "sapphireflow/pipeline/filter.h"
#include "sapphireflow/placement/outlier_detector.h"

namespace sapphireflow {

/// @brief The policies of an owner shard.
class OwnerPolicies {
 public:
  OwnerPolicies(std::unique_ptr<StartOrder> order, std::unique_ptr<WorkerChoice> choice,
                std::unique_ptr<OutlierDetector> outliers)
      : m_order(std::move(order)), m_choice(std::move(choice)), m_outliers(std::move(outliers)) {}
  const StartOrder& order() const { return *m_order; }
  const WorkerChoice& choice() const { return *m_choice; }
  OutlierDetector& outliers() const { return *m_outliers; }

 private:
  // invariant: none is null
  std::unique_ptr<StartOrder> m_order;
  std::unique_ptr<WorkerChoice> m_choice;
  std::unique_ptr<OutlierDetector> m_outliers;
};

/// @brief Decides which run starts where and when. Thread-safe: one lock.
///
/// Only the owner orders starts on a worker, so its count of what runs there is exact, and a
/// worker that starts whatever it is told is never overloaded.
class OwnerShard : public Filter<OwnerInput, OwnerEffects> {
 public:
  /// All references outlive the shard.
  OwnerShard(const NodeId& self, const LeaseLimits& limits, OwnerPolicies policies,
             TokenSource& tokens, std::atomic<CallNumber>& next_call, const RoomBoard& peers);

  OwnerEffects Apply(const OwnerInput& in) override;

  /// @brief What the shard's workers offer, by service. Complexity: linear in workers and runs.
  std::vector<RoomDigest> Digests() const;

 private:
  using Session = detail::WorkerSession;
  using Effects = detail::SessionEffects;
  struct Owned {
    Owned(WorkerListing listing, FencingToken token, const LeaseLimits& limits, Instant now)
        : session(std::move(listing), token, limits, now) {}
    Session session;
    bool deputized = false;
    std::uint32_t refusals = 0;
    Instant retry_at{};
  };

  void On(const WorkerAssignment& event, Instant now, OwnerEffects& out);
  void On(const CoordinatorLost& event, Instant now, OwnerEffects& out);
  void On(const PlaceRuns& event, Instant now, OwnerEffects& out);
  void On(const CancelRuns& event, Instant now, OwnerEffects& out);
  void On(const AdoptRun& event, Instant now, OwnerEffects& out);
  void On(const StartReplied& event, Instant now, OwnerEffects& out);
  void On(const RenewalReplied& event, Instant now, OwnerEffects& out);
  void On(const OwnerTick& event, Instant now, OwnerEffects& out);

  void TakeIn(Owned& owned, const Effects& session_effects, Instant now, OwnerEffects& out);
  // returns new orders that find no room here, if another owner has some
  void SendBack();
  void DeclineOverdue(Instant now);
  void StartWaiting(Instant now, OwnerEffects& out);
  bool TryStart(const WaitingRun& waiting, Instant now, OwnerEffects& out);
  // how many runs the worker may hold, from how its runs have ended
  std::uint32_t AllowedRuns(const Session& session, Instant now) const;
  bool MayTake(const Owned& owned, const WaitingRun& waiting, Instant now) const;
  void Upkeep(Instant now, OwnerEffects& out);
  void Decline(const WaitingRun& waiting, const std::string& reason);
  void DeclineAll(const std::string& reason);
  // whether a reply of any worker was lost recently
  bool UseShortTimeouts(Instant now) const;
  // news of starts wait for other news to the same coordinator, or for the next tick
  void FlushReports(bool all, OwnerEffects& out);
  // of the workers named only, or of all with room
  std::vector<RoomDigest> DigestsLocked(const std::set<WorkerId>& named) const;
  RoomUpdate RoomsFor(const std::vector<RunReport>& reports) const;

  const NodeId m_self;
  const LeaseLimits m_limits;
  TokenSource& m_tokens;
  std::atomic<CallNumber>& m_next_call;
  const RoomBoard& m_peers;

  mutable std::mutex m_mutex;
  // all below guarded by m_mutex
  OwnerPolicies m_policies;
  SpeedEstimator m_speeds;
  std::map<WorkerId, Owned> m_workers;
  std::vector<WaitingRun> m_waiting;
  // runs given up to other owners not long ago, for coordinators that missed the report
  struct Released {
    WorkerId worker;
    Instant at;
  };
  std::map<RunKey, Released> m_released;
  // runs told as absent when they were cancelled: an order that comes after must not start
  std::map<RunKey, Instant> m_cancelled;
  // reports not sent yet, by coordinator; beyond an event only news of starts
  std::map<NodeId, std::vector<RunReport>> m_reports;
  Instant m_now{};
  // when an answer of any worker was lost last
  Instant m_answer_lost_at{};
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OWNERSHIP_OWNER_SHARD_H_
