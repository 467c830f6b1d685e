// Part of ownership: the workers of some services that this VM owns, and the runs that wait for
// capacity on them.
#ifndef SAPPHIREFLOW_OWNERSHIP_OWNER_SHARD_H_
#define SAPPHIREFLOW_OWNERSHIP_OWNER_SHARD_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "sapphireflow/dispatch/capacity_view.h"
#include "sapphireflow/observe/repeat_filter.h"
#include "sapphireflow/ownership/coordinator_liveness.h"
#include "sapphireflow/ownership/detail/worker_session.h"
#include "sapphireflow/ownership/listing_freshness.h"
#include "sapphireflow/ownership/owner_event.h"
#include "sapphireflow/ownership/speed_estimator.h"
#include "sapphireflow/ownership/start_order_policy.h"
#include "sapphireflow/ownership/worker_choice.h"
#include "sapphireflow/pipeline/filter.h"
#include "sapphireflow/placement/outlier_detector.h"
#include "sapphireflow/recovery/crash_history.h"

namespace sapphireflow {

/// @brief The policies of an owner shard.
class OwnerPolicies {
 public:
  OwnerPolicies(std::unique_ptr<StartOrderPolicy> order, std::unique_ptr<WorkerChoice> choice,
                std::unique_ptr<OutlierDetector> outliers)
      : m_order(std::move(order)), m_choice(std::move(choice)), m_outliers(std::move(outliers)) {}
  const StartOrderPolicy& order() const { return *m_order; }
  const WorkerChoice& choice() const { return *m_choice; }
  OutlierDetector& outliers() const { return *m_outliers; }

 private:
  // invariant: none is null
  std::unique_ptr<StartOrderPolicy> m_order;
  std::unique_ptr<WorkerChoice> m_choice;
  std::unique_ptr<OutlierDetector> m_outliers;
};

/// @brief Decides which run starts on which worker, and when. Thread-safe: one lock.
///
/// Only the owner requests starts on a worker, so its account of the runs there is exact, and even
/// a worker that starts every run that it is asked to start is never overloaded.
class OwnerShard : public Filter<OwnerInput, OwnerEffects> {
 public:
  /// All references must outlive the shard.
  /// @param next_call counter of call numbers, shared by all shards
  /// @param peer_capacity what other owners offer
  /// @param crashes which tasks may crash their workers
  /// @param liveness until when the coordinators of runs were certainly running
  OwnerShard(const NodeId& self, const LeaseLimits& limits, OwnerPolicies policies,
             TokenSource& tokens, std::atomic<CallNumber>& next_call,
             const CapacityView& peer_capacity, const CrashHistory& crashes,
             const CoordinatorLiveness& liveness, const ListingFreshness& freshness);

  OwnerEffects Apply(const OwnerInput& in) override;

  /// @brief Free capacity of the shard's workers, by service. Complexity: linear in workers and
  /// runs.
  std::vector<CapacityDigest> Digests() const;
  /// @brief Number of runs on workers of evacuated zones, by zone. Complexity: linear in workers.
  std::map<std::string, std::size_t> EvacuatedRuns() const;

 private:
  // coordinators repeat an adoption until it is answered, and after each loss of a link
  static constexpr Duration kAdoptionLogInterval = std::chrono::seconds(5);

  using Session = detail::WorkerSession;
  using Delta = detail::SessionDelta;
  struct OwnedWorker {
    OwnedWorker(WorkerListing listing, FencingToken token, const LeaseLimits& limits,
                const CoordinatorLiveness& liveness, Instant now)
        : session(std::move(listing), token, limits, liveness, now) {}
    Session session;
    // owned only while the worker's primary owner is unreachable
    bool standby = false;
    // how often in a row the worker refused this owner's token
    std::uint32_t refusals = 0;
    // earliest time to reacquire the worker after a refusal
    Instant reacquire_at{};
    // when the worker may leave at the earliest, by its notice; empty without one
    std::optional<Instant> leaves_at;
  };

  void On(const WorkerAssignment& event, Instant now, OwnerEffects& out);
  void On(const CoordinatorLost& event, Instant now, OwnerEffects& out);
  void On(const PlaceRuns& event, Instant now, OwnerEffects& out);
  void On(const CancelRuns& event, Instant now, OwnerEffects& out);
  void On(const AdoptRun& event, Instant now, OwnerEffects& out);
  void On(const StartReplied& event, Instant now, OwnerEffects& out);
  void On(const RenewalReplied& event, Instant now, OwnerEffects& out);
  void On(const OwnerTick& event, Instant now, OwnerEffects& out);
  void On(const EvacuatedZones& event, Instant now, OwnerEffects& out);

  // logs an adoption unless it repeats an earlier one with the same result
  void LogAdoption(const AdoptRun& adoption, detail::AdoptedState state, Instant now,
                   OwnerEffects& out);
  void ApplyDelta(OwnedWorker& owned, const Delta& delta, Instant now, OwnerEffects& out);
  // another owner may have extended the leases of all workers until now
  void OnPossibleTakeover(Instant now);
  // declines new runs that do not fit here if another owner advertises enough free capacity
  void RedirectNewRuns();
  void DeclineOverdue(Instant now);
  // marks the workers that are in evacuated zones
  void MarkEvacuated();
  // declines runs that could only run on evacuated workers; linear in waiting runs and workers
  void DeclineEvacuated();
  // declines the waiting runs that cannot end before their deadlines. Complexity: linear in the
  // waiting runs, and in the workers if any run is in question.
  void DeclineHopeless(Instant now, OwnerEffects& out);
  // takes over the notice of the worker's listing
  static void UpdateNotice(OwnedWorker& owned, Instant now);
  // whether the worker stays until a run of this length ends
  bool StaysFor(const OwnedWorker& owned, Duration estimate, Instant now) const;
  // Stops the runs that their coordinators have not confirmed lately. They, or callers whose
  // coordinators have ended, are about to start them again.
  void StopOrphans(OwnedWorker& owned, Instant now, OwnerEffects& out);
  // stops the runs of the same task that the coordinator of a newer run has replaced
  void StopReplacedRuns(const RunKey& run, const NodeId& coordinator);
  // whether a worker of this owner has a run of the task
  bool HasRunOf(const TaskKey& task) const;
  // whether the run would have to be stopped at once, because its coordinator may have given it up
  bool IsOrphaned(const WaitingRun& waiting, Instant now) const;
  void StartWaiting(Instant now, OwnerEffects& out);
  bool TryStart(const WaitingRun& waiting, const std::set<WorkerId>& reserved, Instant now,
                OwnerEffects& out);
  // Workers on which nothing else starts until a waiting run can have them alone: those with the
  // fewest runs, at most a share of the usable ones.
  std::set<WorkerId> ReserveForLoneRuns(Instant now) const;
  void ReportAnswersOfSuspects(const OwnedWorker& owned, OwnerEffects& out) const;
  void LogLoss(const OwnedWorker& owned, const WorkerLoss& loss, Instant now,
               OwnerEffects& out) const;
  // how many runs the worker may have at once, given how earlier ones ended
  std::uint32_t AllowedRuns(const Session& session, Instant now) const;
  // @param confinement the workers to which the run's queue is confined; null if it is not
  bool IsEligible(const OwnedWorker& owned, const WaitingRun& waiting,
                  const WorkerFilter& confinement, Instant now) const;
  // whether another owner could start the run at once
  bool HasFreeCapacityElsewhere(const WaitingRun& waiting, bool include_other_zones) const;
  void SendStopsAndRenewals(Instant now, OwnerEffects& out);
  void Decline(const WaitingRun& waiting, const std::string& reason);
  void DeclineAll(const std::string& reason);
  // whether a reply of any worker was lost recently
  bool UseShortTimeouts(Instant now) const;
  // Sends the pending reports. Reports of starts are held back until there is another report for
  // the same coordinator, unless `all` is set.
  void FlushReports(bool all, OwnerEffects& out);
  // digests of the given workers, or of all workers with free capacity if none are given
  std::vector<CapacityDigest> DigestsLocked(const std::set<WorkerId>& only_workers) const;
  CapacityUpdate CapacityUpdateFor(const std::vector<RunReport>& reports) const;

  const NodeId m_self;
  const LeaseLimits m_limits;
  TokenSource& m_tokens;
  std::atomic<CallNumber>& m_next_call;
  const CapacityView& m_peer_capacity;
  const CrashHistory& m_crashes;
  const CoordinatorLiveness& m_liveness;
  const ListingFreshness& m_freshness;

  mutable std::mutex m_mutex;
  // all below guarded by m_mutex
  OwnerPolicies m_policies;
  SpeedEstimator m_speeds;
  std::map<WorkerId, OwnedWorker> m_workers;
  std::vector<WaitingRun> m_waiting;
  EvacuatedZones m_evacuated;
  // runs recently released to other owners, for coordinators that missed the report
  struct Released {
    // other coordinators of the same job use the same run numbers
    NodeId coordinator;
    WorkerId worker;
    Instant at;
  };
  std::map<RunKey, Released> m_released;
  // runs that were unknown when they were cancelled and reported as absent: a start order that
  // arrives later must be declined
  std::map<RunKey, Instant> m_cancelled;
  // unsent reports by coordinator; between events these are only reports of starts
  std::map<NodeId, std::vector<RunReport>> m_reports;
  // adoptions that were logged
  using LoggedAdoption = std::tuple<RunKey, NodeId, detail::AdoptedState>;
  RepeatFilter<LoggedAdoption> m_logged_adoptions{kAdoptionLogInterval};
  // time of the current or last event
  Instant m_now{};
  // when a reply of any worker was last lost
  Instant m_last_lost_reply_at{};
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OWNERSHIP_OWNER_SHARD_H_
