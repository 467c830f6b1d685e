// Part of dispatch: what the capacity view knows of the room for a whole job.
#include <algorithm>
#include <iterator>
#include <limits>

#include "sapphireflow/dispatch/capacity_view.h"

namespace sapphireflow {
namespace {

// how many tasks that need this much fit in the free capacity
std::int64_t CountFitting(const Resources& available, const Resources& needs) {
  if (!available.Covers(needs)) return 0;
  std::int64_t count = std::numeric_limits<std::uint32_t>::max();
  const auto limit = [&count](std::int64_t free, std::int64_t needed) {
    if (needed > 0) count = std::min(count, free / needed);
  };
  limit(available.milli_cores(), needs.milli_cores());
  limit(available.memory_mb(), needs.memory_mb());
  limit(available.accelerators(), needs.accelerators());
  return count;
}

}  // namespace

Duration CapacityView::WaitOf(const Entry& entry, std::uint32_t priority) {
  if (entry.priority_waits.empty()) return entry.wait;
  Duration wait{};
  for (const PriorityWait& known : entry.priority_waits) {
    if (known.priority() <= priority) wait = known.wait();
  }
  return wait;
}

void CapacityView::AddWait(Entry& entry, std::uint32_t priority, Duration wait) {
  entry.wait += wait;
  auto& known = entry.priority_waits;
  if (known.empty()) return;
  const auto first = std::find_if(known.begin(), known.end(), [&](const PriorityWait& other) {
    return other.priority() >= priority;
  });
  const bool is_new = first == known.end() || first->priority() != priority;
  const auto begin =
      is_new ? known.insert(first, PriorityWait(priority, WaitOf(entry, priority))) : first;
  std::transform(begin, known.end(), begin, [wait](const PriorityWait& other) {
    return PriorityWait(other.priority(), other.wait() + wait);
  });
}

void CapacityView::LearnSlowness(Entry& entry, const std::vector<WorkerFreeCapacity>& workers) {
  for (const WorkerFreeCapacity& worker : workers) {
    entry.smallest_slowness = std::min(entry.smallest_slowness, worker.slowness());
  }
}

StepRoom CapacityView::RoomFor(const JobOrder& order, Instant now) const {
  const StepSpec& step = order.steps().front();
  std::int64_t fitting = 0;
  std::vector<OwnerQueue> queues;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [key, entry] : m_entries) {
    if (key.second != order.service() || entry.milli_cores <= 0) continue;
    const Duration wait = WaitOf(entry, order.priority()) - entry.times.AgeAt(now);
    queues.emplace_back(std::max(wait, Duration::zero()), entry.milli_cores);
    for (const WorkerFreeCapacity& worker : entry.free_workers) {
      if (fitting >= step.count()) break;
      fitting += CountFitting(worker.available(), step.needs());
    }
  }
  const auto count = static_cast<std::uint32_t>(std::min<std::int64_t>(fitting, step.count()));
  return {count, std::move(queues)};
}

bool CapacityView::IsFullFor(const JobOrder& order, Duration wait, Instant now) const {
  const auto is_asked = [&](const auto& item) {
    return item.first.second == order.service() && item.second.milli_cores > 0;
  };
  std::lock_guard<std::mutex> lock(m_mutex);
  // Runs of the same priority do not count: the job's own may be the first of them.
  const bool has_short_wait =
      order.priority() == 0 ||
      std::any_of(m_entries.begin(), m_entries.end(), [&](const auto& item) {
        const Entry& entry = item.second;
        return is_asked(item) &&
               (entry.priority_waits.empty() ||
                WaitOf(entry, order.priority() - 1) - entry.times.AgeAt(now) <= wait);
      });
  if (has_short_wait) return false;
  const Resources& needs = order.steps().front().needs();
  return std::none_of(m_entries.begin(), m_entries.end(), [&](const auto& item) {
    return is_asked(item) && OffersFreeCapacity(item.second, needs, nullptr);
  });
}

double CapacityView::SmallestSlowness(const std::string& service) const {
  double smallest = 1.0;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [key, entry] : m_entries) {
    if (key.second == service) smallest = std::min(smallest, entry.smallest_slowness);
  }
  return smallest;
}

}  // namespace sapphireflow
