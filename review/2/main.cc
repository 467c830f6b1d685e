// A coordinator is killed while an owner of its zone stands still for a moment.
//
// usage: case-2 PROGRAM FOLDER RECORD TROUBLE
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <string>

#include "../standin/standin.h"

namespace {

using review::NowMs;

// bounds of the site that claim.txt names
constexpr char kBounds[] =
    "bounds.contact_timeout_ms=5000\nbounds.ack_timeout_ms=8000\nbounds.drain_timeout_ms=4000\n"
    "bounds.grace_period_s=6\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=4000\n"
    "bounds.recovery_s=15\nbounds.max_hold_ms=1000\nbounds.stop_timeout_ms=50\n"
    "bounds.cancel_ms=5000\nbounds.remote_factor=3\nbounds.lease_ms=3000\n"
    "bounds.thaw_slack_ms=300\nbounds.retry_ms=1300\nbounds.fencing_enforced=true\n";
constexpr int kNodes = 24;
// the machines of the zone that give orders to its workers
constexpr std::size_t kOwners = 12;
constexpr std::size_t kRounds = 6;
constexpr double kFreezeMs = 600;
constexpr double kKillAfterMs = 200;
constexpr double kDarkMs = 3500;
constexpr double kRoundMs = 7000;
constexpr double kJobIntervalMs = 8;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  NowMs();
  review::Recorder recorder(argv[3]);
  const bool trouble = std::string(argv[4]) != "0";
  review::FleetPlan plan;
  plan.nodes_per_zone = {kNodes};
  plan.workers_per_zone = 40;
  plan.bounds = kBounds;
  review::Fleet fleet(plan, argv[1], argv[2], recorder);
  if (!fleet.Start()) fleet.Finish(2);
  review::Clients clients(fleet, recorder);
  review::JobSpec job;
  job.tasks = 2;
  job.run_ms = 2500;
  job.milli_cores = 800;
  job.deadline_ms = 5000;
  const double begin = NowMs() + 500;
  const double end = begin + 3000 + kRounds * kRoundMs;
  std::thread traffic([&] {
    std::size_t number = 0;
    for (double at = begin; at < end; at += kJobIntervalMs) {
      review::SleepUntilMs(at);
      ++number;
      const auto round = static_cast<std::size_t>(std::max(0.0, at - begin) / kRoundMs);
      // half of the jobs go to the node that is killed next
      const std::size_t busy = kOwners + std::min<std::size_t>(round, kRounds - 1);
      clients.Start(job, number % 2 == 0 ? busy : number % kNodes);
    }
  });
  for (std::size_t round = 0; round < kRounds; ++round) {
    review::SleepUntilMs(begin + 3000 + static_cast<double>(round) * kRoundMs);
    if (!trouble) continue;
    auto& nodes = fleet.nodes();
    const std::size_t killed = kOwners + round;
    const std::size_t frozen[] = {2 * round, 2 * round + 1};
    clients.Avoid(killed, true);
    for (const std::size_t node : frozen) {
      clients.Avoid(node, true);
      fleet.Signal(*nodes[node], SIGSTOP);
    }
    const double at = NowMs();
    review::SleepUntilMs(at + kKillAfterMs);
    fleet.Kill(*nodes[killed]);
    review::SleepUntilMs(at + kFreezeMs);
    for (const std::size_t node : frozen) {
      fleet.Signal(*nodes[node], SIGCONT);
      clients.Avoid(node, false);
    }
    review::SleepUntilMs(at + kKillAfterMs + kDarkMs);
    fleet.StartNode(*nodes[killed]);
    review::SleepMs(1500);
    clients.Avoid(killed, false);
  }
  traffic.join();
  clients.Join();
  int done = 0;
  for (const auto& run : fleet.traces().All()) done += run.how == "done" ? 1 : 0;
  recorder.Line("%d runs done", done);
  if (done == 0) fleet.Finish(2);
  fleet.Finish(review::ReportOverlaps(fleet.traces().All(), recorder) == 0 ? 0 : 1);
}
