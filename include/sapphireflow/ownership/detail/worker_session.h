// Part of ownership: one worker under one owner: its lease, its runs and what is not known yet.
#ifndef SAPPHIREFLOW_OWNERSHIP_DETAIL_WORKER_SESSION_H_
#define SAPPHIREFLOW_OWNERSHIP_DETAIL_WORKER_SESSION_H_

#include <atomic>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sapphireflow/ownership/lease_limits.h"
#include "sapphireflow/ownership/ownership_event.h"
#include "sapphireflow/ownership/start_order.h"

namespace sapphireflow::detail {

/// @brief A report with the coordinator that it is for.
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

/// @brief A run that ended well, for the speed estimate.
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

/// @brief What a session has to tell after an event.
struct SessionNews {
  std::vector<AddressedReport> reports;
  std::vector<FinishedRun> finished;
  // runs that failed or were lost through the worker
  std::uint32_t failures = 0;
  // another owner has a higher token
  bool fenced = false;
  // an answer was lost
  bool answer_lost = false;
};

/// @brief State of one owned worker. Not thread-safe: its shard's lock guards it.
///
/// Room is counted from what was ordered, not from what was confirmed: a run holds its room from
/// the start order until it is known to have ended or never to start.
class WorkerSession {
 public:
  enum class Phase {
    kTaking,  ///< a renewal under a new token is under way; what runs there is not known
    kHeld,    ///< the worker obeys this owner
    kFenced,  ///< another owner took it
    kOver,    ///< the worker's process ended
  };

  WorkerSession(WorkerListing listing, FencingToken token, const LeaseLimits& limits, Instant now);

  const WorkerListing& listing() const { return m_listing; }
  Phase phase() const { return m_phase; }
  FencingToken token() const { return m_token; }
  std::size_t runs() const { return m_runs.size(); }
  void UpdateListing(const WorkerListing& listing) { m_listing = listing; }

  /// @brief Whether new runs may be sent: held, answering, and all that runs there is known.
  bool Usable() const;
  /// @return capacity less all runs. Complexity: linear in the runs.
  Resources Room() const;
  /// @return runs of the step on this worker. Complexity: linear in the runs.
  std::uint32_t CountOfStep(const TaskKey& task) const;

  /// @param hasty whether answers are being lost, so that shorter limits hold
  StartRun Start(const WaitingRun& waiting, CallNumber call, Instant now, bool hasty);
  void OnStartReply(const StartReplied& reply, CallNumber newest_call, Instant now,
                    SessionNews& news);
  void OnRenewal(const RenewalReplied& reply, Instant now, SessionNews& news);
  /// @return false if the worker must be taken anew to tell how the run fares.
  bool Adopt(const AdoptRun& adoption, Instant now, SessionNews& news);
  /// @brief Marks a coordinator's run, or one that nobody has adopted, for stopping.
  /// @return whether the session knows the run.
  bool Cancel(const RunKey& run, const NodeId& coordinator);
  void CancelAllOf(const NodeId& coordinator);
  /// @brief Marks runs that take far longer than declared. @return how many.
  std::uint32_t CancelStragglers(double slowness, Instant now);
  /// @brief Ends what has lapsed by now for want of answers.
  void ExpireLeases(Instant now, SessionNews& news);
  /// @brief The worker's process has ended, and all its runs with it.
  void EndLife(const std::string& reason, SessionNews& news);
  /// @brief Gives all runs up to the worker's next owner.
  void Release(SessionNews& news);

  /// @brief Takes the worker anew: all orders under lower tokens become void with the answer.
  void Retake(FencingToken token, Instant now);
  /// @return the renewal that is due now, if any.
  /// @param hasty as for `Start`
  std::optional<RenewLease> NextRenewal(CallNumber call, Instant now, bool hasty);
  /// @return stop orders that are due now. @param next_call gives call numbers
  std::vector<StopRun> DueStops(std::atomic<CallNumber>& next_call, Instant now);

 private:
  enum class RunPhase { kStarting, kRunning };
  struct Run {
    // not set: found running when the worker was taken over, and not adopted yet
    std::optional<NodeId> coordinator;
    Resources needs;
    Duration estimate{};
    RunPhase phase = RunPhase::kStarting;
    FencingToken start_token = 0;
    CallNumber start_call = 0;
    // renewals with higher call numbers must list the run
    CallNumber known_by_call = 0;
    Instant since{};
    // the task ended badly on another worker before
    bool repeated = false;
    bool stop_wanted = false;
    bool straggler = false;
    Instant stop_sent{};
  };
  using Runs = std::map<RunKey, Run>;

  void Tell(const RunKey& run, const Run& record, RunNews what, RunEnd end,
            const std::string& reason, SessionNews& news) const;
  void Fence(SessionNews& news);
  void TakeEnds(const WorkerReport& report, Instant now, SessionNews& news);
  void CompareRunning(const RenewalReplied& reply, Instant now, SessionNews& news);
  // whether a failed run says something of the worker, not only of its job
  bool TellsOfWorker(const RunKey& run, const Run& record);
  bool NewerRenewalUnderWay(CallNumber call) const;
  std::int64_t LeaseUntil(Instant now) const;
  WorkerCall MakeCall(CallNumber call, std::int64_t lease_until_ms) const;

  WorkerListing m_listing;
  FencingToken m_token;
  const LeaseLimits m_limits;
  Phase m_phase = Phase::kTaking;
  Runs m_runs;
  // ends of runs that nobody has adopted yet
  std::map<RunKey, RunEnd> m_unclaimed_ends;
  std::uint64_t m_acknowledged = 0;
  // calls of renewals on their way
  std::map<CallNumber, Instant> m_renewals;
  CallNumber m_newest_answered = 0;
  // when this life of the worker last told its lists
  Instant m_answered_at{};
  bool m_renew_now = true;
  Instant m_renew_at{};
  std::uint32_t m_missed = 0;
  bool m_suspect = false;
  // start orders in a row that got no answer
  std::uint32_t m_lost_starts = 0;
  // the job whose failure was counted last
  std::optional<JobKey> m_failed_job;
  // the worker's clock at one of our points in time; not set before the first answer
  std::optional<std::int64_t> m_clock_ms;
  Instant m_clock_read_at{};
  // last order, of this owner or of one before, that may have prolonged the lease
  Instant m_lease_sent;
};

}  // namespace sapphireflow::detail

#endif  // SAPPHIREFLOW_OWNERSHIP_DETAIL_WORKER_SESSION_H_
