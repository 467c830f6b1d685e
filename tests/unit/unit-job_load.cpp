// Plays twice the load that a small pool of workers can serve through one dispatch node, without a
// network: the decisions on whole jobs against their baselines.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/routing/dispatch_node.h"

using namespace sapphireflow;

namespace {

const Instant kStart = FromUnixMillis(1700000000000);
const NodeId kSelf(Address(1, 7720), 1);
const std::string kService = "workshop";
constexpr std::uint32_t kWorkers = 8;
constexpr std::int64_t kWorkerCores = 16000;
constexpr std::int64_t kTaskCores = 6000;
// two tasks fit on a worker
constexpr double kSlots = kWorkers * 2;
constexpr std::uint32_t kPriorities = 3;
constexpr int kLoadMs = 8000;
constexpr int kTimeoutMs = 1500;

Duration Millis(double millis) { return FromMillis(millis); }

struct Policies {
  const char* start_order;
  const char* feasibility;
};

struct Outcome {
  std::array<int, kPriorities> submitted{};
  std::array<int, kPriorities> in_time{};
  int refused = 0;
  int late = 0;
  int InTime() const { return in_time[0] + in_time[1] + in_time[2]; }
  int Submitted() const { return submitted[0] + submitted[1] + submitted[2]; }
  double Share(std::uint32_t priority) const {
    return static_cast<double>(in_time[priority]) / std::max(1, submitted[priority]);
  }
  Outcome& operator+=(const Outcome& other) {
    for (std::uint32_t i = 0; i < kPriorities; ++i) {
      submitted[i] += other.submitted[i];
      in_time[i] += other.in_time[i];
    }
    refused += other.refused;
    late += other.late;
    return *this;
  }
};

class LoadedNode {
 public:
  LoadedNode(std::uint32_t seed, const Policies& policies)
      : m_random(seed),
        m_node(MemberListing(kSelf, "celaya", 500),
               DispatchSettings(LeaseLimits(Millis(1000), Millis(1300)), Millis(2000), 2.0,
                                policies.start_order, "slowest-sufficient", "consecutive-failures",
                                policies.feasibility)) {
    for (std::uint32_t i = 0; i < kWorkers; ++i) {
      Worker worker;
      worker.listing.emplace_back("w" + std::to_string(i), Address(100 + i, 80), kService, "celaya",
                                  std::vector<std::string>(), Resources(kWorkerCores, 32768, 0), 1,
                                  false);
      m_workers.emplace("w" + std::to_string(i), worker);
    }
  }

  Outcome Run(double load) {
    ListWorkers();
    Feed(MembersListed({MemberListing(kSelf, "celaya", 500)}));
    Tick();
    ScheduleJobs(load);
    const Instant end = kStart + Millis(kLoadMs + 3 * kTimeoutMs);
    while (!m_events.empty() && m_events.begin()->first < end) {
      const auto first = m_events.begin();
      m_now = first->first;
      const auto action = std::move(first->second);
      m_events.erase(first);
      action();
    }
    return m_outcome;
  }

 private:
  struct Worker {
    WorkerListings listing;
    std::map<TaskKey, std::uint32_t> running;
    std::vector<EndedRun> ended;
    std::uint64_t next_end = 1;
    // sends the reply to a renewal that waits for a run to end
    std::function<void()> held;
  };

  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(m_random);
  }
  void After(Duration pause, std::function<void()> action) {
    m_events.emplace(m_now + pause, std::move(action));
  }

  // Priority 0 asks for a fifth of the load: at twice the capacity, its own demand fits.
  void ScheduleJobs(double load) {
    double work_ms = 0;
    for (JobKey key = 1; work_ms < load * kSlots * kLoadMs; ++key) {
      const double kind = Uniform(0, 1);
      const std::uint32_t priority = kind < 0.2 ? 0 : kind < 0.6 ? 1 : 2;
      std::vector<StepSpec> steps;
      double path_ms = 0;
      const int step_count = Uniform(0, 1) < 0.5 ? 1 : 2;
      for (int i = 0; i < step_count; ++i) {
        const auto count = static_cast<std::uint32_t>(Uniform(1, 5));
        const double estimate_ms = Uniform(50, 350);
        path_ms += estimate_ms;
        work_ms += count * estimate_ms * 1.08;
        steps.emplace_back(count, Resources(kTaskCores, 64, 0), Millis(estimate_ms),
                           i == 0 ? std::vector<std::uint32_t>() : std::vector<std::uint32_t>{0},
                           "", "", 0);
      }
      const auto order = std::make_shared<const JobOrder>(
          key, "quotes", kService, std::make_shared<const std::string>("p"), std::move(steps),
          priority, 2, Millis(path_ms * 1.6 + 100), Millis(kTimeoutMs));
      const Duration at = Millis(Uniform(500, 500 + kLoadMs));
      After(at, [this, key, order] {
        m_orders[key] = std::make_pair(order, m_now);
        ++m_outcome.submitted[order->priority()];
        Feed(SubmitJobOrder(key, order));
      });
    }
  }

  void Feed(const DispatchEvent& event) {
    for (const DispatchEffect& effect : m_node.Apply(DispatchInput(m_now, event))) {
      std::visit([this](const auto& one) { Execute(one); }, effect);
    }
  }
  void ListWorkers() {
    WorkerListings listings;
    for (const auto& [id, worker] : m_workers) listings.push_back(worker.listing.front());
    Feed(WorkersListed(listings, m_now));
  }

  void Tick() {
    // a store that answers also reports the workers: a VM starts nothing by an old list
    ListWorkers();
    Feed(StoreAnswered());
    Feed(DispatchTick());
    After(Millis(50), [this] { Tick(); });
  }

  template <class Other>
  void Execute(const Other& /*effect*/) {}

  void Execute(const AnswerCaller& answer) {
    const auto& [order, submitted_at] = m_orders.at(answer.token());
    const bool is_done = answer.verdict() == JobVerdict::kCompleted;
    if (is_done && m_now - submitted_at <= Millis(kTimeoutMs)) {
      ++m_outcome.in_time[order->priority()];
    } else if (answer.verdict() == JobVerdict::kRefused) {
      ++m_outcome.refused;
    } else {
      ++m_outcome.late;
    }
  }

  std::int64_t ClockMs() const {
    return 500000 + std::chrono::duration_cast<std::chrono::milliseconds>(m_now - kStart).count();
  }

  void Execute(const StartRun& order) {
    After(Millis(0.5), [this, order] {
      Worker& worker = m_workers.at(order.call().worker());
      const TaskKey task = order.run().task();
      worker.running[task] = order.run().number();
      const StepSpec& step = m_orders.at(task.job()).first->steps()[task.step()];
      // declared run times are off by up to a factor of two either way
      const double factor = std::exp2(Uniform(-1, 1));
      After(Millis(ToMillis(step.estimate()) * factor), [this, order] {
        End(m_workers.at(order.call().worker()), order.run(), RunEnd::kDone);
      });
      Feed(StartReplied(order.call().worker(), order.run(), order.call().token(),
                        order.call().number(), CallOutcome::kOk, ClockMs()));
    });
  }
  void Execute(const StopRun& order) {
    After(Millis(0.5), [this, order] {
      End(m_workers.at(order.call().worker()), order.run(), RunEnd::kStopped);
    });
  }
  void End(Worker& worker, const RunKey& run, RunEnd end) {
    const auto found = worker.running.find(run.task());
    if (found == worker.running.end() || found->second != run.number()) return;
    worker.running.erase(found);
    worker.ended.emplace_back(worker.next_end++, run, end);
    if (worker.held) std::exchange(worker.held, nullptr)();
  }
  void Execute(const RenewLease& order) {
    After(Millis(0.5), [this, order] {
      Worker& worker = m_workers.at(order.call().worker());
      auto& ended = worker.ended;
      ended.erase(
          std::remove_if(ended.begin(), ended.end(),
                         [&](const EndedRun& one) { return one.number() <= order.acknowledged(); }),
          ended.end());
      const auto is_answered = std::make_shared<bool>(false);
      const auto reply = [this, order, is_answered] {
        if (std::exchange(*is_answered, true)) return;
        const Worker& answering = m_workers.at(order.call().worker());
        std::vector<RunKey> running;
        for (const auto& [task, number] : answering.running) running.emplace_back(task, number);
        Feed(RenewalReplied(order.call().worker(), order.call().token(), order.call().number(),
                            CallOutcome::kOk,
                            WorkerReport(ClockMs(), 1, running, answering.ended)));
      };
      if (order.wait() == Duration::zero() || !ended.empty()) {
        reply();
        return;
      }
      if (worker.held) std::exchange(worker.held, nullptr)();
      worker.held = reply;
      After(order.wait(), reply);
    });
  }

  std::mt19937 m_random;
  Instant m_now = kStart;
  std::multimap<Instant, std::function<void()>> m_events;
  DispatchNode m_node;
  std::map<WorkerId, Worker> m_workers;
  std::map<JobKey, std::pair<JobOrderPtr, Instant>> m_orders;
  Outcome m_outcome;
};

Outcome Play(const Policies& policies, double load) {
  Outcome sum;
  for (std::uint32_t seed = 1; seed <= 4; ++seed) sum += LoadedNode(seed, policies).Run(load);
  std::printf("%4.1fx  %-14s %-11s %6d %8d %6.3f %6.3f %6.3f %8d %6d\n", load, policies.start_order,
              policies.feasibility, sum.Submitted(), sum.InTime(), sum.Share(0), sum.Share(1),
              sum.Share(2), sum.refused, sum.late);
  return sum;
}

}  // namespace

// Guards against decisions under load that serve fewer jobs than the baselines, or that delay jobs
// of priority 0 for others.
TEST_CASE("at twice the load the decisions on whole jobs serve no fewer jobs in time") {
  std::printf(
      "load   start order    feasibility   jobs  in time    p0     p1     p2  refused   late\n");
  const Outcome calm = Play({"priority-slack", "whole-job"}, 0.6);
  const Outcome calm_baseline = Play({"least-slack", "first-start"}, 0.6);
  CHECK(calm.InTime() >= calm_baseline.InTime());
  const Outcome baseline = Play({"least-slack", "first-start"}, 2.0);
  const Outcome order_only = Play({"priority-slack", "first-start"}, 2.0);
  Play({"least-slack", "whole-job"}, 2.0);
  const Outcome whole = Play({"priority-slack", "whole-job"}, 2.0);
  const Outcome heavy_baseline = Play({"least-slack", "first-start"}, 4.0);
  const Outcome heavy = Play({"priority-slack", "whole-job"}, 4.0);
  std::fflush(stdout);
  CHECK(order_only.Share(0) >= baseline.Share(0));
  CHECK(whole.InTime() >= baseline.InTime());
  CHECK(heavy.InTime() >= heavy_baseline.InTime());
  CHECK(whole.Share(0) >= 0.99);
}
