// Part of placement: the slots of the workers assigned to a shard, including lending to and
// borrowing from other shards.
#ifndef SAPPHIREFLOW_PLACEMENT_SLOT_POOL_H_
#define SAPPHIREFLOW_PLACEMENT_SLOT_POOL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "sapphireflow/model/vm_list.h"
#include "sapphireflow/placement/outlier_detector.h"
#include "sapphireflow/placement/placer.h"
#include "sapphireflow/placement/run_time_estimator.h"

namespace sapphireflow {

/// @brief A slot acquired for one attempt: one of the shard's own or a borrowed one.
class AcquiredSlot : public Comparable<AcquiredSlot> {
 public:
  explicit AcquiredSlot(const Address& worker) : m_worker(worker) {}
  AcquiredSlot(const Address& worker, SlotLoan loan) : m_worker(worker), m_loan(std::move(loan)) {}
  const Address& worker() const { return m_worker; }
  const std::optional<SlotLoan>& loan() const { return m_loan; }
  auto Fields() const { return std::tie(m_worker, m_loan); }

 private:
  Address m_worker;
  std::optional<SlotLoan> m_loan;
};

/// @brief How the use of a slot ended; updates the worker's health and availability.
enum class SlotOutcome {
  kUnused,          ///< no task was started, or it was stopped
  kTaskSucceeded,   ///< a task succeeded
  kFailed,          ///< a task failed, was lost or could not be sent
  kRefusedFull,     ///< the worker refused as full: another shard uses its slots too
  kRefusedLeaving,  ///< the worker refused because it is leaving
};

/// @brief A loan that its borrower returns, with the outcome of its last use.
class LoanReturn : public Comparable<LoanReturn> {
 public:
  LoanReturn(SlotLoan loan, SlotOutcome use) : m_loan(std::move(loan)), m_use(use) {}
  const SlotLoan& loan() const { return m_loan; }
  SlotOutcome use() const { return m_use; }
  auto Fields() const { return std::tie(m_loan, m_use); }

 private:
  SlotLoan m_loan;
  SlotOutcome m_use;
};

/// @brief The slots that one shard places tasks on. Not thread-safe: guarded by its shard's lock.
class SlotPool {
 public:
  SlotPool(ShardAddress self, std::unique_ptr<Placer> placer,
           std::unique_ptr<OutlierDetector> detector, const RunTimeEstimator& estimator);

  /// @brief Replaces the workers assigned to this shard. Complexity: linear in old and new workers.
  void SetWorkers(const std::vector<Worker>& workers, Instant now);
  /// @brief Replaces the set of leaving workers, whose borrowed slots are no longer used.
  void SetLeaving(const std::set<Address>& leaving) { m_leaving = leaving; }
  /// @brief Acquires a slot for a task that must hold it until `until`; prefers the shard's own
  /// slots.
  /// @param avoid a worker to use only if no other fits, e.g. one on which the task failed before
  /// @return `std::nullopt` if no free slot fits. Complexity: logarithmic, plus the number of
  /// workers tried that do not fit.
  std::optional<AcquiredSlot> AcquireSlot(const ResourceSpec& needs, const Address& avoid,
                                          Instant now, Instant until);
  /// @brief Releases an acquired slot; a borrowed one stays in the pool until
  /// `ExtractReturnableLoans` removes it.
  void Release(const AcquiredSlot& slot, SlotOutcome use, Instant now);
  /// @brief Stops using a worker that reported that it is leaving, before the platform's list shows
  /// it.
  void MarkWorkerLeaving(const Address& worker, Instant now);

  /// @brief Lends up to `count` free slots. Complexity: `count` times logarithmic.
  std::vector<SlotLoan> Lend(std::uint32_t count, const ResourceSpec& needs, Instant now,
                             Instant until);
  /// @brief Takes back a loan that its borrower returned; does nothing if the loan has expired.
  void ReclaimLoan(std::uint64_t loan_number, SlotOutcome use, Instant now);
  /// @brief Adds slots borrowed from other shards.
  void AddLoans(const std::vector<SlotLoan>& loans, Instant now);
  /// @brief Removes and returns the borrowed slots that must go back to their lenders: those unused
  /// since `idle_since` or earlier, on failing or leaving workers, or about to expire.
  std::vector<LoanReturn> ExtractReturnableLoans(Instant idle_since, Instant now);
  bool HasIdleLoans() const { return !m_idle_loans.empty(); }

  /// @brief Applies the updates that are due: expired loans, ended pauses, due probes, and reports
  /// of leaving that no longer override the platform's list.
  void Advance(Instant now);
  /// @return when `Advance` is due next. Complexity: constant.
  Instant NextDue() const { return m_updates.empty() ? kNever : m_updates.begin()->first; }

  /// @brief Slots of the shard's workers that are neither leaving nor ejected.
  std::uint32_t total_slots() const { return m_total; }
  /// @brief Whether a slot, own or borrowed, may be free; needs and health are not checked.
  bool MayHaveFreeSlot() const { return m_free > 0 || !m_idle_loans.empty(); }
  /// @brief Number of the shard's own slots that are free.
  std::uint32_t free_slots() const { return m_free; }

 private:
  struct Entry {
    Worker worker;
    std::uint32_t used = 0;
    // slots not used for a while because the worker refused a task as full
    std::uint32_t paused = 0;
    // this worker's contribution to m_total and m_free
    std::uint32_t counted_total = 0;
    std::uint32_t counted_free = 0;
    // until then the worker's own report that it is leaving overrides the platform's list
    Instant closed_until;
    bool still_listed = true;
  };
  struct LentSlot {
    WorkerIndex worker = 0;
    Instant expires_at;
  };
  enum class UpdateKind { kLoanExpiry, kReopen, kPauseEnd };
  struct PoolUpdate {
    UpdateKind kind;
    std::uint64_t subject;
  };

  bool IsUsable(const LoanReturn& loan) const;
  void UpdateAvailability(WorkerIndex index, Instant now);
  void ReleaseOwnSlot(WorkerIndex index, SlotOutcome use, Instant now);
  std::optional<WorkerIndex> AcquireOwnSlot(const ResourceSpec& needs, const Address& avoid,
                                            Instant now);
  void EraseIfUnused(WorkerIndex index);

  const ShardAddress m_self;
  std::unique_ptr<Placer> m_placer;
  std::unique_ptr<OutlierDetector> m_detector;
  const RunTimeEstimator& m_estimator;
  // invariant: m_indexes maps the address of each entry to its key
  std::unordered_map<WorkerIndex, Entry> m_entries;
  std::unordered_map<Address, WorkerIndex> m_indexes;
  WorkerIndex m_next_index = 0;
  // invariant: sums of counted_total and counted_free over m_entries
  std::uint32_t m_total = 0;
  std::uint32_t m_free = 0;
  std::map<std::uint64_t, LentSlot> m_lent_slots;
  std::uint64_t m_next_loan = 1;
  struct IdleLoan {
    LoanReturn loan;
    Instant since;
  };
  std::vector<IdleLoan> m_idle_loans;
  std::set<Address> m_leaving;
  std::multimap<Instant, PoolUpdate> m_updates;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_PLACEMENT_SLOT_POOL_H_
