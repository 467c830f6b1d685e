// The connection on which a client submits a best-effort job is reset. The client sends the job
// again `retry_ms` later to the other node, as the pages say. Checks that no task runs twice at the
// same time.
//
// broken-connection upgrade: the client's HTTP library offers HTTP/2 (`Upgrade: h2c`).
// broken-connection pipelined: the client also asks for the job's state on that connection.
// broken-connection plain: neither.
#include <algorithm>
#include <cstdlib>
#include <string>

#include "fleet.h"

namespace {

using review::Record;
using review::Run;

constexpr int kRetryMs = 1300;
constexpr int kDeadlineMs = 1500;
constexpr int kRunMs = 1450;
constexpr int kResetAfterMs = 50;
constexpr char kOffer[] =
    "\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c"
    "\r\nHTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA";
constexpr char kJob[] = "/lohu930/5c0e7a21d94b36f8";

int Judge(const review::Runs& runs) {
  int twice = 0;
  const std::vector<Run> all = runs.All();
  for (std::size_t i = 0; i < all.size(); ++i) {
    for (std::size_t k = i + 1; k < all.size(); ++k) {
      const Run& a = all[i];
      const Run& b = all[k];
      const std::int64_t from = std::max(a.started_at, b.started_at);
      const std::int64_t until = std::min(a.ended_at < 0 ? review::NowMs() : a.ended_at,
                                          b.ended_at < 0 ? review::NowMs() : b.ended_at);
      if (a.task != b.task || from >= until) continue;
      ++twice;
      Record("TWICE: " + a.task + " ran on " + a.worker + " and on " + b.worker + " for " +
             std::to_string(until - from) + " ms at the same time");
    }
  }
  Record(twice > 0 ? "broken" : "held");
  return twice > 0 ? 1 : 0;
}

std::string Text(const std::string& method, const std::string& target, const std::string& more,
                 const std::string& body) {
  return method + " " + target + " HTTP/1.1\r\nHost: " + review::kHost +
         "\r\nSapphireflow-Deadline-Ms: " + std::to_string(kDeadlineMs) + more +
         (body.empty() ? std::string()
                       : "\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(body.size())) +
         "\r\n\r\n" + body;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string how = argc > 1 ? argv[1] : "";
  const char* trouble = std::getenv("TROUBLE");
  const bool calm = trouble != nullptr && std::string(trouble) == "0";
  review::FleetPlan plan;
  plan.nodes = 4;
  plan.workers = 8;
  plan.zones = 2;
  review::Fleet fleet(plan);
  if (!fleet.Start()) {
    Record("the fleet did not start");
    fleet.Finish(2);
  }
  review::SleepMs(4000);
  // the platform's address, which forwards connections to node 1
  const review::Endpoint address{fleet.IpOf(180), 8161};
  review::Proxy platform(address, fleet.node(0).front());
  const std::string body = review::JobBody({4}, 2000, kRunMs);
  const std::string offer = how == "upgrade" ? kOffer : "";
  const std::string question = how == "pipelined" ? Text("GET", kJob, "", "") : "";
  review::Call connection(address, Text("POST", kJob, offer, body) + question);
  Record("POST of " + std::string(kJob) + " to node 1");
  if (calm) {
    const review::Answer answer = connection.Wait(kDeadlineMs);
    Record("the POST is answered: " + std::to_string(answer.status) + " " + answer.body);
    review::SleepMs(500);
    fleet.Finish(Judge(fleet.runs()));
  }
  review::SleepMs(kResetAfterMs);
  platform.ResetAll();
  Record("the connection is reset");
  const review::Answer none = connection.Wait(100);
  Record(none.status == 0 ? "the client sees that it is broken"
                          : "an answer: " + std::to_string(none.status));
  review::SleepMs(kRetryMs - (none.status == 0 ? 0 : 100));
  Record("the POST is sent again, to node 2");
  review::Call retry(fleet.node(1).front(), Text("POST", kJob, offer, body));
  const review::Answer answer = retry.Wait(kDeadlineMs + 500);
  Record("it is answered: " + std::to_string(answer.status) + " " + answer.body);
  review::SleepMs(500);
  fleet.Finish(Judge(fleet.runs()));
}
