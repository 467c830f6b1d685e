// A worker in a simulated fleet.
#ifndef SAPPHIREFLOW_TESTS_UNIT_FLEET_WORKER_H_
#define SAPPHIREFLOW_TESTS_UNIT_FLEET_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "sapphireflow/ownership/owner_event.h"

namespace sapphireflow::simulation {

inline const Instant kStart = FromUnixMillis(1700000000000);
inline constexpr std::int64_t kCapacity = 16000;

// a worker with the behaviour that the platform specifies
struct FleetWorker {
  struct RunningRun {
    std::uint32_t number = 0;
    std::int64_t needs = 0;
    std::uint64_t serial = 0;
  };
  WorkerId id;
  Address address;
  std::string zone;
  std::int64_t born = 1;
  // the clock of this life reads clock_base at clock_zero, and runs at clock_rate
  Instant clock_zero = kStart;
  std::int64_t clock_base = 400000;
  double clock_rate = 1;
  bool is_down = false;
  Instant cut_until{};
  std::int64_t capacity = kCapacity;
  // the largest capacity that a start may still count on; follows a smaller one late
  std::int64_t counted_capacity = kCapacity;
  std::uint32_t capacity_changes = 0;
  FencingToken highest = 0;
  std::map<TaskKey, RunningRun> running;
  std::map<TaskKey, std::uint32_t> highest_ended;
  std::vector<EndedRun> ended;
  std::uint64_t next_end = 1;
  Instant lease_ends{};
  // replies to renewals that wait for a run to end; sent when one does
  std::vector<std::function<void()>> held_replies;
  // what the callers of unanswered requests see if the process ends
  std::vector<std::function<void()>> disconnects;

  std::int64_t ClockMs(Instant now) const {
    return static_cast<std::int64_t>(ToMillis(now - clock_zero) * clock_rate) + clock_base;
  }
  Instant AtClock(std::int64_t clock_ms) const {
    return clock_zero + FromMillis(static_cast<double>(clock_ms - clock_base) / clock_rate);
  }
};

}  // namespace sapphireflow::simulation

#endif  // SAPPHIREFLOW_TESTS_UNIT_FLEET_WORKER_H_
