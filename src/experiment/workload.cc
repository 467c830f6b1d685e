// Part of experiment: reads experiment files and generates arrivals.
#include "sapphireflow/experiment/workload.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "sapphireflow/settings/yaml_reader.h"

namespace sapphireflow {
namespace {

constexpr double kMaxRunMillis = 600000;

KindProfile ReadKind(const YAML::Node& node, const std::string& file, Findings* findings) {
  YamlReader r(node, file, findings);
  const std::string kind = r.Text("kind");
  const std::string team = r.Text("team");
  const double share = r.Number("share", 1, 0.0001, 10000);
  const double weight = r.Number("weight", 1, 0.001, 10000);
  const auto least = static_cast<std::uint32_t>(r.Integer("least_tasks", 1, 1, 140));
  const auto most = static_cast<std::uint32_t>(r.Integer("most_tasks", 1, 1, 140));
  const double median = r.Number("median_ms", 100, 0, kMaxRunMillis);
  const double sigma = r.Number("sigma", 0.5, 0, 3);
  const double longest = r.Number("longest_ms", 5000, 0, kMaxRunMillis);
  const Duration deadline = r.Millis("deadline_ms", std::chrono::seconds(3), 1, 600000);
  const bool idempotent = r.Boolean("idempotent", false);
  if (most < least) r.AddFinding(node, "most_tasks", "must not be below least_tasks");
  r.RejectUnknownKeys();
  return {kind, team, share, weight, least, most, median, sigma, longest, deadline, idempotent};
}

double SampleRunTime(const KindProfile& kind, std::mt19937_64& random) {
  std::normal_distribution<double> normal(0, kind.sigma());
  return std::min(kind.median_ms() * std::exp(normal(random)), kind.longest_ms());
}

// Mean work of a job on an average worker, estimated by sampling run times.
double MeanJobWorkMillis(const Experiment& experiment) {
  constexpr int kSamples = 4000;
  std::mt19937_64 random(1);
  double work = 0;
  double shares = 0;
  for (const KindProfile& kind : experiment.kinds()) {
    double runs = 0;
    for (int i = 0; i < kSamples; ++i) runs += SampleRunTime(kind, random);
    const double tasks = (kind.least_tasks() + kind.most_tasks()) / 2.0;
    work += kind.share() * tasks * runs / kSamples;
    shares += kind.share();
  }
  return work / shares;
}

// Milliseconds of work, as measured on an average worker, that all slots together do in one
// millisecond.
double SlotCapacity(const Experiment& experiment) {
  double capacity = 0;
  for (const WorkerProfile& worker : experiment.workers()) {
    capacity += worker.slots() / worker.factor();
  }
  return capacity;
}

}  // namespace

Validated<Experiment> ReadExperiment(const std::string& text, const std::string& name) {
  Findings findings;
  const auto loaded = LoadYaml(text, name);
  if (const auto* fault = std::get_if<Findings>(&loaded)) return *fault;
  const auto& root = std::get<YAML::Node>(loaded);
  YamlReader r(root, name, &findings);
  const std::string title = r.Text("name");
  const std::vector<Address> entries = r.SocketAddresses("entries");
  std::vector<WorkerProfile> workers;
  for (const YAML::Node& node : r.Required("workers")) {
    YamlReader w(node, name, &findings);
    const auto count = w.Integer("count", 1, 1, 10000);
    const WorkerProfile worker_profile(static_cast<std::uint32_t>(w.Integer("slots", 8, 1, 1000)),
                                       w.Number("factor", 1, 0.01, 100));
    w.RejectUnknownKeys();
    workers.insert(workers.end(), static_cast<std::size_t>(count), worker_profile);
  }
  std::vector<KindProfile> kinds;
  for (const YAML::Node& node : r.Required("kinds")) {
    kinds.push_back(ReadKind(node, name, &findings));
  }
  std::vector<Phase> phases;
  for (const YAML::Node& node : r.Required("phases")) {
    YamlReader p(node, name, &findings);
    const Duration length = p.Millis("length_ms", std::chrono::seconds(10), 1, 3600000);
    phases.emplace_back(length, p.Number("load", 0.7, 0.001, 100));
    p.RejectUnknownKeys();
  }
  const Duration warm_up = r.Millis("warm_up_ms", Duration(0), 0, 600000);
  const double error = r.Number("declared_error", 0, 0, 3);
  const double misdirected_share = r.Number("stray", 0, 0, 1);
  if (entries.empty()) r.AddFinding(root, "entries", "needs at least one element");
  if (workers.empty()) r.AddFinding(root, "workers", "needs at least one element");
  if (kinds.empty()) r.AddFinding(root, "kinds", "needs at least one element");
  if (phases.empty()) r.AddFinding(root, "phases", "needs at least one element");
  r.RejectUnknownKeys();
  if (!findings.empty()) return findings;
  return Experiment(title, entries, workers, kinds, phases, warm_up, error, misdirected_share);
}

std::vector<Arrival> MakeArrivals(const Experiment& experiment, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<double> shares;
  for (const KindProfile& kind : experiment.kinds()) shares.push_back(kind.share());
  std::discrete_distribution<std::size_t> pick_kind(shares.begin(), shares.end());
  std::normal_distribution<double> declared(0, experiment.declared_error());
  // the minimum keeps the arrival rate finite: jobs without work arrive as often as jobs of 0.1 ms
  const double mean_work = std::max(MeanJobWorkMillis(experiment), 0.1);
  std::vector<Arrival> arrivals;
  double at_ms = 0;
  double phase_end_ms = 0;
  for (const Phase& phase : experiment.phases()) {
    phase_end_ms += ToMillis(phase.length());
    const double jobs_per_ms = phase.load() * SlotCapacity(experiment) / mean_work;
    std::exponential_distribution<double> gap(jobs_per_ms);
    for (at_ms += gap(random); at_ms < phase_end_ms; at_ms += gap(random)) {
      const std::size_t index = pick_kind(random);
      const KindProfile& kind = experiment.kinds()[index];
      std::uniform_int_distribution<std::uint32_t> tasks(kind.least_tasks(), kind.most_tasks());
      std::vector<double> runs(tasks(random));
      for (double& run : runs) run = SampleRunTime(kind, random);
      const double factor = experiment.declared_error() > 0 ? std::exp(declared(random)) : 1;
      arrivals.emplace_back(FromMillis(at_ms), index, std::move(runs), factor);
    }
    at_ms = phase_end_ms;
  }
  return arrivals;
}

}  // namespace sapphireflow
