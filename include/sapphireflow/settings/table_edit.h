// Part of settings: an operator's edit of the table and the answer to it.
#ifndef SAPPHIREFLOW_SETTINGS_TABLE_EDIT_H_
#define SAPPHIREFLOW_SETTINGS_TABLE_EDIT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/model/error.h"
#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/table.h"

namespace sapphireflow {

/// @brief A complete set of rows to replace the rows of one version.
class TableEdit : public Comparable<TableEdit> {
 public:
  TableEdit(std::string edit_id, std::string who, std::uint64_t base_version,
            std::vector<TableRow> rows)
      : m_edit_id(std::move(edit_id)),
        m_who(std::move(who)),
        m_base_version(base_version),
        m_rows(std::move(rows)) {}
  /// @brief Idempotency key chosen by the operator, so that resending the edit is safe.
  const std::string& edit_id() const { return m_edit_id; }
  const std::string& who() const { return m_who; }
  /// @brief Version that the edit is based on; refused if it is no longer current.
  std::uint64_t base_version() const { return m_base_version; }
  const std::vector<TableRow>& rows() const { return m_rows; }
  auto Fields() const { return std::tie(m_edit_id, m_who, m_base_version, m_rows); }

 private:
  std::string m_edit_id;
  std::string m_who;
  std::uint64_t m_base_version;
  std::vector<TableRow> m_rows;
};

/// @brief Outcome of an edit.
enum class EditVerdict {
  kAccepted,  ///< took effect, now or earlier, as the given version
  kRefused,   ///< did not take effect and never will
  kUnknown,   ///< the operator should retry with the same edit id
};

class EditAnswer : public Comparable<EditAnswer> {
 public:
  EditAnswer(EditVerdict verdict, std::uint64_t version, std::optional<Error> cause)
      : m_verdict(verdict), m_version(version), m_cause(std::move(cause)) {}
  EditVerdict verdict() const { return m_verdict; }
  /// @brief Version created by the edit if accepted, else the newest known version.
  std::uint64_t version() const { return m_version; }
  const std::optional<Error>& cause() const { return m_cause; }
  auto Fields() const { return std::tie(m_verdict, m_version, m_cause); }

 private:
  EditVerdict m_verdict;
  std::uint64_t m_version;
  std::optional<Error> m_cause;
};

/// @brief Describes the difference between two sets of rows in one line for the audit trail.
std::string DescribeChange(const std::vector<TableRow>& before, const std::vector<TableRow>& after);

/// @brief Applies an edit to `before` (null if there is no table) and adds its audit entry.
TablePtr ApplyEdit(const TablePtr& before, const TableEdit& edit, Instant now);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_SETTINGS_TABLE_EDIT_H_
