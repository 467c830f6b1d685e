// Fault soak: runs dispatch nodes as processes, injects faults, and checks the guarantees of the
// service as callers and workers observe them. Exits with 1 if a guarantee was violated.
#include <tclap/CmdLine.h>

#include <csignal>
#include <filesystem>
#include <future>
#include <iostream>

#include "evacuation_schedule.h"
#include "link_schedule.h"
#include "mixed_schedule.h"
#include "series_schedule.h"

namespace {

using sapphireflow::Duration;
using sapphireflow::Instant;
using sapphireflow::soak::EvacuationSchedule;
using sapphireflow::soak::Fleet;
using sapphireflow::soak::FleetPlan;
using sapphireflow::soak::LinkSchedule;
using sapphireflow::soak::MixedSchedule;
using sapphireflow::soak::Schedule;
using sapphireflow::soak::SeriesSchedule;
using sapphireflow::soak::Step;

constexpr Duration kWarmUp = std::chrono::milliseconds(1500);
constexpr Duration kFaultTime = std::chrono::milliseconds(7000);
// all machines are reachable again three seconds after the last fault
constexpr Duration kMaxRecoveryTime = std::chrono::milliseconds(3000);
constexpr Duration kFaultFreeTime = std::chrono::milliseconds(2500);
// how long crashes under a task may go on after the last step
constexpr Duration kMaxLateFaults = std::chrono::seconds(30);
constexpr Duration kLateFaultCheck = std::chrono::milliseconds(500);
// Loads the workers to two fifths of their capacity on average, which leaves free capacity for
// bursts of large jobs.
constexpr Duration kArrivalIntervalOfOneWorker = std::chrono::milliseconds(240);
// With long jobs, which go on for up to kLongDeadline after faults and take capacity meanwhile.
constexpr Duration kMixedArrivalIntervalOfOneWorker = std::chrono::milliseconds(480);
constexpr std::uint32_t kJobsPerLongJob = 3;
// Every job that is submitted while no fault is active has to be served; a thousandth of them may
// miss that by chance.
constexpr double kMaxUnservedShare = 0.001;

void WaitUntil(Fleet& fleet, Instant at) {
  std::promise<void> over;
  fleet.timers().At(at, [&over] { over.set_value(); });
  over.get_future().wait();
}

void SubmitPeriodically(Fleet& fleet, Instant until) {
  if (fleet.clock().Now() >= until) return;
  fleet.callers().SubmitRandomJob();
  fleet.timers().At(fleet.clock().Now() + kArrivalIntervalOfOneWorker / fleet.workers(),
                    [&fleet, until] { SubmitPeriodically(fleet, until); });
}

void SubmitWithLongJobs(Fleet& fleet, Instant until, std::uint32_t jobs = 0) {
  if (fleet.clock().Now() >= until) return;
  if (jobs % kJobsPerLongJob == 0) {
    fleet.callers().SubmitLongJob();
  } else {
    fleet.callers().SubmitRandomJob();
  }
  fleet.timers().At(fleet.clock().Now() + kMixedArrivalIntervalOfOneWorker / fleet.workers(),
                    [&fleet, until, jobs] { SubmitWithLongJobs(fleet, until, jobs + 1); });
}

void Submit(Fleet& fleet, const Schedule& schedule, Instant until) {
  if (schedule.has_long_jobs()) {
    SubmitWithLongJobs(fleet, until);
  } else {
    SubmitPeriodically(fleet, until);
  }
}

enum class ScheduleKind { kMixed, kSeries, kLinks, kEvacuations };

std::unique_ptr<const Schedule> MakeSchedule(const FleetPlan& plan, ScheduleKind kind) {
  if (kind == ScheduleKind::kSeries) {
    return std::make_unique<const SeriesSchedule>(plan.seed, plan.nodes, plan.workers, kFaultTime);
  }
  if (kind == ScheduleKind::kLinks) {
    return std::make_unique<const LinkSchedule>(plan.seed, plan.nodes, plan.workers, plan.zones,
                                                kFaultTime);
  }
  if (kind == ScheduleKind::kEvacuations) {
    return std::make_unique<const EvacuationSchedule>(plan.seed, plan.nodes, plan.workers,
                                                      plan.zones, kFaultTime);
  }
  return std::make_unique<const MixedSchedule>(plan.seed, plan.nodes, plan.workers, kFaultTime);
}

bool RunSeed(FleetPlan plan, ScheduleKind kind, bool show) {
  std::filesystem::remove_all(plan.folder);
  std::filesystem::create_directories(plan.folder);
  const auto schedule = MakeSchedule(plan, kind);
  plan.direct_callers = schedule->direct_callers();
  Fleet fleet(plan);
  if (!fleet.Start()) {
    std::cout << "FAIL seed " << plan.seed
              << ": the fleet could not be started or was not ready in time\n";
    return false;
  }
  const Instant begin = fleet.clock().Now() + kWarmUp;
  Duration last = kFaultTime;
  for (const Step& step : schedule->steps()) last = std::max(last, step.at);
  const Instant end = begin + last + kMaxRecoveryTime + kFaultFreeTime;
  Submit(fleet, *schedule, end);
  fleet.callers().SetOnlyPlannedStops(schedule->only_planned_stops());
  for (const Step& step : schedule->steps()) {
    WaitUntil(fleet, begin + step.at);
    if (show) std::cout << sapphireflow::ToMillis(step.at) << " " << step.text << "\n";
    step.action(fleet);
    fleet.CheckProcesses();
  }
  WaitUntil(fleet, end);
  // workers that crashed under a task may return later than the last step
  constexpr Duration kCalmTime = kMaxRecoveryTime + kFaultFreeTime;
  const Instant limit = end + kMaxLateFaults;
  while (!fleet.fault_tracker().NoFaultFor(kCalmTime) && fleet.clock().Now() < limit) {
    const Instant next = fleet.clock().Now() + kLateFaultCheck;
    Submit(fleet, *schedule, next);
    WaitUntil(fleet, next);
  }
  const Instant calm = std::max(begin + last, fleet.fault_tracker().last_end()) + kMaxRecoveryTime;
  fleet.callers().WaitForAll();
  fleet.Stop();
  fleet.checker().Finish();
  const auto fault_free_jobs = fleet.checker().JobsSubmittedSince(calm);
  if (fault_free_jobs.not_served.size() > kMaxUnservedShare * fault_free_jobs.jobs) {
    for (const std::string& job : fault_free_jobs.not_served) {
      fleet.checker().AddViolation("calm: " + job + " was not served although no fault was active");
    }
  }
  const auto tally = fleet.checker().tally();
  const auto violations = fleet.checker().violations();
  std::cout << (violations.empty() ? "ok   " : "FAIL ") << "seed " << plan.seed << ": served "
            << tally.served << ", failed " << tally.failed << ", refused " << tally.refused
            << ", unanswered " << tally.unanswered << ", starts " << tally.starts << ", crashes "
            << tally.crashes << ", overloads " << fleet.CountLogLines("event=overload_began")
            << ", in calm " << fault_free_jobs.jobs - fault_free_jobs.not_served.size() << " of "
            << fault_free_jobs.jobs << "\n";
  for (const std::string& violation : violations) std::cout << "  " << violation << "\n";
  std::cout.flush();
  return violations.empty();
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command(
      "Runs dispatch nodes under random faults and checks the guarantees of the service.", ' ',
      "test");
  TCLAP::ValueArg<std::string> program("p", "program", "executable of the dispatch node", true, "",
                                       "path", command);
  TCLAP::ValueArg<std::string> folder("f", "folder",
                                      "folder for settings and logs; each seed gets a subfolder",
                                      true, "", "path", command);
  TCLAP::ValueArg<std::uint32_t> seed("s", "seed", "first seed", false, 1, "seed", command);
  TCLAP::ValueArg<std::uint32_t> count("r", "runs", "number of seeds to run", false, 1, "count",
                                       command);
  TCLAP::ValueArg<std::uint32_t> slot("", "slot", "subnet of the fleet: 127.10.SLOT.0/24", false, 0,
                                      "slot", command);
  TCLAP::ValueArg<std::uint32_t> nodes("n", "nodes", "number of nodes", false, 4, "count", command);
  TCLAP::ValueArg<std::uint32_t> workers("w", "workers", "number of workers", false, 6, "count",
                                         command);
  TCLAP::ValueArg<std::uint32_t> zones("z", "zones", "number of zones", false, 1, "count", command);
  TCLAP::SwitchArg show("v", "show", "print each step as it is executed", command);
  TCLAP::SwitchArg series("", "series", "signals, restarts and changes in series", command);
  TCLAP::SwitchArg links("", "links", "unstable links between nodes, and long jobs", command);
  TCLAP::SwitchArg evacuations("", "evacuations", "zones that are evacuated and restored", command);
  command.parse(argc, argv);
  if (series.getValue() + links.getValue() + evacuations.getValue() > 1) {
    std::cerr << "--series, --links and --evacuations exclude each other\n";
    return 2;
  }
  const ScheduleKind kind = series.getValue()        ? ScheduleKind::kSeries
                            : links.getValue()       ? ScheduleKind::kLinks
                            : evacuations.getValue() ? ScheduleKind::kEvacuations
                                                     : ScheduleKind::kMixed;
  if (nodes.getValue() > FleetPlan::kMaxNodes || workers.getValue() > FleetPlan::kMaxWorkers) {
    std::cerr << "a slot has addresses for " << FleetPlan::kMaxNodes << " nodes and "
              << FleetPlan::kMaxWorkers << " workers\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::uint32_t failed = 0;
  for (std::uint32_t i = 0; i < count.getValue(); ++i) {
    FleetPlan plan;
    plan.program = program.getValue();
    plan.seed = seed.getValue() + i;
    plan.folder = folder.getValue() + "/seed-" + std::to_string(plan.seed);
    plan.slot = slot.getValue();
    plan.nodes = nodes.getValue();
    plan.workers = workers.getValue();
    plan.zones = std::max(1U, zones.getValue());
    if (!RunSeed(plan, kind, show.getValue())) ++failed;
  }
  std::cout << count.getValue() - failed << " passed, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}
