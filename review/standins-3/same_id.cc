// Clients of two queues with workers of their own choose the same ID, one after the other. Checks
// that no job is shown as completed of which no task has run.
#include <cstdlib>
#include <string>

#include "fleet.h"

namespace {

using review::Answer;
using review::Ask;
using review::Record;

constexpr int kDeadlineMs = 1500;
constexpr char kFirst[] = "/lohu930/";
constexpr char kSecond[] = "/pule252/";
constexpr char kId[] = "0000000000000001";
constexpr char kOtherId[] = "0000000000000002";

std::string Show(const Answer& answer) {
  return answer.status == 0 ? "no answer" : std::to_string(answer.status) + " " + answer.body;
}

// how many tasks the workers of a service have ended as done
int CountDone(review::Fleet& fleet, bool of_second_service) {
  int done = 0;
  for (const review::Run& run : fleet.runs().All()) {
    for (int i = 0; i < fleet.workers(); ++i) {
      const bool is_second = i % 2 == 1;
      if (fleet.worker(i).id() == run.worker && is_second == of_second_service &&
          run.how == "done") {
        ++done;
      }
    }
  }
  return done;
}

}  // namespace

int main() {
  const char* trouble = std::getenv("TROUBLE");
  const bool calm = trouble != nullptr && std::string(trouble) == "0";
  review::FleetPlan plan;
  plan.two_services = true;
  review::Fleet fleet(plan);
  if (!fleet.Start()) {
    Record("the fleet did not start");
    fleet.Finish(2);
  }
  fleet.Configure({"lohu930", "pule252"});
  review::SleepMs(4000);
  const std::map<std::string, std::string> headers = {
      {"Host", review::kHost}, {"Sapphireflow-Deadline-Ms", std::to_string(kDeadlineMs)}};
  const review::Endpoint front = fleet.node(0).front();
  const Answer first = Ask(front, "POST", kFirst + std::string(kId), headers,
                           review::JobBody({2}, 2000, 200), kDeadlineMs);
  Record("POST " + std::string(kFirst) + kId + " -> " + Show(first));
  if (first.status != 200 || CountDone(fleet, false) != 2) fleet.Finish(2);
  review::SleepMs(1000);
  const std::string path = kSecond + std::string(calm ? kOtherId : kId);
  const Answer state = Ask(front, "GET", path, headers, "", kDeadlineMs);
  Record("GET " + path + ", which nobody has submitted -> " + Show(state));
  const Answer second =
      Ask(front, "POST", path, headers, review::JobBody({3}, 1000, 300), kDeadlineMs);
  Record("POST " + path + " -> " + Show(second));
  review::SleepMs(500);
  const int done = CountDone(fleet, true);
  Record("tasks of /pule252/ that have ended done: " + std::to_string(done) + " of 3");
  const bool completed = second.body.find("completed") != std::string::npos;
  const bool broken = state.status == 200 || (second.status == 200 && completed && done < 3);
  Record(broken ? "MIXED: broken" : "held");
  fleet.Finish(broken ? 1 : 0);
}
