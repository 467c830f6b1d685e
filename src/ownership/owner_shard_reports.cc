// Part of ownership: an owner's reports to coordinators: run states and free capacity of workers.
#include <algorithm>
#include <utility>

#include "sapphireflow/ownership/owner_shard.h"

namespace sapphireflow {
std::vector<CapacityDigest> OwnerShard::Digests() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return DigestsLocked({});
}

void OwnerShard::Decline(const WaitingRun& waiting, const std::string& reason) {
  m_reports[waiting.coordinator()].emplace_back(waiting.order().run(), RunTransition::kDeclined,
                                                RunEnd::kAbsent, "", reason);
}

void OwnerShard::DeclineAll(const std::string& reason) {
  for (const WaitingRun& waiting : m_waiting) Decline(waiting, reason);
  m_waiting.clear();
}

void OwnerShard::FlushReports(bool all, OwnerEffects& out) {
  for (auto item = m_reports.begin(); item != m_reports.end();) {
    auto& [coordinator, reports] = *item;
    const bool only_starts = std::all_of(
        reports.begin(), reports.end(),
        [](const RunReport& report) { return report.transition() == RunTransition::kStarted; });
    if (only_starts && !all) {
      ++item;
      continue;
    }
    CapacityUpdate free_capacity = CapacityUpdateFor(reports);
    out.emplace_back(SendRunReports(coordinator, std::move(reports), std::move(free_capacity)));
    item = m_reports.erase(item);
  }
}

CapacityUpdate OwnerShard::CapacityUpdateFor(const std::vector<RunReport>& reports) const {
  std::set<WorkerId> only_workers;
  for (const RunReport& report : reports) {
    // A run that was declined before a worker was chosen shows that the coordinator's view of all
    // workers is outdated.
    if (report.worker().empty()) return {DigestsLocked({}), true};
    only_workers.insert(report.worker());
  }
  return {DigestsLocked(only_workers), false};
}

std::vector<CapacityDigest> OwnerShard::DigestsLocked(
    const std::set<WorkerId>& only_workers) const {
  struct Sum {
    std::vector<WorkerFreeCapacity> free_capacity;
    std::int64_t milli_cores = 0;
    double waiting_core_ms = 0;
  };
  std::map<std::string, Sum> sums;
  const bool may_start = m_freshness.AllowsStarts(m_now);
  for (const auto& [id, owned] : m_workers) {
    const Session& session = owned.session;
    // services without a usable worker are reported, too
    Sum& sum = sums[session.listing().service()];
    const bool is_included = only_workers.empty() || only_workers.count(id) > 0;
    const auto allowance = may_start && session.Usable() ? AllowedRuns(session, m_now) : 0;
    if (allowance > 0) sum.milli_cores += session.listing().capacity().milli_cores();
    if (!is_included) continue;
    // a run there may be unwanted, so that the lease cannot be extended for another one
    const bool takes_runs = session.runs() < allowance && session.HasLeaseForStart(m_now);
    const Resources free_capacity = takes_runs ? session.FreeCapacity() : Resources(0, 0, 0);
    if (free_capacity.milli_cores() > 0 || !only_workers.empty()) {
      sum.free_capacity.emplace_back(id, free_capacity, m_speeds.Slowness(id));
    }
  }
  double waiting = 0;
  // the highest priority is always reported: nobody waits before it
  std::map<std::uint32_t, double> waiting_by_priority;
  if (m_policies.order().IsByPriority()) waiting_by_priority[0] = 0;
  for (const WaitingRun& run : m_waiting) {
    const double core_ms =
        static_cast<double>(run.order().needs().milli_cores()) * ToMillis(run.order().estimate());
    waiting += core_ms;
    if (m_policies.order().IsByPriority()) waiting_by_priority[run.priority()] += core_ms;
  }
  std::vector<CapacityDigest> digests;
  for (auto& [service, sum] : sums) {
    const double wait_ms = sum.milli_cores > 0 ? waiting / static_cast<double>(sum.milli_cores) : 0;
    std::vector<PriorityWait> priority_waits;
    double waiting_before = 0;
    for (const auto& [priority, core_ms] : waiting_by_priority) {
      waiting_before += core_ms;
      const double ms =
          sum.milli_cores > 0 ? waiting_before / static_cast<double>(sum.milli_cores) : 0;
      priority_waits.emplace_back(priority, FromMillis(ms));
    }
    digests.emplace_back(service, std::move(sum.free_capacity), FromMillis(wait_ms),
                         sum.milli_cores, std::move(priority_waits));
  }
  return digests;
}

}  // namespace sapphireflow
