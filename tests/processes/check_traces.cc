// Checks a test run with separate processes, using the starts that the workers recorded and the
// load generator's report.
//
// Usage: check-traces REPORT.json TRACE.json... ; prints each failed check, exit code 1 if there is
// one.
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

int main(int argc, char** argv) {
  using nlohmann::json;
  int failed_checks = 0;
  const auto on_fail = [&failed_checks](const std::string& problem) {
    std::cout << "FAIL " << problem << "\n";
    ++failed_checks;
  };
  std::map<std::string, int> starts_by_attempt;
  std::map<std::string, int> starts_by_task;
  std::map<std::string, std::string> kinds;
  std::uint64_t starts = 0;
  for (int i = 2; i < argc; ++i) {
    const json trace = json::parse(std::ifstream(argv[i]));
    for (const json& start : trace.at("starts")) {
      const auto attempt = start.at("attempt").get<std::string>();
      const std::string task = attempt.substr(0, attempt.rfind('/'));
      ++starts_by_attempt[attempt];
      ++starts_by_task[task];
      kinds[task] = start.at("kind").get<std::string>();
      ++starts;
    }
  }
  for (const auto& [attempt, count] : starts_by_attempt) {
    if (count > 1) on_fail("attempt started twice: " + attempt);
  }
  // kinds that the example does not mark as idempotent: their tasks start at most once
  const std::set<std::string> non_idempotent = {"lot-certification", "caster-inspection"};
  for (const auto& [task, count] : starts_by_task) {
    if (count > 1 && non_idempotent.count(kinds[task]) > 0) on_fail("started twice: " + task);
  }
  const json report = json::parse(std::ifstream(argv[1]));
  const json& all = report.at("kinds").at("all");
  std::uint64_t counted = all.at("in_time").get<std::uint64_t>();
  std::cout << all.at("jobs") << " jobs, " << counted << " complete in time";
  for (const auto& [error_name, count] : all.at("errors").items()) {
    std::cout << ", " << error_name << ": " << count;
    counted += count.get<std::uint64_t>();
  }
  std::cout << "; " << starts << " starts\n";
  if (counted != all.at("jobs").get<std::uint64_t>()) on_fail("some callers are not accounted for");
  if (starts == 0) on_fail("nothing ran");
  return failed_checks == 0 ? 0 : 1;
}
