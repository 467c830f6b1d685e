// Part of dispatch: selection of queues, and validation of submitted jobs.
#include "sapphireflow/dispatch/job_submission.h"

#include <algorithm>

namespace sapphireflow {
namespace {

// The expected load has jobs of up to 140 tasks. Far larger ones are treated as mistakes.
constexpr std::size_t kMaxTasks = 1000;
constexpr std::size_t kMaxSteps = 64;

std::string JoinWithCommas(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) text += (text.empty() ? "" : ", ") + word;
  return text;
}

}  // namespace

const QueueConfig* FindQueue(const Configuration& configuration, const std::string& host,
                             const std::string& path) {
  const QueueConfig* best = nullptr;
  for (const QueueConfig& queue : configuration.queues()) {
    if (queue.host() != host) continue;
    if (path.compare(0, queue.prefix().size(), queue.prefix()) != 0) continue;
    if (best == nullptr || queue.prefix().size() > best->prefix().size()) best = &queue;
  }
  return best;
}

Duration CriticalPathLength(const std::vector<StepSpec>& steps) {
  std::vector<Duration> ends;
  Duration longest{};
  for (const StepSpec& step : steps) {
    Duration start{};
    for (const std::uint32_t predecessor : step.after()) start = std::max(start, ends[predecessor]);
    ends.push_back(start + step.estimate());
    longest = std::max(longest, ends.back());
  }
  return longest;
}

Result<JobOrderPtr> MakeJobOrder(const QueueConfig& queue, const JobSubmission& submission,
                                 Duration answer_timeout) {
  const auto& steps = submission.steps();
  if (!submission.unsupported().empty()) {
    return Error(ErrorId::kNotBuilt, "the job requests unsupported properties: " +
                                         JoinWithCommas(submission.unsupported()));
  }
  if (steps.empty() || steps.size() > kMaxSteps) {
    return Error(ErrorId::kMalformedRequest, "the job has " + std::to_string(steps.size()) +
                                                 " steps, allowed are 1 to " +
                                                 std::to_string(kMaxSteps));
  }
  std::size_t tasks = 0;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    tasks += steps[i].count();
    const auto& after = steps[i].after();
    const bool only_earlier = std::all_of(
        after.begin(), after.end(), [i](std::uint32_t predecessor) { return predecessor < i; });
    if (steps[i].count() == 0 || !only_earlier) {
      return Error(ErrorId::kMalformedRequest,
                   "step " + std::to_string(i) + " has no tasks or follows a later step");
    }
  }
  if (tasks > kMaxTasks) {
    return Error(ErrorId::kTooManyTasks, "the job has " + std::to_string(tasks) +
                                             " tasks, allowed are " + std::to_string(kMaxTasks));
  }
  const Duration objective =
      FromMillis(ToMillis(CriticalPathLength(steps)) * queue.stretch()) + queue.target();
  return std::make_shared<const JobOrder>(submission.key(), queue.name(), queue.service(),
                                          submission.payload(), steps, queue.priority(),
                                          queue.max_attempts(), objective, answer_timeout);
}

}  // namespace sapphireflow
