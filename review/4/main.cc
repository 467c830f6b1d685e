// Workers report a smaller capacity while the machine that gives them orders is cut.
//
// usage: case-4 PROGRAM FOLDER RECORD TROUBLE
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
constexpr std::size_t kRounds = 6;
constexpr std::size_t kWorkersPerZone = 16;
constexpr std::size_t kShrunkWorkers = 12;
constexpr int kMilliCores = 16000;
constexpr int kShrunkMilliCores = 8800;
constexpr double kCutMs = 5500;
constexpr double kShrinkAfterMs = 100;
constexpr double kShrunkMs = 6500;
constexpr double kRoundMs = 10000;
constexpr double kJobIntervalMs = 12;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  NowMs();
  review::Recorder recorder(argv[3]);
  const bool trouble = std::string(argv[4]) != "0";
  review::FleetPlan plan;
  plan.nodes_per_zone = {3, 3, 2};
  plan.workers_per_zone = kWorkersPerZone;
  plan.worker_milli_cores = kMilliCores;
  plan.bounds = kBounds;
  review::Fleet fleet(plan, argv[1], argv[2], recorder);
  if (!fleet.Start()) fleet.Finish(2);
  auto& nodes = fleet.nodes();
  auto& workers = fleet.workers();
  review::Clients clients(fleet, recorder);
  review::JobSpec job;
  job.tasks = 4;
  job.run_ms = 600;
  job.milli_cores = 1000;
  const double begin = NowMs() + 500;
  const double end = begin + 3000 + static_cast<double>(kRounds) * kRoundMs;
  std::thread traffic([&] {
    std::size_t number = 0;
    for (double at = begin; at < end; at += kJobIntervalMs) {
      review::SleepUntilMs(at);
      // the clients of the first zone
      clients.Start(job, number++ % 3);
    }
  });
  for (std::size_t round = 0; round < kRounds; ++round) {
    review::SleepUntilMs(begin + 3000 + static_cast<double>(round) * kRoundMs);
    const double at = NowMs();
    const std::size_t cut = round % 2;
    if (trouble) {
      recorder.Line("%s is cut off from the store", nodes[cut]->name.c_str());
      nodes[cut]->cut_from_store = true;
    }
    review::SleepUntilMs(at + kShrinkAfterMs);
    for (std::size_t i = 0; i < kShrunkWorkers; ++i) workers[i]->SetCapacity(kShrunkMilliCores);
    review::SleepUntilMs(at + kCutMs);
    if (trouble) {
      nodes[cut]->cut_from_store = false;
      recorder.Line("%s reaches the store again", nodes[cut]->name.c_str());
    }
    review::SleepUntilMs(at + kShrinkAfterMs + kShrunkMs);
    for (std::size_t i = 0; i < kShrunkWorkers; ++i) workers[i]->SetCapacity(kMilliCores);
  }
  traffic.join();
  clients.Join();
  std::size_t done = 0;
  for (const auto& run : fleet.traces().All()) done += run.how == "done" ? 1 : 0;
  int over = 0;
  for (const auto& worker : workers) over += worker->starts_over_capacity();
  recorder.Line("%zu runs done; %d starts over a worker's capacity", done, over);
  if (done == 0) fleet.Finish(2);
  fleet.Finish(over == 0 ? 0 : 1);
}
