// The operators' spreadsheet: round trip, and rejection with all problems at once.
#include <catch2/catch.hpp>

#include "sapphireflow/codec/csv.h"
#include "sapphireflow/settings/table_edit.h"
#include "sapphireflow/settings/table_sheet.h"

using namespace sapphireflow;

TEST_CASE("a sheet is read back as it was written") {
  const std::vector<TableRow> rows = {
      TableRow("wheel, \"big\"", "*", 2.5, 10, 3, std::chrono::milliseconds(500), 100),
      TableRow("quote", "team", 1, 0, 1, std::chrono::seconds(1), 0)};
  const auto sheet = ReadCsv(WriteCsv(FormatTableSheet(rows)));
  const auto read = ParseTableSheet(std::get<Sheet>(sheet));
  CHECK(std::get<std::vector<TableRow>>(read) == rows);
}

TEST_CASE("an invalid sheet is rejected with all problems, each with row and column") {
  const std::string text =
      "kind,team,weight,limit,attempts,deadline_ms,kuota\n"
      "a,*,-1,10,0,500,5\n"
      "a,*,1,x,1,500,5\n"
      ",t,1,1,1,1,1\n"
      "b,t,1\n";
  const auto read = ParseTableSheet(std::get<Sheet>(ReadCsv(text)));
  std::string all;
  for (const Finding& finding : std::get<Findings>(read)) all += finding.text() + "\n";
  CHECK(all.find("row 1, column 7 (quota): is 'kuota'") != std::string::npos);
  CHECK(all.find("row 2, column 3 (weight): is '-1'; must be a number above 0") !=
        std::string::npos);
  CHECK(all.find("row 2, column 5 (attempts)") != std::string::npos);
  CHECK(all.find("row 3, column 1 (kind): repeats 'a' for team '*'") != std::string::npos);
  CHECK(all.find("row 3, column 4 (limit): is 'x'") != std::string::npos);
  CHECK(all.find("row 4, column 1 (kind): must not be empty") != std::string::npos);
  CHECK(all.find("row 5: has 3 cells; 7 are required") != std::string::npos);
  CHECK(std::get<Findings>(read).size() == 7);
}

TEST_CASE("text that is not CSV is rejected with its row") {
  const auto sheet = ReadCsv("a,b\n\"open,c\n");
  REQUIRE(std::holds_alternative<Findings>(sheet));
  CHECK(std::get<Findings>(sheet).front().place().find("row 2") == 0);
}

TEST_CASE("an edit increments the version and records what it changed") {
  const TableRow row("a", "*", 1, 10, 1, std::chrono::seconds(1), 5);
  const TableRow reweighted("a", "*", 2, 10, 1, std::chrono::seconds(1), 5);
  const TablePtr first = ApplyEdit(nullptr, TableEdit("e1", "ana", 0, {row}), Instant{});
  const TablePtr second = ApplyEdit(first, TableEdit("e2", "ben", 1, {reweighted}), Instant{});
  CHECK(second->version() == 2);
  REQUIRE(second->audit().size() == 2);
  CHECK(second->audit().back().who() == "ben");
  CHECK(second->audit().back().change().find("weight=1") != std::string::npos);
  CHECK(second->audit().back().change().find("-> weight=2") != std::string::npos);
}
