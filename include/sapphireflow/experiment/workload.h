// Part of experiment: contents of an experiment file, and the arrivals generated from it and a
// seed.
#ifndef SAPPHIREFLOW_EXPERIMENT_WORKLOAD_H_
#define SAPPHIREFLOW_EXPERIMENT_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/model/address.h"
#include "sapphireflow/model/error.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Statistical description of the jobs of one kind.
class KindProfile : public Comparable<KindProfile> {
 public:
  KindProfile(std::string kind, std::string team, double share, double weight,
              std::uint32_t least_tasks, std::uint32_t most_tasks, double median_ms, double sigma,
              double longest_ms, Duration deadline, bool idempotent)
      : m_kind(std::move(kind)),
        m_team(std::move(team)),
        m_share(share),
        m_weight(weight),
        m_least_tasks(least_tasks),
        m_most_tasks(most_tasks),
        m_median_ms(median_ms),
        m_sigma(sigma),
        m_longest_ms(longest_ms),
        m_deadline(deadline),
        m_idempotent(idempotent) {}
  const std::string& kind() const { return m_kind; }
  const std::string& team() const { return m_team; }
  /// @brief Share of this kind among all jobs, relative to the shares of the other kinds.
  double share() const { return m_share; }
  /// @brief Weight of one task that is answered in time.
  double weight() const { return m_weight; }
  std::uint32_t least_tasks() const { return m_least_tasks; }
  std::uint32_t most_tasks() const { return m_most_tasks; }
  /// @brief Run times are log-normal with median `median_ms` and shape `sigma`, capped at
  /// `longest_ms`.
  double median_ms() const { return m_median_ms; }
  double sigma() const { return m_sigma; }
  double longest_ms() const { return m_longest_ms; }
  Duration deadline() const { return m_deadline; }
  bool idempotent() const { return m_idempotent; }
  auto Fields() const {
    return std::tie(m_kind, m_team, m_share, m_weight, m_least_tasks, m_most_tasks, m_median_ms,
                    m_sigma, m_longest_ms, m_deadline, m_idempotent);
  }

 private:
  std::string m_kind;
  std::string m_team;
  double m_share;
  double m_weight;
  std::uint32_t m_least_tasks;
  std::uint32_t m_most_tasks;
  double m_median_ms;
  double m_sigma;
  double m_longest_ms;
  Duration m_deadline;
  bool m_idempotent;
};

/// @brief A worker's number of slots, and its run times relative to an average worker's (a factor
/// below 1 is faster).
class WorkerProfile : public Comparable<WorkerProfile> {
 public:
  WorkerProfile(std::uint32_t slots, double factor) : m_slots(slots), m_factor(factor) {}
  std::uint32_t slots() const { return m_slots; }
  double factor() const { return m_factor; }
  auto Fields() const { return std::tie(m_slots, m_factor); }

 private:
  std::uint32_t m_slots;
  double m_factor;
};

/// @brief A period of the run with its own load, e.g. a burst.
class Phase : public Comparable<Phase> {
 public:
  Phase(Duration length, double load) : m_length(length), m_load(load) {}
  Duration length() const { return m_length; }
  /// @brief Offered work relative to the capacity of all slots; 1 is full load.
  double load() const { return m_load; }
  auto Fields() const { return std::tie(m_length, m_load); }

 private:
  Duration m_length;
  double m_load;
};

/// @brief An experiment as read from its file.
class Experiment : public Comparable<Experiment> {
 public:
  Experiment(std::string name, std::vector<Address> entries, std::vector<WorkerProfile> workers,
             std::vector<KindProfile> kinds, std::vector<Phase> phases, Duration warm_up,
             double declared_error, double misdirected_share)
      : m_name(std::move(name)),
        m_entries(std::move(entries)),
        m_workers(std::move(workers)),
        m_kinds(std::move(kinds)),
        m_phases(std::move(phases)),
        m_warm_up(warm_up),
        m_declared_error(declared_error),
        m_misdirected_share(misdirected_share) {}
  const std::string& name() const { return m_name; }
  const std::vector<Address>& entries() const { return m_entries; }
  const std::vector<WorkerProfile>& workers() const { return m_workers; }
  const std::vector<KindProfile>& kinds() const { return m_kinds; }
  const std::vector<Phase>& phases() const { return m_phases; }
  /// @brief Jobs that arrive during this initial time are run but not reported.
  Duration warm_up() const { return m_warm_up; }
  /// @brief Shape of the log-normal error of declared run times; 0 means that they are exact.
  double declared_error() const { return m_declared_error; }
  /// @brief Share of jobs that are submitted to a randomly chosen entry VM instead of the one that
  /// issued the job id. Key `stray` of the experiment file.
  double misdirected_share() const { return m_misdirected_share; }
  auto Fields() const {
    return std::tie(m_name, m_entries, m_workers, m_kinds, m_phases, m_warm_up, m_declared_error,
                    m_misdirected_share);
  }

 private:
  std::string m_name;
  std::vector<Address> m_entries;
  std::vector<WorkerProfile> m_workers;
  std::vector<KindProfile> m_kinds;
  std::vector<Phase> m_phases;
  Duration m_warm_up;
  double m_declared_error;
  double m_misdirected_share;
};

/// @brief One job to submit, with its true run times, which only the experiment knows.
class Arrival : public Comparable<Arrival> {
 public:
  Arrival(Duration at, std::size_t kind, std::vector<double> runs_ms, double declared_factor)
      : m_at(at), m_kind(kind), m_runs_ms(std::move(runs_ms)), m_declared_factor(declared_factor) {}
  /// @brief Time since the start of the run.
  Duration at() const { return m_at; }
  /// @brief Index into the experiment's kinds.
  std::size_t kind() const { return m_kind; }
  /// @brief True run time of each task on an average worker.
  const std::vector<double>& runs_ms() const { return m_runs_ms; }
  /// @brief Ratio of the declared to the true run time.
  double declared_factor() const { return m_declared_factor; }
  auto Fields() const { return std::tie(m_at, m_kind, m_runs_ms, m_declared_factor); }

 private:
  Duration m_at;
  std::size_t m_kind;
  std::vector<double> m_runs_ms;
  double m_declared_factor;
};

/// @brief Parses and validates an experiment file.
/// @param name file name for the error messages
/// @return the experiment, or all errors with file, line and key.
Validated<Experiment> ReadExperiment(const std::string& text, const std::string& name);

/// @brief Generates open-loop Poisson arrivals. The same seed gives the same jobs at the same
/// times.
std::vector<Arrival> MakeArrivals(const Experiment& experiment, std::uint64_t seed);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_EXPERIMENT_WORKLOAD_H_
