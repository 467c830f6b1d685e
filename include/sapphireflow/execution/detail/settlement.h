// Part of execution: gives a job its one final answer and winds up what belongs to it.
#ifndef SAPPHIREFLOW_EXECUTION_DETAIL_SETTLEMENT_H_
#define SAPPHIREFLOW_EXECUTION_DETAIL_SETTLEMENT_H_

#include "sapphireflow/execution/detail/shard_state.h"

namespace sapphireflow::detail {

/// @brief The only place where a job's answer is made.
class Settlement {
 public:
  explicit Settlement(ShardState& state) : m_state(state) {}

  /// @brief Every task is done: the answer carries all results.
  void Complete(const JobId& id, JobRecord& record, Instant now, ShardEffects& out);
  /// @brief The job cannot be whole any more: stops what runs and tells each task's fate.
  void Fail(const JobId& id, JobRecord& record, Error cause, Instant now, ShardEffects& out);
  /// @brief The old home of an inherited job is gone: failed, may have run.
  void FailOrphaned(const JobId& id, JobRecord& record, Instant now, ShardEffects& out);
  /// @brief Answers all waiters with an answer that is already known.
  void FinishWithAnswer(const JobId& id, JobRecord& record, JobAnswerPtr answer, Instant now,
                        ShardEffects& out);

 private:
  void StopRunning(const JobId& id, JobRecord& record, Instant now, ShardEffects& out);
  void EmitJobSettled(const JobId& id, const JobRecord& record, Instant now, ShardEffects& out);

  ShardState& m_state;
};

}  // namespace sapphireflow::detail

#endif  // SAPPHIREFLOW_EXECUTION_DETAIL_SETTLEMENT_H_
