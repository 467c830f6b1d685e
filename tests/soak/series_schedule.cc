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

constexpr char kOddEntryKey[] = "servers/odd";
constexpr int kOddEntryKinds = 9;

std::string Repeated(const std::string& text, std::size_t times) {
  std::string all;
  for (std::size_t i = 0; i < times; ++i) all += text;
  return all;
}

// an entry like a worker's, but for one field
std::string EntryWith(const std::string& field, const std::string& value) {
  std::string text = R"({"backend":"workshop","zone":"celaya","version":"v1","slots":8,)"
                     R"("labels":["a","r1-1"],"state":"ready")";
  const std::pair<std::string, std::string> usual[] = {
      {"address", R"("127.10.255.1:9")"},
      {"capacity", R"({"cpu":16000,"mem_mb":32768,"gpu":0})"},
      {"clock_ms", "1"},
      {"sequence", "1"},
      {"born", "1"}};
  for (const auto& [name, usual_value] : usual) {
    text += ",\"" + name + "\":" + (name == field ? value : usual_value);
  }
  return text + "}";
}

std::string OddEntry(std::size_t kind) {
  constexpr std::size_t kLevels = 100000;
  switch (kind) {
    case 0:
      return Repeated("[", kLevels) + Repeated("]", kLevels);
    case 1:
      return EntryWith("capacity", Repeated(R"({"cpu":)", kLevels) + "1" + Repeated("}", kLevels));
    case 2:
      return EntryWith("address", R"("127.10.255.1:99999")");
    case 3:
      return EntryWith("capacity", R"({"cpu":1e999,"mem_mb":32768,"gpu":0})");
    case 4:
      return EntryWith("born", "999999999999999999999999999999");
    case 5:
      return EntryWith("clock_ms", "-1e300");
    case 6:
      return EntryWith("capacity", R"({"cpu":"16000","mem_mb":[],"gpu":null})");
    case 7:
      return EntryWith("address", "17");
    default:
      return "\xff\xfe{\"backend\":";
  }
}

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
    if (RandomBelow(3) == 0) AddConnectionLoss(RandomTime());
    if (RandomBelow(3) == 0) AddOddEntry(RandomTime());
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

void SeriesSchedule::AddConnectionLoss(Duration at) {
  const bool silent = RandomBelow(2) == 0;
  AddStep(at, silent ? "all open connections fall silent" : "reset of all connections",
          [silent](Fleet& fleet) {
            fleet.fault_tracker().BeginFault();
            if (silent) {
              fleet.SilenceAllConnections();
            } else {
              fleet.ResetAllConnections();
            }
            fleet.fault_tracker().EndFault();
          });
}

void SeriesSchedule::AddOddEntry(Duration at) {
  const auto kind = static_cast<std::size_t>(RandomBelow(kOddEntryKinds));
  AddStep(at, "odd entry of kind " + std::to_string(kind),
          [kind](Fleet& fleet) { fleet.store().PutBytes(kOddEntryKey, OddEntry(kind)); });
  AddStep(at + RandomMillis(500, 4000), "end of odd entry",
          [](Fleet& fleet) { fleet.store().Remove(kOddEntryKey); });
}

void SeriesSchedule::AddConfigurationSeries(Duration at) {
  const int changes = 2 + RandomBelow(5);
  for (int i = 0; i < changes; ++i) {
    AddStep(at, "configuration change", [](Fleet& fleet) { fleet.ChangeConfiguration(); });
    at += RandomMillis(10, 300);
  }
}

}  // namespace sapphireflow::soak
