// Part of dispatch: implementation of the feasibility policies.
#include "sapphireflow/dispatch/job_feasibility.h"

#include <algorithm>

#include "sapphireflow/dispatch/shortest_run_time.h"

namespace sapphireflow {
namespace {

// A start is reported with the owner's next tick (50 ms) and across zones; a throttled core delays
// either for up to 100 ms.
constexpr Duration kMaxReportDelay = std::chrono::milliseconds(250);
}  // namespace

std::optional<Duration> StepRoom::FirstStart() const {
  if (m_queues.empty()) return std::nullopt;
  if (m_fitting > 0) return Duration::zero();
  const auto shortest = std::min_element(
      m_queues.begin(), m_queues.end(),
      [](const OwnerQueue& a, const OwnerQueue& b) { return a.wait() < b.wait(); });
  return shortest->wait();
}

Duration EarliestEnd(const JobOrder& order, const std::vector<StepState>& states, double slowness) {
  std::vector<Duration> ends;
  ends.reserve(states.size());
  Duration last{};
  for (std::size_t i = 0; i < states.size(); ++i) {
    const StepSpec& step = order.steps()[i];
    Duration end{};
    for (const std::uint32_t predecessor : step.after()) end = std::max(end, ends[predecessor]);
    const Duration run_time = ShortestRunTime(step.estimate(), slowness);
    if (states[i] == StepState::kWaiting) end += run_time;
    if (states[i] == StepState::kMayHaveStarted) end += std::max(run_time - kMaxReportDelay, {});
    ends.push_back(end);
    last = std::max(last, end);
  }
  return last;
}

Duration LastStart(const JobOrder& order, const StepRoom& room, double slowness) {
  const StepSpec& step = order.steps().front();
  if (room.fitting() >= step.count()) return Duration::zero();
  std::vector<OwnerQueue> queues = room.queues();
  std::sort(queues.begin(), queues.end());
  // The tasks before the last one are spread so that all owners used have the same wait.
  double work = static_cast<double>(step.count() - room.fitting() - 1) *
                static_cast<double>(step.needs().milli_cores()) *
                ToMillis(ShortestRunTime(step.estimate(), slowness));
  double wait_ms = ToMillis(queues.front().wait());
  double milli_cores = 0;
  for (std::size_t i = 0; i < queues.size(); ++i) {
    milli_cores += static_cast<double>(queues[i].milli_cores());
    const double end_ms = wait_ms + work / milli_cores;
    if (i + 1 == queues.size() || end_ms <= ToMillis(queues[i + 1].wait())) {
      wait_ms = end_ms;
      break;
    }
    const double next_ms = ToMillis(queues[i + 1].wait());
    work -= (next_ms - wait_ms) * milli_cores;
    wait_ms = next_ms;
  }
  return FromMillis(wait_ms);
}

std::optional<Duration> FirstStartFeasibility::RefusalWait(const JobOrder& /*order*/,
                                                           const StepRoom& room, Duration time_left,
                                                           double /*slowness*/) const {
  const Duration wait = room.FirstStart().value_or(Duration::zero());
  if (wait < time_left) return std::nullopt;
  return wait;
}

bool FirstStartFeasibility::CanEndInTime(const JobOrder& /*order*/,
                                         const std::vector<StepState>& /*states*/,
                                         Duration /*time_left*/, double /*slowness*/) const {
  return true;
}

std::optional<Duration> FirstStartFeasibility::LongestWait(const JobOrder& /*order*/,
                                                           const std::vector<StepState>& /*states*/,
                                                           Duration /*time_left*/,
                                                           double /*slowness*/) const {
  return std::nullopt;
}

std::optional<Duration> WholeJobFeasibility::RefusalWait(const JobOrder& order,
                                                         const StepRoom& room, Duration time_left,
                                                         double slowness) const {
  const std::vector<StepState> unstarted(order.steps().size(), StepState::kWaiting);
  const Duration first_start = room.FirstStart().value_or(Duration::zero());
  if (first_start + EarliestEnd(order, unstarted, slowness) > time_left) return first_start;
  if (room.fitting() >= order.steps().front().count() || room.queues().empty()) return std::nullopt;
  const Duration last_start = LastStart(order, room, slowness);
  const Duration run_time = ShortestRunTime(order.steps().front().estimate(), slowness);
  if (last_start + run_time <= time_left) return std::nullopt;
  return last_start;
}

bool WholeJobFeasibility::CanEndInTime(const JobOrder& order, const std::vector<StepState>& states,
                                       Duration time_left, double slowness) const {
  return EarliestEnd(order, states, slowness) <= time_left;
}

std::optional<Duration> WholeJobFeasibility::LongestWait(const JobOrder& order,
                                                         const std::vector<StepState>& states,
                                                         Duration time_left,
                                                         double slowness) const {
  return time_left - EarliestEnd(order, states, slowness);
}

std::unique_ptr<JobFeasibility> MakeJobFeasibility(const std::string& name) {
  if (name == "whole-job") return std::make_unique<WholeJobFeasibility>();
  if (name == "first-start") return std::make_unique<FirstStartFeasibility>();
  return nullptr;
}

}  // namespace sapphireflow
