// Part of codec: JSON bodies of the interface for callers.
#include <algorithm>
#include <array>
#include <memory>
#include <stdexcept>
#include <utility>

#include "sapphireflow/codec/decode_json.h"
#include "sapphireflow/codec/http_bodies.h"
#include "sapphireflow/codec/json_values.h"

namespace sapphireflow {
namespace {

using detail::Json;

constexpr std::array<const char*, 3> kFates = {"not-run", "may-have-run", "ran"};
constexpr std::int64_t kMaxDeadlineMillis = 86400000;

template <class Names>
std::size_t IndexOf(const Names& names, const std::string& name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) throw std::invalid_argument("unknown task fate '" + name + "'");
  return static_cast<std::size_t>(found - names.begin());
}

Verdict ReadVerdict(const std::string& word) {
  for (const Verdict verdict :
       {Verdict::kComplete, Verdict::kFailed, Verdict::kRefused, Verdict::kUnknown}) {
    if (word == VerdictName(verdict)) return verdict;
  }
  throw std::invalid_argument("unknown verdict '" + word + "'");
}

// Reads the fields of a submission and collects all problems.
class SubmissionReader {
 public:
  std::string Text(const Json& json, const std::string& place, const char* key) {
    const Json* value = Find(json, place, key);
    if (value == nullptr) return {};
    if (value->is_string()) return value->get<std::string>();
    AddProblem(place, key, "must be a string");
    return {};
  }

  std::int64_t Number(const Json& json, const std::string& place, const char* key,
                      std::int64_t min_value, std::int64_t max_value) {
    const Json* value = Find(json, place, key);
    if (value == nullptr) return min_value;
    if (value->is_number_integer()) {
      const auto number = value->get<std::int64_t>();
      if (number >= min_value && number <= max_value) return number;
    }
    AddProblem(place, key,
               "must be a whole number from " + std::to_string(min_value) + " to " +
                   std::to_string(max_value));
    return min_value;
  }

  bool Boolean(const Json& json, const std::string& place, const char* key) {
    const Json* value = Find(json, place, key);
    if (value == nullptr) return false;
    if (value->is_boolean()) return value->get<bool>();
    AddProblem(place, key, "must be true or false");
    return false;
  }

  std::uint32_t OptionalNumber(const Json& json, const std::string& place, const char* key,
                               std::uint32_t default_value) {
    if (!json.contains(key)) return default_value;
    return static_cast<std::uint32_t>(Number(json, place, key, 0, INT32_MAX));
  }

  const Json* Find(const Json& json, const std::string& place, const char* key) {
    if (json.is_object() && json.contains(key)) return &json.at(key);
    AddProblem(place, key, "is missing");
    return nullptr;
  }

  void AddProblem(const std::string& place, const char* key, const std::string& problem) {
    if (!m_problems.empty()) m_problems += "; ";
    m_problems += place + key + " " + problem;
  }

  const std::string& problems() const { return m_problems; }

 private:
  std::string m_problems;
};

Task ReadSubmittedTask(SubmissionReader& reader, const Json& json, const std::string& place) {
  const std::string kind = reader.Text(json, place, "kind");
  const std::string payload = reader.Text(json, place, "payload");
  if (!json.is_object()) return {kind, payload, ResourceSpec(), Duration(0)};
  const ResourceSpec needs(reader.OptionalNumber(json, place, "cores", 1),
                           reader.OptionalNumber(json, place, "memory_mb", 0),
                           reader.OptionalNumber(json, place, "accelerators", 0));
  const Duration run =
      std::chrono::milliseconds(reader.OptionalNumber(json, place, "declared_run_ms", 0));
  return {kind, payload, needs, run};
}

}  // namespace

Result<std::uint32_t> DecodeIdRequest(const std::string& body) {
  if (body.empty()) return std::uint32_t{1};
  return detail::DecodeJson(body, ErrorId::kMalformedRequest,
                            [](const Json& json) { return json.at("count").get<std::uint32_t>(); });
}

std::string EncodeIds(const std::vector<JobId>& ids, const JobIdCodec& text) {
  Json list = Json::array();
  for (const JobId& id : ids) list.push_back(text.Write(id));
  return Json{{"ids", std::move(list)}}.dump();
}

Result<JobSpec> DecodeSubmission(const std::string& body, Instant now) {
  const bool is_bounded = detail::IsJsonNestingBounded(body);
  const Json json = is_bounded ? Json::parse(body, nullptr, false) : Json();
  if (!json.is_object()) return Error(ErrorId::kMalformedRequest, "the body is not a JSON object");
  SubmissionReader reader;
  const std::string team = reader.Text(json, "", "team");
  const Duration deadline =
      std::chrono::milliseconds(reader.Number(json, "", "deadline_ms", 1, kMaxDeadlineMillis));
  const bool idempotent = reader.Boolean(json, "", "idempotent");
  std::vector<Task> tasks;
  const Json* list = reader.Find(json, "", "tasks");
  if (list != nullptr && !list->is_array()) reader.AddProblem("", "tasks", "must be a list");
  if (list != nullptr && list->is_array()) {
    for (std::size_t i = 0; i < list->size(); ++i) {
      const std::string place = "tasks[" + std::to_string(i) + "].";
      tasks.push_back(ReadSubmittedTask(reader, (*list)[i], place));
    }
  }
  if (!reader.problems().empty()) return Error(ErrorId::kMalformedRequest, reader.problems());
  return JobSpec(team, now + deadline, idempotent, std::move(tasks));
}

std::string EncodeSubmission(const JobSpec& spec, Instant now) {
  Json tasks = Json::array();
  for (const Task& task : spec.tasks()) {
    tasks.push_back({{"kind", task.kind()},
                     {"payload", task.payload()},
                     {"cores", task.needs().cores()},
                     {"memory_mb", task.needs().memory_mb()},
                     {"accelerators", task.needs().accelerators()},
                     {"declared_run_ms", task.declared_run().count() / 1000}});
  }
  const Duration left = spec.deadline() - now;
  return Json{{"team", spec.team()},
              {"deadline_ms", left.count() / 1000},
              {"idempotent", spec.idempotent()},
              {"tasks", std::move(tasks)}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string EncodeAnswer(const JobAnswer& answer) {
  Json tasks = Json::array();
  for (const TaskOutcome& outcome : answer.outcomes()) {
    Json task = {{"fate", kFates.at(static_cast<std::size_t>(outcome.fate()))}};
    if (answer.verdict() == Verdict::kComplete) task["result"] = outcome.result();
    tasks.push_back(std::move(task));
  }
  Json json = {{"verdict", VerdictName(answer.verdict())}, {"tasks", std::move(tasks)}};
  if (answer.cause()) {
    json["error"] = answer.cause()->code();
    json["message"] = answer.cause()->message();
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<JobAnswer> DecodeAnswer(const std::string& body) {
  return detail::DecodeJson(body, ErrorId::kMalformedMessage, [](const Json& json) {
    const Verdict verdict = ReadVerdict(json.at("verdict").get<std::string>());
    std::optional<Error> cause;
    if (json.contains("error")) {
      const auto code = json.at("error").get<std::string>();
      // skips the prefix `SF`
      cause = Error(static_cast<ErrorId>(std::stoi(code.substr(2))),
                    json.at("message").get<std::string>());
    }
    auto outcomes = detail::ReadList(json.at("tasks"), [](const Json& task) {
      const auto fate = static_cast<TaskFate>(IndexOf(kFates, task.at("fate").get<std::string>()));
      return TaskOutcome(fate, task.value("result", std::string()));
    });
    return JobAnswer(verdict, std::move(cause), std::move(outcomes));
  });
}

std::string EncodeError(const Error& error) {
  return Json{{"error", error.code()}, {"message", error.message()}}.dump(
      -1, ' ', false, Json::error_handler_t::replace);
}

std::string EncodeExplanation(const Journal& journal) {
  return Json{{"explanation", Explain(journal)}}.dump(-1, ' ', false,
                                                      Json::error_handler_t::replace);
}

}  // namespace sapphireflow
