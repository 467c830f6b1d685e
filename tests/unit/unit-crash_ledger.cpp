// The crash ledger tells tasks that crash their workers from those that were only beside them or
// whose workers were cut off, and is the same at every VM in whatever order it is told.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "sapphireflow/recovery/confinement.h"
#include "sapphireflow/recovery/crash_ledger.h"

using namespace sapphireflow;

namespace {

const Instant kNow = FromUnixMillis(1700000000000);
const std::string kQueue = "quotes";

Duration Seconds(int seconds) { return std::chrono::seconds(seconds); }

TaskKey Task(std::uint32_t index) { return {7, 0, 0, index}; }

WorkerIncarnation Worker(std::uint32_t ip, std::int64_t process_start_ms = 1) {
  return {"w" + std::to_string(ip), Address(ip, 80), process_start_ms};
}

WorkerLoss Loss(std::uint32_t ip, LossState state, std::vector<TaskAtLoss> tasks,
                std::uint64_t token = 1, const std::string& queue = "") {
  return {Worker(ip), state, token, queue, std::move(tasks)};
}

WorkerLoss Crash(std::uint32_t ip, LossRole role, std::uint32_t index = 0) {
  return Loss(ip, LossState::kCrashed, {TaskAtLoss(Task(index), role)});
}

WorkerListings Listings(std::uint32_t count, const std::string& zone,
                        std::int64_t process_start_ms = 1) {
  WorkerListings listings;
  for (std::uint32_t i = 1; i <= count; ++i) {
    listings.emplace_back("w" + std::to_string(i), Address(i, 80), "workshop", zone,
                          std::vector<std::string>(), Resources(16000, 32768, 0), process_start_ms,
                          false);
  }
  return listings;
}

}  // namespace

TEST_CASE("a task that started last before a crash is isolated, and condemned after another") {
  CrashLedger ledger;
  CHECK(ledger.StandingOf(Task(0), kNow) == TaskStanding::kClear);
  ledger.Record(Crash(1, LossRole::kStartedLast), kNow);
  CHECK(ledger.StandingOf(Task(0), kNow) == TaskStanding::kSuspect);
  CHECK(ledger.StandingOf(Task(1), kNow) == TaskStanding::kClear);
  ledger.Record(Crash(2, LossRole::kAlone), kNow);
  CHECK(ledger.StandingOf(Task(0), kNow) == TaskStanding::kCondemned);
}

TEST_CASE("a task that was only beside others at one crash is not isolated") {
  CrashLedger ledger;
  ledger.Record(Crash(1, LossRole::kPresent), kNow);
  CHECK(ledger.StandingOf(Task(0), kNow) == TaskStanding::kClear);
  ledger.Record(Crash(2, LossRole::kPresent), kNow);
  CHECK(ledger.StandingOf(Task(0), kNow) == TaskStanding::kSuspect);
}

TEST_CASE("no task starts again after three of its workers have crashed") {
  CrashLedger ledger;
  for (std::uint32_t ip = 1; ip <= 3; ++ip) {
    ledger.Record(Crash(ip, LossRole::kPresent), kNow);
  }
  CHECK(ledger.StandingOf(Task(0), kNow) == TaskStanding::kCondemned);
}

TEST_CASE("a task is held back until it is known whether its workers have crashed") {
  CrashLedger ledger;
  ledger.Record(Crash(1, LossRole::kStartedLast), kNow);
  ledger.Record(Loss(2, LossState::kSuspected, {TaskAtLoss(Task(0), LossRole::kAlone)}), kNow);
  CHECK(ledger.StandingOf(Task(0), kNow) == TaskStanding::kOnHold);
  SECTION("a worker that answers again clears it") {
    ledger.Record(Loss(2, LossState::kCutOff, {}), kNow + Seconds(1));
    CHECK(ledger.StandingOf(Task(0), kNow + Seconds(1)) == TaskStanding::kSuspect);
  }
  SECTION("another process in the worker's place condemns it") {
    ledger.OnListings(Listings(2, "celaya", 5));
    CHECK(ledger.StandingOf(Task(0), kNow + Seconds(1)) == TaskStanding::kCondemned);
  }
  SECTION("an older list does not") {
    ledger.OnListings(Listings(2, "celaya", 0));
    CHECK(ledger.StandingOf(Task(0), kNow + Seconds(1)) == TaskStanding::kOnHold);
  }
  SECTION("a worker that never returns holds it back for some seconds only") {
    CHECK(ledger.StandingOf(Task(0), kNow + Seconds(11)) == TaskStanding::kSuspect);
  }
}

// A process that had been cut off once was never counted as crashed afterwards.
TEST_CASE("a worker that was cut off before may crash later") {
  CrashLedger ledger;
  ledger.Record(Loss(1, LossState::kSuspected, {TaskAtLoss(Task(1), LossRole::kStartedLast)}),
                kNow);
  ledger.Record(Loss(1, LossState::kCutOff, {}), kNow);
  ledger.Record(Crash(1, LossRole::kStartedLast), kNow);
  CHECK(ledger.StandingOf(Task(0), kNow) == TaskStanding::kSuspect);
  CHECK(ledger.StandingOf(Task(1), kNow) == TaskStanding::kClear);
}

// An owner that had stalled blamed a run that had ended under the worker's next owner.
TEST_CASE("the runs that the last owner saw replace those of a former one") {
  CrashLedger ledger;
  ledger.Record(Loss(1, LossState::kSuspected, {TaskAtLoss(Task(0), LossRole::kAlone)}, 5), kNow);
  ledger.Record(Loss(1, LossState::kCrashed, {TaskAtLoss(Task(1), LossRole::kStartedLast)}, 6),
                kNow);
  ledger.Record(Loss(1, LossState::kSuspected, {TaskAtLoss(Task(2), LossRole::kPresent)}, 0), kNow);
  CHECK(ledger.StandingOf(Task(0), kNow) == TaskStanding::kClear);
  CHECK(ledger.StandingOf(Task(1), kNow) == TaskStanding::kSuspect);
  CHECK(ledger.StandingOf(Task(2), kNow) == TaskStanding::kClear);
}

TEST_CASE("a queue whose tasks crash several workers is confined for some seconds") {
  CrashLedger ledger;
  ledger.OnListings(Listings(12, "celaya"));
  for (std::uint32_t ip = 1; ip <= 3; ++ip) {
    CHECK(ledger.ConfinementOf(kQueue, kNow) == nullptr);
    ledger.Record(
        Loss(ip, LossState::kSuspected, {TaskAtLoss(Task(ip), LossRole::kStartedLast)}, 1, kQueue),
        kNow);
  }
  const WorkerFilter confinement = ledger.ConfinementOf(kQueue, kNow);
  REQUIRE(confinement);
  const WorkerFilter exposed = ledger.ExposedWorkers(kNow);
  REQUIRE(exposed);
  int allowed = 0;
  for (std::uint32_t ip = 1; ip <= 12; ++ip) {
    allowed += confinement(Address(ip, 80)) ? 1 : 0;
    CHECK(confinement(Address(ip, 80)) == exposed(Address(ip, 80)));
  }
  CHECK(allowed == 6);
  CHECK(ledger.ConfinementOf("other", kNow) == nullptr);
  CHECK(ledger.ConfinementOf(kQueue, kNow + Seconds(6)) == nullptr);
  CHECK(ledger.ExposedWorkers(kNow + Seconds(6)) == nullptr);
}

TEST_CASE("every zone and service keeps a worker for a confined queue, and one free of it") {
  WorkerListings workers = Listings(2, "celaya");
  workers.emplace_back("w9", Address(9, 80), "workshop", "leon", std::vector<std::string>(),
                       Resources(16000, 32768, 0), 1, false);
  const auto selected = SelectConfinement(kQueue, workers);
  CHECK(selected.count(Address(9, 80)) == 1);
  CHECK(selected.size() == 2);
}

TEST_CASE("of an odd number of workers no less than half are left to a confined queue") {
  CHECK(SelectConfinement(kQueue, Listings(1, "celaya")).size() == 1);
  CHECK(SelectConfinement(kQueue, Listings(3, "celaya")).size() == 2);
  CHECK(SelectConfinement(kQueue, Listings(5, "celaya")).size() == 3);
}

TEST_CASE("a snapshot has a limited number of records, the newest") {
  CrashLedger ledger;
  for (std::uint32_t ip = 1; ip <= 300; ++ip) {
    ledger.Record(Crash(ip, LossRole::kPresent, ip), kNow + Seconds(static_cast<int>(ip)));
  }
  const std::vector<LossRecord> records = ledger.Snapshot();
  REQUIRE(records.size() == 200);
  for (const LossRecord& record : records) CHECK(record.incarnation().address().ip() > 100);
  CHECK(ledger.Snapshot(kNow + Seconds(298)).size() == 3);
}

TEST_CASE("ledgers that are told the same agree, in whatever order and however often") {
  CHECK(rc::check("ledgers agree", [] {
    std::vector<LossRecord> records;
    const int count = *rc::gen::inRange(1, 12);
    for (int i = 0; i < count; ++i) {
      std::vector<TaskAtLoss> tasks;
      const int task_count = *rc::gen::inRange(0, 3);
      for (int t = 0; t < task_count; ++t) {
        tasks.emplace_back(
            Task(*rc::gen::inRange(0U, 3U)),
            *rc::gen::element(LossRole::kPresent, LossRole::kStartedLast, LossRole::kAlone));
      }
      records.emplace_back(Worker(*rc::gen::inRange(1U, 4U)), *rc::gen::inRange(0U, 3U),
                           *rc::gen::element(true, false), *rc::gen::inRange(0U, 3U), "",
                           std::move(tasks));
    }
    CrashLedger one;
    for (const LossRecord& record : records) one.Merge(record, kNow);
    CrashLedger other;
    std::reverse(records.begin(), records.end());
    for (const LossRecord& record : records) other.Merge(record, kNow);
    for (const LossRecord& record : records) RC_ASSERT(!other.Merge(record, kNow));
    RC_ASSERT(one.Snapshot() == other.Snapshot());
  }));
}
