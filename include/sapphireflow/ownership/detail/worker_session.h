// Part of ownership: an owner's state for one worker: the lease, the runs and the unresolved calls.
#ifndef SAPPHIREFLOW_OWNERSHIP_DETAIL_WORKER_SESSION_H_
#define SAPPHIREFLOW_OWNERSHIP_DETAIL_WORKER_SESSION_H_

#include <atomic>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sapphireflow/model/worker_loss.h"
#include "sapphireflow/ownership/coordinator_liveness.h"
#include "sapphireflow/ownership/lease_limits.h"
#include "sapphireflow/ownership/owner_event.h"
#include "sapphireflow/ownership/start_order_policy.h"

namespace sapphireflow::detail {

/// @brief A run report and the coordinator that receives it.
class AddressedReport : public Comparable<AddressedReport> {
 public:
  AddressedReport(const NodeId& coordinator, RunReport report)
      : m_coordinator(coordinator), m_report(std::move(report)) {}
  const NodeId& coordinator() const { return m_coordinator; }
  const RunReport& report() const { return m_report; }
  auto Fields() const { return std::tie(m_coordinator, m_report); }

 private:
  NodeId m_coordinator;
  RunReport m_report;
};

/// @brief Declared and measured run time of a successful run; input of the speed estimate.
class FinishedRun : public Comparable<FinishedRun> {
 public:
  FinishedRun(Duration declared, Duration measured) : m_declared(declared), m_measured(measured) {}
  Duration declared() const { return m_declared; }
  Duration measured() const { return m_measured; }
  auto Fields() const { return std::tie(m_declared, m_measured); }

 private:
  Duration m_declared;
  Duration m_measured;
};

/// @brief What the owner shard has to act on after a session handled an event.
struct SessionDelta {
  std::vector<AddressedReport> reports;
  std::vector<FinishedRun> finished;
  // failed or lost runs, and failed starts, that count against the worker
  std::uint32_t failures = 0;
  // the worker refused the session's token: another owner has a higher one
  bool fenced = false;
  // a call to the worker got no reply
  bool reply_lost = false;
  // the loss of the worker with its runs, or what became of it
  std::vector<WorkerLoss> losses;
};

/// @brief A run that is stopped because its coordinator may have given it up.
class OrphanedRun : public Comparable<OrphanedRun> {
 public:
  OrphanedRun(const RunKey& run, const NodeId& coordinator, Instant wanted_at)
      : m_run(run), m_coordinator(coordinator), m_wanted_at(wanted_at) {}
  const RunKey& run() const { return m_run; }
  const NodeId& coordinator() const { return m_coordinator; }
  /// @brief When the coordinator was last certain to want it.
  Instant wanted_at() const { return m_wanted_at; }
  auto Fields() const { return std::tie(m_run, m_coordinator, m_wanted_at); }

 private:
  RunKey m_run;
  NodeId m_coordinator;
  Instant m_wanted_at;
};

/// @brief A run on a worker, and its coordinator if it has been claimed.
class KnownRun : public Comparable<KnownRun> {
 public:
  KnownRun(const RunKey& run, const std::optional<NodeId>& coordinator)
      : m_run(run), m_coordinator(coordinator) {}
  const RunKey& run() const { return m_run; }
  const std::optional<NodeId>& coordinator() const { return m_coordinator; }
  auto Fields() const { return std::tie(m_run, m_coordinator); }

 private:
  RunKey m_run;
  std::optional<NodeId> m_coordinator;
};

/// @brief What an owner knows of a run that a coordinator adopts.
enum class AdoptedState {
  kKnown,
  kUnknown,   ///< treated as starting until the worker reports its runs under a higher token
  kEnded,     ///< the worker has reported the end
  kNotOwner,  ///< the worker has another owner, or its process has ended
};

/// @brief State of one owned worker. Not thread-safe: guarded by the lock of its shard.
///
/// Capacity is accounted by requested starts, not by confirmed ones: a run occupies its resources
/// from the start request until it is known to have ended or to be unable to start.
class WorkerSession {
 public:
  enum class Phase {
    kAcquiring,   ///< the first renewal under a new token is pending; running tasks are unknown
    kHeld,        ///< the worker has accepted this owner's token
    kFenced,      ///< another owner holds the worker under a higher token
    kTerminated,  ///< the worker's process ended
  };

  /// @param liveness must outlive the session
  WorkerSession(WorkerListing listing, FencingToken token, const LeaseLimits& limits,
                const CoordinatorLiveness& liveness, Instant now);

  const WorkerListing& listing() const { return m_listing; }
  Phase phase() const { return m_phase; }
  FencingToken token() const { return m_token; }
  std::size_t runs() const { return m_runs.size(); }
  /// @brief When this incarnation of the worker last reported its runs.
  Instant answered_at() const { return m_answered_at; }
  /// @brief The first call since the last report that got no answer, and when it ended.
  std::optional<CallOutcome> first_sign() const { return m_first_sign; }
  Instant first_sign_at() const { return m_first_sign_at; }
  /// @brief Whether a run on this worker must not have others beside it.
  bool HasLoneRun() const;
  void UpdateListing(const WorkerListing& listing) { m_listing = listing; }

  /// @brief Whether the worker is in an evacuated zone.
  bool evacuated() const { return m_evacuated; }
  void SetEvacuated(bool evacuated) { m_evacuated = evacuated; }

  /// @brief Whether new runs may be started: the worker is held, responsive, not draining and not
  /// evacuated, and every run on it has a coordinator.
  bool Usable() const;
  /// @return the worker's capacity minus the needs of all its runs. Complexity: linear in the runs.
  Resources FreeCapacity() const;
  /// @return the number of runs on this worker that belong to the same step as `task`.
  /// Complexity: linear in the runs.
  std::uint32_t CountRunsOfStep(const TaskKey& task) const;

  /// @brief Records the run and returns the request that starts it.
  /// @param short_timeouts whether replies are being lost and shorter timeouts apply
  StartRun Start(const WaitingRun& waiting, CallNumber call, Instant now, bool short_timeouts);
  void OnStartReply(const StartReplied& reply, CallNumber newest_call, Instant now,
                    SessionDelta& delta);
  void OnRenewal(const RenewalReplied& reply, Instant now, SessionDelta& delta);
  /// @brief Assigns a run on the worker to the coordinator that claims it.
  AdoptedState Adopt(const AdoptRun& adoption, Instant now, SessionDelta& delta);
  /// @brief Requests the stop of a run that belongs to the coordinator or has not been adopted.
  /// @return whether there is such a run.
  bool Cancel(const RunKey& run, const NodeId& coordinator);
  void CancelAllRunsOf(const NodeId& coordinator);
  /// @brief Marks runs that take far longer than expected, and requests the stop of those of which
  /// another run could still end before the caller's deadline.
  /// @param slowness expected over declared run time on this worker
  /// @param read_until all ends that had arrived by then are known
  /// @return how many were newly marked.
  std::uint32_t CancelStragglers(double slowness, Instant read_until, Instant now);
  /// @brief Requests the stop of runs that their coordinators have not certainly wanted for
  /// `LeaseLimits::orphan_stop_after`.
  /// @return the runs that were newly marked.
  std::vector<OrphanedRun> CancelOrphans(Instant now);
  /// @return the number and coordinator of a run of the task, if there is one.
  std::optional<KnownRun> RunOf(const TaskKey& task) const;
  /// @brief Whether the lease of a run that starts now outlasts the start request.
  bool HasLeaseForStart(Instant now) const;
  /// @brief Reports all runs as lapsed once the lease of an unresponsive worker has expired.
  void ExpireLeases(Instant now, SessionDelta& delta);
  /// @brief Forgets calls without an answer: this process was stalled and may have missed it.
  void OnStall();
  /// @brief Records that another owner may have held the worker until now, and may have extended
  /// its lease.
  void OnPossibleTakeover(Instant now);
  /// @brief Handles the end of the worker's process, which ends all its runs.
  void EndIncarnation(const std::string& reason, Instant now, SessionDelta& delta);
  /// @brief Hands all runs over to the worker's next owner.
  void Release(SessionDelta& delta);

  /// @brief Switches to a higher token and requests a renewal under it. Once the worker replies,
  /// it refuses all requests under lower tokens.
  void Reacquire(FencingToken token, Instant now);
  /// @return the renewal that is due now, if any.
  /// @param call number of the call if one is made
  /// @param short_timeouts as for `Start`
  std::optional<RenewLease> NextRenewal(CallNumber call, Instant now, bool short_timeouts);
  /// @return the stop requests that are due now.
  /// @param next_call counter that provides the call numbers
  std::vector<StopRun> DueStops(std::atomic<CallNumber>& next_call, Instant now);

 private:
  enum class RunPhase { kStarting, kRunning };
  struct Run {
    // not set for a run that was found on a newly acquired worker and has not been adopted yet
    std::optional<NodeId> coordinator;
    Resources needs;
    Duration estimate{};
    RunPhase phase = RunPhase::kStarting;
    FencingToken start_token = 0;
    CallNumber start_call = 0;
    // the replies to renewals with higher call numbers list the run while it is running
    CallNumber must_list_after_call = 0;
    Instant tracked_since{};
    // the task failed or was lost on another worker before
    bool is_retry = false;
    // when its coordinator, or any possible one of an unclaimed run, last certainly wanted it
    Instant wanted_at{};
    // until when an end of the run is of use to the caller; not known for adopted runs
    std::optional<Instant> useful_until;
    // empty for adopted runs
    std::string queue;
    bool alone = false;
    bool must_stop = false;
    bool straggler = false;
    Instant stop_sent_at{};
  };
  using Runs = std::map<RunKey, Run>;

  // whether every run has a coordinator
  bool AllClaimed() const;

  void AddReport(const RunKey& run, const Run& record, RunTransition what, RunEnd end,
                 const std::string& reason, SessionDelta& delta) const;
  void MarkFenced(SessionDelta& delta);
  // records the outcome of a call that the worker has not answered
  void NoteNoAnswer(CallOutcome outcome, Instant now, SessionDelta& delta);
  // reports the loss of the worker with its runs, or a new state of a loss reported before
  void ReportLoss(LossState state, Instant now, SessionDelta& delta);
  WorkerLoss MakeLoss(LossState state, Instant lost_at) const;
  void ProcessEndedRuns(const WorkerReport& report, Instant now, SessionDelta& delta);
  void ReconcileRunning(const RenewalReplied& reply, Instant now, SessionDelta& delta);
  // whether a failed run is evidence against the worker rather than against its job; records the
  // job, so that only its first failure in a row counts
  bool CountsAgainstWorker(const RunKey& run, const Run& record);
  bool HasNewerRenewalInFlight(CallNumber call) const;
  // when the coordinator certainly wanted the run, by its heartbeats and the claim
  Instant ClaimedAt(const AdoptRun& adoption, Instant now) const;
  // latest end of the lease with regard to what is known of the runs' coordinators
  Instant LeaseBound() const;
  std::int64_t LeaseExpiryMs(Instant now) const;
  WorkerCall MakeCall(CallNumber call, std::int64_t lease_until_ms) const;

  WorkerListing m_listing;
  FencingToken m_token;
  const LeaseLimits m_limits;
  const CoordinatorLiveness& m_liveness;
  Phase m_phase = Phase::kAcquiring;
  bool m_evacuated = false;
  Runs m_runs;
  // how runs ended that have not been adopted yet
  std::map<RunKey, RunEnd> m_unclaimed_ends;
  // highest number of an ended run that was processed; acknowledged by the next renewal
  std::uint64_t m_acknowledged = 0;
  // renewals without a reply yet, with the time of sending
  std::map<CallNumber, Instant> m_pending_renewals;
  CallNumber m_newest_answered_call = 0;
  // when this incarnation of the worker last reported its runs, and under which token
  Instant m_answered_at{};
  FencingToken m_reported_token = 0;
  bool m_renewal_wanted = true;
  Instant m_renew_after{};
  std::uint32_t m_missed_renewals = 0;
  // a call failed or the token changed since the last report; no run is started meanwhile
  bool m_suspect = false;
  // the first call since the last report that got no answer
  std::optional<CallOutcome> m_first_sign;
  Instant m_first_sign_at{};
  // calls since then whose connection was closed or refused
  std::uint32_t m_closed_connections = 0;
  // the loss that has not been resolved, and whether it was reported
  std::optional<WorkerLoss> m_loss;
  bool m_loss_reported = false;
  // start requests in a row without a reply
  std::uint32_t m_consecutive_lost_starts = 0;
  // the job whose failure was last counted against the worker
  std::optional<JobKey> m_last_failed_job;
  // the worker's clock at local time m_worker_clock_read_at; not set before the first reply
  std::optional<std::int64_t> m_worker_clock_ms;
  Instant m_worker_clock_read_at{};
  // time of the last request, of this or an earlier owner, that may have extended the lease
  Instant m_lease_extended_at;
};

}  // namespace sapphireflow::detail

#endif  // SAPPHIREFLOW_OWNERSHIP_DETAIL_WORKER_SESSION_H_
