// Workers drain while the machine that reads the list of workers for others is cut off from the
// store.
//
// usage: case-5 PROGRAM FOLDER RECORD TROUBLE
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
constexpr double kDrainTimeoutMs = 2000;
// a worker exits a little later
constexpr double kLeaveAfterMs = 3500;
constexpr std::size_t kRounds = 8;
constexpr std::size_t kWorkersPerRound = 3;
constexpr std::size_t kWorkersPerZone = 16;
// of the first two zones
constexpr std::size_t kNodesPerZone = 3;
constexpr double kCutMs = 5500;
constexpr double kRoundMs = 9000;
constexpr double kJobIntervalMs = 12;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  NowMs();
  review::Recorder recorder(argv[3]);
  const bool trouble = std::string(argv[4]) != "0";
  review::FleetPlan plan;
  plan.nodes_per_zone = {kNodesPerZone, kNodesPerZone, 2};
  plan.workers_per_zone = kWorkersPerZone;
  plan.bounds = kBounds;
  review::Fleet fleet(plan, argv[1], argv[2], recorder);
  if (!fleet.Start()) fleet.Finish(2);
  auto& nodes = fleet.nodes();
  auto& workers = fleet.workers();
  review::Clients clients(fleet, recorder);
  review::JobSpec job;
  job.tasks = 4;
  job.run_ms = 60;
  job.milli_cores = 6000;
  const double begin = NowMs() + 500;
  const double end = begin + 4000 + static_cast<double>(kRounds) * kRoundMs;
  std::thread traffic([&] {
    std::size_t number = 0;
    for (double at = begin; at < end; at += kJobIntervalMs) {
      review::SleepUntilMs(at);
      clients.Start(job, number++ % nodes.size());
    }
  });
  int broken = 0;
  for (std::size_t round = 0; round < kRounds; ++round) {
    review::SleepUntilMs(begin + 4000 + static_cast<double>(round) * kRoundMs);
    // the relays of the first two zones in turn, and workers of the same zone
    const std::size_t zone = round % 2;
    review::Node& cut = *nodes[zone * kNodesPerZone + round / 2 % 2];
    if (trouble) {
      recorder.Line("%s is cut off from the store", cut.name.c_str());
      cut.cut_from_store = true;
    }
    const double cut_at = NowMs();
    review::SleepMs(100);
    std::vector<std::pair<std::size_t, double>> leaving;
    for (std::size_t i = 0; i < kWorkersPerRound; ++i) {
      const std::size_t worker = zone * kWorkersPerZone + round / 2 * kWorkersPerRound + i;
      leaving.emplace_back(worker, workers[worker]->Drain());
    }
    review::SleepMs(kLeaveAfterMs);
    for (const auto& [worker, accepted_at] : leaving) {
      workers[worker]->Leave();
      for (const auto& start : workers[worker]->StartsWhileDraining()) {
        const double after = start.at - accepted_at;
        if (after <= kDrainTimeoutMs) continue;
        const bool in_touch = !trouble || start.caller != cut.name;
        recorder.Line("%s: %s started %s on %s %.0f ms after it had reported draining",
                      in_touch ? "DRAIN" : "excused", start.caller.c_str(), start.task.c_str(),
                      workers[worker]->id().c_str(), after);
        if (in_touch) ++broken;
      }
    }
    review::SleepUntilMs(cut_at + kCutMs);
    if (trouble) {
      recorder.Line("%s reaches the store again", cut.name.c_str());
      cut.cut_from_store = false;
    }
  }
  traffic.join();
  clients.Join();
  std::size_t done = 0;
  for (const auto& run : fleet.traces().All()) done += run.how == "done" ? 1 : 0;
  recorder.Line("%zu runs done; %d starts on workers that drained for over %.0f ms", done, broken,
                kDrainTimeoutMs);
  if (done == 0) fleet.Finish(2);
  fleet.Finish(broken == 0 ? 0 : 1);
}
