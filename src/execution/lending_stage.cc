// Part of execution: lends slots to and borrows slots from other shards, entry VMs and availability
// zones.
#include <algorithm>
#include <map>
#include <utility>

#include "sapphireflow/execution/detail/shard_stages.h"

namespace sapphireflow::detail {
namespace {

constexpr std::uint32_t kMaxLoansPerRequest = 64;
constexpr Duration kMinWaitForRemoteLoan = std::chrono::milliseconds(20);
// minimum duration of a loan, so that it can serve several tasks
constexpr Duration kMinLoanTerm = std::chrono::seconds(5);
// a loan that has been unused for this long is returned
constexpr Duration kMaxLoanIdleTime = std::chrono::milliseconds(250);
constexpr Duration kLoanRequestTimeout = std::chrono::milliseconds(50);
constexpr Duration kInitialBackoff = std::chrono::milliseconds(10);
constexpr std::uint32_t kMaxBackoffDoublings = 5;

}  // namespace

ShardEffects LendingStage::Apply(const ShardInput& input) {
  ShardEffects out;
  if (const auto* ask = std::get_if<RequestSlots>(&input.event())) Lend(*ask, input.now(), out);
  if (const auto* grant = std::get_if<GrantSlots>(&input.event())) AcceptLoans(*grant, input.now());
  if (const auto* returned = std::get_if<ReturnSlots>(&input.event())) {
    for (const LoanReturn& one : returned->returns()) {
      m_state.m_pool.ReclaimLoan(one.loan().number(), one.use(), input.now());
    }
  }
  return out;
}

void LendingStage::Lend(const RequestSlots& ask, Instant now, ShardEffects& out) {
  std::vector<SlotLoan> loans;
  // lend only while no job of this shard waits
  if (m_state.m_queue.empty() && !m_state.m_sealed) {
    const std::uint32_t most = std::min(ask.count(), kMaxLoansPerRequest);
    loans = m_state.m_pool.Lend(most, ask.needs(), now, ask.until());
  }
  out.emplace_back(GrantSlots(ask.borrower(), std::move(loans)));
}

void LendingStage::AcceptLoans(const GrantSlots& grant, Instant now) {
  m_state.m_borrow_pending = false;
  m_state.m_pool.AddLoans(grant.loans(), now);
  if (!grant.loans().empty()) {
    m_state.m_consecutive_empty_grants = 0;
    return;
  }
  // no slots are available: back off exponentially
  const std::uint32_t doublings =
      std::min(m_state.m_consecutive_empty_grants, kMaxBackoffDoublings);
  ++m_state.m_consecutive_empty_grants;
  m_state.m_next_borrow = now + kInitialBackoff * (1U << doublings);
  m_state.AddTimer(m_state.m_next_borrow, TimerKind::kReevaluate, AttemptId());
}

ShardEffects BorrowingStage::Apply(const ShardInput& input) {
  ShardEffects out;
  if (!m_state.m_options.borrowing()) return out;
  RequestLoansIfShort(input.now(), out);
  if (m_state.m_pool.HasIdleLoans()) ReturnIdleLoans(input.now(), out);
  return out;
}

void BorrowingStage::RequestLoansIfShort(Instant now, ShardEffects& out) {
  if (m_state.m_queue.empty() || m_state.m_borrow_pending || now < m_state.m_next_borrow) return;
  // a shard whose tasks wait although slots may be free is not short of slots
  if (m_state.m_pool.MayHaveFreeSlot()) return;
  const JobRecord& first = *m_state.m_ledger.Find(m_state.m_queue.front());
  const Task& task = first.spec->tasks()[first.waiting.back()];
  std::uint32_t wanted = 0;
  Instant until = now + kMinLoanTerm;
  for (const auto& ranked_job : m_state.m_queue) {
    const JobRecord& record = *m_state.m_ledger.Find(ranked_job.second);
    wanted += static_cast<std::uint32_t>(record.waiting.size());
    until = std::max(until, record.spec->deadline());
    if (wanted >= kMaxLoansPerRequest) break;
  }
  // a short wait for one of the shard's own slots does not justify messages to other entry VMs
  const std::uint32_t slots = m_state.m_pool.total_slots();
  const Duration work = m_state.m_estimator.Mean(task) * wanted;
  const bool ask_peers = slots == 0 || work / slots > kMinWaitForRemoteLoan;
  m_state.m_borrow_pending = true;
  m_state.AddTimer(now + kLoanRequestTimeout, TimerKind::kLoanRequestTimeout, AttemptId());
  out.emplace_back(RequestSlots(m_state.m_self, std::min(wanted, kMaxLoansPerRequest), task.needs(),
                                until, ask_peers));
}

void BorrowingStage::ReturnIdleLoans(Instant now, ShardEffects& out) {
  // keep a loan for the next tasks for a while, so that one request serves many of them
  const bool return_all = m_state.m_sealed;
  std::map<ShardAddress, std::vector<LoanReturn>> by_lender;
  for (LoanReturn& idle :
       m_state.m_pool.ExtractReturnableLoans(return_all ? now : now - kMaxLoanIdleTime, now)) {
    by_lender[idle.loan().lender()].push_back(std::move(idle));
  }
  for (auto& [lender, returns] : by_lender) {
    out.emplace_back(ReturnSlots(lender, std::move(returns)));
  }
  if (m_state.m_pool.HasIdleLoans()) {
    m_state.AddTimer(now + kMaxLoanIdleTime, TimerKind::kReevaluate, AttemptId());
  }
}

}  // namespace sapphireflow::detail
