// Part of the model: the table of weights and limits that operators edit, and its audit trail.
#ifndef SAPPHIREFLOW_MODEL_TABLE_H_
#define SAPPHIREFLOW_MODEL_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief One row: weight and limits for the requests of one kind and team.
class TableRow : public Comparable<TableRow> {
 public:
  TableRow(std::string kind, std::string team, double weight, std::uint32_t limit,
           std::uint32_t attempts, Duration deadline, std::uint32_t quota)
      : m_kind(std::move(kind)),
        m_team(std::move(team)),
        m_weight(weight),
        m_limit(limit),
        m_attempts(attempts),
        m_deadline(deadline),
        m_quota(quota) {}
  const std::string& kind() const { return m_kind; }
  /// @brief A team's name, or `*` for every team without its own row.
  const std::string& team() const { return m_team; }
  /// @brief Value of one request answered in time; positive, without unit.
  double weight() const { return m_weight; }
  /// @brief Maximum number of tasks of unsettled jobs, which each shard enforces separately; 0
  /// disables the kind.
  std::uint32_t limit() const { return m_limit; }
  /// @brief Maximum number of starts of one task if an earlier start may have run.
  std::uint32_t attempts() const { return m_attempts; }
  /// @brief Longest deadline that a job of this kind may request.
  Duration deadline() const { return m_deadline; }
  /// @brief Task admissions per second for the team in the whole fleet, divided among its shards.
  std::uint32_t quota() const { return m_quota; }
  auto Fields() const {
    return std::tie(m_kind, m_team, m_weight, m_limit, m_attempts, m_deadline, m_quota);
  }

 private:
  std::string m_kind;
  std::string m_team;
  // invariant: > 0
  double m_weight;
  std::uint32_t m_limit;
  // invariant: >= 1
  std::uint32_t m_attempts;
  Duration m_deadline;
  std::uint32_t m_quota;
};

/// @brief One accepted change of the table: author, time, old and new values.
class AuditEntry : public Comparable<AuditEntry> {
 public:
  AuditEntry(std::uint64_t version, std::string edit_id, std::string who, Instant when,
             std::string change)
      : m_version(version),
        m_edit_id(std::move(edit_id)),
        m_who(std::move(who)),
        m_when(when),
        m_change(std::move(change)) {}
  /// @brief Version created by the change.
  std::uint64_t version() const { return m_version; }
  /// @brief Identifies the edit, so that its outcome can be looked up after a lost reply.
  const std::string& edit_id() const { return m_edit_id; }
  const std::string& who() const { return m_who; }
  Instant when() const { return m_when; }
  const std::string& change() const { return m_change; }
  auto Fields() const { return std::tie(m_version, m_edit_id, m_who, m_when, m_change); }

 private:
  std::uint64_t m_version;
  std::string m_edit_id;
  std::string m_who;
  Instant m_when;
  std::string m_change;
};

/// @brief One version of the table, with its latest audit entries.
class Table : public Comparable<Table> {
 public:
  Table(std::uint64_t version, std::vector<TableRow> rows, std::vector<AuditEntry> audit)
      : m_version(version), m_rows(std::move(rows)), m_audit(std::move(audit)) {
    for (std::size_t i = 0; i < m_rows.size(); ++i) {
      m_index.emplace(std::make_pair(m_rows[i].kind(), m_rows[i].team()), i);
    }
  }
  /// @brief Increases by one with each accepted change; 0 before the first.
  std::uint64_t version() const { return m_version; }
  const std::vector<TableRow>& rows() const { return m_rows; }
  /// @brief Ordered from oldest to newest.
  const std::vector<AuditEntry>& audit() const { return m_audit; }
  /// @brief Returns the row for a kind and team, else the kind's `*` row, else `nullptr`.
  /// Complexity: logarithmic in the number of rows.
  const TableRow* Find(const std::string& kind, const std::string& team) const {
    auto found = m_index.find(std::make_pair(kind, team));
    if (found == m_index.end()) found = m_index.find(std::make_pair(kind, std::string("*")));
    return found == m_index.end() ? nullptr : &m_rows[found->second];
  }
  auto Fields() const { return std::tie(m_version, m_rows, m_audit); }

 private:
  std::uint64_t m_version;
  std::vector<TableRow> m_rows;
  std::vector<AuditEntry> m_audit;
  // invariant: maps kind and team to an index into m_rows; not compared, as it is derived
  std::map<std::pair<std::string, std::string>, std::size_t> m_index;
};

using TablePtr = std::shared_ptr<const Table>;

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MODEL_TABLE_H_
