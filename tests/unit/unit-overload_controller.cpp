// Overload control, in a model of one server without threads or sockets. Guards against the
// collapse in which a VM accepts all jobs of a burst and answers none in time, and against a
// control that costs more than the overload: refusals after a single stall, priority 0 refused with
// the rest, refusals that outlast the burst, and refused callers that return in one wave.
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <random>
#include <string>

#include "sapphireflow/admission/overload_controller.h"

using namespace sapphireflow;

namespace {

using Millis = std::chrono::milliseconds;

constexpr Instant kStart = Instant(std::chrono::hours(1));
// CPU time of a job, half before its task runs on a worker and half after it, and of a refusal
constexpr Duration kJobCost = Millis(10);
constexpr Duration kRefusalCost = Duration(200);
constexpr double kCapacity = 100;  // jobs a second
constexpr Duration kTaskTime = Millis(60);
constexpr Duration kDeadline = Millis(1500);
constexpr Duration kProbeInterval = Millis(40);
constexpr Duration kCalmProbeInterval = Millis(60);

struct Count {
  int offered = 0;
  int in_time = 0;
  int refused = 0;
};

// A server that handles events in the order of their arrival, as an event loop does.
class ServerModel {
 public:
  explicit ServerModel(OverloadController& controller) : m_controller(controller) {
    m_events.emplace(kStart, Event{Kind::kProbe, kStart, 0});
  }

  // @param rate jobs a second; one in ten has priority 0, four have 1 and five have 2
  void Offer(double rate, Duration length) {
    const Instant end = m_offered_until + length;
    while (true) {
      const double uniform = (static_cast<double>(m_random()) + 1) / 4294967297.0;
      m_offered_until += Duration(static_cast<std::int64_t>(-std::log(uniform) / rate * 1e6));
      if (m_offered_until >= end) break;
      const std::uint32_t digit = m_random() % 10;
      const std::uint32_t priority = digit == 0 ? 0 : (digit < 5 ? 1 : 2);
      ++m_counts[priority].offered;
      m_events.emplace(m_offered_until, Event{Kind::kArrival, m_offered_until, priority});
    }
    m_offered_until = end;
  }

  void RunUntil(Instant end) {
    while (m_events.begin()->first < end) {
      const auto [at, event] = *m_events.begin();
      m_events.erase(m_events.begin());
      m_now = std::max(m_now, at);
      Handle(event);
    }
  }

  Count Total() const {
    Count total;
    for (const Count& count : m_counts) {
      total.offered += count.offered;
      total.in_time += count.in_time;
      total.refused += count.refused;
    }
    return total;
  }
  const Count& OfPriority(std::size_t priority) const { return m_counts.at(priority); }
  Instant last_refusal() const { return m_last_refusal; }

 private:
  enum class Kind { kProbe, kArrival, kEnd };
  struct Event {
    Kind kind;
    Instant due;  // of a job: when it arrived
    std::uint32_t priority;
  };

  void Handle(const Event& event) {
    if (event.kind == Kind::kProbe) {
      const bool late = m_now - event.due > Millis(10);
      const Instant next = m_now + (late ? kProbeInterval : kCalmProbeInterval);
      m_controller.OnLoopDelay(
          LoopDelaySample(EventLoop::kCallers, m_now - event.due, m_now, next));
      m_events.emplace(next, Event{Kind::kProbe, next, 0});
    } else if (event.kind == Kind::kEnd) {
      m_now += kJobCost / 2;
      if (m_now - event.due <= kDeadline) ++m_counts.at(event.priority).in_time;
    } else if (!m_controller.Decide(ArrivingJob(++m_key, event.priority, kDeadline, m_now))
                    .admitted()) {
      m_now += kRefusalCost;
      m_last_refusal = m_now;
      ++m_counts.at(event.priority).refused;
    } else {
      m_now += kJobCost / 2;
      m_events.emplace(m_now + kTaskTime, Event{Kind::kEnd, event.due, event.priority});
    }
  }

  OverloadController& m_controller;
  std::mt19937 m_random{7};
  std::multimap<Instant, Event> m_events;
  Instant m_now = kStart;
  Instant m_offered_until = kStart;
  Instant m_last_refusal{};
  JobKey m_key = 0;
  std::array<Count, 3> m_counts;
};

// jobs a second that are answered in time at a multiple of the capacity
double Goodput(const std::string& name, double load) {
  constexpr double kSeconds = 20;
  const auto controller = MakeOverloadController(name);
  ServerModel server(*controller);
  server.Offer(load * kCapacity, std::chrono::seconds(20));
  server.RunUntil(kStart + std::chrono::seconds(25));
  return server.Total().in_time / kSeconds;
}

}  // namespace

TEST_CASE("goodput under overload stays near its peak, that of the baseline collapses") {
  const double peak = std::max(Goodput("adaptive", 1), Goodput("admit-all", 1));
  CHECK(Goodput("adaptive", 2) >= 0.9 * peak);
  CHECK(Goodput("adaptive", 4) >= 0.9 * peak);
  CHECK(Goodput("admit-all", 2) < 0.5 * peak);
}

TEST_CASE("jobs of priority 0 are served under overload while they fit") {
  for (const double load : {1.5, 2.0, 4.0}) {
    AdaptiveOverloadController controller;
    ServerModel server(controller);
    server.Offer(load * kCapacity, std::chrono::seconds(20));
    server.RunUntil(kStart + std::chrono::seconds(25));
    const Count& count = server.OfPriority(0);
    INFO(load << ": " << count.in_time << " of " << count.offered << ", refused " << count.refused);
    CHECK(count.in_time >= 0.99 * count.offered);
    CHECK(server.OfPriority(2).refused > 0);
  }
}

TEST_CASE("all jobs are admitted again within 1 s after a burst") {
  for (const double load : {1.5, 2.0, 4.0}) {
    AdaptiveOverloadController controller;
    ServerModel server(controller);
    server.Offer(load * kCapacity, std::chrono::seconds(5));
    server.Offer(0.6 * kCapacity, std::chrono::seconds(5));
    const Instant burst_end = kStart + std::chrono::seconds(5);
    server.RunUntil(burst_end);
    INFO(load);
    CHECK(controller.State(burst_end).overloaded());
    server.RunUntil(burst_end + std::chrono::seconds(5));
    CHECK(server.last_refusal() < burst_end + std::chrono::seconds(1));
    CHECK_FALSE(controller.State(burst_end + std::chrono::seconds(5)).overloaded());
  }
}

TEST_CASE("a load below the capacity is admitted whole") {
  AdaptiveOverloadController controller;
  ServerModel server(controller);
  server.Offer(0.7 * kCapacity, std::chrono::seconds(60));
  server.RunUntil(kStart + std::chrono::seconds(60));
  CHECK(server.Total().refused == 0);
}

TEST_CASE("a single late sample refuses nobody, a standing delay does") {
  AdaptiveOverloadController controller;
  Instant now = kStart;
  const auto sample = [&](Duration delay) {
    now += kProbeInterval + delay;
    controller.OnLoopDelay(LoopDelaySample(EventLoop::kPeers, delay, now, now + kProbeInterval));
  };
  for (int i = 0; i < 20; ++i) sample(Millis(1));
  sample(Millis(3000));
  CHECK_FALSE(controller.State(now).overloaded());
  CHECK(controller.Decide(ArrivingJob(1, 5, kDeadline, now)).admitted());
  for (int i = 0; i < 20; ++i) sample(Millis(1));
  CHECK_FALSE(controller.State(now).overloaded());
  for (int i = 0; i < 20; ++i) sample(Millis(60));
  CHECK(controller.State(now).overloaded());
  CHECK(controller.State(now).worst() == EventLoop::kPeers);
  CHECK(controller.State(now).worst_delay() == Millis(60));
}

// Guards against refusals by a core that is throttled but has no queue.
TEST_CASE("a loop that is late by less than half a throttling period refuses nobody") {
  for (const int least_ms : {10, 45, 50, 51, 90}) {
    AdaptiveOverloadController controller;
    Instant now = kStart;
    // the core runs once in 100 ms, and two samples are due in that time
    for (int period = 0; period < 30; ++period) {
      now += Millis(100);
      for (const Duration delay : {Millis(least_ms + 50), Millis(least_ms)}) {
        controller.OnLoopDelay(LoopDelaySample(EventLoop::kTimers, delay, now, now + Millis(50)));
      }
    }
    INFO(least_ms);
    CHECK(controller.State(now).overloaded() == (least_ms > 50));
  }
}

TEST_CASE("full use of the CPU alone refuses nobody") {
  AdaptiveOverloadController controller;
  for (Instant now = kStart; now < kStart + std::chrono::seconds(3); now += kProbeInterval) {
    controller.OnCpuUse(CpuUseSample(3, now));
    controller.OnLoopDelay(LoopDelaySample(EventLoop::kTimers, Millis(10), now));
  }
  CHECK_FALSE(controller.State(kStart + std::chrono::seconds(3)).overloaded());
}

TEST_CASE("a job whose time is shorter than the delay of the loops is refused") {
  AdaptiveOverloadController controller;
  Instant now = kStart;
  for (int i = 0; i < 5; ++i) {
    now += Millis(80);
    controller.OnLoopDelay(LoopDelaySample(EventLoop::kCalls, Millis(30), now));
  }
  CHECK_FALSE(controller.State(now).overloaded());
  CHECK(controller.Decide(ArrivingJob(1, 0, Millis(31), now)).admitted());
  CHECK_FALSE(controller.Decide(ArrivingJob(2, 0, Millis(30), now)).admitted());
  // a loop that has nothing to do any more has no delay
  now += std::chrono::seconds(1);
  CHECK(controller.Decide(ArrivingJob(3, 0, Millis(30), now)).admitted());
}

TEST_CASE("refused callers come back at different times, the same name at the same time") {
  AdaptiveOverloadController controller;
  Instant now = kStart;
  for (int i = 0; i < 60; ++i) {
    now += Millis(240);
    controller.OnLoopDelay(
        LoopDelaySample(EventLoop::kCallers, Millis(200), now, now + Millis(40)));
  }
  std::map<std::chrono::seconds::rep, int> callers;
  int refused = 0;
  for (JobKey key = 0; key < 1000; ++key) {
    const OverloadVerdict verdict = controller.Decide(ArrivingJob(key, 1, kDeadline, now));
    if (verdict.admitted()) continue;
    ++refused;
    ++callers[verdict.retry_after().count()];
  }
  REQUIRE(refused > 500);
  CHECK(callers.begin()->first == 1);
  CHECK(callers.size() >= 3);
  for (const auto& [seconds, count] : callers) {
    INFO(seconds);
    CHECK(count < refused / 2);
  }
  const ArrivingJob job(17, 1, kDeadline, now);
  CHECK(controller.Decide(job) == controller.Decide(job));
}

TEST_CASE("a controller is made by its name only") {
  CHECK(MakeOverloadController("adaptive") != nullptr);
  CHECK(MakeOverloadController("admit-all") != nullptr);
  CHECK(MakeOverloadController("adaptiv") == nullptr);
}
