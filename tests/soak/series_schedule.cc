// Draws the series of a seed.
#include "series_schedule.h"

#include <algorithm>

namespace sapphireflow::soak {
namespace {

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
    for (int i = 0; i < others; ++i) AddSingleFault();
  }
  SortSteps();
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

}  // namespace sapphireflow::soak
