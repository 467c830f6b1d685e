// Part of dispatch: validates submissions and turns them into jobs with the limits of their queue.
#ifndef SAPPHIREFLOW_DISPATCH_JOB_SUBMISSION_H_
#define SAPPHIREFLOW_DISPATCH_JOB_SUBMISSION_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/model/configuration.h"
#include "sapphireflow/model/error.h"
#include "sapphireflow/model/job_order.h"

namespace sapphireflow {

/// @brief A job as submitted by a caller, before the limits of its queue are applied.
class JobSubmission : public Comparable<JobSubmission> {
 public:
  JobSubmission(JobKey key, std::shared_ptr<const std::string> payload, std::vector<StepSpec> steps,
                std::vector<std::string> unsupported)
      : m_key(key),
        m_payload(std::move(payload)),
        m_steps(std::move(steps)),
        m_unsupported(std::move(unsupported)) {}
  JobKey key() const { return m_key; }
  const std::shared_ptr<const std::string>& payload() const { return m_payload; }
  const std::vector<StepSpec>& steps() const { return m_steps; }
  /// @brief Names of requested properties that are not implemented.
  const std::vector<std::string>& unsupported() const { return m_unsupported; }
  auto Fields() const { return std::tie(m_key, *m_payload, m_steps, m_unsupported); }

 private:
  JobKey m_key;
  // invariant: not null
  std::shared_ptr<const std::string> m_payload;
  std::vector<StepSpec> m_steps;
  std::vector<std::string> m_unsupported;
};

/// @brief Finds the queue of the given host with the longest prefix that matches the path.
/// Complexity: linear in the number of queues.
/// @return null if no queue matches.
const QueueConfig* FindQueue(const Configuration& configuration, const std::string& host,
                             const std::string& path);

/// @brief Returns the length of the critical path through the steps, by their declared run times.
/// Complexity: linear in the number of steps and of their predecessors.
Duration CriticalPathLength(const std::vector<StepSpec>& steps);

/// @brief Validates a submission and applies the limits of its queue.
/// @param answer_timeout how long the caller waits for the answer
/// @return the job; or an error if a step has no tasks or follows a later step, if there are too
/// many tasks or steps, or if a requested property is not implemented.
Result<JobOrderPtr> MakeJobOrder(const QueueConfig& queue, const JobSubmission& submission,
                                 Duration answer_timeout);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_DISPATCH_JOB_SUBMISSION_H_
