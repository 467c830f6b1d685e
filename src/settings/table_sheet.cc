// Part of settings: the table as a spreadsheet.
#include "sapphireflow/settings/table_sheet.h"

#include <array>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <optional>
#include <set>
#include <utility>

namespace sapphireflow {
namespace {

using Cells = std::vector<std::string>;

constexpr std::array<const char*, 7> kColumns = {"kind",     "team",        "weight", "limit",
                                                 "attempts", "deadline_ms", "quota"};
enum Column { kKind, kTeam, kWeight, kLimit, kAttempts, kDeadline, kQuota };

constexpr std::uint32_t kMaxAttempts = 10;
constexpr std::uint32_t kMaxDeadlineMs = 600000;
constexpr std::uint32_t kMaxCount = 1000000000;

std::string Place(std::size_t row, std::size_t column) {
  return "row " + std::to_string(row + 1) + ", column " + std::to_string(column + 1) + " (" +
         kColumns.at(column) + ")";
}

// Parses one row and collects its problems.
class RowReader {
 public:
  RowReader(const Cells& cells, std::size_t row, Findings* findings)
      : m_cells(cells), m_row(row), m_findings(*findings) {}

  std::string Name(Column column) {
    const std::string& text = m_cells[column];
    if (text.empty()) AddFinding(column, "must not be empty");
    return text;
  }

  double Weight(Column column) {
    const std::string& text = m_cells[column];
    char* end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0' || !std::isfinite(value) || value <= 0) {
      AddFinding(column, "is '" + text + "'; must be a number above 0");
    }
    return value;
  }

  std::uint32_t Integer(Column column, std::uint32_t min_value, std::uint32_t max_value) {
    const std::string& text = m_cells[column];
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < min_value ||
        value > max_value) {
      AddFinding(column, "is '" + text + "'; must be from " + std::to_string(min_value) + " to " +
                             std::to_string(max_value) + " (whole numbers only)");
    }
    return value;
  }

  void AddFinding(Column column, const std::string& problem) {
    m_findings.emplace_back(Place(m_row, column), problem);
  }

 private:
  const Cells& m_cells;
  std::size_t m_row;
  Findings& m_findings;
};

std::string NumberText(double value) {
  std::array<char, 32> text{};
  const auto end = std::to_chars(text.data(), text.data() + text.size(), value);
  return {text.data(), end.ptr};
}

void CheckHeading(const Cells& heading, Findings* findings) {
  for (std::size_t i = 0; i < kColumns.size(); ++i) {
    const std::string found = i < heading.size() ? heading[i] : "";
    if (found == kColumns.at(i)) continue;
    findings->emplace_back(Place(0, i),
                           "is '" + found + "'; the heading must be '" + kColumns.at(i) + "'");
  }
}

}  // namespace

Validated<std::vector<TableRow>> ParseTableSheet(const std::vector<Cells>& sheet) {
  Findings findings;
  if (sheet.empty()) return Findings{Finding("row 1", "the sheet is empty; a heading is required")};
  CheckHeading(sheet.front(), &findings);
  std::vector<TableRow> rows;
  std::set<std::pair<std::string, std::string>> seen;
  for (std::size_t i = 1; i < sheet.size(); ++i) {
    if (sheet[i].size() != kColumns.size()) {
      findings.emplace_back("row " + std::to_string(i + 1),
                            "has " + std::to_string(sheet[i].size()) + " cells; " +
                                std::to_string(kColumns.size()) + " are required");
      continue;
    }
    RowReader reader(sheet[i], i, &findings);
    const std::string kind = reader.Name(kKind);
    const std::string team = reader.Name(kTeam);
    if (!seen.emplace(kind, team).second) {
      reader.AddFinding(kKind, "repeats '" + kind + "' for team '" + team +
                                   "'; only one row for each kind and team is allowed");
    }
    const double weight = reader.Weight(kWeight);
    const std::uint32_t limit = reader.Integer(kLimit, 0, kMaxCount);
    const std::uint32_t attempts = reader.Integer(kAttempts, 1, kMaxAttempts);
    const std::uint32_t deadline = reader.Integer(kDeadline, 1, kMaxDeadlineMs);
    const std::uint32_t quota = reader.Integer(kQuota, 0, kMaxCount);
    rows.emplace_back(kind, team, weight, limit, attempts, std::chrono::milliseconds(deadline),
                      quota);
  }
  if (!findings.empty()) return findings;
  return rows;
}

std::vector<Cells> FormatTableSheet(const std::vector<TableRow>& rows) {
  std::vector<Cells> sheet = {Cells(kColumns.begin(), kColumns.end())};
  for (const TableRow& row : rows) {
    const auto deadline_ms = std::chrono::duration_cast<std::chrono::milliseconds>(row.deadline());
    sheet.push_back({row.kind(), row.team(), NumberText(row.weight()), std::to_string(row.limit()),
                     std::to_string(row.attempts()), std::to_string(deadline_ms.count()),
                     std::to_string(row.quota())});
  }
  return sheet;
}

}  // namespace sapphireflow
