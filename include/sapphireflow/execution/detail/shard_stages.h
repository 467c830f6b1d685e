// Part of execution: the stages of a shard, in the order in which they process an event.
#ifndef SAPPHIREFLOW_EXECUTION_DETAIL_SHARD_STAGES_H_
#define SAPPHIREFLOW_EXECUTION_DETAIL_SHARD_STAGES_H_

#include <memory>
#include <vector>

#include "sapphireflow/execution/detail/settlement.h"
#include "sapphireflow/execution/detail/shard_state.h"
#include "sapphireflow/pipeline/filter.h"

namespace sapphireflow::detail {

/// @brief One stage of a shard; handles some of the event types and ignores the others.
using ShardStage = Filter<ShardInput, ShardEffects>;

/// @brief Applies updates from outside the shard: its workers, the table, the load of its peers.
class FleetUpdateStage : public ShardStage {
 public:
  explicit FleetUpdateStage(ShardState& state) : m_state(state) {}
  ShardEffects Apply(const ShardInput& input) override;

 private:
  ShardState& m_state;
};

/// @brief Handles submissions, requests about jobs and inherited jobs: idempotency and admission.
class IntakeStage : public ShardStage {
 public:
  explicit IntakeStage(ShardState& state) : m_state(state), m_settlement(state) {}
  ShardEffects Apply(const ShardInput& input) override;

 private:
  void Submit(const SubmitJob& submit, Instant now, ShardEffects& out);
  void Resubmit(const SubmitJob& submit, JobRecord& record, ShardEffects& out);
  void Admit(const SubmitJob& submit, const Candidate& candidate, Instant now);
  void Refuse(const SubmitJob& submit, Error cause, Instant now, ShardEffects& out);
  void Ask(const JobRequest& ask, Instant now, ShardEffects& out);
  void Stop(const JobRequest& ask, Instant now, ShardEffects& out);
  void Inherit(const InheritJobs& inherit, Instant now, ShardEffects& out);
  void InheritJob(const InheritedJob& inherited_job, Instant now, ShardEffects& out);

  ShardState& m_state;
  Settlement m_settlement;
};

/// @brief Handles ended attempts: records their run times, and completes, retries or fails tasks.
class AttemptStage : public ShardStage {
 public:
  explicit AttemptStage(ShardState& state) : m_state(state), m_settlement(state) {}
  ShardEffects Apply(const ShardInput& input) override;

 private:
  void HandleAttemptReport(const AttemptReport& report, Instant now, ShardEffects& out);
  void FinishAttempt(const AttemptReport& report, const AttemptRecord& attempt, Instant now,
                     ShardEffects& out);
  void ReleaseSlot(const AttemptReport& report, const AttemptRecord& attempt, Instant now);
  void CompleteTask(const AttemptReport& report, const AttemptRecord& attempt, JobRecord& record,
                    Instant now, ShardEffects& out);
  void RetryOrFailTask(const AttemptReport& report, const Address& worker, JobRecord& record,
                       Instant now, ShardEffects& out);
  void HandleLostAttempt(const AttemptId& id, AttemptRecord& attempt, Instant now,
                         ShardEffects& out);

  ShardState& m_state;
  Settlement m_settlement;
};

/// @brief Lends slots to other shards, takes them back, and receives borrowed ones.
class LendingStage : public ShardStage {
 public:
  explicit LendingStage(ShardState& state) : m_state(state) {}
  ShardEffects Apply(const ShardInput& input) override;

 private:
  void Lend(const RequestSlots& ask, Instant now, ShardEffects& out);
  void AcceptLoans(const GrantSlots& grant, Instant now);

  ShardState& m_state;
};

/// @brief Handles due timers: job deadlines, expired leases, and inherited jobs whose old home did
/// not answer.
class TimerStage : public ShardStage {
 public:
  /// @param attempts the stage that ends attempts whose leases have expired
  TimerStage(ShardState& state, ShardStage& attempts)
      : m_state(state), m_attempts(attempts), m_settlement(state) {}
  ShardEffects Apply(const ShardInput& input) override;

 private:
  void HandleTimer(const Timer& timer, Instant now, ShardEffects& out);

  ShardState& m_state;
  ShardStage& m_attempts;
  Settlement m_settlement;
};

/// @brief Starts waiting tasks on free slots, in queue order.
class DispatchStage : public ShardStage {
 public:
  explicit DispatchStage(ShardState& state) : m_state(state), m_settlement(state) {}
  ShardEffects Apply(const ShardInput& input) override;

 private:
  bool StartTasks(const JobId& id, Instant now, ShardEffects& out);
  void Start(const JobId& id, JobRecord& record, const AcquiredSlot& slot, Instant now,
             ShardEffects& out);
  bool CannotFinishInTime(const JobRecord& record, Instant now) const;

  ShardState& m_state;
  Settlement m_settlement;
};

/// @brief Runs after dispatch: requests loans if slots are short, and returns idle loans.
class BorrowingStage : public ShardStage {
 public:
  explicit BorrowingStage(ShardState& state) : m_state(state) {}
  ShardEffects Apply(const ShardInput& input) override;

 private:
  void ReturnIdleLoans(Instant now, ShardEffects& out);
  void RequestLoansIfShort(Instant now, ShardEffects& out);

  ShardState& m_state;
};

}  // namespace sapphireflow::detail

#endif  // SAPPHIREFLOW_EXECUTION_DETAIL_SHARD_STAGES_H_
