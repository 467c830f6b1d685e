// A client that is not controlled submits one job whose body is within `max_body_bytes`.
//
// heavy-job memory: each of its tasks names a rack with a long name. The platform ends a process
// that exceeds `memory_mb` and starts it again; the client sends the job again as the pages say.
// heavy-job after: one of its steps lists the step before it many times. Meanwhile the operator
// adds a route, which each node has to know `config_apply_ms` later.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"

namespace {

using review::Answer;
using review::Ask;
using review::Fleet;
using review::Json;
using review::NowMs;
using review::Record;

constexpr int kMemoryMb = 260;
constexpr int kDeadlineMs = 1500;
constexpr int kRetryMs = 1300;
constexpr int kMaxAttempts = 10;
constexpr int kEndsThatCount = 3;
constexpr int kConfigApplyMs = 2000;
// `ack_timeout_ms`: a process that answers nothing for so long hangs
constexpr int kHangMs = 4000;
constexpr std::size_t kMaxBodyBytes = 262144;
constexpr char kJob[] = "/lohu930/5c0e7a21d94b36f8";

std::map<std::string, std::string> Headers() {
  return {{"Host", review::kHost}, {"Sapphireflow-Deadline-Ms", std::to_string(kDeadlineMs)}};
}

bool IsCalm() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

// the most memory that the process has had in use, in MB
long PeakMb(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.compare(0, 6, "VmHWM:") == 0) return std::atol(line.c_str() + 6) / 1024;
  }
  return 0;
}

// Submits ordinary jobs to the nodes from `first_node` on, in turn, until it is told to end.
void SubmitOrdinaryJobs(Fleet& fleet, int first_node, const std::atomic<bool>& ending) {
  const std::string body = review::JobBody({2}, 1000, 50);
  for (int i = 0; !ending; ++i) {
    const std::string path = "/lohu930/" + std::to_string(1000000000000000 + i);
    const int node = first_node + i % (fleet.nodes() - first_node);
    const Answer answer =
        Ask(fleet.node(node).front(), "POST", path, Headers(), body, kDeadlineMs + 500);
    Record("an ordinary job at node " + std::to_string(node + 1) + " -> " +
           std::to_string(answer.status));
    review::SleepMs(500);
  }
}

std::string JobWithLongRackName(bool calm) {
  const std::string rack = calm ? "r1-3" : std::string(200000, 'r');
  const Json step = {
      {"count", 1000}, {"cpu", 1}, {"mem_mb", 64}, {"estimated_ms", 200}, {"prefer_near", rack}};
  return Json{{"spec", R"({"run_ms":200})"}, {"best_effort", true}, {"steps", {step}}}.dump();
}

int CheckMemory(Fleet& fleet) {
  const std::string body = JobWithLongRackName(IsCalm());
  Record("the job's body has " + std::to_string(body.size()) + " of " +
         std::to_string(kMaxBodyBytes) + " bytes");
  std::vector<int> ends(static_cast<std::size_t>(fleet.nodes()), 0);
  std::atomic<bool> ending{false};
  long peak_mb = 0;
  // the platform
  std::thread guard([&] {
    while (!ending) {
      review::SleepMs(5);
      for (int i = 0; i < fleet.nodes(); ++i) {
        const long used_mb = PeakMb(fleet.node(i).pid());
        peak_mb = std::max(peak_mb, used_mb);
        if (used_mb <= kMemoryMb) continue;
        ++ends[static_cast<std::size_t>(i)];
        Record("node " + std::to_string(i + 1) + " has " + std::to_string(used_mb) + " of " +
               std::to_string(kMemoryMb) + " MB: the platform ends it");
        fleet.node(i).Kill();
        review::SleepMs(300);
        fleet.StartNode(i);
      }
    }
  });
  std::thread ordinary([&] { SubmitOrdinaryJobs(fleet, 0, ending); });
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const int node = attempt % fleet.nodes();
    const Answer answer = Ask(fleet.node(node).front(), "POST", kJob, Headers(), body, kDeadlineMs);
    Record("attempt " + std::to_string(attempt + 1) + " at node " + std::to_string(node + 1) +
           " -> " + (answer.status == 0 ? "no answer" : std::to_string(answer.status)));
    if (answer.status != 0 && answer.status != 502 && answer.status != 504) break;
    if (*std::min_element(ends.begin(), ends.end()) >= kEndsThatCount) break;
    review::SleepMs(kRetryMs);
  }
  review::SleepMs(1000);
  ending = true;
  guard.join();
  ordinary.join();
  for (int i = 0; i < fleet.nodes(); ++i) {
    Record("node " + std::to_string(i + 1) + " was over its memory " +
           std::to_string(ends[static_cast<std::size_t>(i)]) + " times");
  }
  Record("most memory in use: " + std::to_string(peak_mb) + " MB");
  const auto often =
      std::count_if(ends.begin(), ends.end(), [](int count) { return count >= kEndsThatCount; });
  Record(often >= 2 ? "broken" : "held");
  return often >= 2 ? 1 : 0;
}

std::string JobWithRepeatedStep(bool calm) {
  const Json first = {{"count", 500}, {"cpu", 10}, {"mem_mb", 1}, {"estimated_ms", 20}};
  Json second = first;
  second["after"] = Json::array();
  for (int i = 0; i < (calm ? 1 : 100000); ++i) second["after"].push_back(0);
  return Json{{"spec", R"({"run_ms":20})"}, {"best_effort", true}, {"steps", {first, second}}}
      .dump();
}

int CheckConfiguration(Fleet& fleet) {
  const std::string body = JobWithRepeatedStep(IsCalm());
  Record("the job's body has " + std::to_string(body.size()) + " of " +
         std::to_string(kMaxBodyBytes) + " bytes");
  std::atomic<bool> ending{false};
  std::thread ordinary([&] { SubmitOrdinaryJobs(fleet, 1, ending); });
  std::thread big([&] {
    const Answer answer = Ask(fleet.node(0).front(), "POST", kJob, Headers(), body, 30000);
    Record("the large job is answered: " + std::to_string(answer.status));
  });
  Record("POST " + std::string(kJob) + " to node 1");
  review::SleepMs(400);
  fleet.Configure({"lohu930", "pule252"});
  const std::int64_t acknowledged_at = NowMs();
  Record("a configuration that adds /pule252/ is acknowledged");
  int refused = 0;
  std::int64_t answered_at = acknowledged_at;
  std::int64_t longest_silence = 0;
  while (NowMs() < acknowledged_at + 10000) {
    const std::int64_t sent_at = NowMs();
    const Answer answer =
        Ask(fleet.node(0).front(), "GET", "/pule252/", Headers(), "", kDeadlineMs);
    const bool late = sent_at > acknowledged_at + kConfigApplyMs;
    longest_silence = std::max(longest_silence, NowMs() - answered_at);
    if (answer.status != 0) answered_at = NowMs();
    Record("GET /pule252/ at node 1, " + std::to_string(sent_at - acknowledged_at) +
           " ms after the acknowledgement -> " +
           (answer.status == 0 ? "no answer" : std::to_string(answer.status)) +
           (late && answer.status == 404 ? " CONFIG" : ""));
    if (late && answer.status == 404) ++refused;
    review::SleepMs(300);
  }
  ending = true;
  ordinary.join();
  big.join();
  Record("404 later than config_apply_ms: " + std::to_string(refused) +
         ", longest time without an answer: " + std::to_string(longest_silence) + " ms");
  const bool broken = refused > 0 || longest_silence >= kHangMs;
  Record(broken ? "broken" : "held");
  return broken ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string how = argc > 1 ? argv[1] : "";
  Fleet fleet(review::FleetPlan{});
  if (!fleet.Start()) {
    Record("the fleet did not start");
    fleet.Finish(2);
  }
  // all machines are in touch
  review::SleepMs(4000);
  fleet.Finish(how == "memory" ? CheckMemory(fleet) : CheckConfiguration(fleet));
}
