// No two runs of one task are executed at the same time, whatever happens to members, workers, the
// paths between them and the store.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "fleet_simulation.h"

using namespace sapphireflow;
using simulation::Fleet;
using simulation::FleetFaults;

namespace {

void RunSeeds(std::uint32_t first, std::uint32_t count, std::size_t zones,
              const FleetFaults& faults) {
  for (std::uint32_t seed = first; seed < first + count; ++seed) {
    Fleet fleet(seed, zones, faults);
    fleet.Run();
    INFO("seed " << seed << ", zones " << zones);
    for (const std::string& violation : fleet.violations.list) {
      INFO(violation);
      CHECK(violation.empty());
    }
  }
}

// the smallest deployment that is spread over four zones
FleetFaults SevenMembers(FleetFaults faults) {
  faults.members = 7;
  faults.min_workers = 3;
  return faults;
}

FleetFaults Everything() {
  FleetFaults faults;
  faults.together = true;
  faults.min_workers = 2;
  faults.partial_worker_cuts = 4;
  faults.worker_crashes = 3;
  faults.resets = 3;
  faults.late_periods = 2;
  faults.freezes = 2;
  faults.giver_losses = 2;
  faults.slowings = 2;
  faults.link_cuts = 4;
  faults.lone_cuts = 2;
  faults.store_lapses = 2;
  faults.clock_slowness = 0.02;
  return faults;
}

FleetFaults ResetsAndFreezes() {
  FleetFaults faults;
  faults.together = true;
  faults.resets = 6;
  faults.late_periods = 4;
  faults.partial_worker_cuts = 6;
  faults.freezes = 3;
  faults.giver_losses = 3;
  faults.lone_cuts = 3;
  return SevenMembers(faults);
}

template <class Field>
FleetFaults Only(Field FleetFaults::*field, Field value) {
  FleetFaults faults;
  faults.*field = value;
  return faults;
}

// Long tasks, so that many are running when their coordinator or owner ends.
FleetFaults LongTasks(FleetFaults faults) {
  faults.added_task_ms = 2000;
  faults.answer_timeout_ms = 5000;
  faults.min_workers = 12;
  return faults;
}

FleetFaults KillPairs() {
  FleetFaults faults = LongTasks(Only(&FleetFaults::kill_pairs, 3));
  faults.members = 8;
  return faults;
}

FleetFaults KillsBesideFreezes() {
  FleetFaults faults = LongTasks(Only(&FleetFaults::kills_beside_freezes, 4));
  faults.members = 24;
  return faults;
}

// Runs that outlast the time after which a coordinator counts an unreachable owner's as lapsed.
FleetFaults FlappingLinks(bool callers) {
  FleetFaults faults = Only(&FleetFaults::flapping_members, 3);
  faults.flapping_callers = callers;
  faults.added_task_ms = 3000;
  faults.answer_timeout_ms = 14000;
  faults.min_workers = 12;
  return faults;
}

FleetFaults FlappingInOneZone(bool callers) {
  FleetFaults faults = FlappingLinks(callers);
  faults.min_workers = 24;
  return faults;
}

void RunEach(const std::vector<std::uint32_t>& seeds, std::size_t zones,
             const FleetFaults& faults) {
  for (const std::uint32_t seed : seeds) RunSeeds(seed, 1, zones, faults);
}

void RunFew(const FleetFaults& faults) {
  RunSeeds(1, 3, 1, faults);
  RunSeeds(1, 1, 3, faults);
  RunSeeds(1, 1, 4, SevenMembers(faults));
}

void RunMany(const FleetFaults& faults) {
  RunSeeds(100, 100, 1, faults);
  RunSeeds(100, 50, 3, faults);
  RunSeeds(100, 30, 4, SevenMembers(faults));
}

}  // namespace

TEST_CASE("no task runs twice while workers are cut off from some members, and crash") {
  for (const FleetFaults& faults :
       {Only(&FleetFaults::partial_worker_cuts, 6), Only(&FleetFaults::worker_crashes, 8)}) {
    RunFew(faults);
  }
}

// A submission whose caller had left was admitted.
TEST_CASE("no task runs twice while all connections are reset") {
  RunFew(Only(&FleetFaults::resets, 3));
  RunSeeds(4, 1, 1, Only(&FleetFaults::resets, 3));
}

TEST_CASE("no task runs twice while orders are carried out late") {
  RunFew(Only(&FleetFaults::late_periods, 4));
}

TEST_CASE("no task runs twice while members are frozen, killed or slow") {
  RunFew(Only(&FleetFaults::freezes, 6));
  RunFew(Only(&FleetFaults::giver_losses, 6));
  RunFew(Only(&FleetFaults::slowings, 6));
}

TEST_CASE("no task runs twice while members are cut off in one or both directions") {
  RunFew(Only(&FleetFaults::link_cuts, 10));
  RunFew(Only(&FleetFaults::lone_cuts, 4));
}

TEST_CASE("no task runs twice while lists lapse and clocks are slow") {
  RunFew(Only(&FleetFaults::store_lapses, 5));
  RunFew(Only(&FleetFaults::clock_slowness, 0.02));
}

// The lease of an abandoned run was extended by its next owner.
TEST_CASE("no task runs twice while resets, freezes and cuts coincide") {
  RunSeeds(10164, 1, 4, ResetsAndFreezes());
  RunSeeds(1, 2, 1, Everything());
}

// A run whose coordinator and owner had ended together outlived its caller's return: each further
// owner extended its lease with those of others.
TEST_CASE("no task runs twice when an owner is killed, and then the one that took over") {
  RunSeeds(1, 6, 1, KillPairs());
  RunSeeds(1, 4, 3, KillPairs());
}

// An owner that resumed counted the silence of a killed coordinator from its own resumption.
TEST_CASE("no task runs twice when a coordinator is killed while its owners are frozen") {
  RunSeeds(1, 6, 1, KillsBesideFreezes());
}

// Run by name before a merge.
TEST_CASE("no task runs twice around kills, over many seeds", "[.twice]") {
  RunSeeds(100, 60, 1, KillPairs());
  RunSeeds(100, 60, 3, KillPairs());
  RunSeeds(100, 60, 1, KillsBesideFreezes());
}

// Run by name before a merge. A member that resumed ran the jobs of callers who had left.
TEST_CASE("no task runs twice when members resume and read last that callers left", "[.twice]") {
  FleetFaults faults = Only(&FleetFaults::freezes, 8);
  faults.answer_timeout_ms = 1500;
  faults.callers_read_last = true;
  RunSeeds(1, 250, 1, faults);
}

// A coordinator counted a run as lapsed while its owner went on extending the lease.
TEST_CASE("no task runs twice while the links of a member break again and again") {
  RunEach({15, 79, 96}, 1, FlappingInOneZone(/*callers=*/false));
  RunEach({5, 7, 26}, 3, FlappingLinks(/*callers=*/false));
  RunEach({1, 11, 16, 17, 24}, 4, SevenMembers(FlappingLinks(/*callers=*/false)));
}

// An owner extended the lease of a run whose coordinator could not cancel it.
TEST_CASE("no task runs twice when its caller returns while links break again and again") {
  RunEach({5, 7, 12, 41, 43, 47, 48}, 3, FlappingLinks(/*callers=*/true));
  RunEach({7}, 4, SevenMembers(FlappingLinks(/*callers=*/true)));
}

// Run by name before a merge.
TEST_CASE("no task runs twice while links break again and again, over many seeds", "[.twice]") {
  for (const bool callers : {false, true}) {
    RunSeeds(100, 100, 1, FlappingInOneZone(callers));
    RunSeeds(100, 50, 3, FlappingLinks(callers));
    RunSeeds(100, 100, 4, SevenMembers(FlappingLinks(callers)));
  }
}

// Run by name before a merge.
TEST_CASE("no task runs twice, each fault by itself, over many seeds", "[.twice]") {
  RunMany(Only(&FleetFaults::partial_worker_cuts, 6));
  RunMany(Only(&FleetFaults::worker_crashes, 8));
  RunMany(Only(&FleetFaults::resets, 3));
  RunMany(Only(&FleetFaults::late_periods, 4));
  RunMany(Only(&FleetFaults::freezes, 6));
  RunMany(Only(&FleetFaults::giver_losses, 6));
  RunMany(Only(&FleetFaults::slowings, 6));
  RunMany(Only(&FleetFaults::link_cuts, 10));
  RunMany(Only(&FleetFaults::lone_cuts, 4));
  RunMany(Only(&FleetFaults::store_lapses, 5));
  RunMany(Only(&FleetFaults::clock_slowness, 0.02));
}

TEST_CASE("no task runs twice, faults together, over many seeds", "[.twice]") {
  RunSeeds(10000, 400, 1, Everything());
  RunSeeds(10000, 200, 4, ResetsAndFreezes());
}
