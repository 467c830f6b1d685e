// Draws the faults of a seed.
#include "mixed_schedule.h"

#include <csignal>

namespace sapphireflow::soak {
namespace {

// longer than the grace period of a node (bounds.grace_period_s=6)
constexpr Duration kPlannedStopTime = std::chrono::milliseconds(6200);

}  // namespace

MixedSchedule::MixedSchedule(std::uint32_t seed, std::size_t nodes, std::size_t workers,
                             Duration length)
    : Schedule(seed, nodes, workers, length) {
  SetOnlyPlannedStops(RandomBelow(8) == 0);
  if (only_planned_stops()) {
    AddNodeStop("planned stop", RandomNode(), SIGTERM, Duration::zero(), kPlannedStopTime);
  } else {
    const int faults = 4 + RandomBelow(8);
    for (int i = 0; i < faults; ++i) {
      switch (RandomBelow(6)) {
        case 0:
          AddNodeFault();
          break;
        case 1:
          AddStoreFault();
          break;
        case 2:
        case 3:
          AddWorkerFault();
          break;
        case 4:
          AddLinkFault();
          break;
        default:
          AddConfigurationChanges();
      }
    }
  }
  SortSteps();
}

}  // namespace sapphireflow::soak
