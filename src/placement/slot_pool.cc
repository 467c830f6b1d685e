// Part of placement: implementation of the slot pool.
#include "sapphireflow/placement/slot_pool.h"

#include <algorithm>
#include <utility>

namespace sapphireflow {
namespace {

// how long a slot is not used after the worker refused a task as full
constexpr Duration kFullWorkerPause = std::chrono::milliseconds(100);
// how far the platform's list may lag behind a worker's own report that it is leaving
constexpr Duration kMaxListingLag = std::chrono::seconds(15);
// a loan that expires sooner is returned
constexpr Duration kMinUsefulLoanTime = std::chrono::milliseconds(200);

}  // namespace

SlotPool::SlotPool(ShardAddress self, std::unique_ptr<Placer> placer,
                   std::unique_ptr<OutlierDetector> detector, const RunTimeEstimator& estimator)
    : m_self(self),
      m_placer(std::move(placer)),
      m_detector(std::move(detector)),
      m_estimator(estimator) {}

bool SlotPool::IsUsable(const LoanReturn& loan) const {
  const bool healthy =
      loan.use() == SlotOutcome::kUnused || loan.use() == SlotOutcome::kTaskSucceeded;
  return healthy && m_leaving.count(loan.loan().worker().address()) == 0;
}

void SlotPool::SetWorkers(const std::vector<Worker>& workers, Instant now) {
  for (auto& [index, entry] : m_entries) entry.still_listed = false;
  for (const Worker& worker : workers) {
    const auto found = m_indexes.find(worker.address());
    if (found == m_indexes.end()) {
      const WorkerIndex index = m_next_index++;
      m_indexes.emplace(worker.address(), index);
      m_entries.emplace(index, Entry{worker, 0, 0, 0, 0, Instant{}, true});
      continue;
    }
    Entry& entry = m_entries.at(found->second);
    // closed_until stays: the list lags behind a worker's own report that it is leaving
    entry.worker = worker;
    entry.still_listed = true;
  }
  std::vector<WorkerIndex> all;
  all.reserve(m_entries.size());
  for (const auto& [index, entry] : m_entries) all.push_back(index);
  for (const WorkerIndex index : all) {
    UpdateAvailability(index, now);
    EraseIfUnused(index);
  }
}

void SlotPool::EraseIfUnused(WorkerIndex index) {
  const auto found = m_entries.find(index);
  if (found == m_entries.end()) return;
  const Entry& entry = found->second;
  if (entry.still_listed || entry.used > 0 || entry.paused > 0) return;
  m_detector->Forget(entry.worker.address());
  m_indexes.erase(entry.worker.address());
  m_entries.erase(found);
}

void SlotPool::UpdateAvailability(WorkerIndex index, Instant now) {
  Entry& entry = m_entries.at(index);
  const Address& address = entry.worker.address();
  const bool usable = entry.still_listed && entry.closed_until <= now && !entry.worker.leaving();
  const std::uint32_t allowed =
      usable ? m_detector->Allowance(address, entry.worker.slots(), now) : 0;
  const std::uint32_t busy = entry.used + entry.paused;
  const std::uint32_t open = allowed > busy ? allowed - busy : 0;
  // A worker whose allowance is reduced counts with all its slots: one success restores them.
  const std::uint32_t total = allowed > 0 ? entry.worker.slots() : 0;
  m_total += total - entry.counted_total;
  m_free += open - entry.counted_free;
  entry.counted_total = total;
  entry.counted_free = open;
  if (open > 0) {
    m_placer->SetAvailable(index, m_estimator.RunTimeFactor(address));
  } else {
    m_placer->SetUnavailable(index);
  }
}

std::optional<WorkerIndex> SlotPool::AcquireOwnSlot(const ResourceSpec& needs, const Address& avoid,
                                                    Instant now) {
  const auto fits = [&](WorkerIndex candidate) {
    return m_entries.at(candidate).worker.Fits(needs);
  };
  auto index = m_placer->Pick([&](WorkerIndex candidate) {
    return fits(candidate) && m_entries.at(candidate).worker.address() != avoid;
  });
  if (!index && avoid != Address()) index = m_placer->Pick(fits);
  if (!index) return std::nullopt;
  ++m_entries.at(*index).used;
  UpdateAvailability(*index, now);
  return index;
}

std::optional<AcquiredSlot> SlotPool::AcquireSlot(const ResourceSpec& needs, const Address& avoid,
                                                  Instant now, Instant until) {
  const auto own = AcquireOwnSlot(needs, avoid, now);
  if (own) return AcquiredSlot(m_entries.at(*own).worker.address());
  for (auto idle = m_idle_loans.begin(); idle != m_idle_loans.end(); ++idle) {
    const SlotLoan& loan = idle->loan.loan();
    // a slot on a failing or leaving worker is kept only to be returned with its outcome
    if (!IsUsable(idle->loan) || loan.expires_at() < until || !loan.worker().Fits(needs)) continue;
    AcquiredSlot slot(loan.worker().address(), loan);
    m_idle_loans.erase(idle);
    return slot;
  }
  return std::nullopt;
}

void SlotPool::Release(const AcquiredSlot& slot, SlotOutcome use, Instant now) {
  if (slot.loan()) {
    m_idle_loans.push_back(IdleLoan{LoanReturn(*slot.loan(), use), now});
    return;
  }
  const auto found = m_indexes.find(slot.worker());
  if (found != m_indexes.end()) ReleaseOwnSlot(found->second, use, now);
}

void SlotPool::ReleaseOwnSlot(WorkerIndex index, SlotOutcome use, Instant now) {
  Entry& entry = m_entries.at(index);
  if (entry.used > 0) --entry.used;
  const Address address = entry.worker.address();
  switch (use) {
    case SlotOutcome::kUnused:
      break;
    case SlotOutcome::kTaskSucceeded:
      m_detector->OnSuccess(address);
      break;
    case SlotOutcome::kFailed: {
      m_detector->OnFailure(address, now);
      const Instant probe_at = m_detector->ProbeAt(address);
      if (probe_at != kNever) m_updates.emplace(probe_at, PoolUpdate{UpdateKind::kReopen, index});
      break;
    }
    case SlotOutcome::kRefusedFull:
      ++entry.paused;
      m_updates.emplace(now + kFullWorkerPause, PoolUpdate{UpdateKind::kPauseEnd, index});
      break;
    case SlotOutcome::kRefusedLeaving:
      MarkWorkerLeaving(address, now);
      break;
  }
  UpdateAvailability(index, now);
  EraseIfUnused(index);
}

void SlotPool::MarkWorkerLeaving(const Address& worker, Instant now) {
  const auto found = m_indexes.find(worker);
  if (found == m_indexes.end()) return;
  m_entries.at(found->second).closed_until = now + kMaxListingLag;
  m_updates.emplace(now + kMaxListingLag, PoolUpdate{UpdateKind::kReopen, found->second});
  UpdateAvailability(found->second, now);
}

std::vector<SlotLoan> SlotPool::Lend(std::uint32_t count, const ResourceSpec& needs, Instant now,
                                     Instant until) {
  std::vector<SlotLoan> loans;
  while (loans.size() < count) {
    const auto index = AcquireOwnSlot(needs, Address(), now);
    if (!index) break;
    const std::uint64_t number = m_next_loan++;
    m_lent_slots.emplace(number, LentSlot{*index, until});
    m_updates.emplace(until, PoolUpdate{UpdateKind::kLoanExpiry, number});
    loans.emplace_back(m_self, number, m_entries.at(*index).worker, until);
  }
  return loans;
}

void SlotPool::ReclaimLoan(std::uint64_t loan_number, SlotOutcome use, Instant now) {
  const auto found = m_lent_slots.find(loan_number);
  if (found == m_lent_slots.end()) return;
  const WorkerIndex index = found->second.worker;
  m_lent_slots.erase(found);
  ReleaseOwnSlot(index, use, now);
}

void SlotPool::AddLoans(const std::vector<SlotLoan>& loans, Instant now) {
  for (const SlotLoan& loan : loans) {
    m_idle_loans.push_back(IdleLoan{LoanReturn(loan, SlotOutcome::kUnused), now});
  }
}

std::vector<LoanReturn> SlotPool::ExtractReturnableLoans(Instant idle_since, Instant now) {
  std::vector<LoanReturn> idle;
  const auto must_return = [&](const IdleLoan& one) {
    return one.since <= idle_since || !IsUsable(one.loan) ||
           one.loan.loan().expires_at() < now + kMinUsefulLoanTime;
  };
  for (auto one = m_idle_loans.begin(); one != m_idle_loans.end();) {
    if (!must_return(*one)) {
      ++one;
      continue;
    }
    idle.push_back(std::move(one->loan));
    one = m_idle_loans.erase(one);
  }
  return idle;
}

void SlotPool::Advance(Instant now) {
  while (!m_updates.empty() && m_updates.begin()->first <= now) {
    const PoolUpdate due = m_updates.begin()->second;
    m_updates.erase(m_updates.begin());
    if (due.kind == UpdateKind::kLoanExpiry) {
      ReclaimLoan(due.subject, SlotOutcome::kUnused, now);
      continue;
    }
    const auto index = static_cast<WorkerIndex>(due.subject);
    const auto found = m_entries.find(index);
    if (found == m_entries.end()) continue;
    if (due.kind == UpdateKind::kPauseEnd && found->second.paused > 0) --found->second.paused;
    UpdateAvailability(index, now);
    EraseIfUnused(index);
  }
}

}  // namespace sapphireflow
