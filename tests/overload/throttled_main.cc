// Process test of overload control: one node that gets a tenth of a processor, by signals from
// outside, with several times the jobs that it can serve. Guards against a node that accepts all of
// them (no refusals), one that refuses what has run, and one that goes on refusing afterwards.
#include <tclap/CmdLine.h>

#include <csignal>
#include <filesystem>
#include <future>
#include <iostream>

#include "fleet.h"

namespace {

using sapphireflow::Duration;
using sapphireflow::Instant;
using sapphireflow::soak::Fleet;
using sapphireflow::soak::FleetPlan;

constexpr Duration kRunTime = std::chrono::milliseconds(10);
constexpr Duration kStopTime = std::chrono::milliseconds(90);
constexpr Duration kOverloadTime = std::chrono::seconds(5);
constexpr Duration kOverloadInterval = std::chrono::milliseconds(10);
// the node may also have lost its workers, which it gets back within the maximum recovery time
constexpr Duration kRecoveryTime = std::chrono::milliseconds(3000);
constexpr Duration kCalmTime = std::chrono::seconds(3);
constexpr Duration kCalmInterval = std::chrono::milliseconds(60);

void WaitUntil(Fleet& fleet, Instant at) {
  std::promise<void> over;
  fleet.timers().At(at, [&over] { over.set_value(); });
  over.get_future().wait();
}

void SubmitPeriodically(Fleet& fleet, Duration interval, Instant until) {
  if (fleet.clock().Now() >= until) return;
  fleet.callers().SubmitRandomJob();
  fleet.timers().At(fleet.clock().Now() + interval,
                    [&fleet, interval, until] { SubmitPeriodically(fleet, interval, until); });
}

// @param adaptive whether the node is to refuse jobs; otherwise the result is only printed
bool Run(const FleetPlan& plan, bool adaptive) {
  std::filesystem::remove_all(plan.folder);
  std::filesystem::create_directories(plan.folder);
  Fleet fleet(plan);
  if (!fleet.Start()) {
    std::cout << "FAIL: the node could not be started or was not ready in time\n";
    return false;
  }
  const Instant overload_end = fleet.clock().Now() + kOverloadTime;
  SubmitPeriodically(fleet, kOverloadInterval, overload_end);
  while (fleet.clock().Now() < overload_end) {
    fleet.node(0).Signal(SIGSTOP);
    WaitUntil(fleet, fleet.clock().Now() + kStopTime);
    fleet.node(0).Signal(SIGCONT);
    WaitUntil(fleet, fleet.clock().Now() + kRunTime);
  }
  const Instant calm = overload_end + kRecoveryTime;
  WaitUntil(fleet, calm);
  SubmitPeriodically(fleet, kCalmInterval, calm + kCalmTime);
  WaitUntil(fleet, calm + kCalmTime);
  fleet.callers().WaitForAll();
  fleet.Stop();
  fleet.checker().Finish();
  const auto calm_jobs = fleet.checker().JobsSubmittedSince(calm);
  for (const std::string& job : calm_jobs.not_served) {
    fleet.checker().AddViolation("calm: " + job + " was not served after the overload");
  }
  const auto tally = fleet.checker().tally();
  const int began = fleet.CountLogLines("event=overload_began");
  const int ended = fleet.CountLogLines("event=overload_ended");
  if (adaptive && began == 0) fleet.checker().AddViolation("the node did not notice the overload");
  if (began != ended) fleet.checker().AddViolation("an overload did not end");
  const auto violations = fleet.checker().violations();
  std::cout << (violations.empty() ? "ok   " : "FAIL ") << "served " << tally.served << ", refused "
            << tally.refused << ", unanswered " << tally.unanswered << ", failed " << tally.failed
            << ", overloads " << began << ", in calm "
            << calm_jobs.jobs - calm_jobs.not_served.size() << " of " << calm_jobs.jobs << "\n";
  for (const std::string& violation : violations) std::cout << "  " << violation << "\n";
  return violations.empty();
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Runs a throttled dispatch node under overload.", ' ', "test");
  TCLAP::ValueArg<std::string> program("p", "program", "executable of the dispatch node", true, "",
                                       "path", command);
  TCLAP::ValueArg<std::string> folder("f", "folder", "folder for settings and logs", true, "",
                                      "path", command);
  TCLAP::ValueArg<std::uint32_t> slot("", "slot", "subnet of the fleet: 127.10.SLOT.0/24", false, 0,
                                      "slot", command);
  TCLAP::ValueArg<std::string> controller("c", "controller", "adaptive or admit-all", false,
                                          "adaptive", "name", command);
  command.parse(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  FleetPlan plan;
  plan.program = program.getValue();
  plan.folder = folder.getValue();
  plan.slot = slot.getValue();
  plan.nodes = 1;
  plan.workers = 30;
  plan.direct_callers = true;
  plan.settings = "overload_control=" + controller.getValue() + "\n";
  return Run(plan, controller.getValue() == "adaptive") ? 0 : 1;
}
