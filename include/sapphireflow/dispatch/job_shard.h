// Part of dispatch: the jobs that this VM coordinates, from submission to answer.
#ifndef SAPPHIREFLOW_DISPATCH_JOB_SHARD_H_
#define SAPPHIREFLOW_DISPATCH_JOB_SHARD_H_

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "sapphireflow/dispatch/job_event.h"
#include "sapphireflow/dispatch/owner_lookup.h"
#include "sapphireflow/dispatch/room_board.h"
#include "sapphireflow/pipeline/filter.h"

namespace sapphireflow {

/// @brief When the runs of an owner that is not heard have certainly ended.
class JobTimes : public Comparable<JobTimes> {
 public:
  JobTimes(Duration lapse, Duration unheard_lapse)
      : m_lapse(lapse), m_unheard_lapse(unheard_lapse) {}
  /// @brief After this without news of an owner the runs that it reported have ended.
  Duration lapse() const { return m_lapse; }
  /// @brief The same for runs that it did not report: their orders may still wait there.
  Duration unheard_lapse() const { return m_unheard_lapse; }
  auto Fields() const { return std::tie(m_lapse, m_unheard_lapse); }

 private:
  Duration m_lapse;
  // invariant: longer than m_lapse by the time that an order may be on its way and wait
  Duration m_unheard_lapse;
};

/// @brief Coordinates jobs: places their runs with owners, retries, and answers the callers.
/// Thread-safe: one lock.
///
/// Two runs of one task never run side by side: a task is placed again only after its last run
/// was declined or reported as ended, or certainly lapsed with its worker's lease.
class JobShard : public Filter<JobInput, JobEffects> {
 public:
  /// All references outlive the shard.
  JobShard(const NodeId& self, const JobTimes& times, RoomBoard& rooms, const OwnerLookup& owners);

  JobEffects Apply(const JobInput& in) override;
  /// @brief Jobs whose callers wait.
  std::size_t OpenJobs() const;
  /// @brief Jobs of a queue of which no task has started.
  std::size_t WaitingJobs(const std::string& queue) const;

 private:
  // what a refused caller is told if nothing better is known
  static constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

  enum class TaskPhase { kBlocked, kReady, kPlaced, kOrphaned, kDone };
  struct Task {
    TaskPhase phase = TaskPhase::kBlocked;
    std::uint32_t run_number = 0;
    // runs that ended, for whatever cause
    std::uint32_t ended_runs = 0;
    NodeId owner;
    // where it runs; empty until its start is reported
    WorkerId worker;
    std::uint32_t failures = 0;
    std::uint32_t declines = 0;
    std::vector<WorkerId> avoid;
    // while orphaned
    Instant orphaned_at{};
    Instant ask_at{};
  };
  struct Job {
    JobOrderPtr order;
    // who waits for the answer; empty once answered
    std::vector<RequestToken> callers;
    Instant received_at{};
    // by step and index
    std::vector<std::vector<Task>> tasks;
    // a run may have been started
    bool may_have_run = false;
    // nothing started in time: to be refused once no run can start any more
    bool refusing = false;
    // answered or abandoned; kept until no run is left
    bool closing = false;
    Instant cancelled_at{};
    // handed in again while its last runs were being stopped
    std::optional<SubmitWork> successor;
  };
  struct Finished {
    WorkVerdict verdict = WorkVerdict::kCompleted;
    Instant at{};
  };
  // the highest run number of a job that was settled without an answer to keep
  struct Numbered {
    std::uint32_t highest = 0;
    Instant at{};
  };
  using Jobs = std::unordered_map<JobKey, Job>;
  using Batches = std::map<NodeId, std::vector<RunOrder>>;

  void On(const SubmitWork& event, Instant now, JobEffects& out);
  void On(const CallerGone& event, Instant now, JobEffects& out);
  void On(const AskWork& event, Instant now, JobEffects& out);
  void On(const RunReports& event, Instant now, JobEffects& out);
  void On(const OwnerLost& event, Instant now, JobEffects& out);
  void On(const OwnerLinkLost& event, Instant now, JobEffects& out);
  void On(const JobTick& event, Instant now, JobEffects& out);

  std::optional<Error> Objection(const JobOrder& order, Duration* retry_after) const;
  void Admit(const SubmitWork& event, Instant now, JobEffects& out);
  void UnblockSteps(Job& job) const;
  void PlaceReady(Job& job, Instant now, JobEffects& out);
  void TakeReport(const NodeId& owner, const RunReport& report, Instant now, JobEffects& out);
  void OnEnded(Job& job, Task& task, const RunReport& report, Instant now, JobEffects& out);
  void OnDeclined(Job& job, Task& task, const RunReport& report, Instant now, JobEffects& out);
  void LogDeclined(const Job& job, const Task& task, const RunReport& report, Instant now,
                   JobEffects& out) const;
  // after an end: places what is ready, or decides the refusal that is under way
  void GoOn(Job& job, Instant now, JobEffects& out);
  void CareForOrphans(Job& job, Instant now, JobEffects& out);
  void Close(Job& job, WorkVerdict verdict, std::optional<Error> cause, Instant now,
             JobEffects& out);
  // gives a job up that waits too long for its first start
  void RefuseUnstarted(Job& job, Instant now, JobEffects& out);
  // answers a job that is being refused, or goes on with it if a run has started after all
  void FinishRefusal(Job& job, Instant now, JobEffects& out);
  void CancelPlaced(Job& job, Instant now, JobEffects& out) const;
  // repeats the cancels of a job that is over until its runs have ended
  void CancelAgain(Job& job, Instant now, JobEffects& out) const;
  // erases a closing job without runs left, and admits its successor
  void Settle(JobKey key, Instant now, JobEffects& out);
  static bool HasRunsLeft(const Job& job);
  void Answer(RequestToken token, WorkVerdict verdict, JobEffects& out) const;

  const NodeId m_self;
  const JobTimes m_times;
  RoomBoard& m_rooms;
  const OwnerLookup& m_owners;

  mutable std::mutex m_mutex;
  // all below guarded by m_mutex
  Jobs m_jobs;
  std::unordered_map<RequestToken, JobKey> m_callers;
  std::unordered_map<JobKey, Finished> m_finished;
  std::deque<std::pair<Instant, JobKey>> m_finished_order;
  std::unordered_map<JobKey, Numbered> m_numbered;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_DISPATCH_JOB_SHARD_H_
