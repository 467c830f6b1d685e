// Part of execution: gives a job its final answer and releases the resources that it holds.
#ifndef SAPPHIREFLOW_EXECUTION_DETAIL_SETTLEMENT_H_
#define SAPPHIREFLOW_EXECUTION_DETAIL_SETTLEMENT_H_

#include "sapphireflow/execution/detail/shard_state.h"

namespace sapphireflow::detail {

/// @brief Settles jobs: stores the final answer and sends it to the waiters. No other class does.
class Settlement {
 public:
  explicit Settlement(ShardState& state) : m_state(state) {}

  /// @brief Answers a job whose tasks are all done with their results.
  void Complete(const JobId& id, JobRecord& record, Instant now, ShardEffects& out);
  /// @brief Answers a job that can no longer complete: stops its running attempts and reports the
  /// fate of each task.
  void Fail(const JobId& id, JobRecord& record, Error cause, Instant now, ShardEffects& out);
  /// @brief Answers an inherited job whose old home is gone: failed, and its tasks may have run.
  /// The answer has no task outcomes, because the tasks were not handed over.
  void FailOrphaned(const JobId& id, JobRecord& record, Instant now, ShardEffects& out);
  /// @brief Settles the job with the given answer and sends it to all waiters.
  void FinishWithAnswer(const JobId& id, JobRecord& record, JobAnswerPtr answer, Instant now,
                        ShardEffects& out);

 private:
  void StopRunning(const JobId& id, JobRecord& record, Instant now, ShardEffects& out);
  void EmitJobSettled(const JobId& id, const JobRecord& record, Instant now, ShardEffects& out);

  ShardState& m_state;
};

}  // namespace sapphireflow::detail

#endif  // SAPPHIREFLOW_EXECUTION_DETAIL_SETTLEMENT_H_
