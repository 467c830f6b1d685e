// Part of experiment: how fast and how large the decisions are.
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
constexpr Duration kJobGap = std::chrono::microseconds(50);

// processor time of the calling thread
double ThreadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  constexpr double kNanos = 1e9;
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / kNanos;
}

class ShardLoad {
 public:
  ShardLoad(std::uint32_t workers, ShardIndex index)
      : m_self(Address(kLoopback, 1), 1), m_shard(ShardAddress(m_self, index), ShardOptions(), 1) {
    std::vector<Worker> list;
    for (std::uint32_t i = 0; i < workers; ++i) {
      list.emplace_back(Address(kLoopback + 1 + i, 9), "z", "r", 8, ResourceSpec(16, 32768, 0),
                        false);
    }
    Do(AssignWorkers(list, {ResourceSpec(16, 32768, 0)}));
    const TableRow row("check", "*", 1, 1000000000, 3, std::chrono::seconds(10), 1000000000);
    Do(UseTable(ApplyEdit(nullptr, TableEdit("e", "w", 0, {row}), m_now)));
  }

  /// Runs `jobs` jobs of `tasks` tasks, some in flight all the time. Returns tasks decided.
  std::uint64_t Run(std::uint32_t jobs, std::uint32_t tasks) {
    std::uint64_t decided = 0;
    std::vector<AttemptId> open;
    for (std::uint32_t i = 0; i < jobs; ++i) {
      m_now += kJobGap;
      const JobId id(m_self, 0, ++m_sequence, FromUnixMillis(ToUnixMillis(m_now)));
      std::vector<Task> list(tasks, Task("check", "payload", ResourceSpec(), Duration(1000)));
      const auto spec =
          std::make_shared<JobSpec>("team", m_now + std::chrono::seconds(5), true, std::move(list));
      AddStarts(Do(SubmitJob(Waiter(m_self.address(), m_sequence), id, spec)), &open);
      constexpr std::size_t kInFlight = 16;
      while (open.size() > kInFlight) {
        const AttemptId attempt = open.front();
        open.erase(open.begin());
        ++decided;
        AddStarts(Do(AttemptReport(attempt, AttemptEnd::kSucceeded, "result")), &open);
      }
    }
    return decided;
  }

 private:
  static void AddStarts(const ShardEffects& effects, std::vector<AttemptId>* open) {
    for (const ShardEffect& effect : effects) {
      const auto* start = std::get_if<StartAttempt>(&effect);
      if (start != nullptr) open->push_back(start->attempt());
    }
  }
  ShardEffects Do(const ShardEvent& event) { return m_shard.Apply(ShardInput(m_now, event)); }

  const NodeId m_self;
  Shard m_shard;
  Instant m_now = FromUnixMillis(1700000000000);
  std::uint64_t m_sequence = 0;
};

std::string Row(const char* what, std::uint32_t size, double per_second) {
  constexpr int kSize = 120;
  std::array<char, kSize> line{};
  std::snprintf(line.data(), line.size(), "%-36s %6u  %10.0f decisions/s\n", what, size,
                per_second);
  return line.data();
}

double OneShard(std::uint32_t workers, std::uint32_t jobs, std::uint32_t tasks) {
  ShardLoad load(workers, 0);
  load.Run(jobs / 10, tasks);
  const double before = ThreadSeconds();
  const auto decided = static_cast<double>(load.Run(jobs, tasks));
  return decided / (ThreadSeconds() - before);
}

double Threads(std::uint32_t count) {
  constexpr std::uint32_t kJobs = 100000;
  std::vector<std::unique_ptr<ShardLoad>> shards;
  for (ShardIndex i = 0; i < count; ++i) shards.push_back(std::make_unique<ShardLoad>(50, i));
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
    text += Row("jobs of 1 task, workers:", workers, OneShard(workers, 200000, 1));
  }
  for (const std::uint32_t workers : {50U, 500U, 5000U}) {
    text += Row("jobs of 20 tasks, workers:", workers, OneShard(workers, 20000, 20));
  }
  for (const std::uint32_t threads : {1U, 2U, 4U}) {
    text += Row("wall time, a shard a thread, threads:", threads, Threads(threads));
  }
  return text;
}

}  // namespace sapphireflow
