// Cancels a best-effort job and checks that none of its tasks starts later than `cancel_ms` after
// the acknowledgement.
//
// cancelled-job copy: the node that has the job is asked to cancel it; 4 s later a late copy of the
// submission arrives at the other node.
// cancelled-job elsewhere: the cancel reaches the other node.
#include <cstdio>
#include <cstdlib>
#include <string>

#include "fleet.h"

namespace {

constexpr std::int64_t kCancelMs = 3000;
constexpr char kJob[] = "5c0e7a21d94b36f8";

std::string Show(const review::Answer& answer) {
  return std::to_string(answer.status) + " " + answer.body;
}

int Judge(const review::Runs& runs, std::int64_t acknowledged_at) {
  int late = 0;
  for (const review::Run& run : runs.All()) {
    if (run.started_at <= acknowledged_at + kCancelMs) continue;
    ++late;
    review::Record("UNASKED: " + run.task + " was started " +
                   std::to_string(run.started_at - acknowledged_at) +
                   " ms after its job's cancelling was acknowledged");
  }
  review::Record(late > 0 ? "broken" : "held");
  return late > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  using review::Ask;
  using review::Record;
  const std::string how = argc > 1 ? argv[1] : "";
  const char* trouble = std::getenv("TROUBLE");
  const bool calm = trouble != nullptr && std::string(trouble) == "0";
  review::FleetPlan plan;
  plan.timeout_ms = how == "elsewhere" ? 12000 : 1500;
  review::Fleet fleet(plan);
  if (!fleet.Start()) {
    Record("the fleet did not start");
    fleet.Finish(2);
  }
  // all machines are in touch
  review::SleepMs(4000);
  const std::string path = std::string("/lohu930/") + kJob;
  const std::string deadline = how == "elsewhere" ? "12000" : "1500";
  const std::map<std::string, std::string> headers = {{"Host", review::kHost},
                                                      {"Sapphireflow-Deadline-Ms", deadline}};
  const std::string body = how == "elsewhere" ? review::JobBody({2, 2, 2, 2, 2, 2}, 2000, 1000)
                                              : review::JobBody({4}, 2000, 900);
  const auto front = [&fleet](int index) { return fleet.node(index).front(); };
  review::Call submission(front(0), "POST", path, headers, body);
  Record("POST " + path + " to node 1");
  review::SleepMs(300);
  const int asked = how == "elsewhere" && !calm ? 1 : 0;
  const review::Answer cancel = Ask(front(asked), "DELETE", path, headers, "", 4000);
  const std::int64_t acknowledged_at = review::NowMs();
  Record("DELETE " + path + " at node " + std::to_string(asked + 1) + " -> " + Show(cancel));
  if (cancel.status != 200 && cancel.status != 410) fleet.Finish(2);
  if (how == "elsewhere") {
    Record("the POST is answered: " + Show(submission.Wait(13000)));
  } else {
    const review::Answer first = submission.Wait(3000);
    Record("the POST is answered: " + Show(first));
    if (first.status != 200) fleet.Finish(2);
    review::SleepUntil(acknowledged_at + 4000);
    if (!calm) {
      Record("a late copy of the POST arrives at node 2");
      Record("it is answered: " + Show(Ask(front(1), "POST", path, headers, body, 3000)));
    }
  }
  review::SleepMs(500);
  fleet.Finish(Judge(fleet.runs(), acknowledged_at));
}
