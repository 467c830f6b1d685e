// Part of execution: policies that decide whether a task is started again after a failed attempt.
#ifndef SAPPHIREFLOW_EXECUTION_RETRY_POLICY_H_
#define SAPPHIREFLOW_EXECUTION_RETRY_POLICY_H_

#include <cstdint>
#include <memory>
#include <string>

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief An attempt that ended without a result, and what a retry decision depends on.
class FailedAttempt : public Comparable<FailedAttempt> {
 public:
  FailedAttempt(bool may_have_run, bool idempotent, std::uint32_t starts, std::uint32_t refusals,
                std::uint32_t max_starts, Duration time_left, Duration predicted_run)
      : m_may_have_run(may_have_run),
        m_idempotent(idempotent),
        m_starts(starts),
        m_refusals(refusals),
        m_max_starts(max_starts),
        m_time_left(time_left),
        m_predicted_run(predicted_run) {}
  bool may_have_run() const { return m_may_have_run; }
  bool idempotent() const { return m_idempotent; }
  /// @brief Number of attempts of the task that may have run, including this one if it may have.
  std::uint32_t starts() const { return m_starts; }
  /// @brief Number of attempts of the task that certainly did not run.
  std::uint32_t refusals() const { return m_refusals; }
  std::uint32_t max_starts() const { return m_max_starts; }
  Duration time_left() const { return m_time_left; }
  Duration predicted_run() const { return m_predicted_run; }
  auto Fields() const {
    return std::tie(m_may_have_run, m_idempotent, m_starts, m_refusals, m_max_starts, m_time_left,
                    m_predicted_run);
  }

 private:
  bool m_may_have_run;
  bool m_idempotent;
  std::uint32_t m_starts;
  std::uint32_t m_refusals;
  std::uint32_t m_max_starts;
  Duration m_time_left;
  Duration m_predicted_run;
};

/// @brief Decides on retries. Not thread-safe: guarded by its shard's lock.
class RetryPolicy {
 public:
  virtual ~RetryPolicy() = default;
  /// @brief Records the first start of a task, which adds to the retry budget.
  virtual void OnFirstStart() = 0;
  /// @return whether to start the task again. Complexity: constant.
  virtual bool ShouldRetry(const FailedAttempt& failed) = 0;
};

/// @brief Baseline: never retries.
class NoRetry : public RetryPolicy {
 public:
  void OnFirstStart() override;
  bool ShouldRetry(const FailedAttempt& failed) override;
};

/// @brief Retries attempts that are safe to repeat, within a token budget that first starts refill.
class BudgetedRetry : public RetryPolicy {
 public:
  void OnFirstStart() override;
  bool ShouldRetry(const FailedAttempt& failed) override;

 private:
  // invariant: between 0 and kMaxRetryTokens
  double m_tokens = 0;
  bool m_initialized = false;
};

/// @brief Creates the policy that the settings name. @return null for an unknown name.
std::unique_ptr<RetryPolicy> MakeRetryPolicy(const std::string& name);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_EXECUTION_RETRY_POLICY_H_
