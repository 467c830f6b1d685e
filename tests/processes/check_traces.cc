// Checks a run of separate processes from the starts that the workers recorded and from the load
// generator's report.
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
  int broken = 0;
  const auto complain = [&broken](const std::string& problem) {
    std::cout << "FAIL " << problem << "\n";
    ++broken;
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
    if (count > 1) complain("attempt started twice: " + attempt);
  }
  // kinds that the example does not mark as idempotent: their tasks start at most once
  const std::set<std::string> once = {"lot-certification", "caster-inspection"};
  for (const auto& [task, count] : starts_by_task) {
    if (count > 1 && once.count(kinds[task]) > 0) complain("started twice: " + task);
  }
  const json report = json::parse(std::ifstream(argv[1]));
  const json& all = report.at("kinds").at("all");
  std::uint64_t told = all.at("in_time").get<std::uint64_t>();
  std::cout << all.at("jobs") << " jobs, " << told << " complete in time";
  for (const auto& [what, count] : all.at("errors").items()) {
    std::cout << ", " << what << ": " << count;
    told += count.get<std::uint64_t>();
  }
  std::cout << "; " << starts << " starts\n";
  if (told != all.at("jobs").get<std::uint64_t>()) complain("some callers are not accounted for");
  if (starts == 0) complain("nothing ran");
  return broken == 0 ? 0 : 1;
}
