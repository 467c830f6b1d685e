// Part of observe: sharded counters and their rendering.
#include "sapphireflow/observe/metrics.h"

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>
#include <tuple>

#include "sapphireflow/observe/distribution.h"

namespace sapphireflow {
namespace {

using CounterKey = std::tuple<std::string, std::string, std::string>;
constexpr std::size_t kShards = 8;
// Bounds the memory of a shard: a distribution takes 8 KB and operators may add thousands of kinds.
constexpr std::size_t kMaxKinds = 32;
constexpr char kOtherKinds[] = "other";
constexpr std::array<double, 4> kQuantiles = {0.5, 0.95, 0.99, 0.999};

}  // namespace

class Metrics::Impl {
 public:
  struct Shard {
    mutable std::mutex mutex;
    // invariant: guarded by mutex
    std::map<CounterKey, std::uint64_t, std::less<>> counters;
    std::map<std::string, Distribution> responses;
  };
  // Threads are spread over the shards by the hash of their id, so that they rarely contend.
  Shard& ShardOfThisThread() {
    return m_shards[std::hash<std::thread::id>()(std::this_thread::get_id()) % kShards];
  }
  const std::array<Shard, kShards>& shards() const { return m_shards; }
  // Not sharded: the last value set by any thread holds.
  struct Gauges {
    mutable std::mutex mutex;
    // invariant: guarded by mutex
    std::map<CounterKey, double> values;
  };
  Gauges& gauges() { return m_gauges; }

 private:
  std::array<Shard, kShards> m_shards;
  Gauges m_gauges;
};

Metrics::Metrics() : m_impl(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::IncrementCounter(const std::string& name, const std::string& label,
                               const std::string& value, std::uint64_t by) {
  Impl::Shard& shard = m_impl->ShardOfThisThread();
  std::lock_guard<std::mutex> lock(shard.mutex);
  // copies the names only for a new counter
  const auto key = std::tie(name, label, value);
  const auto found = shard.counters.find(key);
  if (found != shard.counters.end()) {
    found->second += by;
  } else {
    shard.counters.emplace(key, by);
  }
}

void Metrics::SetGauge(const std::string& name, const std::string& label, const std::string& value,
                       double number) {
  Impl::Gauges& gauges = m_impl->gauges();
  std::lock_guard<std::mutex> lock(gauges.mutex);
  gauges.values[CounterKey(name, label, value)] = number;
}

void Metrics::RecordResponse(const std::string& kind, Duration response) {
  Impl::Shard& shard = m_impl->ShardOfThisThread();
  std::lock_guard<std::mutex> lock(shard.mutex);
  const bool known = shard.responses.count(kind) > 0 || shard.responses.size() < kMaxKinds;
  shard.responses[known ? kind : kOtherKinds].Add(ToMillis(response));
}

std::string Metrics::Render() const {
  std::map<CounterKey, std::uint64_t> counters;
  std::map<std::string, Distribution> responses;
  for (const auto& shard : m_impl->shards()) {
    std::lock_guard<std::mutex> lock(shard.mutex);
    for (const auto& [key, count] : shard.counters) counters[key] += count;
    for (const auto& [kind, distribution] : shard.responses) responses[kind].Add(distribution);
  }
  std::ostringstream text;
  for (const auto& [key, count] : counters) {
    text << "sapphireflow_" << std::get<0>(key) << "{" << std::get<1>(key) << "=\""
         << std::get<2>(key) << "\"} " << count << "\n";
  }
  {
    const Impl::Gauges& gauges = m_impl->gauges();
    std::lock_guard<std::mutex> lock(gauges.mutex);
    for (const auto& [key, number] : gauges.values) {
      text << "sapphireflow_" << std::get<0>(key) << "{" << std::get<1>(key) << "=\""
           << std::get<2>(key) << "\"} " << number << "\n";
    }
  }
  for (const auto& [kind, distribution] : responses) {
    for (const double quantile : kQuantiles) {
      text << "sapphireflow_response_ms{kind=\"" << kind << "\",quantile=\"" << quantile << "\"} "
           << distribution.Quantile(quantile) << "\n";
    }
    text << "sapphireflow_response_ms_sum{kind=\"" << kind << "\"} " << distribution.sum() << "\n"
         << "sapphireflow_response_ms_count{kind=\"" << kind << "\"} " << distribution.count()
         << "\n";
  }
  return text.str();
}

}  // namespace sapphireflow
