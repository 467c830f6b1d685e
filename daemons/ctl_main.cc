// Command-line client for operators and callers.
//
// Exit codes: 0 success; 1 refused, failed, not found, or reply not decodable; 2 invalid command
// line or input; 3 the outcome is unknown, ask again; 4 no response from the entry VM.
#include <tclap/CmdLine.h>

#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "sapphireflow/codec/csv.h"
#include "sapphireflow/codec/http_bodies.h"
#include "sapphireflow/settings/read_file.h"
#include "sapphireflow/settings/table_sheet.h"
#include "sapphireflow/transport/http_client.h"

namespace {

using nlohmann::json;
using sapphireflow::Address;
using sapphireflow::CallEnd;
using sapphireflow::HttpCall;
using sapphireflow::HttpResult;

constexpr int kDone = 0;
constexpr int kRefused = 1;
constexpr int kUsageError = 2;
constexpr int kUnknown = 3;
constexpr int kNoResponse = 4;
constexpr int kFirstErrorStatus = 400;
constexpr sapphireflow::Duration kTimeout = std::chrono::seconds(130);

constexpr char kUsage[] =
    "commands: ids [COUNT] | submit FILE [ID] | job start FILE | job stop ID | job show ID | "
    "explain ID | table show | table check FILE | table edit FILE | audit | status | metrics";

std::string NewEditId() {
  std::random_device device;
  std::ostringstream text;
  text << std::hex << device() << device() << device() << device();
  return text.str();
}

/// @brief Executes one command against one entry VM.
class Session {
 public:
  Session(const Address& entry, const std::string& key, std::string who, std::string edit_id,
          std::int64_t base_version)
      : m_entry(entry),
        m_authorization(key.empty() ? "" : "Bearer " + key),
        m_who(std::move(who)),
        m_edit_id(std::move(edit_id)),
        m_base_version(base_version) {}

  int Run(const std::vector<std::string>& words) {
    const std::string verb = words.empty() ? "" : words[0];
    const std::string second = words.size() > 1 ? words[1] : "";
    const std::string third = words.size() > 2 ? words[2] : "";
    if (verb == "ids") return PrintNewIds(second.empty() ? "1" : second);
    if (verb == "submit" && !second.empty()) return Submit(second, third);
    if (verb == "job" && second == "start" && !third.empty()) return Submit(third, "");
    if (verb == "job" && second == "stop" && !third.empty()) {
      return Print(Call("POST", "/v1/jobs/" + third + "/stop", ""));
    }
    if (verb == "job" && second == "show" && !third.empty()) {
      return Print(Call("GET", "/v1/jobs/" + third, ""));
    }
    if (verb == "explain" && !second.empty()) return Explain(second);
    if (verb == "table" && second == "show") return ShowTable();
    if (verb == "table" && second == "check" && !third.empty()) return CheckTable(third);
    if (verb == "table" && second == "edit" && !third.empty()) return EditTable(third);
    if (verb == "audit") return Audit();
    if (verb == "status") return Print(Call("GET", "/status", ""));
    if (verb == "metrics") return Print(Call("GET", "/metrics", ""));
    std::cerr << kUsage << "\n";
    return kUsageError;
  }

 private:
  HttpResult Call(const std::string& method, const std::string& target, const std::string& body) {
    return m_client.CallAndWait(HttpCall(method, m_entry, target, m_authorization, body, kTimeout));
  }

  // Derives the exit code from the verdict in the body and the HTTP status.
  static int ExitCodeFor(const HttpResult& result) {
    if (result.end() != CallEnd::kResponded) return kNoResponse;
    const json body = json::parse(result.body(), nullptr, false);
    const std::string verdict = body.is_object() ? body.value("verdict", "") : "";
    if (verdict == "unknown") return kUnknown;
    if (verdict == "failed" || result.status() >= kFirstErrorStatus) return kRefused;
    return kDone;
  }

  static int Print(const HttpResult& result) {
    if (result.end() != CallEnd::kResponded) {
      std::cerr << "no response from the entry VM: " << result.body() << "\n";
      return kNoResponse;
    }
    const json body = json::parse(result.body(), nullptr, false);
    std::cout << (body.is_discarded() ? result.body() : body.dump(2)) << "\n";
    return ExitCodeFor(result);
  }

  int PrintNewIds(const std::string& count) {
    const HttpResult result = Call("POST", "/v1/ids", "{\"count\":" + count + "}");
    if (ExitCodeFor(result) != kDone) return Print(result);
    for (const json& id : json::parse(result.body()).at("ids")) {
      std::cout << id.get<std::string>() << "\n";
    }
    return kDone;
  }

  int Submit(const std::string& file, std::string id) {
    const auto body = sapphireflow::ReadFile(file);
    if (!body) {
      std::cerr << file << ": cannot be read\n";
      return kUsageError;
    }
    if (id.empty()) {
      const HttpResult issued = Call("POST", "/v1/ids", "{\"count\":1}");
      if (ExitCodeFor(issued) != kDone) return Print(issued);
      id = json::parse(issued.body()).at("ids").at(0).get<std::string>();
    }
    // printed before the call: if the reply is lost, the caller can query the job by its id
    std::cout << "id " << id << "\n";
    return Print(Call("PUT", "/v1/jobs/" + id, *body));
  }

  int Explain(const std::string& id) {
    const HttpResult result = Call("GET", "/v1/jobs/" + id + "/explain", "");
    if (ExitCodeFor(result) != kDone) return Print(result);
    const json lines = json::parse(result.body()).at("explanation");
    for (const json& line : lines) std::cout << line.get<std::string>() << "\n";
    if (lines.empty()) std::cout << "no information about this job\n";
    return lines.empty() ? kRefused : kDone;
  }

  int ShowTable() {
    const HttpResult result = Call("GET", "/v1/table", "");
    if (ExitCodeFor(result) != kDone) return Print(result);
    const json table = json::parse(result.body());
    std::cerr << "version " << table.at("version") << "\n";
    std::cout << table.at("csv").get<std::string>();
    return kDone;
  }

  int Audit() {
    const HttpResult result = Call("GET", "/v1/table", "");
    if (ExitCodeFor(result) != kDone) return Print(result);
    const json table = json::parse(result.body());
    for (const json& entry : table.at("audit")) {
      std::cout << "version=" << entry.at("version") << " when_ms=" << entry.at("when_ms")
                << " who=" << entry.at("who") << " edit_id=" << entry.at("edit_id")
                << " change=" << entry.at("change") << "\n";
    }
    return kDone;
  }

  static int CheckTable(const std::string& file) {
    const auto text = sapphireflow::ReadFile(file);
    if (!text) {
      std::cerr << file << ": cannot be read\n";
      return kUsageError;
    }
    const auto sheet = sapphireflow::ReadCsv(*text);
    const auto* findings = std::get_if<sapphireflow::Findings>(&sheet);
    sapphireflow::Validated<std::vector<sapphireflow::TableRow>> rows;
    if (findings == nullptr) {
      rows = sapphireflow::ParseTableSheet(std::get<sapphireflow::Sheet>(sheet));
      findings = std::get_if<sapphireflow::Findings>(&rows);
    }
    if (findings == nullptr) {
      std::cout << file << ": no faults found\n";
      return kDone;
    }
    for (const auto& finding : *findings) std::cerr << file << ": " << finding.text() << "\n";
    return kUsageError;
  }

  int EditTable(const std::string& file) {
    const int check_result = CheckTable(file);
    if (check_result != kDone) return check_result;
    std::uint64_t base = static_cast<std::uint64_t>(m_base_version);
    if (m_base_version < 0) {
      const HttpResult current = Call("GET", "/v1/table", "");
      if (ExitCodeFor(current) != kDone) return Print(current);
      base = json::parse(current.body()).at("version").get<std::uint64_t>();
    }
    const std::string edit_id = m_edit_id.empty() ? NewEditId() : m_edit_id;
    std::cout << "edit_id " << edit_id << " base_version " << base << "\n";
    return Print(Call("PUT", "/v1/table",
                      sapphireflow::EncodeEditRequest(sapphireflow::EditRequest(
                          edit_id, m_who, base, *sapphireflow::ReadFile(file)))));
  }

  const Address m_entry;
  const std::string m_authorization;
  const std::string m_who;
  const std::string m_edit_id;
  const std::int64_t m_base_version;
  sapphireflow::HttpClient m_client{1};
};

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command(std::string("Command-line client of sapphireflow. ") + kUsage, ' ',
                           SAPPHIREFLOW_VERSION);
    TCLAP::ValueArg<std::string> entry("e", "entry", "HTTP address of any entry VM", false,
                                       "127.0.0.1:7001", "ip:port", command);
    TCLAP::ValueArg<std::string> key_file("k", "key-file", "file that contains the operator key",
                                          false, "", "file", command);
    TCLAP::ValueArg<std::string> who("w", "who", "your name as recorded in the audit trail", false,
                                     "operator", "name", command);
    TCLAP::ValueArg<std::string> edit_id("i", "edit-id",
                                         "id of an earlier edit to retry after its reply was lost",
                                         false, "", "id", command);
    TCLAP::ValueArg<std::int64_t> base("b", "base-version",
                                       "base version of the table edit; default: the current one",
                                       false, -1, "version", command);
    TCLAP::UnlabeledMultiArg<std::string> words("command", kUsage, true, "command", command);
    command.parse(argc, argv);
    const auto address = Address::Parse(entry.getValue());
    if (!address) {
      std::cerr << "--entry must be an IP address and a port\n";
      return kUsageError;
    }
    std::string key;
    if (!key_file.getValue().empty()) {
      const auto text = sapphireflow::ReadFile(key_file.getValue());
      if (!text) {
        std::cerr << key_file.getValue() << ": cannot be read\n";
        return kUsageError;
      }
      key = text->substr(0, text->find_first_of("\r\n"));
    }
    return Session(*address, key, who.getValue(), edit_id.getValue(), base.getValue())
        .Run(words.getValue());
  } catch (const TCLAP::ArgException& problem) {
    std::cerr << problem.argId() << ": " << problem.error() << "\n";
    return kUsageError;
  } catch (const std::exception& problem) {
    std::cerr << "unreadable reply: " << problem.what() << "\n";
    return kRefused;
  }
}
