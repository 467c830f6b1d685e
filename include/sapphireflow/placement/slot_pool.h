// Part of placement: counts the slots of the workers this shard is home of, lends them and borrows.
#ifndef SAPPHIREFLOW_PLACEMENT_SLOT_POOL_H_
#define SAPPHIREFLOW_PLACEMENT_SLOT_POOL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "sapphireflow/model/fleet.h"
#include "sapphireflow/placement/outlier_detector.h"
#include "sapphireflow/placement/placer.h"
#include "sapphireflow/placement/run_time_estimator.h"

namespace sapphireflow {

/// @brief A slot taken for one attempt: an own one, or one on loan.
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

/// @brief How the use of a slot ended, as far as the worker's health goes.
enum class SlotUse {
  kUnused,         ///< nothing was started
  kTaskSucceeded,  ///< a task ran well
  kFailed,         ///< a task failed, was lost, or could not be sent
  kRefusedFull,    ///< the worker said it was full: somebody else counts its slots too
  kClosed,         ///< the worker said that it leaves
};

/// @brief A loan that its borrower has no more use for, with the news of the worker's health.
class LoanReturn : public Comparable<LoanReturn> {
 public:
  LoanReturn(SlotLoan loan, SlotUse use) : m_loan(std::move(loan)), m_use(use) {}
  const SlotLoan& loan() const { return m_loan; }
  SlotUse use() const { return m_use; }
  auto Fields() const { return std::tie(m_loan, m_use); }

 private:
  SlotLoan m_loan;
  SlotUse m_use;
};

/// @brief The slots one shard decides on. Not thread-safe: its shard's lock guards it.
class SlotPool {
 public:
  SlotPool(ShardAddress self, std::unique_ptr<Placer> placer,
           std::unique_ptr<OutlierDetector> detector, const RunTimeEstimator& estimator);

  /// @brief Sets the workers this shard is home of. Complexity: linear in old and new workers.
  void SetWorkers(const std::vector<Worker>& workers, Instant now);
  /// @brief Sets which workers leave: borrowed slots of theirs are used no more.
  void SetLeaving(const std::set<Address>& leaving) { m_leaving = leaving; }
  /// @brief Takes a slot for a task that must hold it until `until`, own ones first.
  /// @param avoid a worker that is taken only if no other fits, e.g. one that failed the task
  /// @return nothing if none is open that fits. Complexity: logarithmic, plus misfits passed over.
  std::optional<AcquiredSlot> AcquireSlot(const Needs& needs, const Address& avoid, Instant now,
                                          Instant until);
  /// @brief Gives a taken slot back; a borrowed one stays here until `ExtractReturnableLoans`
  /// returns it.
  void Release(const AcquiredSlot& slot, SlotUse use, Instant now);
  /// @brief The worker said that it leaves, although the platform's list may not say so yet.
  void MarkWorkerLeaving(const Address& worker, Instant now);

  /// @brief Lends up to `count` open slots. Complexity: `count` times logarithmic.
  std::vector<SlotLoan> Lend(std::uint32_t count, const Needs& needs, Instant now, Instant until);
  /// @brief A borrower gives a loan back; a loan that expired before is ignored.
  void ReclaimLoan(std::uint64_t loan_number, SlotUse use, Instant now);
  /// @brief Adds slots lent by others.
  void AddLoans(const std::vector<SlotLoan>& loans, Instant now);
  /// @brief Removes the borrowed slots that are to be given back: unused since `idle_since` or
  /// before, on sick workers, or about to expire.
  std::vector<LoanReturn> ExtractReturnableLoans(Instant idle_since, Instant now);
  bool HasIdleLoans() const { return !m_idle_loans.empty(); }

  /// @brief Reopens what is due: expired loans, cooled-down and to-be-probed workers.
  void Advance(Instant now);
  /// @return when `Advance` is due next. Complexity: constant.
  Instant NextDue() const { return m_updates.empty() ? kNever : m_updates.begin()->first; }

  /// @brief Slots of own workers that are neither leaving nor out.
  std::uint32_t total_slots() const { return m_total; }
  /// @brief Whether some slot, own or borrowed, can be taken now.
  bool MayHaveFreeSlot() const { return m_free > 0 || !m_idle_loans.empty(); }
  /// @brief Own slots that can be taken now.
  std::uint32_t free_slots() const { return m_free; }

 private:
  struct Entry {
    Worker worker;
    std::uint32_t used = 0;
    std::uint32_t paused = 0;
    // what the counters below hold of this worker
    std::uint32_t counted_total = 0;
    std::uint32_t counted_free = 0;
    // until then the worker's own word that it leaves goes before the list
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
  void ReleaseOwnSlot(WorkerIndex index, SlotUse use, Instant now);
  std::optional<WorkerIndex> AcquireOwnSlot(const Needs& needs, const Address& avoid, Instant now);
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
