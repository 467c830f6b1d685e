// Part of dispatch: queues and limits of jobs.
#include "sapphireflow/dispatch/intake.h"

#include <algorithm>

namespace sapphireflow {
namespace {

// the size to design for has jobs of up to 140 tasks; far beyond it a job is a mistake
constexpr std::size_t kMaxTasks = 1000;
constexpr std::size_t kMaxSteps = 64;

std::string Joined(const std::vector<std::string>& words) {
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

Duration LongestChain(const std::vector<StepSpec>& steps) {
  std::vector<Duration> ends;
  Duration longest{};
  for (const StepSpec& step : steps) {
    Duration start{};
    for (const std::uint32_t earlier : step.after()) start = std::max(start, ends[earlier]);
    ends.push_back(start + step.estimate());
    longest = std::max(longest, ends.back());
  }
  return longest;
}

Result<JobOrderPtr> MakeJobOrder(const QueueConfig& queue, const WorkSubmission& submission,
                                 Duration patience) {
  const auto& steps = submission.steps();
  if (!submission.unsupported().empty()) {
    return Error(ErrorId::kNotBuilt,
                 "the job asks for what is not supported: " + Joined(submission.unsupported()));
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
    const bool backwards =
        std::all_of(after.begin(), after.end(), [i](std::uint32_t earlier) { return earlier < i; });
    if (steps[i].count() == 0 || !backwards) {
      return Error(ErrorId::kMalformedRequest,
                   "step " + std::to_string(i) + " has no tasks or follows a later step");
    }
  }
  if (tasks > kMaxTasks) {
    return Error(ErrorId::kTooManyTasks, "the job has " + std::to_string(tasks) +
                                             " tasks, allowed are " + std::to_string(kMaxTasks));
  }
  const Duration objective =
      FromMillis(ToMillis(LongestChain(steps)) * queue.stretch()) + queue.target();
  return std::make_shared<const JobOrder>(submission.key(), queue.name(), queue.service(),
                                          submission.payload(), steps, queue.priority(),
                                          queue.max_attempts(), objective, patience);
}

}  // namespace sapphireflow
