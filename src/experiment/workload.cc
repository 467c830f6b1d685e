// Part of experiment: experiment files and arrivals.
#include "sapphireflow/experiment/workload.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "sapphireflow/settings/yaml_reader.h"

namespace sapphireflow {
namespace {

constexpr double kMostMillis = 600000;

KindPlan ReadKind(const YAML::Node& node, const std::string& file, Findings* findings) {
  YamlReader r(node, file, findings);
  const std::string kind = r.Text("kind");
  const std::string team = r.Text("team");
  const double share = r.Number("share", 1, 0.0001, 10000);
  const double weight = r.Number("weight", 1, 0.001, 10000);
  const auto least = static_cast<std::uint32_t>(r.Integer("least_tasks", 1, 1, 140));
  const auto most = static_cast<std::uint32_t>(r.Integer("most_tasks", 1, 1, 140));
  const double median = r.Number("median_ms", 100, 0, kMostMillis);
  const double sigma = r.Number("sigma", 0.5, 0, 3);
  const double longest = r.Number("longest_ms", 5000, 0, kMostMillis);
  const Duration deadline = r.Millis("deadline_ms", std::chrono::seconds(3), 1, 600000);
  const bool idempotent = r.Boolean("idempotent", false);
  if (most < least) r.AddFinding(node, "most_tasks", "must not be below least_tasks");
  r.RejectUnknownKeys();
  return {kind, team, share, weight, least, most, median, sigma, longest, deadline, idempotent};
}

double OneRun(const KindPlan& kind, std::mt19937_64& random) {
  std::normal_distribution<double> normal(0, kind.sigma());
  return std::min(kind.median_ms() * std::exp(normal(random)), kind.longest_ms());
}

// mean work of a job in milliseconds on an average worker, by sampling
double MeanWork(const Experiment& experiment) {
  constexpr int kSamples = 4000;
  std::mt19937_64 random(1);
  double work = 0;
  double shares = 0;
  for (const KindPlan& kind : experiment.kinds()) {
    double runs = 0;
    for (int i = 0; i < kSamples; ++i) runs += OneRun(kind, random);
    const double tasks = (kind.least_tasks() + kind.most_tasks()) / 2.0;
    work += kind.share() * tasks * runs / kSamples;
    shares += kind.share();
  }
  return work / shares;
}

// milliseconds of average work that all slots do in a millisecond
double Capacity(const Experiment& experiment) {
  double capacity = 0;
  for (const WorkerPlan& worker : experiment.workers()) {
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
  std::vector<WorkerPlan> workers;
  for (const YAML::Node& node : r.Required("workers")) {
    YamlReader w(node, name, &findings);
    const auto count = w.Integer("count", 1, 1, 10000);
    const WorkerPlan plan(static_cast<std::uint32_t>(w.Integer("slots", 8, 1, 1000)),
                          w.Number("factor", 1, 0.01, 100));
    w.RejectUnknownKeys();
    workers.insert(workers.end(), static_cast<std::size_t>(count), plan);
  }
  std::vector<KindPlan> kinds;
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
  const double stray = r.Number("stray", 0, 0, 1);
  if (entries.empty()) r.AddFinding(root, "entries", "at least one is wanted");
  if (workers.empty()) r.AddFinding(root, "workers", "at least one is wanted");
  if (kinds.empty()) r.AddFinding(root, "kinds", "at least one is wanted");
  if (phases.empty()) r.AddFinding(root, "phases", "at least one is wanted");
  r.RejectUnknownKeys();
  if (!findings.empty()) return findings;
  return Experiment(title, entries, workers, kinds, phases, warm_up, error, stray);
}

std::vector<Arrival> MakeArrivals(const Experiment& experiment, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<double> shares;
  for (const KindPlan& kind : experiment.kinds()) shares.push_back(kind.share());
  std::discrete_distribution<std::size_t> pick_kind(shares.begin(), shares.end());
  std::normal_distribution<double> declared(0, experiment.declared_error());
  // a kind of no work is offered as fast as one of a tenth of a millisecond
  const double mean_work = std::max(MeanWork(experiment), 0.1);
  std::vector<Arrival> arrivals;
  double at_ms = 0;
  double phase_end_ms = 0;
  for (const Phase& phase : experiment.phases()) {
    phase_end_ms += ToMillis(phase.length());
    const double jobs_per_ms = phase.load() * Capacity(experiment) / mean_work;
    std::exponential_distribution<double> gap(jobs_per_ms);
    for (at_ms += gap(random); at_ms < phase_end_ms; at_ms += gap(random)) {
      const std::size_t index = pick_kind(random);
      const KindPlan& kind = experiment.kinds()[index];
      std::uniform_int_distribution<std::uint32_t> tasks(kind.least_tasks(), kind.most_tasks());
      std::vector<double> runs(tasks(random));
      for (double& run : runs) run = OneRun(kind, random);
      const double factor = experiment.declared_error() > 0 ? std::exp(declared(random)) : 1;
      arrivals.emplace_back(FromMillis(at_ms), index, std::move(runs), factor);
    }
    at_ms = phase_end_ms;
  }
  return arrivals;
}

}  // namespace sapphireflow
