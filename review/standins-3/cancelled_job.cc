// The cancel of a best-effort job reaches another node than the one that has the job. Checks that
// none of the job's tasks starts later than `cancel_ms` after the acknowledgement.
#include <cstdlib>
#include <string>

#include "fleet.h"

namespace {

using review::Answer;
using review::Record;

constexpr std::int64_t kCancelMs = 3000;
constexpr int kDeadlineMs = 12000;
constexpr int kAckTimeoutMs = 4000;
constexpr char kJob[] = "/lohu930/5c0e7a21d94b36f8";

std::string Show(const Answer& answer) {
  return answer.status == 0 ? "no answer" : std::to_string(answer.status) + " " + answer.body;
}

int Judge(const review::Runs& runs, std::int64_t acknowledged_at) {
  int late = 0;
  for (const review::Run& run : runs.All()) {
    if (run.started_at <= acknowledged_at + kCancelMs) continue;
    ++late;
    Record("UNASKED: " + run.task + " was started " +
           std::to_string(run.started_at - acknowledged_at) +
           " ms after its job's cancelling was acknowledged");
  }
  Record(late > 0 ? "broken" : "held");
  return late > 0 ? 1 : 0;
}

}  // namespace

int main() {
  const char* trouble = std::getenv("TROUBLE");
  const bool calm = trouble != nullptr && std::string(trouble) == "0";
  review::FleetPlan plan;
  plan.timeout_ms = kDeadlineMs;
  review::Fleet fleet(plan);
  if (!fleet.Start()) {
    Record("the fleet did not start");
    fleet.Finish(2);
  }
  // all machines are in touch
  review::SleepMs(4000);
  const std::map<std::string, std::string> headers = {
      {"Host", review::kHost}, {"Sapphireflow-Deadline-Ms", std::to_string(kDeadlineMs)}};
  const std::string body = review::JobBody({2, 2, 2, 2, 2, 2}, 2000, 1000);
  review::Call submission(fleet.node(0).front(), "POST", kJob, headers, body);
  Record("POST " + std::string(kJob) + " to node 1");
  review::SleepMs(300);
  const int asked = calm ? 0 : 1;
  const Answer cancel =
      review::Ask(fleet.node(asked).front(), "DELETE", kJob, headers, "", kAckTimeoutMs);
  const std::int64_t acknowledged_at = review::NowMs();
  Record("DELETE " + std::string(kJob) + " at node " + std::to_string(asked + 1) + " -> " +
         Show(cancel));
  if (cancel.status != 200 && cancel.status != 410) fleet.Finish(2);
  Record("the POST is answered: " + Show(submission.Wait(kDeadlineMs + 1000)));
  review::SleepMs(500);
  fleet.Finish(Judge(fleet.runs(), acknowledged_at));
}
