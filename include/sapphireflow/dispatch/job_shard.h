// Part of dispatch: coordinates jobs from submission to answer.
#ifndef SAPPHIREFLOW_DISPATCH_JOB_SHARD_H_
#define SAPPHIREFLOW_DISPATCH_JOB_SHARD_H_

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "sapphireflow/dispatch/capacity_view.h"
#include "sapphireflow/dispatch/job_event.h"
#include "sapphireflow/dispatch/job_feasibility.h"
#include "sapphireflow/dispatch/owner_lookup.h"
#include "sapphireflow/pipeline/filter.h"
#include "sapphireflow/recovery/crash_history.h"

namespace sapphireflow {

/// @brief Time after the loss of contact with an owner by which its runs have certainly ended.
class LapseTimes : public Comparable<LapseTimes> {
 public:
  LapseTimes(Duration worker_lapse, Duration claim_lapse, Duration lapse,
             Duration unconfirmed_lapse)
      : m_worker_lapse(worker_lapse),
        m_claim_lapse(claim_lapse),
        m_lapse(lapse),
        m_unconfirmed_lapse(unconfirmed_lapse) {}
  /// @brief After this time the runs of a worker that is silent have ended for its owner.
  Duration worker_lapse() const { return m_worker_lapse; }
  /// @brief A run that no claim or heartbeat has confirmed for this long has ended: no owner has
  /// extended its lease beyond that.
  Duration claim_lapse() const { return m_claim_lapse; }
  /// @brief Applies to runs whose start the owner has reported.
  Duration lapse() const { return m_lapse; }
  /// @brief Applies to runs whose start it has not reported: their orders may still be queued
  /// there.
  Duration unconfirmed_lapse() const { return m_unconfirmed_lapse; }
  auto Fields() const {
    return std::tie(m_worker_lapse, m_claim_lapse, m_lapse, m_unconfirmed_lapse);
  }

 private:
  Duration m_worker_lapse;
  // invariant: exceeds LeaseLimits::max_orphan_lease
  Duration m_claim_lapse;
  // invariant: at least m_claim_lapse
  Duration m_lapse;
  // invariant: exceeds m_lapse by the longest time that an order may be in transit and queued
  Duration m_unconfirmed_lapse;
};

/// @brief Coordinates jobs: places their runs with owners, retries failed and lost runs, and
/// answers the callers. Thread-safe: one lock.
///
/// Two runs of one task never execute concurrently: a task is placed again only after its last run
/// was declined, was reported as ended, or has certainly lapsed with its worker's lease.
class JobShard : public Filter<JobInput, JobEffects> {
 public:
  /// All references must outlive the shard.
  JobShard(const NodeId& self, const LapseTimes& times, CapacityView& capacity_view,
           const OwnerLookup& owners, const CrashHistory& crashes,
           std::unique_ptr<JobFeasibility> feasibility);

  JobEffects Apply(const JobInput& in) override;
  /// @brief Number of jobs with a waiting caller.
  std::size_t OpenJobs() const;
  /// @brief Whether the job is in progress or was answered lately, so that another submission gets
  /// the same answer. A job that was abandoned counts as new. Complexity: constant.
  bool Knows(JobKey key) const;
  /// @brief Number of jobs of the queue of which no task has started.
  std::size_t WaitingJobs(const std::string& queue) const;
  /// @return the owners that may have a run of this shard's jobs. Complexity: linear in the tasks.
  std::set<NodeId> OwnersInUse() const;
  /// @return the runs that may be placed again, here or by another coordinator, without a report of
  /// their end. Complexity: linear in the tasks.
  std::vector<RunKey> DoubtedRuns() const;

 private:
  // retry delay for a refused caller if no owner is known
  static constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

  // kBlocked: waits for an earlier step; kReady: to be placed; kPlaced: sent to an owner;
  // kOrphaned: sent, but contact with the owner was lost or the worker has a new owner
  enum class TaskPhase { kBlocked, kReady, kPlaced, kOrphaned, kDone };
  struct Task {
    TaskPhase phase = TaskPhase::kBlocked;
    std::uint32_t run_number = 0;
    // runs that ended for any reason
    std::uint32_t ended_runs = 0;
    NodeId owner;
    // worker of the current run; empty until its start is reported
    WorkerId worker;
    std::uint32_t failures = 0;
    std::uint32_t declines = 0;
    // not placed again before
    Instant place_again_at{};
    // workers on which runs of the task failed or were lost, each once
    std::vector<WorkerId> avoid;
    void Avoid(const WorkerId& id) {
      if (std::find(avoid.begin(), avoid.end(), id) == avoid.end()) avoid.push_back(id);
    }
    // the process that has the current run, as listed when its start was reported
    std::optional<WorkerIncarnation> incarnation;
    // whether the current run has its worker alone
    bool alone = false;
    // deadline that its owner was told with the current run
    Instant placed_until{};
    // all valid only while orphaned
    Instant orphaned_at{};
    // when the last claim or heartbeat that confirms the run may have been sent
    Instant claimed_at{};
    Instant next_request_at{};
    // adoption and cancel requests sent
    std::uint32_t requests = 0;
  };
  struct Caller {
    RequestToken token = 0;
    // after this time the answer is of no use to it
    Instant deadline{};
  };
  // a submission of a job whose last runs are still being stopped
  struct Resubmission {
    SubmitJobOrder event;
    Instant received_at;
    Instant deadline() const { return received_at + event.order()->answer_timeout(); }
  };
  struct Job {
    JobOrderPtr order;
    // callers that wait for the answer, each with the time of its own; empty once answered
    std::vector<Caller> callers;
    Instant received_at{};
    // indexed by step and by position within the step
    std::vector<std::vector<Task>> tasks;
    // whether a run may have been started
    bool may_have_run = false;
    // cannot be served: the job is refused once none of its runs can start any more
    bool refusing = false;
    // the last deadline of a caller when the refusal began; valid only while refusing
    Instant refused_until{};
    // answered or abandoned; kept until its last run has ended
    bool closing = false;
    Instant last_cancel_at{};
    // valid only while closing
    std::vector<Resubmission> resubmissions;
  };
  struct Finished {
    JobVerdict verdict = JobVerdict::kCompleted;
    Instant at{};
  };
  // highest run number of a removed job that has no entry in m_finished
  struct HighestRunNumber {
    std::uint32_t highest = 0;
    Instant at{};
  };
  using Jobs = std::unordered_map<JobKey, Job>;
  using Batches = std::map<NodeId, std::vector<RunOrder>>;

  void On(const SubmitJobOrder& event, Instant now, JobEffects& out);
  void On(const CallerDisconnected& event, Instant now, JobEffects& out);
  void On(const JobOrderRequest& event, Instant now, JobEffects& out);
  void On(const RunReports& event, Instant now, JobEffects& out);
  void On(const OwnerLost& event, Instant now, JobEffects& out);
  void On(const OwnerLinkLost& event, Instant now, JobEffects& out);
  void On(const JobTick& event, Instant now, JobEffects& out);

  // whether the job is in the queue and none of its tasks has started
  static bool IsWaiting(const Job& job, const std::string& queue);
  std::optional<Error> AdmissionError(const JobOrder& order, Duration time_left, Instant now,
                                      Duration* retry_after) const;
  // when the caller of a job that is refused now may come back
  Duration RetryAfterRoom(const JobOrder& order, Instant now) const;
  // Closes a job with a task that must not run again, or can no longer run in time.
  // @return whether it did.
  bool GiveUpCrashing(Job& job, Instant now, JobEffects& out);
  // Refuses or closes a job that cannot end before its caller's deadline.
  // @return whether it did.
  bool GiveUpLate(Job& job, Instant now, JobEffects& out);
  static std::vector<StepState> StatesOf(const Job& job);
  // the last deadline of a caller that waits for the job
  static Instant DeadlineOf(const Job& job);
  // @param received_at when the submission arrived, from which its caller's time counts
  void Submit(const SubmitJobOrder& event, Instant received_at, Instant now, JobEffects& out);
  void Admit(const SubmitJobOrder& event, Instant received_at, Instant now, JobEffects& out);
  void NoteStall(Instant now);
  // whether this process has just stalled and may not have read yet that the job's caller has left
  bool MayHaveLeft(const Job& job, Instant now) const;
  void UnblockSteps(Job& job) const;
  void PlaceReady(Job& job, Instant now, JobEffects& out);
  void HandleReport(const NodeId& owner, const RunReport& report, Instant now, JobEffects& out);
  void OnEnded(Job& job, Task& task, const RunReport& report, Instant now, JobEffects& out);
  void OnDeclined(Job& job, Task& task, const RunReport& report, Instant now, JobEffects& out);
  void LogDeclined(const Job& job, const Task& task, const RunReport& report, Instant now,
                   JobEffects& out) const;
  // called after a run has ended: places ready tasks, or completes a refusal in progress
  void ContinueJob(Job& job, Instant now, JobEffects& out);
  // starts the recovery of the current run of a task; `why` is for the log
  static void Orphan(const TaskKey& key, Task& task, const char* why, Instant now, JobEffects& out);
  static void LogRecovered(const TaskKey& key, const Task& task, Instant now, JobEffects& out);
  void HandleOrphans(Job& job, Instant now, JobEffects& out);
  // whether the run has certainly ended, by the leases that its owners may have granted
  bool HasLapsed(const Task& task, Instant now) const;
  void Close(Job& job, JobVerdict verdict, std::optional<Error> cause, Instant now,
             JobEffects& out);
  // keeps the answer for copies of the submission that arrive late
  void Remember(JobKey key, JobVerdict verdict, Instant now);
  // withdraws the runs of a job that has not started, to refuse it
  void StartRefusal(Job& job, Instant now, JobEffects& out);
  // whether runs of higher priorities leave the job no time to run
  bool IsCrowdedOut(const Job& job, Instant now) const;
  // starts to refuse a job that has not started and cannot be served in time
  void RefuseUnstarted(Job& job, Instant now, JobEffects& out);
  // answers a job that is being refused, or resumes it if a run has started after all
  void FinishRefusal(Job& job, Instant now, JobEffects& out);
  void CancelPlaced(Job& job, Instant now, JobEffects& out) const;
  // repeats the cancels of a closing or refused job until its runs have ended
  void RetryCancels(Job& job, Instant now, JobEffects& out) const;
  // tells the callers with a deadline up to then that the job goes on without them
  void AnswerCallers(Job& job, Instant until, JobEffects& out);
  // answers the callers whose time is over, and closes the job after the last of them
  void ExpireCallers(Job& job, Instant now, JobEffects& out);
  // answers and drops the submissions that wait for the last runs of their job to be stopped
  void AnswerResubmissions(Job& job, JobVerdict verdict, JobEffects& out);
  // the same for those whose job could not end in time if it were admitted now
  void GiveUpResubmissions(Job& job, Instant now, JobEffects& out);
  // erases a closing job that has no runs left, and admits its resubmissions
  void FinalizeJob(JobKey key, Instant now, JobEffects& out);
  static bool HasRunsLeft(const Job& job);
  void Answer(RequestToken token, JobVerdict verdict, JobEffects& out) const;

  const NodeId m_self;
  const LapseTimes m_times;
  CapacityView& m_capacity_view;
  const OwnerLookup& m_owners;
  const CrashHistory& m_crashes;
  // invariant: not null
  const std::unique_ptr<JobFeasibility> m_feasibility;

  mutable std::mutex m_mutex;
  // all below guarded by m_mutex
  // time of the newest event; not set before the first one
  std::optional<Instant> m_now;
  // when this process last went on after a stall
  Instant m_resumed_at{};
  Jobs m_jobs;
  std::unordered_map<RequestToken, JobKey> m_callers;
  std::unordered_map<JobKey, Finished> m_finished;
  std::deque<std::pair<Instant, JobKey>> m_finished_order;
  std::unordered_map<JobKey, HighestRunNumber> m_highest_run_numbers;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_DISPATCH_JOB_SHARD_H_
