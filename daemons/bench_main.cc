// Load and experiment tool: drives running entry VMs, or benchmarks the decision logic in-process.
//
// Exit codes: 0 success; 1 the bound given with --at-least was missed; 2 invalid command line or
// file.
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>

#include "sapphireflow/experiment/capacity_bench.h"
#include "sapphireflow/experiment/decision_bench.h"
#include "sapphireflow/experiment/load_driver.h"
#include "sapphireflow/experiment/report.h"
#include "sapphireflow/settings/read_file.h"

namespace {

constexpr int kTargetMissed = 1;
constexpr int kUsageError = 2;

struct RunOptions {
  std::string file;
  std::string key;
  std::string policy;
  std::string json;
  std::string svg;
  std::string pids;
  std::uint64_t seed = 1;
  int threads = 2;
  double min_weighted_share = 0;
};

// Parses lines of the form NAME PID.
std::map<std::string, int> ReadPids(const std::string& file) {
  std::map<std::string, int> pids;
  std::ifstream input(file);
  std::string name;
  int pid = 0;
  while (input >> name >> pid) pids[name] = pid;
  return pids;
}

std::vector<sapphireflow::ProcessUsage> ReadProcessUsages(const std::map<std::string, int>& pids) {
  std::vector<sapphireflow::ProcessUsage> costs;
  for (const auto& [name, pid] : pids) {
    if (const auto cost = sapphireflow::ReadProcessUsage(name, pid)) costs.push_back(*cost);
  }
  return costs;
}

// CPU time used between two readings, and the memory of the second.
std::vector<sapphireflow::ProcessUsage> SubtractCpuTimes(
    const std::vector<sapphireflow::ProcessUsage>& before,
    const std::vector<sapphireflow::ProcessUsage>& after) {
  std::vector<sapphireflow::ProcessUsage> costs;
  for (std::size_t i = 0; i < after.size() && i < before.size(); ++i) {
    costs.emplace_back(after[i].name(), after[i].cpu_seconds() - before[i].cpu_seconds(),
                       after[i].memory_mb());
  }
  return costs;
}

int RunExperiment(const RunOptions& options) {
  const auto text = sapphireflow::ReadFile(options.file);
  if (!text) {
    std::cerr << options.file << ": cannot be read\n";
    return kUsageError;
  }
  const auto read = sapphireflow::ReadExperiment(*text, options.file);
  if (const auto* findings = std::get_if<sapphireflow::Findings>(&read)) {
    for (const auto& finding : *findings) std::cerr << finding.text() << "\n";
    return kUsageError;
  }
  const auto& experiment = std::get<sapphireflow::Experiment>(read);
  const auto arrivals = sapphireflow::MakeArrivals(experiment, options.seed);
  const auto pids = ReadPids(options.pids);
  sapphireflow::LoadDriver driver(experiment, options.key, options.threads);
  const auto counters_before = driver.ReadCounters();
  const auto costs_before = ReadProcessUsages(pids);
  const auto observed_answers = driver.Run(arrivals, options.seed);
  const auto costs = SubtractCpuTimes(costs_before, ReadProcessUsages(pids));
  auto counters = driver.ReadCounters();
  for (const auto& [name, value] : counters_before) counters[name] -= value;
  const sapphireflow::Report report(experiment, options.policy, options.seed, arrivals,
                                    observed_answers, counters, costs);
  std::cout << report.Text();
  if (!options.json.empty()) std::ofstream(options.json) << report.Json() << "\n";
  if (!options.svg.empty()) std::ofstream(options.svg) << report.Svg();
  if (report.WeightedShare() >= options.min_weighted_share) return 0;
  std::cerr << "weighted share answered in time is " << report.WeightedShare()
            << ", expected at least " << options.min_weighted_share << "\n";
  return kTargetMissed;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command(
        "Load and experiment tool of sapphireflow. With a FILE it drives running entry VMs; with "
        "--decisions or --capacity it benchmarks the decision logic in-process.",
        ' ', SAPPHIREFLOW_VERSION);
    TCLAP::SwitchArg decisions("d", "decisions", "measure decisions per second", command);
    TCLAP::SwitchArg capacity("c", "capacity", "measure memory, message sizes and CPU time",
                              command);
    TCLAP::ValueArg<std::string> key("k", "key", "operator key, needed to read counters", false, "",
                                     "key", command);
    TCLAP::ValueArg<std::string> policy("p", "policy", "policy name shown in the report", false,
                                        "as-set", "name", command);
    TCLAP::ValueArg<std::string> json("j", "json", "write the report as JSON", false, "", "file",
                                      command);
    TCLAP::ValueArg<std::string> svg("g", "svg", "write the distributions as an SVG image", false,
                                     "", "file", command);
    TCLAP::ValueArg<std::string> pids("i", "pids", "file of lines NAME PID: processes to measure",
                                      false, "", "file", command);
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "random seed of the arrivals", false, 1,
                                        "seed", command);
    TCLAP::ValueArg<int> threads("t", "threads", "number of threads for HTTP calls", false, 2,
                                 "count", command);
    TCLAP::ValueArg<double> min_weighted_share(
        "a", "at-least", "minimum weighted share answered in time", false, 0, "share", command);
    TCLAP::UnlabeledValueArg<std::string> file("file", "experiment file", false, "", "file",
                                               command);
    command.parse(argc, argv);
    if (capacity.getValue()) {
      std::cout << sapphireflow::MeasureCapacity();
      return 0;
    }
    if (decisions.getValue()) {
      std::cout << sapphireflow::MeasureDecisions();
      return 0;
    }
    return RunExperiment({file.getValue(), key.getValue(), policy.getValue(), json.getValue(),
                          svg.getValue(), pids.getValue(), seed.getValue(), threads.getValue(),
                          min_weighted_share.getValue()});
  } catch (const TCLAP::ArgException& problem) {
    std::cerr << problem.argId() << ": " << problem.error() << "\n";
    return kUsageError;
  }
}
