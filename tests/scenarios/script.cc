// Parses scripts with yaml-cpp.
#include "script.h"

#include <map>
#include <sstream>

#include "sapphireflow/settings/yaml_reader.h"

namespace sapphireflow::scenario {
namespace {

constexpr std::int64_t kMaxMillis = 600000;

const std::map<std::string, Verb>& Verbs() {
  static const auto* const verbs = new std::map<std::string, Verb>{
      {"issue", Verb::kIssue},       {"submit", Verb::kSubmit}, {"resubmit", Verb::kResubmit},
      {"ask", Verb::kAsk},           {"cancel", Verb::kCancel}, {"kill", Verb::kKill},
      {"replace", Verb::kReplace},   {"freeze", Verb::kFreeze}, {"resume", Verb::kResume},
      {"stop", Verb::kStop},         {"cut", Verb::kCut},       {"heal", Verb::kHeal},
      {"platform", Verb::kPlatform}, {"worker", Verb::kWorker}, {"mark", Verb::kMark},
      {"edit", Verb::kEdit}};
  return *verbs;
}

Duration Millis(YamlReader& reader, const char* key, Duration fallback) {
  return reader.Millis(key, fallback, 0, kMaxMillis);
}

void ReadJob(YamlReader& r, Step* step) {
  step->job = r.Text("job", "");
  step->target = r.Text("via");
  step->home = r.Text("home", "");
  step->kind = r.Text("kind", step->kind);
  step->count = static_cast<int>(r.Integer("count", 1, 1, 100000));
  step->tasks = static_cast<int>(r.Integer("tasks", 1, 0, 200));
  step->run = Millis(r, "run_ms", step->run);
  step->spread = Millis(r, "spread_ms", step->spread);
  step->deadline = Millis(r, "deadline_ms", step->deadline);
  step->idempotent = r.Boolean("idempotent", false);
  step->persistent = r.Boolean("persistent", true);
}

void ReadFaults(YamlReader& r, Step* step) {
  step->target = r.Text("name", "platform");
  step->down = r.Boolean("down", false);
  step->drop_reply = r.Boolean("drop_reply", false);
  step->reset = r.Boolean("reset", false);
  step->fail = r.Boolean("fail", false);
  step->full = r.Boolean("full", false);
  step->leaving = r.Boolean("leaving", false);
  step->slow = Millis(r, "slow_ms", step->slow);
  step->factor = r.Number("factor", 1, 0.01, 1000);
}

void ReadArguments(YamlReader& r, Step* step) {
  switch (step->verb) {
    case Verb::kSubmit:
    case Verb::kResubmit:
    case Verb::kAsk:
    case Verb::kCancel:
      ReadJob(r, step);
      break;
    case Verb::kIssue:
      step->job = r.Text("job");
      step->target = r.Text("home");
      break;
    case Verb::kKill:
    case Verb::kReplace:
    case Verb::kFreeze:
    case Verb::kResume:
    case Verb::kStop:
      step->target = r.Text("name");
      break;
    case Verb::kCut:
    case Verb::kHeal:
      step->target = r.Text("from");
      step->other = r.Text("to");
      step->one_way = r.Boolean("one_way", false);
      break;
    case Verb::kPlatform:
    case Verb::kWorker:
      ReadFaults(r, step);
      break;
    case Verb::kMark:
      step->target = r.Text("name");
      step->other = r.Choice("state", {"leaving", "gone", "live"});
      break;
    case Verb::kEdit:
      step->target = r.Text("via");
      step->edit = r.Text("id");
      step->base = r.Integer("base", -1, -1, 1000000);
      step->weight = r.Number("weight", 1, 0.001, 1000000);
      break;
  }
}

void ReadStep(const YAML::Node& node, const std::string& file, Findings* findings,
              std::vector<Step>* steps) {
  YamlReader reader(node, file, findings);
  Step step;
  step.at = Millis(reader, "at", Duration(0));
  int verbs = 0;
  for (const auto& [verb_name, verb] : Verbs()) {
    if (!reader.Has(verb_name)) continue;
    ++verbs;
    step.verb = verb;
    YamlReader arguments(reader.Required(verb_name), file, findings);
    ReadArguments(arguments, &step);
    arguments.RejectUnknownKeys();
  }
  if (verbs != 1) {
    std::string allowed;
    for (const auto& [verb_name, verb] : Verbs()) allowed += " " + verb_name;
    reader.AddFinding(node, "step", "must hold exactly one of:" + allowed);
  } else {
    reader.RejectUnknownKeys();
  }
  steps->push_back(step);
}

void ReadExpectation(const YAML::Node& node, const std::string& file, Findings* findings,
                     std::vector<Expectation>* expectations) {
  YamlReader r(node, file, findings);
  Expectation expectation;
  expectation.job = r.Text("job", "");
  if (!expectation.job.empty()) {
    expectation.verdict = r.Choice("verdict", {"complete", "failed", "refused", "unknown"});
    expectation.error = r.Text("error", "");
  }
  expectation.min_complete = static_cast<int>(r.Integer("least_complete", -1, 0, 1000000));
  expectation.max_wasted_attempts = static_cast<int>(r.Integer("most_failures", -1, 0, 1000000));
  expectation.edit = r.Text("edit", "");
  if (!expectation.edit.empty()) {
    expectation.edit_verdict = r.Choice("edit_verdict", {"accepted", "refused", "unknown"});
  }
  r.RejectUnknownKeys();
  expectations->push_back(expectation);
}

void ReadZone(const YAML::Node& node, const std::string& file, Findings* findings, Script* script) {
  YamlReader r(node, file, findings);
  const std::string zone = r.Text("zone");
  const auto entries = r.Integer("entries", 1, 0, 50);
  for (std::int64_t i = 1; i <= entries; ++i) {
    script->entries.push_back({zone + std::to_string(i), zone});
  }
  const auto workers = r.Integer("workers", 2, 0, 1000);
  const auto slots = static_cast<std::uint32_t>(r.Integer("slots", 4, 1, 1000));
  for (std::int64_t i = 0; i < workers; ++i) script->workers.push_back({zone, slots, 1});
  r.RejectUnknownKeys();
}

TableRow ReadRow(const YAML::Node& node, const std::string& file, Findings* findings) {
  YamlReader r(node, file, findings);
  TableRow row(r.Text("kind"), r.Text("team", "*"), r.Number("weight", 1, 0.001, 1000000),
               static_cast<std::uint32_t>(r.Integer("limit", 100000, 0, 1000000)),
               static_cast<std::uint32_t>(r.Integer("attempts", 3, 1, 10)),
               Millis(r, "deadline_ms", std::chrono::seconds(20)),
               static_cast<std::uint32_t>(r.Integer("quota", 1000000, 0, 10000000)));
  r.RejectUnknownKeys();
  return row;
}

}  // namespace

Validated<Script> ReadScript(const std::string& text, const std::string& file) {
  Findings findings;
  Script script;
  try {
    const YAML::Node root = YAML::Load(text);
    YamlReader reader(root, file, &findings);
    script.name = reader.Text("name");
    script.seed = static_cast<std::uint64_t>(reader.Integer("seed", 1, 0, INT64_MAX));
    script.length = Millis(reader, "length_ms", script.length);
    script.shards = static_cast<std::uint32_t>(reader.Integer("shards", 1, 1, 8));
    for (const YAML::Node& zone : reader.Required("fleet")) {
      ReadZone(zone, file, &findings, &script);
    }
    for (const YAML::Node& row : reader.Required("table")) {
      script.rows.push_back(ReadRow(row, file, &findings));
    }
    for (const YAML::Node& step : reader.Required("steps")) {
      ReadStep(step, file, &findings, &script.steps);
    }
    if (reader.Has("expect")) {
      for (const YAML::Node& expectation : reader.Required("expect")) {
        ReadExpectation(expectation, file, &findings, &script.expectations);
      }
    }
    reader.RejectUnknownKeys();
  } catch (const YAML::Exception& problem) {
    findings.emplace_back(file + ":" + std::to_string(problem.mark.line + 1), problem.msg);
  }
  if (!findings.empty()) return findings;
  return script;
}

}  // namespace sapphireflow::scenario
