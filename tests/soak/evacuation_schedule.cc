// Draws the evacuations of a seed.
#include "evacuation_schedule.h"

#include <csignal>

namespace sapphireflow::soak {
namespace {

// The check of the workers begins 5 s after the key was written.
constexpr Duration kEvacuationTime = std::chrono::milliseconds(8000);
// The process that is started then has to read the keys before its first start.
constexpr Duration kKillAfter = std::chrono::milliseconds(4500);
constexpr Duration kRestartPause = std::chrono::milliseconds(600);
constexpr Duration kPauseBetween = std::chrono::milliseconds(1000);

}  // namespace

EvacuationSchedule::EvacuationSchedule(std::uint32_t seed, std::size_t nodes, std::size_t workers,
                                       std::size_t zones, Duration length)
    : Schedule(seed, nodes, workers, length) {
  const auto count = static_cast<std::uint32_t>(zones);
  const auto first = static_cast<std::uint32_t>(RandomIndex(zones));
  std::vector<std::uint32_t> all;
  for (std::uint32_t i = 0; i < count; ++i) all.push_back(i);
  Duration at{};
  // the index after the last one names no zone
  const std::vector<std::vector<std::uint32_t>> rounds = {
      {first}, {first, (first + 1) % count, count}, all};
  for (const auto& round : rounds) {
    AddEvacuation(round, at);
    at += kEvacuationTime + kPauseBetween;
  }
  SortSteps();
}

void EvacuationSchedule::AddEvacuation(const std::vector<std::uint32_t>& zones, Duration at) {
  for (const std::uint32_t zone : zones) {
    AddStep(at, WithNumber("evacuation of zone", zone),
            [zone](Fleet& fleet) { fleet.SetEvacuated(zone, true); });
    AddStep(at + kEvacuationTime, WithNumber("return of zone", zone),
            [zone](Fleet& fleet) { fleet.SetEvacuated(zone, false); });
  }
  AddConfigurationSeries(at + RandomMillis(0, 2000));
  AddNodeStop("kill", RandomNode(), SIGKILL, at + kKillAfter, kRestartPause);
}

}  // namespace sapphireflow::soak
