// Part of settings: creates a new version of the table with its audit entry.
#include "sapphireflow/settings/table_edit.h"

#include <cstdio>
#include <map>
#include <memory>

namespace sapphireflow {
namespace {

// The newest audit entries are stored with the table, and a value in the store is limited to 1 MB.
constexpr std::size_t kMaxAuditEntries = 200;

using RowKey = std::pair<std::string, std::string>;

std::map<RowKey, TableRow> ByKey(const std::vector<TableRow>& rows) {
  std::map<RowKey, TableRow> by_key;
  for (const TableRow& row : rows) {
    by_key.emplace(std::make_pair(row.kind(), row.team()), row);
  }
  return by_key;
}

std::string FormatValues(const TableRow& row) {
  constexpr int kSize = 160;
  char text[kSize];
  std::snprintf(text, sizeof text, "weight=%g limit=%u attempts=%u deadline_ms=%g quota=%u",
                row.weight(), row.limit(), row.attempts(), ToMillis(row.deadline()), row.quota());
  return text;
}

void Append(std::string* text, const std::string& part) {
  if (!text->empty()) *text += "; ";
  *text += part;
}

}  // namespace

std::string DescribeChange(const std::vector<TableRow>& before,
                           const std::vector<TableRow>& after) {
  const std::map<RowKey, TableRow> old_rows = ByKey(before);
  const std::map<RowKey, TableRow> new_rows = ByKey(after);
  std::string change;
  for (const auto& [key, row] : old_rows) {
    const std::string name = key.first + "/" + key.second;
    const auto found = new_rows.find(key);
    if (found == new_rows.end()) {
      Append(&change, name + ": removed, was " + FormatValues(row));
    } else if (found->second != row) {
      Append(&change, name + ": " + FormatValues(row) + " -> " + FormatValues(found->second));
    }
  }
  for (const auto& [key, row] : new_rows) {
    if (old_rows.count(key) > 0) continue;
    Append(&change, key.first + "/" + key.second + ": added, " + FormatValues(row));
  }
  return change.empty() ? "no change" : change;
}

TablePtr ApplyEdit(const TablePtr& before, const TableEdit& edit, Instant now) {
  const std::uint64_t version = (before ? before->version() : 0) + 1;
  const std::vector<TableRow> old_rows = before ? before->rows() : std::vector<TableRow>();
  std::vector<AuditEntry> audit = before ? before->audit() : std::vector<AuditEntry>();
  audit.emplace_back(version, edit.edit_id(), edit.who(), now,
                     DescribeChange(old_rows, edit.rows()));
  if (audit.size() > kMaxAuditEntries) audit.erase(audit.begin());
  return std::make_shared<Table>(version, edit.rows(), std::move(audit));
}

}  // namespace sapphireflow
