// Part of admission: a submission that awaits an admission decision, and the load that the
// decision depends on.
#ifndef SAPPHIREFLOW_ADMISSION_CANDIDATE_H_
#define SAPPHIREFLOW_ADMISSION_CANDIDATE_H_

#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/job_spec.h"
#include "sapphireflow/model/table.h"

namespace sapphireflow {

/// @brief Read-only view of the shard state that admission checks need.
class LoadView {
 public:
  virtual ~LoadView() = default;
  /// @brief Number of tasks in this shard that the row applies to and whose job is not settled yet.
  virtual std::uint32_t InFlight(const TableRow& row) const = 0;
  /// @brief Whether any known worker has the capacity for a task with these needs.
  virtual bool AnyWorkerFits(const ResourceSpec& needs) const = 0;
  /// @brief Predicted time until the job's last task ends if the job is admitted now.
  virtual Duration PredictedResponse(const JobSpec& spec, double weight) const = 0;
  /// @brief Number of shards in the fleet among which the table's quotas are divided; at least 1.
  virtual std::uint32_t QuotaShares() const = 0;
};

/// @brief A row of the table and the number of a job's tasks that it applies to.
class RowDemand : public Comparable<RowDemand> {
 public:
  RowDemand(const TableRow* row, std::uint32_t tasks) : m_row(row), m_tasks(tasks) {}
  const TableRow& row() const { return *m_row; }
  std::uint32_t tasks() const { return m_tasks; }
  auto Fields() const { return std::tie(m_row, m_tasks); }

 private:
  // invariant: not null; points into the candidate's table
  const TableRow* m_row;
  std::uint32_t m_tasks;
};

/// @brief A submission that awaits an admission decision, with the table rows of its tasks.
class Candidate : public Comparable<Candidate> {
 public:
  /// Complexity: linear in the tasks, logarithmic in the rows for each kind.
  Candidate(JobSpecPtr spec, TablePtr table, Instant now);
  const JobSpec& spec() const { return *m_spec; }
  /// @brief Null until a table has been received.
  const TablePtr& table() const { return m_table; }
  Instant now() const { return m_now; }
  /// @brief The rows that apply to the job's tasks, without duplicates.
  const std::vector<RowDemand>& rows() const { return m_rows; }
  /// @brief The first task kind without a row, or null if every kind has one.
  const std::string* unknown_kind() const { return m_unknown_kind; }
  /// @brief Weight of the job: the sum of its tasks' weights.
  double Weight() const;
  auto Fields() const { return std::tie(m_spec, m_table, m_now); }

 private:
  JobSpecPtr m_spec;
  TablePtr m_table;
  Instant m_now;
  // invariant: derived from spec and table, so left out of comparisons
  std::vector<RowDemand> m_rows;
  const std::string* m_unknown_kind = nullptr;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_ADMISSION_CANDIDATE_H_
