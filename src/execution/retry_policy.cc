// Part of execution: implementation of the retry policies.
#include "sapphireflow/execution/retry_policy.h"

#include <algorithm>

namespace sapphireflow {
namespace {

// A retry costs one token: beyond the initial budget, one retry for every ten first starts.
constexpr double kTokensPerFirstStart = 0.1;
constexpr double kMaxRetryTokens = 50;
constexpr std::uint32_t kMaxRefusals = 16;

}  // namespace

void NoRetry::OnFirstStart() {}

bool NoRetry::ShouldRetry(const FailedAttempt& /*failed*/) { return false; }

void BudgetedRetry::OnFirstStart() {
  // the budget starts half full, so that a new process can retry at once
  if (!m_initialized) m_tokens = kMaxRetryTokens / 2;
  m_initialized = true;
  m_tokens = std::min(kMaxRetryTokens, m_tokens + kTokensPerFirstStart);
}

bool BudgetedRetry::ShouldRetry(const FailedAttempt& failed) {
  if (failed.time_left() < failed.predicted_run()) return false;
  if (failed.refusals() > kMaxRefusals) return false;
  if (failed.may_have_run()) {
    if (!failed.idempotent()) return false;
    if (failed.starts() >= failed.max_starts()) return false;
  }
  if (m_tokens < 1) return false;
  m_tokens -= 1;
  return true;
}

std::unique_ptr<RetryPolicy> MakeRetryPolicy(const std::string& name) {
  if (name == "none") return std::make_unique<NoRetry>();
  if (name == "budgeted") return std::make_unique<BudgetedRetry>();
  return nullptr;
}

}  // namespace sapphireflow
