// Part of the model: the loss of a worker's process, and the tasks that it had then.
#ifndef SAPPHIREFLOW_MODEL_WORKER_LOSS_H_
#define SAPPHIREFLOW_MODEL_WORKER_LOSS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/model/address.h"
#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/job_order.h"
#include "sapphireflow/model/worker_listing.h"

namespace sapphireflow {

/// @brief Identifies one process of a worker.
class WorkerIncarnation : public Comparable<WorkerIncarnation> {
 public:
  WorkerIncarnation(WorkerId worker, const Address& address, std::int64_t process_start_ms)
      : m_worker(std::move(worker)), m_address(address), m_process_start_ms(process_start_ms) {}
  explicit WorkerIncarnation(const WorkerListing& listing)
      : WorkerIncarnation(listing.id(), listing.address(), listing.process_start_ms()) {}
  const WorkerId& worker() const { return m_worker; }
  const Address& address() const { return m_address; }
  /// @brief See `WorkerListing::process_start_ms`.
  std::int64_t process_start_ms() const { return m_process_start_ms; }
  auto Fields() const { return std::tie(m_worker, m_address, m_process_start_ms); }

 private:
  WorkerId m_worker;
  Address m_address;
  std::int64_t m_process_start_ms;
};

/// @brief How likely it is that a run crashed its worker. Later values are stronger evidence.
enum class LossRole {
  kPresent,      ///< it was on the worker, with others that had started later
  kStartedLast,  ///< no other run on the worker was younger
  kAlone,        ///< it had the worker alone on purpose
};

inline constexpr LossRole kLastLossRole = LossRole::kAlone;

/// @brief Name of the role as logged.
inline const char* LossRoleName(LossRole role) {
  switch (role) {
    case LossRole::kPresent:
      return "present";
    case LossRole::kStartedLast:
      return "last";
    case LossRole::kAlone:
      return "alone";
  }
  return "?";
}

/// @brief A task that had a run on a worker when it was lost.
class TaskAtLoss : public Comparable<TaskAtLoss> {
 public:
  TaskAtLoss(const TaskKey& task, LossRole role) : m_task(task), m_role(role) {}
  const TaskKey& task() const { return m_task; }
  LossRole role() const { return m_role; }
  auto Fields() const { return std::tie(m_task, m_role); }

 private:
  TaskKey m_task;
  LossRole m_role;
};

/// @brief What is known about the process of a lost worker.
enum class LossState {
  kSuspected,  ///< it does not answer: it has crashed or is cut off
  kCrashed,    ///< it has ended: another process of the worker was seen
  kCutOff,     ///< it has answered since: it had been cut off or slow
};

/// @brief Name of the state as logged.
inline const char* LossStateName(LossState state) {
  switch (state) {
    case LossState::kSuspected:
      return "suspected";
    case LossState::kCrashed:
      return "crashed";
    case LossState::kCutOff:
      return "cut_off";
  }
  return "?";
}

/// @brief An observation: the loss of a worker's process with its runs, or what became of it.
class WorkerLoss : public Comparable<WorkerLoss> {
 public:
  /// @param token fencing token under which the worker last reported its runs to the observer; 0 if
  /// it has not
  /// @param queue queue of the tasks that started last, if they had just started; else empty
  WorkerLoss(WorkerIncarnation incarnation, LossState state, std::uint64_t token, std::string queue,
             std::vector<TaskAtLoss> tasks)
      : m_incarnation(std::move(incarnation)),
        m_state(state),
        m_token(token),
        m_queue(std::move(queue)),
        m_tasks(std::move(tasks)) {}
  const WorkerIncarnation& incarnation() const { return m_incarnation; }
  LossState state() const { return m_state; }
  std::uint64_t token() const { return m_token; }
  const std::string& queue() const { return m_queue; }
  const std::vector<TaskAtLoss>& tasks() const { return m_tasks; }
  WorkerLoss WithState(LossState state) const {
    return {m_incarnation, state, m_token, m_queue, m_tasks};
  }
  auto Fields() const { return std::tie(m_incarnation, m_state, m_token, m_queue, m_tasks); }

 private:
  WorkerIncarnation m_incarnation;
  LossState m_state;
  std::uint64_t m_token;
  std::string m_queue;
  std::vector<TaskAtLoss> m_tasks;
};

/// @brief All that a VM knows about the losses of one process, as VMs exchange it.
class LossRecord : public Comparable<LossRecord> {
 public:
  /// @param interruptions how often the process has answered after it was suspected
  /// @param crashed whether the process is known to have ended
  /// @param token the highest token of an observer; see `WorkerLoss`
  /// @param queue see `WorkerLoss`
  /// @param tasks those that it had, for that observer, when it was lost after the last
  /// interruption
  LossRecord(WorkerIncarnation incarnation, std::uint32_t interruptions, bool crashed,
             std::uint64_t token, std::string queue, std::vector<TaskAtLoss> tasks)
      : m_incarnation(std::move(incarnation)),
        m_interruptions(interruptions),
        m_crashed(crashed),
        m_token(token),
        m_queue(std::move(queue)),
        m_tasks(std::move(tasks)) {}
  const WorkerIncarnation& incarnation() const { return m_incarnation; }
  std::uint32_t interruptions() const { return m_interruptions; }
  bool crashed() const { return m_crashed; }
  std::uint64_t token() const { return m_token; }
  const std::string& queue() const { return m_queue; }
  const std::vector<TaskAtLoss>& tasks() const { return m_tasks; }
  auto Fields() const {
    return std::tie(m_incarnation, m_interruptions, m_crashed, m_token, m_queue, m_tasks);
  }

 private:
  WorkerIncarnation m_incarnation;
  std::uint32_t m_interruptions;
  bool m_crashed;
  std::uint64_t m_token;
  std::string m_queue;
  std::vector<TaskAtLoss> m_tasks;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MODEL_WORKER_LOSS_H_
