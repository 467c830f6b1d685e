// Part of dispatch: from what a caller hands in to a job with limits.
#ifndef SAPPHIREFLOW_DISPATCH_INTAKE_H_
#define SAPPHIREFLOW_DISPATCH_INTAKE_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/model/configuration.h"
#include "sapphireflow/model/error.h"
#include "sapphireflow/model/work.h"

namespace sapphireflow {

/// @brief What a caller hands in, before its queue's limits are known.
class WorkSubmission : public Comparable<WorkSubmission> {
 public:
  WorkSubmission(JobKey key, std::shared_ptr<const std::string> payload,
                 std::vector<StepSpec> steps, std::vector<std::string> unsupported)
      : m_key(key),
        m_payload(std::move(payload)),
        m_steps(std::move(steps)),
        m_unsupported(std::move(unsupported)) {}
  JobKey key() const { return m_key; }
  const std::shared_ptr<const std::string>& payload() const { return m_payload; }
  const std::vector<StepSpec>& steps() const { return m_steps; }
  /// @brief Properties that the job asks for and that are not built, by name.
  const std::vector<std::string>& unsupported() const { return m_unsupported; }
  auto Fields() const { return std::tie(m_key, *m_payload, m_steps, m_unsupported); }

 private:
  JobKey m_key;
  // invariant: not null
  std::shared_ptr<const std::string> m_payload;
  std::vector<StepSpec> m_steps;
  std::vector<std::string> m_unsupported;
};

/// @return the queue whose host matches and whose prefix is the longest that the path begins
/// with; null if there is none. Complexity: linear in the queues.
const QueueConfig* FindQueue(const Configuration& configuration, const std::string& host,
                             const std::string& path);

/// @brief The longest chain of steps that must follow one another, by declared times.
/// Complexity: linear in steps and their predecessors.
Duration LongestChain(const std::vector<StepSpec>& steps);

/// @return the job, or why it is refused: no task, an order of steps that cannot be, or a property
/// that is not built.
Result<JobOrderPtr> MakeJobOrder(const QueueConfig& queue, const WorkSubmission& submission,
                                 Duration patience);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_DISPATCH_INTAKE_H_
