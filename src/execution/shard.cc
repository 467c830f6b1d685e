// Part of execution: the shard's pipeline. Every stage processes an event in order, under one lock.
#include "sapphireflow/execution/shard.h"

#include <iterator>
#include <utility>
#include <vector>

#include "sapphireflow/execution/detail/shard_stages.h"

namespace sapphireflow {
namespace detail {

ShardEffects FleetUpdateStage::Apply(const ShardInput& input) {
  if (const auto* workers = std::get_if<AssignWorkers>(&input.event())) {
    m_state.m_pool.SetWorkers(workers->own_workers(), input.now());
    m_state.m_pool.SetLeaving(workers->leaving());
    m_state.m_capacities = workers->capacities();
  }
  if (const auto* use = std::get_if<UseTable>(&input.event())) {
    // the version never decreases, whatever the order in which tables arrive
    const bool newer = !m_state.m_table || m_state.m_table->version() < use->table()->version();
    if (newer) m_state.m_table = use->table();
  }
  if (const auto* fleet_load = std::get_if<FleetLoad>(&input.event())) {
    m_state.m_quota_shares = fleet_load->quota_shares() > 0 ? fleet_load->quota_shares() : 1;
    m_state.m_peer_free_slots = fleet_load->peer_free_slots();
  }
  return {};
}

/// @brief The state of a shard and its stages; guarded by the shard's lock.
class ShardPipeline {
 public:
  ShardPipeline(const ShardAddress& self, const ShardOptions& options, std::uint64_t seed)
      : m_state(self, options, seed) {
    m_stages.push_back(std::make_unique<FleetUpdateStage>(m_state));
    m_stages.push_back(std::make_unique<IntakeStage>(m_state));
    m_stages.push_back(std::make_unique<AttemptStage>(m_state));
    ShardStage& attempts = *m_stages.back();
    m_stages.push_back(std::make_unique<LendingStage>(m_state));
    m_stages.push_back(std::make_unique<TimerStage>(m_state, attempts));
    m_stages.push_back(std::make_unique<DispatchStage>(m_state));
    m_stages.push_back(std::make_unique<BorrowingStage>(m_state));
  }

  ShardEffects Apply(const ShardInput& input) {
    ShardEffects out;
    for (const auto& stage : m_stages) {
      ShardEffects effects = stage->Apply(input);
      if (out.empty()) {
        out = std::move(effects);
      } else {
        std::move(effects.begin(), effects.end(), std::back_inserter(out));
      }
    }
    RequestWakeUp(std::holds_alternative<Tick>(input.event()), &out);
    return out;
  }

  ShardState& state() { return m_state; }

 private:
  void RequestWakeUp(bool is_tick, ShardEffects* out) {
    m_state.DropStaleTimers();
    const Instant due = m_state.NextDue();
    if (is_tick) m_wake_at = kNever;
    if (due >= m_wake_at) return;
    m_wake_at = due;
    out->emplace_back(WakeShard(m_state.m_self.shard(), due));
  }

  ShardState m_state;
  // the earliest wake-up that was requested and has not happened yet
  Instant m_wake_at = kNever;
  std::vector<std::unique_ptr<ShardStage>> m_stages;
};

}  // namespace detail

Shard::Shard(const ShardAddress& self, const ShardOptions& options, std::uint64_t seed)
    : m_pipeline(std::make_unique<detail::ShardPipeline>(self, options, seed)) {}

Shard::~Shard() = default;

ShardEffects Shard::Apply(const ShardInput& input) {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_pipeline->Apply(input);
}

ShardDigest Shard::Digest() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const detail::ShardState& state = m_pipeline->state();
  // a shard whose own jobs wait has no slots to lend
  const std::uint32_t free = state.m_queue.empty() ? state.m_pool.free_slots() : 0;
  return {free,
          state.m_pool.total_slots(),
          state.m_queue.size(),
          state.m_ledger.active(),
          state.m_ledger.size(),
          state.m_table ? state.m_table->version() : 0};
}

InheritJobs Shard::Seal() {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_pipeline->state().m_sealed = true;
  return m_pipeline->state().m_ledger.Export();
}

InheritJobs Shard::Export() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_pipeline->state().m_ledger.Export();
}

}  // namespace sapphireflow
