// Tests of DirectoryWatch: what it reports of the workers while it begins and ceases to read them,
// and how it follows what operators write.
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <limits>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "sapphireflow/transport/clock.h"
#include "sapphireflow/transport/directory_watch.h"

using namespace sapphireflow;

namespace {

WorkerListing Listing(const std::string& id) {
  return {id, Address(10, 80), "workshop", "celaya", {}, Resources(16000, 32768, 0), 1, false};
}

// answers as long as it is told to; the first watch reports that a worker is missing
class ScriptedStore : public PlatformStore {
 public:
  void ReadWorkers(Done<WorkerListings> done) override {
    if (++reads <= answered_reads && answers)
      done(VersionedValue<WorkerListings>(1, {Listing("w1"), Listing("w2")}));
  }
  void ReadMembers(Done<std::vector<MemberListing>> done) override {
    done(VersionedValue<std::vector<MemberListing>>(1, {}));
  }
  void ReadConfiguration(Done<ConfigurationPtr> /*done*/) override {}
  void ReadEvacuations(Done<EvacuatedZones> done) override {
    done(VersionedValue<EvacuatedZones>(1, EvacuatedZones()));
  }
  void WatchWorkers(std::uint64_t after, Duration /*wait*/, WorkersWatchDone done) override {
    if (watches++ == 0) {
      done(WatchEnd::kChanged, after + 1, {WorkerChange("w2", std::nullopt)});
    } else if (answers) {
      done(WatchEnd::kUnchanged, after, {});
    }
  }
  void WatchMembers(std::uint64_t /*after*/, Duration /*wait*/, WatchDone /*done*/) override {}
  void WatchOperators(std::uint64_t /*after*/, Duration /*wait*/,
                      OperatorsWatchDone /*done*/) override {}
  void Register(const MemberListing& /*self*/, Duration /*lifetime*/,
                std::function<void(const Result<std::uint64_t>& lease)> /*done*/) override {}
  void RenewRegistration(
      std::uint64_t /*lease*/,
      std::function<void(const Result<bool>& still_registered)> /*done*/) override {}
  void Unregister(std::uint64_t /*lease*/) override {}

  std::atomic<bool> answers{true};
  std::atomic<int> reads{0};
  std::atomic<int> answered_reads{std::numeric_limits<int>::max()};
  std::atomic<int> watches{0};
};

// Reads the workers, but for a pause of two answers after the given number of answers.
class Interest : public WorkerListInterest {
 public:
  explicit Interest(int answers_before_pause = std::numeric_limits<int>::max() - 2)
      : m_answers_before_pause(answers_before_pause) {}
  bool ReadsWorkers() const override {
    const int answer = ++m_answers;
    return answer <= m_answers_before_pause || answer > m_answers_before_pause + 2;
  }

 private:
  const int m_answers_before_pause;
  mutable std::atomic<int> m_answers{0};
};

class Listed : public Sink<DispatchEvent> {
 public:
  void Accept(DispatchEvent event) override {
    if (const auto* listed = std::get_if<WorkersListed>(&event)) {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_sizes.push_back(listed->workers().size());
      m_as_of = listed->as_of();
    }
  }
  std::vector<std::size_t> sizes() const {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_sizes;
  }
  Instant as_of() const {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_as_of;
  }

 private:
  mutable std::mutex m_mutex;
  std::vector<std::size_t> m_sizes;
  Instant m_as_of{};
};

class NoLog : public EventLog {
 public:
  void Write(const LogEvent& /*event*/) override {}
};

// fails at the first list of workers and at the first list of members
class FailsOnce : public Sink<DispatchEvent> {
 public:
  void Accept(DispatchEvent event) override {
    const bool is_workers = std::holds_alternative<WorkersListed>(event);
    if (!is_workers && !std::holds_alternative<MembersListed>(event)) return;
    if (!(is_workers ? m_workers_failed : m_members_failed).exchange(true)) {
      throw std::length_error("a list that nothing could hold");
    }
    if (is_workers) ++lists;
  }
  std::atomic<int> lists{0};

 private:
  std::atomic<bool> m_workers_failed{false};
  std::atomic<bool> m_members_failed{false};
};

bool Await(const std::function<bool()>& holds) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!holds() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return holds();
}

}  // namespace

// The grace period of a missing worker may end while the list is being read anew: the list was then
// reported as empty, and an owner would have released all its workers.
TEST_CASE("no workers are reported between two periods of reading them") {
  const MonotonicClock clock;
  ScriptedStore store;
  // the list is not read any more after the second watch, and then read anew without an answer
  store.answered_reads = 1;
  const Interest interest(/*answers_before_pause=*/2);
  Listed listed;
  NoLog log;
  TimerThread timers(clock);
  DirectoryWatch watch(MemberListing(NodeId(Address(1, 1), 1), "celaya", 250), store, interest,
                       listed, clock, timers, log);
  watch.Start();
  // the first watch shows that a worker is missing; it stays listed for 2.5 s
  REQUIRE(Await([&] { return store.reads >= 2; }));
  CHECK(store.watches == 2);
  std::this_thread::sleep_for(std::chrono::milliseconds(2600));
  timers.Stop();
  for (const std::size_t size : listed.sizes()) CHECK(size > 0);
}

// The timer of a missing worker passes the list on without an answer of the store.
TEST_CASE("the list of workers is as of the newest call that the store has answered") {
  const MonotonicClock clock;
  ScriptedStore store;
  Interest interest;
  Listed listed;
  NoLog log;
  TimerThread timers(clock);
  DirectoryWatch watch(MemberListing(NodeId(Address(1, 1), 1), "celaya", 250), store, interest,
                       listed, clock, timers, log);
  const Instant started = clock.Now();
  watch.Start();
  REQUIRE(Await([&] { return store.watches >= 1; }));
  store.answers = false;
  const Instant answered = clock.Now();
  CHECK(listed.as_of() >= started);
  // the worker is dropped 2.5 s after it went missing
  REQUIRE(Await([&] { return listed.sizes().back() == 1; }));
  CHECK(listed.as_of() <= answered);
  timers.Stop();
}

// An exception on the thread that handled a reply of the store ended the process.
TEST_CASE("a list whose handling fails is read again") {
  const MonotonicClock clock;
  ScriptedStore store;
  Interest interest;
  FailsOnce events;
  NoLog log;
  TimerThread timers(clock);
  DirectoryWatch watch(MemberListing(NodeId(Address(1, 1), 1), "celaya", 250), store, interest,
                       events, clock, timers, log);
  watch.Start();
  CHECK(Await([&] { return events.lists >= 1; }));
  CHECK(Await([&] { return store.watches >= 2; }));
  timers.Stop();
}

TEST_CASE("a timer whose action throws is reported, and later ones run") {
  const MonotonicClock clock;
  std::promise<std::string> reason;
  std::promise<void> later;
  TimerThread timers(clock, [&reason](const std::string& what) { reason.set_value(what); });
  timers.At(clock.Now(), [] { throw std::out_of_range("no such run"); });
  timers.At(clock.Now() + std::chrono::milliseconds(1), [&later] { later.set_value(); });
  CHECK(reason.get_future().get() == "no such run");
  CHECK(later.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready);
}

namespace {

// holds the reads of what operators write, and their watch, until the test answers them
class OperatorStore : public ScriptedStore {
 public:
  template <class T>
  class Calls {
   public:
    void Add(T done) {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_open.push_back(std::move(done));
      ++m_count;
    }
    int count() const {
      std::lock_guard<std::mutex> lock(m_mutex);
      return m_count;
    }
    // waits for an open call and takes it
    T Take() {
      REQUIRE(Await([this] {
        std::lock_guard<std::mutex> lock(m_mutex);
        return !m_open.empty();
      }));
      std::lock_guard<std::mutex> lock(m_mutex);
      T done = std::move(m_open.front());
      m_open.erase(m_open.begin());
      return done;
    }

   private:
    mutable std::mutex m_mutex;
    // both guarded by m_mutex
    std::vector<T> m_open;
    int m_count = 0;
  };

  void ReadConfiguration(Done<ConfigurationPtr> done) override {
    configurations.Add(std::move(done));
  }
  void ReadEvacuations(Done<EvacuatedZones> done) override { evacuations.Add(std::move(done)); }
  void WatchOperators(std::uint64_t after, Duration /*wait*/, OperatorsWatchDone done) override {
    watched_after = after;
    watches_of_operators.Add(std::move(done));
  }

  void AnswerEvacuations(std::uint64_t revision, std::set<std::string> zones) {
    evacuations.Take()(VersionedValue<EvacuatedZones>(revision, EvacuatedZones(std::move(zones))));
  }
  void FailEvacuations() { evacuations.Take()(Error(ErrorId::kStoreUnavailable, "away")); }
  void AnswerConfiguration(std::uint64_t revision) {
    configurations.Take()(VersionedValue<ConfigurationPtr>(
        revision, std::make_shared<const Configuration>(revision, std::vector<QueueConfig>(),
                                                        std::vector<ServiceConfig>(), 1000)));
  }
  void AnswerWatch(WatchEnd end, std::uint64_t revision, bool configuration, bool evacuated) {
    watches_of_operators.Take()(end, revision, OperatorChanges(configuration, evacuated));
  }

  Calls<Done<ConfigurationPtr>> configurations;
  Calls<Done<EvacuatedZones>> evacuations;
  Calls<OperatorsWatchDone> watches_of_operators;
  std::atomic<std::uint64_t> watched_after{0};
};

// the kinds of events in their order
class EventOrder : public Sink<DispatchEvent> {
 public:
  void Accept(DispatchEvent event) override {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (const auto* listed = std::get_if<EvacuationsListed>(&event)) {
      std::string names;
      for (const std::string& zone : listed->zones().names()) names += " " + zone;
      m_kinds.push_back("evacuated:" + names);
    }
    if (std::holds_alternative<EvacuationsUnavailable>(event)) m_kinds.emplace_back("unavailable");
    if (std::holds_alternative<ConfigurationCopy>(event)) m_kinds.emplace_back("configuration");
    if (std::holds_alternative<ConfigurationConfirmed>(event)) ++m_confirmations;
    if (std::holds_alternative<ConfigurationUnconfirmed>(event)) ++m_doubts;
    if (std::holds_alternative<WorkersListed>(event) && !std::exchange(m_has_workers, true)) {
      m_kinds.emplace_back("workers");
    }
  }
  std::vector<std::string> kinds() const {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_kinds;
  }
  int confirmations() const {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_confirmations;
  }
  int doubts() const {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_doubts;
  }

 private:
  mutable std::mutex m_mutex;
  // all below guarded by m_mutex
  std::vector<std::string> m_kinds;
  bool m_has_workers = false;
  int m_confirmations = 0;
  int m_doubts = 0;
};

// a watch on a store that the test answers
struct OperatorWatchTest {
  ~OperatorWatchTest() { timers.Stop(); }
  bool HasKinds(const std::vector<std::string>& kinds) const {
    return Await([&] { return events.kinds() == kinds; });
  }

  const MonotonicClock clock;
  OperatorStore store;
  Interest interest;
  EventOrder events;
  NoLog log;
  TimerThread timers{clock};
  DirectoryWatch watch{MemberListing(NodeId(Address(1, 1), 1), "celaya", 250),
                       store,
                       interest,
                       events,
                       clock,
                       timers,
                       log};
};

}  // namespace

// Guards against a start in an evacuated zone by a VM that has just started.
TEST_CASE("workers are reported only after the evacuations, or after these could not be read") {
  OperatorWatchTest test;
  test.watch.Start();
  CHECK(test.store.reads == 0);
  SECTION("they are read") {
    test.store.AnswerEvacuations(5, {"leon"});
    CHECK(test.HasKinds({"evacuated: leon", "workers"}));
  }
  SECTION("the store does not answer") {
    test.store.FailEvacuations();
    CHECK(test.HasKinds({"unavailable", "workers"}));
    // it is tried again, and reported as unavailable only once
    test.store.FailEvacuations();
    test.store.AnswerEvacuations(5, {"leon"});
    CHECK(test.HasKinds({"unavailable", "workers", "evacuated: leon"}));
  }
}

// Each call to the store is charged, and the configuration is large.
TEST_CASE("one watch follows what operators write, and only what has changed is read again") {
  OperatorWatchTest test;
  test.watch.Start();
  test.store.AnswerEvacuations(5, {});
  test.store.AnswerConfiguration(7);
  CHECK(test.store.watches_of_operators.count() == 1);
  // a change of the configuration between the two reads is not missed
  CHECK(test.store.watched_after == 5);
  SECTION("nothing") {
    test.store.AnswerWatch(WatchEnd::kUnchanged, 9, false, false);
    CHECK(test.store.watched_after == 9);
    CHECK(test.store.evacuations.count() == 1);
    CHECK(test.store.configurations.count() == 1);
  }
  SECTION("an evacuation") {
    test.store.AnswerWatch(WatchEnd::kChanged, 9, false, true);
    test.store.AnswerEvacuations(11, {"leon"});
    CHECK(test.store.configurations.count() == 1);
    CHECK(test.store.evacuations.count() == 2);
    CHECK(test.events.kinds().back() == "evacuated: leon");
  }
  SECTION("the configuration") {
    test.store.AnswerWatch(WatchEnd::kChanged, 9, true, false);
    test.store.AnswerConfiguration(11);
    CHECK(test.store.configurations.count() == 2);
    CHECK(test.store.evacuations.count() == 1);
  }
  SECTION("another key of the same prefix") {
    test.store.AnswerWatch(WatchEnd::kChanged, 9, false, false);
    CHECK(test.store.configurations.count() == 1);
    CHECK(test.store.evacuations.count() == 1);
  }
  SECTION("an evacuation that is taken back while it is being read") {
    test.store.AnswerWatch(WatchEnd::kChanged, 9, false, true);
    test.store.AnswerWatch(WatchEnd::kChanged, 12, false, true);
    CHECK(test.store.evacuations.count() == 2);
    test.store.AnswerEvacuations(10, {"leon"});
    test.store.AnswerEvacuations(13, {});
    CHECK(test.events.kinds().back() == "evacuated:");
    CHECK(test.store.evacuations.count() == 3);
  }
  SECTION("an evacuation while the configuration is being read over a slow link") {
    test.store.AnswerWatch(WatchEnd::kChanged, 9, true, false);
    test.store.AnswerWatch(WatchEnd::kChanged, 10, false, true);
    test.store.AnswerEvacuations(11, {"leon"});
    CHECK(test.events.kinds().back() == "evacuated: leon");
  }
  SECTION("the store goes away and returns") {
    test.store.AnswerWatch(WatchEnd::kFailed, 9, false, false);
    test.store.FailEvacuations();
    // the last known evacuations stay in force
    CHECK(test.events.kinds().back() != "unavailable");
    test.store.AnswerEvacuations(20, {"leon"});
    CHECK(test.store.watched_after == 20);
    CHECK(test.store.watches_of_operators.count() == 2);
    test.store.AnswerConfiguration(21);
  }
  test.timers.Stop();
  CHECK(test.store.watches_of_operators.count() <= 3);
}

// Guards against a change that only the failed first read would have shown.
TEST_CASE("what was read before the watch began is read again") {
  OperatorWatchTest test;
  test.watch.Start();
  test.store.FailEvacuations();
  test.store.AnswerConfiguration(7);
  CHECK(test.store.watched_after == 7);
  test.store.AnswerEvacuations(6, {});
  test.store.AnswerEvacuations(9, {"leon"});
  CHECK(test.events.kinds().back() == "evacuated: leon");
  CHECK(test.store.watches_of_operators.count() == 1);
}

// Guards against a VM that handles requests by a configuration which it knows to be replaced.
TEST_CASE("a configuration is confirmed by the watch only once its last change has been read") {
  OperatorWatchTest test;
  test.watch.Start();
  test.store.AnswerEvacuations(5, {});
  CHECK(test.events.confirmations() == 0);
  test.store.AnswerConfiguration(7);
  CHECK(test.events.confirmations() == 1);
  test.store.AnswerWatch(WatchEnd::kUnchanged, 9, false, false);
  CHECK(test.events.confirmations() == 2);
  test.store.AnswerWatch(WatchEnd::kChanged, 10, true, false);
  test.store.AnswerWatch(WatchEnd::kUnchanged, 11, false, false);
  CHECK(test.events.confirmations() == 2);
  test.store.AnswerConfiguration(12);
  CHECK(test.events.confirmations() == 3);
  CHECK(test.events.doubts() == 0);
  test.store.AnswerWatch(WatchEnd::kFailed, 13, false, false);
  CHECK(test.events.doubts() == 1);
  CHECK(test.events.confirmations() == 3);
}
