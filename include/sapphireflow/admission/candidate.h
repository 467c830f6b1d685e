// Part of admission: a submission under examination, and the view of the load it is judged by.
#ifndef SAPPHIREFLOW_ADMISSION_CANDIDATE_H_
#define SAPPHIREFLOW_ADMISSION_CANDIDATE_H_

#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/job.h"
#include "sapphireflow/model/table.h"

namespace sapphireflow {

/// @brief What admission asks about the state of its shard.
class LoadView {
 public:
  virtual ~LoadView() = default;
  /// @brief Admitted and unfinished tasks of the row's kind and team.
  virtual std::uint32_t InFlight(const TableRow& row) const = 0;
  /// @brief Whether any known worker could ever run a task with these needs.
  virtual bool AnyWorkerFits(const Needs& needs) const = 0;
  /// @brief Predicted time until a job's last task would end, if admitted now.
  virtual Duration PredictedResponse(const JobSpec& spec, double weight) const = 0;
  /// @brief Over how many shards of the fleet the table's limits are spread; at least 1.
  virtual std::uint32_t QuotaShares() const = 0;
};

/// @brief A row of the table and how many of a job's tasks it governs.
class RowDemand : public Comparable<RowDemand> {
 public:
  RowDemand(const TableRow* row, std::uint32_t tasks) : m_row(row), m_tasks(tasks) {}
  const TableRow& row() const { return *m_row; }
  std::uint32_t tasks() const { return m_tasks; }
  auto Fields() const { return std::tie(m_row, m_tasks); }

 private:
  // invariant: not null; lives as long as the candidate's table
  const TableRow* m_row;
  std::uint32_t m_tasks;
};

/// @brief A submission under examination, with its rows looked up once.
class Candidate : public Comparable<Candidate> {
 public:
  /// Complexity: linear in the tasks, logarithmic in the rows for each kind.
  Candidate(JobSpecPtr spec, TablePtr table, Instant now);
  const JobSpec& spec() const { return *m_spec; }
  /// @brief Null before the first table was learnt.
  const TablePtr& table() const { return m_table; }
  Instant now() const { return m_now; }
  /// @brief The rows that govern the job's tasks, each once.
  const std::vector<RowDemand>& rows() const { return m_rows; }
  /// @brief The first kind without a row, or null.
  const std::string* unknown_kind() const { return m_unknown_kind; }
  /// @brief Worth of the whole job: the sum over its tasks.
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
