// A machine is killed, and so is the one that has just taken over its workers.
//
// usage: case-1 PROGRAM FOLDER RECORD TROUBLE
#include <algorithm>
#include <csignal>
#include <string>
#include <thread>

#include "../standin/standin.h"

namespace {

using review::NowMs;

// bounds of the site that claim.txt names
constexpr char kBounds[] =
    "bounds.contact_timeout_ms=3000\nbounds.ack_timeout_ms=4000\nbounds.drain_timeout_ms=2000\n"
    "bounds.grace_period_s=6\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n"
    "bounds.recovery_s=12\nbounds.max_hold_ms=1000\nbounds.stop_timeout_ms=50\n"
    "bounds.cancel_ms=3000\nbounds.remote_factor=3\nbounds.lease_ms=3000\n"
    "bounds.thaw_slack_ms=300\nbounds.retry_ms=1300\nbounds.fencing_enforced=true\n";
constexpr std::size_t kNodesPerZone = 3;
constexpr std::size_t kRounds = 6;
constexpr double kSecondKillMs = 800;
constexpr double kDarkMs = 3500;
constexpr double kRoundMs = 8000;
constexpr double kJobIntervalMs = 10;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  NowMs();
  review::Recorder recorder(argv[3]);
  const bool trouble = std::string(argv[4]) != "0";
  review::FleetPlan plan;
  plan.nodes_per_zone = {kNodesPerZone, kNodesPerZone, 2};
  plan.workers_per_zone = 16;
  plan.bounds = kBounds;
  review::Fleet fleet(plan, argv[1], argv[2], recorder);
  if (!fleet.Start()) fleet.Finish(2);
  auto& nodes = fleet.nodes();
  review::Clients clients(fleet, recorder);
  review::JobSpec long_job;
  long_job.tasks = 2;
  long_job.run_ms = 2500;
  long_job.milli_cores = 1000;
  long_job.deadline_ms = 5000;
  review::JobSpec short_job;
  short_job.tasks = 2;
  short_job.run_ms = 1000;
  short_job.milli_cores = 1000;
  const double begin = NowMs() + 500;
  const double end = begin + 3000 + static_cast<double>(kRounds) * kRoundMs;
  // the machines of a zone take turns
  const auto machine = [](std::size_t round, std::size_t place) {
    return round % 2 * kNodesPerZone + (round / 2 + place) % kNodesPerZone;
  };
  std::thread traffic([&] {
    std::size_t number = 0;
    for (double at = begin; at < end; at += kJobIntervalMs) {
      review::SleepUntilMs(at);
      const double in_rounds = std::max(0.0, at - begin + 1000) / kRoundMs;
      const std::size_t round = std::min(static_cast<std::size_t>(in_rounds), kRounds - 1);
      // the machine that stays has more jobs than its own workers can take
      if (++number % 10 == 0) {
        clients.Start(long_job, machine(round, 0));
      } else {
        clients.Start(short_job, machine(round, number % 8 == 1 ? 1 : 2));
      }
    }
  });
  for (std::size_t round = 0; round < kRounds; ++round) {
    review::SleepUntilMs(begin + 3000 + static_cast<double>(round) * kRoundMs);
    if (!trouble) continue;
    const std::size_t first = machine(round, 0);
    const std::size_t second = machine(round, 1);
    clients.Avoid(first, true);
    clients.Avoid(second, true);
    const double at = NowMs();
    fleet.Kill(*nodes[first]);
    review::SleepUntilMs(at + kSecondKillMs);
    fleet.Kill(*nodes[second]);
    review::SleepUntilMs(at + kDarkMs);
    fleet.StartNode(*nodes[first]);
    review::SleepUntilMs(at + kSecondKillMs + kDarkMs);
    fleet.StartNode(*nodes[second]);
    review::SleepMs(1000);
    clients.Avoid(first, false);
    clients.Avoid(second, false);
  }
  traffic.join();
  clients.Join();
  std::size_t done = 0;
  for (const auto& run : fleet.traces().All()) done += run.how == "done" ? 1 : 0;
  if (done == 0) fleet.Finish(2);
  fleet.Finish(review::ReportOverlaps(fleet.traces().All(), recorder) == 0 ? 0 : 1);
}
