// Part of experiment: throughput of the decision pipeline.
#include "sapphireflow/experiment/decision_bench.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>
#include <thread>
#include <vector>

#include "sapphireflow/execution/shard.h"
#include "sapphireflow/settings/table_edit.h"

namespace sapphireflow {
namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
// simulated time between two submissions
constexpr Duration kJobGap = std::chrono::microseconds(50);

// CPU time of the calling thread.
double ThreadCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  constexpr double kNanosPerSecond = 1e9;
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / kNanosPerSecond;
}

// Submits jobs to one shard and reports the end of each started attempt.
class ShardDriver {
 public:
  ShardDriver(std::uint32_t workers, ShardIndex index)
      : m_self(Address(kLoopback, 1), 1), m_shard(ShardAddress(m_self, index), ShardOptions(), 1) {
    std::vector<Worker> list;
    for (std::uint32_t i = 0; i < workers; ++i) {
      list.emplace_back(Address(kLoopback + 1 + i, 9), "z", "r", 8, ResourceSpec(16, 32768, 0),
                        false);
    }
    ApplyEvent(AssignWorkers(list, {ResourceSpec(16, 32768, 0)}));
    const TableRow row("check", "*", 1, 1000000000, 3, std::chrono::seconds(10), 1000000000);
    ApplyEvent(UseTable(ApplyEdit(nullptr, TableEdit("e", "w", 0, {row}), m_now)));
  }

  /// @brief Runs `jobs` jobs of `tasks` tasks each and keeps kMaxInFlight attempts in flight.
  /// @return number of attempts that have ended.
  std::uint64_t Run(std::uint32_t jobs, std::uint32_t tasks) {
    std::uint64_t decided = 0;
    std::vector<AttemptId> open_attempts;
    for (std::uint32_t i = 0; i < jobs; ++i) {
      m_now += kJobGap;
      const JobId id(m_self, 0, ++m_sequence, FromUnixMillis(ToUnixMillis(m_now)));
      std::vector<Task> list(tasks, Task("check", "payload", ResourceSpec(), Duration(1000)));
      const auto spec =
          std::make_shared<JobSpec>("team", m_now + std::chrono::seconds(5), true, std::move(list));
      AppendStartedAttempts(ApplyEvent(SubmitJob(Waiter(m_self.address(), m_sequence), id, spec)),
                            &open_attempts);
      constexpr std::size_t kMaxInFlight = 16;
      while (open_attempts.size() > kMaxInFlight) {
        const AttemptId attempt = open_attempts.front();
        open_attempts.erase(open_attempts.begin());
        ++decided;
        AppendStartedAttempts(ApplyEvent(AttemptReport(attempt, AttemptEnd::kSucceeded, "result")),
                              &open_attempts);
      }
    }
    return decided;
  }

 private:
  static void AppendStartedAttempts(const ShardEffects& effects,
                                    std::vector<AttemptId>* open_attempts) {
    for (const ShardEffect& effect : effects) {
      const auto* start = std::get_if<StartAttempt>(&effect);
      if (start != nullptr) open_attempts->push_back(start->attempt());
    }
  }
  ShardEffects ApplyEvent(const ShardEvent& event) {
    return m_shard.Apply(ShardInput(m_now, event));
  }

  const NodeId m_self;
  Shard m_shard;
  Instant m_now = FromUnixMillis(1700000000000);
  std::uint64_t m_sequence = 0;
};

std::string FormatRow(const char* row_label, std::uint32_t size, double per_second) {
  constexpr int kBufferSize = 120;
  std::array<char, kBufferSize> line{};
  std::snprintf(line.data(), line.size(), "%-36s %6u  %10.0f decisions/s\n", row_label, size,
                per_second);
  return line.data();
}

double MeasureOneShard(std::uint32_t workers, std::uint32_t jobs, std::uint32_t tasks) {
  ShardDriver shard_driver(workers, 0);
  // warm-up, not measured
  shard_driver.Run(jobs / 10, tasks);
  const double before = ThreadCpuSeconds();
  const auto decided = static_cast<double>(shard_driver.Run(jobs, tasks));
  return decided / (ThreadCpuSeconds() - before);
}

double MeasureThreads(std::uint32_t count) {
  constexpr std::uint32_t kJobs = 100000;
  std::vector<std::unique_ptr<ShardDriver>> shards;
  for (ShardIndex i = 0; i < count; ++i) shards.push_back(std::make_unique<ShardDriver>(50, i));
  const auto before = std::chrono::steady_clock::now();
  std::vector<std::thread> threads;
  threads.reserve(count);
  for (const auto& shard : shards) {
    threads.emplace_back([&shard] { shard->Run(kJobs, 1); });
  }
  for (std::thread& thread : threads) thread.join();
  const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - before;
  return static_cast<double>(kJobs) * count / taken.count();
}

}  // namespace

std::string MeasureDecisions() {
  std::string text = "one decision: a task from submission through start and end to its answer\n";
  for (const std::uint32_t workers : {50U, 500U, 5000U}) {
    text += FormatRow("jobs of 1 task, workers:", workers, MeasureOneShard(workers, 200000, 1));
  }
  for (const std::uint32_t workers : {50U, 500U, 5000U}) {
    text += FormatRow("jobs of 20 tasks, workers:", workers, MeasureOneShard(workers, 20000, 20));
  }
  for (const std::uint32_t threads : {1U, 2U, 4U}) {
    text += FormatRow("wall time, a shard a thread, threads:", threads, MeasureThreads(threads));
  }
  return text;
}

}  // namespace sapphireflow
