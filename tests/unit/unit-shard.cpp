// Tests of one shard: idempotency, expiry of ids, retries, quotas and cancellation.
#include <catch2/catch.hpp>

#include "sapphireflow/execution/shard.h"
#include "sapphireflow/settings/table_edit.h"

using namespace sapphireflow;

namespace {

const NodeId kSelf(Address(1, 1), 5);
const Instant kStart = FromUnixMillis(1700000000000);

template <class T>
std::vector<T> All(const ShardEffects& effects) {
  std::vector<T> found;
  for (const ShardEffect& effect : effects) {
    if (const auto* one = std::get_if<T>(&effect)) found.push_back(*one);
  }
  return found;
}

class ShardFixture {
 public:
  ShardFixture() {
    Do(AssignWorkers({Worker(Address(2, 1), "z", "r", 4, ResourceSpec(8, 100, 0), false)},
                     {ResourceSpec(8, 100, 0)}));
    const TableRow row("check", "*", 1, 10, 3, std::chrono::seconds(10), 5);
    Do(UseTable(ApplyEdit(nullptr, TableEdit("e", "w", 0, {row}), kStart)));
  }
  ShardEffects Do(const ShardEvent& event) { return m_shard.Apply(ShardInput(m_now, event)); }
  ShardEffects Submit(const JobId& id, bool idempotent = true, int tasks = 1,
                      const char* kind = "check", ResourceSpec needs = ResourceSpec()) {
    std::vector<Task> list;
    for (int i = 0; i < tasks; ++i) list.emplace_back(kind, "p", needs, Duration(1000));
    const auto spec =
        std::make_shared<JobSpec>("t", m_now + std::chrono::seconds(5), idempotent, list);
    return Do(SubmitJob(Waiter(Address(1, 1), ++m_token), id, spec));
  }
  static JobId Id(std::uint64_t sequence, Instant at = kStart) { return {kSelf, 0, sequence, at}; }
  void Pass(Duration time) { m_now += time; }

 private:
  Shard m_shard{ShardAddress(kSelf, 0), ShardOptions(), 1};
  Instant m_now = kStart;
  RequestToken m_token = 0;
};

ErrorId Refusal(const ShardEffects& effects) {
  const auto replies = All<ReplyAnswer>(effects);
  return replies.empty() || !replies[0].answer().cause() ? ErrorId::kNone
                                                         : replies[0].answer().cause()->id();
}

}  // namespace

TEST_CASE_METHOD(ShardFixture,
                 "a resubmitted job starts once and both requests get the same answer") {
  const auto starts = All<StartAttempt>(Submit(Id(1)));
  REQUIRE(starts.size() == 1);
  CHECK(All<StartAttempt>(Submit(Id(1))).empty());
  const auto replies =
      All<ReplyAnswer>(Do(AttemptReport(starts[0].attempt(), AttemptEnd::kSucceeded, "r")));
  REQUIRE(replies.size() == 2);
  CHECK(replies[0].answer() == replies[1].answer());
  CHECK(replies[0].answer().verdict() == Verdict::kComplete);
  CHECK(All<ReplyAnswer>(Submit(Id(1)))[0].answer() == replies[0].answer());
}

TEST_CASE_METHOD(ShardFixture, "an evicted id never runs again, even if the clock steps back") {
  const auto start = All<StartAttempt>(Submit(Id(1)))[0];
  Do(AttemptReport(start.attempt(), AttemptEnd::kSucceeded, "r"));
  Pass(std::chrono::seconds(300));
  Do(Tick());
  CHECK(Refusal(Submit(Id(1))) == ErrorId::kIdExpired);
  Pass(-std::chrono::seconds(299));
  const auto effects = Submit(Id(1));
  CHECK(All<StartAttempt>(effects).empty());
  CHECK(Refusal(effects) == ErrorId::kIdExpired);
}

TEST_CASE_METHOD(ShardFixture, "a refusal is final: a resubmission does not run") {
  CHECK(Refusal(Submit(Id(1), true, 1, "unheard-of")) == ErrorId::kUnknownKind);
  CHECK(All<StartAttempt>(Submit(Id(1), true, 1, "unheard-of")).empty());
  CHECK(Refusal(Submit(Id(1))) == ErrorId::kIdReused);
  CHECK(Refusal(Submit(Id(2), true, 141)) == ErrorId::kTooManyTasks);
  CHECK(Refusal(Submit(Id(3), true, 1, "check", ResourceSpec(9, 0, 0))) == ErrorId::kNoWorkerFits);
  CHECK(Refusal(Submit(Id(4), true, 11)) == ErrorId::kLimitReached);
}

TEST_CASE_METHOD(ShardFixture, "a quota refuses jobs beyond it and refills over time") {
  CHECK(Refusal(Submit(Id(1), true, 5)) == ErrorId::kNone);
  CHECK(Refusal(Submit(Id(2))) == ErrorId::kQuotaExceeded);
  Pass(std::chrono::seconds(1));
  CHECK(Refusal(Submit(Id(3))) == ErrorId::kNone);
}

TEST_CASE_METHOD(ShardFixture,
                 "a task that is not idempotent is not retried once it may have run") {
  const auto once = All<StartAttempt>(Submit(Id(1), false))[0];
  CHECK(Refusal(Do(AttemptReport(once.attempt(), AttemptEnd::kTaskFailed, "no"))) ==
        ErrorId::kTaskFailed);
}

TEST_CASE_METHOD(
    ShardFixture,
    "an attempt that certainly did not run is retried even if the job is not idempotent") {
  const auto unsent = All<StartAttempt>(Submit(Id(2), false))[0];
  CHECK(All<StartAttempt>(Do(AttemptReport(unsent.attempt(), AttemptEnd::kNotSent, "no"))).size() ==
        1);
}

TEST_CASE_METHOD(ShardFixture, "an idempotent task is retried as a new attempt") {
  const auto again = All<StartAttempt>(Submit(Id(3), true))[0];
  const auto second =
      All<StartAttempt>(Do(AttemptReport(again.attempt(), AttemptEnd::kTaskFailed, "no")));
  REQUIRE(second.size() == 1);
  CHECK(second[0].attempt().number() == 2);
}

TEST_CASE_METHOD(ShardFixture, "a lost attempt is stopped, and retried only after it has ended") {
  const auto start = All<StartAttempt>(Submit(Id(1), true))[0];
  const auto lost = Do(AttemptReport(start.attempt(), AttemptEnd::kLost, "reset"));
  CHECK(All<StartAttempt>(lost).empty());
  REQUIRE(All<StopAttempts>(lost).size() == 1);
  CHECK(All<StartAttempt>(Do(AttemptReport(start.attempt(), AttemptEnd::kStopped, "stopped")))
            .size() == 1);
}

TEST_CASE_METHOD(ShardFixture,
                 "when a task fails permanently, the other tasks are stopped in one message") {
  const auto starts = All<StartAttempt>(Submit(Id(1), false, 2));
  REQUIRE(starts.size() == 2);
  const auto effects = Do(AttemptReport(starts[0].attempt(), AttemptEnd::kTaskFailed, "no"));
  REQUIRE(All<StopAttempts>(effects).size() == 1);
  const auto answer = All<ReplyAnswer>(effects)[0].answer();
  CHECK(answer.verdict() == Verdict::kFailed);
  CHECK(answer.outcomes().size() == 2);
}

TEST_CASE_METHOD(ShardFixture, "a job stopped before it was submitted never runs") {
  Do(JobRequest(Waiter(Address(1, 1), 77), Id(1), JobRequestKind::kStop));
  const auto effects = Submit(Id(1));
  CHECK(All<StartAttempt>(effects).empty());
  CHECK(Refusal(effects) == ErrorId::kCancelled);
}

TEST_CASE_METHOD(ShardFixture,
                 "a worker that does not know a lost attempt does not prove that it did not run") {
  const auto start = All<StartAttempt>(Submit(Id(1), false))[0];
  Do(AttemptReport(start.attempt(), AttemptEnd::kLost, "reset"));
  const auto effects = Do(AttemptReport(start.attempt(), AttemptEnd::kRefused, "never started"));
  CHECK(All<StartAttempt>(effects).empty());
  REQUIRE(All<ReplyAnswer>(effects).size() == 1);
  CHECK(All<ReplyAnswer>(effects)[0].answer().outcomes()[0].fate() == TaskFate::kMayHaveRun);
}
