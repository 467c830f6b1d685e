// Part of experiment: evaluates a run and formats the report.
#include "sapphireflow/experiment/report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "sapphireflow/experiment/ideal_scheduler.h"

namespace sapphireflow {
namespace {

using nlohmann::json;

constexpr char kAll[] = "all";
constexpr std::array<double, 4> kQuantiles = {0.5, 0.95, 0.99, 0.999};
constexpr double kP99 = 0.99;
constexpr Duration kTimelineInterval = std::chrono::milliseconds(500);

// Counters of messages that neither start a task nor deliver an answer, each with its cause in the
// report.
constexpr std::array<std::pair<const char*, const char*>, 8> kOverheadCounters = {
    {{"attempts_wasted_total{cause=\"refused-full\"}", "refusals"},
     {"attempts_wasted_total{cause=\"refused-leaving\"}", "refusals"},
     {"attempts_wasted_total{cause=\"refused\"}", "refusals"},
     {"attempts_wasted_total{cause=\"task-failed\"}", "failed-attempts"},
     {"messages_total{kind=\"stop\"}", "cancels"},
     {"peer_messages_total{kind=\"ask\"}", "borrows"},
     {"peer_messages_total{kind=\"grant\"}", "borrows"},
     {"peer_messages_total{kind=\"return\"}", "borrows"}}};

std::string FormatNumber(const char* format, double value) {
  constexpr int kBufferSize = 64;
  std::array<char, kBufferSize> text{};
  std::snprintf(text.data(), text.size(), format, value);
  return text.data();
}

// Adds one job to the statistics; `ideal` is its critical path and `scheduler_response` its
// response time under the ideal scheduler.
void AddJob(KindStatistics* stats, const KindProfile& kind, const Arrival& arrival,
            const ObservedOutcome& observed_job, const std::optional<Duration>& scheduler_response,
            Duration ideal) {
  const double weight = kind.weight() * static_cast<double>(arrival.runs_ms().size());
  ++stats->jobs;
  stats->weight_offered += weight;
  if (scheduler_response) stats->ideal_weight_in_time += weight;
  const bool in_time =
      observed_job.verdict() == "complete" && observed_job.response() <= kind.deadline();
  if (!in_time) {
    ++stats->errors[observed_job.verdict() +
                    (observed_job.error().empty() ? "" : " " + observed_job.error())];
    return;
  }
  ++stats->in_time;
  stats->weight_in_time += weight;
  stats->response_ms.Add(ToMillis(observed_job.response()));
  if (ideal.count() > 0) stats->over_ideal.Add(ToMillis(observed_job.response()) / ToMillis(ideal));
  if (scheduler_response && scheduler_response->count() > 0) {
    stats->scheduler_ms.Add(ToMillis(*scheduler_response));
    stats->over_scheduler.Add(ToMillis(observed_job.response()) / ToMillis(*scheduler_response));
  }
}

json Quantiles(const Distribution& distribution) {
  json values = {{"mean", distribution.Mean()}, {"max", distribution.max()}};
  for (const double quantile : kQuantiles) {
    values["p" + FormatNumber("%g", quantile * 100)] = distribution.Quantile(quantile);
  }
  return values;
}

}  // namespace

Report::Report(const Experiment& experiment, std::string policy, std::uint64_t seed,
               const std::vector<Arrival>& arrivals,
               const std::vector<std::optional<ObservedOutcome>>& observed_jobs,
               std::map<std::string, double> counters, std::vector<ProcessUsage> costs)
    : m_name(experiment.name()),
      m_policy(std::move(policy)),
      m_seed(seed),
      m_counters(std::move(counters)),
      m_costs(std::move(costs)) {
  const auto scheduler_responses = RunIdealScheduler(experiment, arrivals);
  // by interval: weight answered in time, and by the ideal scheduler
  std::map<std::int64_t, std::pair<double, double>> bins;
  for (const Phase& phase : experiment.phases()) m_length += phase.length();
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    const Arrival& arrival = arrivals[i];
    if (arrival.at() < experiment.warm_up()) continue;
    const KindProfile& kind = experiment.kinds()[arrival.kind()];
    const ObservedOutcome actual =
        observed_jobs[i] ? *observed_jobs[i] : ObservedOutcome("lost", "", kind.deadline());
    const Duration ideal = CriticalPathTime(experiment, arrival);
    for (const std::string& name : {kind.kind(), std::string(kAll)}) {
      AddJob(&m_kinds[name], kind, arrival, actual, scheduler_responses[i], ideal);
    }
    auto& acc = bins[arrival.at() / kTimelineInterval];
    const double weight = kind.weight() * static_cast<double>(arrival.runs_ms().size());
    if (actual.verdict() == "complete" && actual.response() <= kind.deadline()) acc.first += weight;
    if (scheduler_responses[i]) acc.second += weight;
  }
  for (const auto& [number, share] : bins) {
    m_timeline.emplace_back(ToMillis(number * kTimelineInterval),
                            share.second > 0 ? share.first / share.second : 1);
  }
}

double Report::WeightedShare() const {
  const auto all = m_kinds.find(kAll);
  if (all == m_kinds.end() || all->second.ideal_weight_in_time <= 0) return 0;
  return all->second.weight_in_time / all->second.ideal_weight_in_time;
}

std::map<std::string, double> Report::Wasted() const {
  std::map<std::string, double> wasted;
  for (const auto& [counter, cause] : kOverheadCounters) {
    const auto found = m_counters.find("sapphireflow_" + std::string(counter));
    if (found != m_counters.end() && found->second > 0) wasted[cause] += found->second;
  }
  return wasted;
}

std::string Report::Text() const {
  std::string text =
      "experiment " + m_name + ", policy " + m_policy + ", seed " + std::to_string(m_seed) + "\n";
  constexpr int kBufferSize = 240;
  std::array<char, kBufferSize> line{};
  std::snprintf(line.data(), line.size(), "%-20s %7s %7s %6s %6s | %5s %5s %5s %5s %6s | %5s %5s\n",
                "kind", "jobs", "in time", "w.time", "ideal", "mean", "p50", "p95", "p99", "p99.9",
                "mean", "p99");
  text += line.data();
  for (const auto& [kind, kind_statistics] : m_kinds) {
    const double offered = kind_statistics.weight_offered > 0 ? kind_statistics.weight_offered : 1;
    std::snprintf(
        line.data(), line.size(),
        "%-20s %7llu %7llu %6.3f %6.3f | %5.2f %5.2f %5.2f %5.2f %6.2f | %5.2f %5.2f\n",
        kind.c_str(), static_cast<unsigned long long>(kind_statistics.jobs),
        static_cast<unsigned long long>(kind_statistics.in_time),
        kind_statistics.weight_in_time / offered, kind_statistics.ideal_weight_in_time / offered,
        kind_statistics.over_ideal.Mean(), kind_statistics.over_ideal.Quantile(0.5),
        kind_statistics.over_ideal.Quantile(0.95), kind_statistics.over_ideal.Quantile(0.99),
        kind_statistics.over_ideal.Quantile(0.999), kind_statistics.over_scheduler.Mean(),
        kind_statistics.over_scheduler.Quantile(0.99));
    text += line.data();
  }
  text +=
      "(w.time: weight answered in time over weight offered; ideal: the same for the ideal "
      "scheduler;\n first block: response over the critical path on the fastest idle worker; "
      "second: over the ideal scheduler)\n";
  const KindStatistics& all = m_kinds.at(kAll);
  text += "weighted answers in time over the ideal scheduler's: " +
          FormatNumber("%.3f", WeightedShare());
  if (all.scheduler_ms.count() > 0) {
    text += "; mean response over its mean: " +
            FormatNumber("%.3f", all.response_ms.Mean() / all.scheduler_ms.Mean()) +
            "; p99 over its p99: " +
            FormatNumber("%.3f", all.response_ms.Quantile(kP99) / all.scheduler_ms.Quantile(kP99));
  }
  text += "\nnot in time:";
  for (const auto& [error, count] : all.errors) {
    text += " [" + error + "] " + std::to_string(count);
  }
  double wasted = 0;
  text += "\nwasted messages:";
  for (const auto& [cause, count] : Wasted()) {
    text += " " + cause + " " + FormatNumber("%.0f", count);
    wasted += count;
  }
  const double answered = static_cast<double>(std::max<std::uint64_t>(all.in_time, 1));
  text += "; per 200 answered requests " + FormatNumber("%.2f", wasted * 200 / answered) + "\n";
  for (const ProcessUsage& cost : m_costs) {
    text += "process " + cost.name() + ": " + FormatNumber("%.2f", cost.cpu_seconds()) +
            " s processor, " + FormatNumber("%.1f", cost.memory_mb()) + " MB\n";
  }
  return text;
}

std::string Report::Json() const {
  json kinds = json::object();
  for (const auto& [kind, kind_statistics] : m_kinds) {
    kinds[kind] = {{"jobs", kind_statistics.jobs},
                   {"in_time", kind_statistics.in_time},
                   {"weight_offered", kind_statistics.weight_offered},
                   {"weight_in_time", kind_statistics.weight_in_time},
                   {"ideal_weight_in_time", kind_statistics.ideal_weight_in_time},
                   {"over_ideal", Quantiles(kind_statistics.over_ideal)},
                   {"over_scheduler", Quantiles(kind_statistics.over_scheduler)},
                   {"response_ms", Quantiles(kind_statistics.response_ms)},
                   {"scheduler_ms", Quantiles(kind_statistics.scheduler_ms)},
                   {"errors", kind_statistics.errors}};
  }
  json costs = json::array();
  for (const ProcessUsage& cost : m_costs) {
    costs.push_back({{"name", cost.name()},
                     {"cpu_seconds", cost.cpu_seconds()},
                     {"memory_mb", cost.memory_mb()}});
  }
  return json{{"experiment", m_name},   {"policy", m_policy},
              {"seed", m_seed},         {"kinds", kinds},
              {"wasted", Wasted()},     {"weighted_share", WeightedShare()},
              {"counters", m_counters}, {"costs", costs},
              {"timeline", m_timeline}, {"length_ms", ToMillis(m_length)}}
      .dump(1);
}

std::string Report::Svg() const {
  constexpr double kWidth = 640;
  constexpr double kHeight = 400;
  constexpr double kMargin = 50;
  constexpr double kMaxRatio = 10;
  constexpr std::array<const char*, 8> kColours = {"#1b6ca8", "#c0392b", "#27ae60", "#8e44ad",
                                                   "#d68910", "#16a085", "#7f8c8d", "#2c3e50"};
  std::string svg =
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"760\" height=\"400\" "
      "font-family=\"sans-serif\" font-size=\"12\">\n"
      "<rect width=\"760\" height=\"400\" fill=\"white\"/>\n<text x=\"50\" y=\"20\">" +
      m_name + ", " + m_policy + ": response over ideal, share of jobs below</text>\n";
  const auto x_of = [&](double ratio) {
    return kMargin + (kWidth - 2 * kMargin) * std::log(ratio) / std::log(kMaxRatio);
  };
  const auto y_of = [&](double share) {
    return kHeight - kMargin - (kHeight - 2 * kMargin) * share;
  };
  for (const double ratio : {1.0, 1.5, 2.0, 3.0, 5.0, 10.0}) {
    svg += "<line x1=\"" + FormatNumber("%.1f", x_of(ratio)) + "\" x2=\"" +
           FormatNumber("%.1f", x_of(ratio)) +
           "\" y1=\"50\" y2=\"350\" stroke=\"#ddd\"/><text x=\"" +
           FormatNumber("%.1f", x_of(ratio) - 6) + "\" y=\"368\">" + FormatNumber("%g", ratio) +
           "</text>\n";
  }
  for (const double share : {0.0, 0.5, 0.95, 1.0}) {
    svg += "<line x1=\"50\" x2=\"590\" y1=\"" + FormatNumber("%.1f", y_of(share)) + "\" y2=\"" +
           FormatNumber("%.1f", y_of(share)) + "\" stroke=\"#ddd\"/><text x=\"12\" y=\"" +
           FormatNumber("%.1f", y_of(share) + 4) + "\">" + FormatNumber("%g", share) + "</text>\n";
  }
  std::size_t colour = 0;
  for (const auto& [kind, kind_statistics] : m_kinds) {
    std::string points;
    constexpr int kPoints = 200;
    for (int i = 1; i <= kPoints; ++i) {
      const double share = static_cast<double>(i) / kPoints;
      const double ratio = std::clamp(kind_statistics.over_ideal.Quantile(share), 1.0, kMaxRatio);
      points += FormatNumber("%.1f,", x_of(ratio)) + FormatNumber("%.1f ", y_of(share));
    }
    const std::string line_colour = kColours.at(colour % kColours.size());
    svg += "<polyline fill=\"none\" stroke=\"" + line_colour + "\" points=\"" + points +
           "\"/><text x=\"600\" y=\"" +
           FormatNumber("%.0f", 70.0 + 18.0 * static_cast<double>(colour)) + "\" fill=\"" +
           line_colour + "\">" + kind + "</text>\n";
    ++colour;
  }
  return svg + "</svg>\n";
}

}  // namespace sapphireflow
