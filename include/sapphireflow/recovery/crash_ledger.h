// Part of recovery: the losses of workers that a VM knows of, its own and those of other VMs.
#ifndef SAPPHIREFLOW_RECOVERY_CRASH_LEDGER_H_
#define SAPPHIREFLOW_RECOVERY_CRASH_LEDGER_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sapphireflow/recovery/crash_history.h"

namespace sapphireflow {

/// @brief A set of losses, keyed by the worker's process, that is the same at every VM once all
/// have received the same records, in any order and any number of times. Thread-safe: one lock.
///
/// What the observer with the highest fencing token has seen replaces what others have: the runs
/// that a former owner knew may have ended since.
///
/// A task is judged by the weight of the evidence in the losses that were not mere interruptions.
/// One crash as the run that started last isolates it, and so do two beside others; another crash
/// while it is isolated condemns it, or a third one.
class CrashLedger : public CrashHistory {
 public:
  /// @brief Records an observation of this VM.
  /// @return what other VMs have to know, if anything is new.
  std::optional<LossRecord> Record(const WorkerLoss& loss, Instant now);
  /// @brief Adds what another VM knows.
  /// @return whether anything is new.
  bool Merge(const LossRecord& record, Instant now);
  /// @brief Marks suspected processes as crashed where the list shows another one in their place,
  /// and keeps the list for the confinement of queues.
  void OnListings(const WorkerListings& listings);
  void DropExpired(Instant now);
  /// @return the newest records, for a VM that may have missed some. Complexity: linear in the
  /// losses.
  /// @param since only records that have changed since then
  std::vector<LossRecord> Snapshot(Instant since = {}) const;

  TaskStanding StandingOf(const TaskKey& task, Instant now) const override;
  WorkerFilter ConfinementOf(const std::string& queue, Instant now) const override;
  WorkerFilter ExposedWorkers(Instant now) const override;
  bool IsSuspected(const WorkerIncarnation& incarnation, Instant answered_at) const override;

 private:
  struct Entry {
    std::uint32_t interruptions = 0;
    bool crashed = false;
    std::uint64_t token = 0;
    std::string queue;
    // tasks of the current loss; empty after an interruption
    std::map<TaskKey, LossRole> tasks;
    // when the last of these tasks was added
    Instant suspected_at{};
    Instant changed_at{};
  };
  using Entries = std::map<WorkerIncarnation, Entry>;
  struct ProneQueue {
    // until when it remains crash-prone unless another loss counts against it
    Instant until{};
    std::shared_ptr<const std::set<Address>> confinement;
  };

  bool MergeLocked(const LossRecord& record, Instant now);
  static LossRecord RecordOf(const WorkerIncarnation& incarnation, const Entry& entry);
  // counts a new loss against its queue
  void NoteRecentLoss(const std::string& queue, Instant now);
  // forgets the tasks of a loss
  void ClearTasks(const WorkerIncarnation& incarnation, Entry& entry);
  void Erase(Entries::iterator item);
  void DropOldestIfFull();

  mutable std::mutex m_mutex;
  // Both readable without the lock, for the ordinary day: the number of losses, and until when any
  // queue is crash-prone, in microseconds since the epoch.
  std::atomic<std::size_t> m_size{0};
  std::atomic<Instant::rep> m_any_prone_until{0};
  // all below guarded by m_mutex
  Entries m_entries;
  // processes that were lost with a run of the task; invariant: all are in m_entries
  std::unordered_map<TaskKey, std::set<WorkerIncarnation>> m_by_task;
  // losses of the last seconds, oldest first
  std::deque<std::pair<Instant, std::string>> m_recent;
  std::map<std::string, ProneQueue> m_prone;
  WorkerListings m_listings;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_RECOVERY_CRASH_LEDGER_H_
