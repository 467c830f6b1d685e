// One JobShard as a coordinator, with the reports of its owners and the passing of time in the
// hands of the test.
#ifndef SAPPHIREFLOW_TESTS_UNIT_COORDINATOR_HARNESS_H_
#define SAPPHIREFLOW_TESTS_UNIT_COORDINATOR_HARNESS_H_

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/dispatch/job_shard.h"
#include "sapphireflow/recovery/crash_ledger.h"

namespace sapphireflow::coordinator_test {

inline const NodeId kSelf(Address(1, 1), 1);
inline const NodeId kOwner(Address(2, 1), 1);
inline const NodeId kOtherOwner(Address(3, 1), 1);
inline const std::string kService = "workshop";
constexpr JobKey kJob = 77;

inline Duration Millis(int millis) { return std::chrono::milliseconds(millis); }

class FixedOwner : public OwnerLookup {
 public:
  std::optional<NodeId> OwnerOf(const WorkerId& /*worker*/) const override { return owner; }
  bool IsReachable(const NodeId& /*owner*/) const override { return is_reachable; }
  std::optional<NodeId> owner = kOwner;
  bool is_reachable = true;
};

inline WorkerListing Listing() {
  return {"w1", Address(10, 80), kService, "celaya", {}, Resources(16000, 32768, 0), 1, false};
}

inline CapacityDigest Digest(std::vector<WorkerFreeCapacity> free_capacity,
                             Duration wait = Duration::zero()) {
  return {kService, std::move(free_capacity), wait, 16000};
}

inline StepSpec Step(std::uint32_t count, std::vector<std::uint32_t> after = {},
                     std::int64_t milli_cores = 6000) {
  return {count, Resources(milli_cores, 64, 0), Millis(100), std::move(after), "", "", 0};
}

class Coordinator {
 public:
  explicit Coordinator(const std::string& feasibility = "whole-job")
      : local_view(kSelf, "celaya", MakeOwnerChoice("earliest-end")),
        shard(kSelf, LapseTimes(Millis(1050), Millis(1300), Millis(1700), Millis(3400)), local_view,
              lookup, crashes, MakeJobFeasibility(feasibility)) {
    local_view.SetListings({Listing()});
    local_view.Update(kOwner, "celaya",
                      Digest({WorkerFreeCapacity("w1", Resources(64000, 65536, 0), 1.0)}));
  }

  void Feed(JobEvent event) {
    for (JobEffect& effect : shard.Apply(JobInput(now, std::move(event)))) {
      if (auto* answer = std::get_if<AnswerCaller>(&effect)) answers.push_back(*answer);
      if (auto* to_owner = std::get_if<SendToOwner>(&effect)) messages.push_back(*to_owner);
      if (auto* loss = std::get_if<WorkerLoss>(&effect)) losses.push_back(*loss);
      if (auto* line = std::get_if<LogEvent>(&effect)) lines.push_back(*line);
      if (auto* counted = std::get_if<CounterIncrement>(&effect)) {
        ++counts[counted->counter() + " " + counted->label() + " " + counted->value()];
      }
    }
  }

  // lets time pass, in whole ticks, without a stall
  void Pass(Duration length) {
    for (const Instant end = now + length; now < end;) {
      now += Millis(50);
      Feed(JobTick());
    }
  }

  void Submit(std::vector<StepSpec> steps, RequestToken token = 1,
              Duration answer_timeout = Millis(1500), JobKey key = kJob) {
    Feed(
        SubmitJobOrder(token, std::make_shared<const JobOrder>(
                                  key, "quotes", kService, std::make_shared<const std::string>("p"),
                                  std::move(steps), priority, 2, objective, answer_timeout)));
  }

  // announces, until the next tick, that runs of priority 0 leave no time for others
  void CrowdOut() {
    const Duration wait = std::chrono::hours(1);
    local_view.Update(kOwner, "celaya",
                      CapacityDigest(kService, {}, wait, 16000, {PriorityWait(0, wait)}));
    Pass(Millis(50));
    local_view.Update(kOwner, "celaya",
                      Digest({WorkerFreeCapacity("w1", Resources(64000, 65536, 0), 1.0)}));
  }

  void Report(std::uint32_t step, std::uint32_t index, std::uint32_t number,
              RunTransition transition, RunEnd end = RunEnd::kDone, const NodeId& owner = kOwner,
              const std::string& reason = "") {
    const RunReport report(RunKey(TaskKey(kJob, 0, step, index), number), transition, end, "w1",
                           reason);
    Feed(RunReports(owner, {report}, CapacityUpdate({}, false)));
  }

  // number of orders sent so far for each run
  std::map<RunKey, int> Placed() const {
    std::map<RunKey, int> placed;
    for (const SendToOwner& to_owner : messages) {
      const auto* place = std::get_if<PlaceRuns>(&to_owner.message());
      if (place == nullptr) continue;
      for (const RunOrder& order : place->runs()) ++placed[order.run()];
    }
    return placed;
  }

  template <class Message>
  std::size_t Count() const {
    return static_cast<std::size_t>(
        std::count_if(messages.begin(), messages.end(), [](const SendToOwner& to_owner) {
          return std::holds_alternative<Message>(to_owner.message());
        }));
  }

  // the answer to a caller; pending if there is none yet
  JobVerdict VerdictOf(RequestToken token) const {
    const auto found =
        std::find_if(answers.begin(), answers.end(),
                     [token](const AnswerCaller& answer) { return answer.token() == token; });
    return found == answers.end() ? JobVerdict::kPending : found->verdict();
  }

  // the log lines of an event so far
  std::vector<std::string> Lines(const std::string& event) const {
    std::vector<std::string> found;
    for (const LogEvent& line : lines) {
      if (line.name() == event) found.push_back(line.Line());
    }
    return found;
  }

  Instant now = FromUnixMillis(1700000000000);
  // of the jobs that are submitted
  std::uint32_t priority = 1;
  Duration objective = Millis(200);
  FixedOwner lookup;
  CapacityView local_view;
  CrashLedger crashes;
  JobShard shard;
  std::vector<AnswerCaller> answers;
  std::vector<SendToOwner> messages;
  std::vector<WorkerLoss> losses;
  std::vector<LogEvent> lines;
  std::map<std::string, int> counts;
};

}  // namespace sapphireflow::coordinator_test

#endif  // SAPPHIREFLOW_TESTS_UNIT_COORDINATOR_HARNESS_H_
