// Draws the series of a seed.
#include "series_schedule.h"

#include <algorithm>
#include <csignal>

namespace sapphireflow::soak {
namespace {

constexpr Duration kRestartPause = std::chrono::milliseconds(400);
// A node that stops is started again when it has ended by then, or else after its grace period.
constexpr Duration kUsualStopTime = std::chrono::milliseconds(3400);
constexpr Duration kLongestStopTime = std::chrono::milliseconds(6200);

const char* SignalName(int signal) {
  switch (signal) {
    case SIGTERM:
      return "stop of node";
    case SIGKILL:
      return "kill of node";
    case SIGSTOP:
      return "freeze of node";
    case SIGCONT:
      return "thaw of node";
    default:
      return "reload of node";
  }
}

}  // namespace

SeriesSchedule::SeriesSchedule(std::uint32_t seed, std::size_t nodes, std::size_t workers,
                               Duration length)
    : Schedule(seed, nodes, workers, length) {
  SetOnlyPlannedStops(RandomBelow(4) == 0);
  const int begin_ms = static_cast<int>(ToMillis(length)) / 3;
  const int node_series = 2 + RandomBelow(static_cast<int>(std::max<std::size_t>(nodes / 2, 3)));
  for (int i = 0; i < node_series; ++i) AddNodeSeries(RandomNode(), RandomMillis(0, begin_ms));
  const int changes = 1 + RandomBelow(3);
  for (int i = 0; i < changes; ++i) AddConfigurationSeries(RandomTime());
  if (!only_planned_stops()) {
    const int crashes = RandomBelow(static_cast<int>(std::max<std::size_t>(workers / 2, 2)));
    for (int i = 0; i < crashes; ++i) AddWorkerSeries(RandomWorker(), RandomMillis(0, begin_ms));
    if (RandomBelow(2) == 0) AddDeadlyJobs(RandomMillis(0, begin_ms));
    const int shrinkings = RandomBelow(3);
    for (int i = 0; i < shrinkings; ++i) AddShrinking(RandomWorker(), RandomMillis(0, begin_ms));
    const int others = RandomBelow(4);
    for (int i = 0; i < others; ++i) {
      switch (RandomBelow(3)) {
        case 0:
          AddStoreFault();
          break;
        case 1:
          AddWorkerFault();
          break;
        default:
          AddLinkFault();
      }
    }
  }
  SortSteps();
}

void SeriesSchedule::AddNodeSeries(std::size_t node, Duration at) {
  m_series_end = at;
  AddStep(at, WithNumber("series on node", node),
          [](Fleet& fleet) { fleet.fault_tracker().BeginFault(); });
  const int before = RandomBelow(3);
  for (int i = 0; i < before; ++i) {
    AddRandomSignal(node, at);
    at += RandomMillis(0, 400);
  }
  const bool killed = !only_planned_stops() && RandomBelow(4) == 0;
  AddEnd(node, at, killed ? SIGKILL : SIGTERM);
  const Duration restarted_at = at + (killed ? kRestartPause : kUsualStopTime);
  const int during = RandomBelow(4);
  for (int i = 0; i < during; ++i) {
    at += RandomMillis(0, 700);
    AddRandomSignal(node, at);
  }
  // soon after the next process has started
  if (RandomBelow(2) == 0) {
    at = restarted_at + RandomMillis(0, 600);
    AddRandomSignal(node, at);
    if (RandomBelow(2) == 0) {
      AddEnd(node, at, only_planned_stops() || RandomBelow(2) == 0 ? SIGTERM : SIGKILL);
    }
  }
  AddStep(m_series_end, WithNumber("end of series on node", node), [node](Fleet& fleet) {
    fleet.KeepRunning(node);
    fleet.fault_tracker().EndFault();
  });
}

void SeriesSchedule::AddRandomSignal(std::size_t node, Duration at) {
  const int kind = RandomBelow(8);
  if (kind < 3) return AddSignal(node, at, SIGHUP);
  if (kind == 3) return AddEnd(node, at, SIGTERM);
  if (only_planned_stops()) return;
  if (kind == 4) return AddEnd(node, at, SIGKILL);
  AddFreeze(node, at);
}

void SeriesSchedule::AddSignal(std::size_t node, Duration at, int signal) {
  AddStep(at, WithNumber(SignalName(signal), node),
          [node, signal](Fleet& fleet) { fleet.node(node).Signal(signal); });
  m_series_end = std::max(m_series_end, at);
}

void SeriesSchedule::AddFreeze(std::size_t node, Duration at) {
  AddSignal(node, at, SIGSTOP);
  AddSignal(node, at + RandomMillis(50, 1500), SIGCONT);
}

void SeriesSchedule::AddEnd(std::size_t node, Duration at, int signal) {
  AddSignal(node, at, signal);
  const auto keep_running = [node](Fleet& fleet) { fleet.KeepRunning(node); };
  if (signal == SIGKILL) {
    AddStep(at + kRestartPause, WithNumber("start of node", node), keep_running);
    m_series_end = std::max(m_series_end, at + kRestartPause);
    return;
  }
  for (const Duration pause : {kUsualStopTime, kLongestStopTime}) {
    AddStep(at + pause, WithNumber("start of node", node), keep_running);
  }
  m_series_end = std::max(m_series_end, at + kLongestStopTime);
}

void SeriesSchedule::AddWorkerSeries(std::size_t worker, Duration at) {
  const int crashes = 2 + RandomBelow(3);
  for (int i = 0; i < crashes; ++i) {
    AddStep(at, WithNumber("crash of worker", worker),
            [worker](Fleet& fleet) { fleet.RestartWorker(worker); });
    at += RandomMillis(50, 1500);
  }
}

void SeriesSchedule::AddDeadlyJobs(Duration at) {
  const int jobs = 1 + RandomBelow(3);
  for (int i = 0; i < jobs; ++i) {
    AddStep(at, "deadly job", [](Fleet& fleet) { fleet.callers().SubmitDeadlyJob(); });
    at += RandomMillis(0, 500);
  }
}

void SeriesSchedule::AddShrinking(std::size_t worker, Duration at) {
  const std::int64_t smaller = FleetPlan::kMilliCores / (2 + RandomBelow(2));
  AddStep(at, WithNumber("smaller capacity of worker", worker),
          [worker, smaller](Fleet& fleet) { fleet.SetCapacity(worker, smaller); });
  AddStep(at + RandomMillis(5000, 9000), WithNumber("full capacity of worker", worker),
          [worker](Fleet& fleet) { fleet.SetCapacity(worker, FleetPlan::kMilliCores); });
}

void SeriesSchedule::AddConfigurationSeries(Duration at) {
  const int changes = 2 + RandomBelow(5);
  for (int i = 0; i < changes; ++i) {
    AddStep(at, "configuration change", [](Fleet& fleet) { fleet.ChangeConfiguration(); });
    at += RandomMillis(10, 300);
  }
}

}  // namespace sapphireflow::soak
