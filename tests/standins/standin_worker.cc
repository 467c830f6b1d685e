// Stand-in for an upstream worker: simulates tasks with timers and injects faults on request.
//
// The payload of a task is JSON with `run_ms`; the simulated run takes that time multiplied by the
// worker's `--factor` and by its `slow` fault.
// POST /faults with {"fail":bool,"full":bool,"leaving":bool,"slow":number,"drop_reply":bool}.
// GET /trace lists every started attempt, for the checkers.
#include <tclap/CmdLine.h>

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>

#include "sapphireflow/codec/http_bodies.h"
#include "sapphireflow/transport/timer_thread.h"
#include "serve.h"

namespace sapphireflow {
namespace {

using nlohmann::json;

struct Faults {
  bool fail = false;
  bool full = false;
  bool leaving = false;
  bool drop_reply = false;
  double slow = 1;
};

/// @brief Serves the worker's HTTP interface. Thread-safe.
class StandinWorker : public HttpHandler {
 public:
  StandinWorker(std::uint32_t slots, double factor)
      : m_slots(slots), m_factor(factor), m_timers(m_clock) {}

  void Handle(const HttpRequest& request, std::shared_ptr<HttpResponder> responder) override {
    if (request.path() == "/v1/tasks") return Start(request, responder);
    if (request.path() == "/v1/stop") return Stop(request, responder);
    if (request.path() == "/faults") return SetFaults(request, responder);
    if (request.path() == "/trace") return Trace(responder);
    responder->Respond(HttpResponse(404, "{}"));
  }

 private:
  struct Running {
    std::shared_ptr<HttpResponder> responder;
  };
  using ResponderPtr = std::shared_ptr<HttpResponder>;

  static void Reply(const ResponderPtr& responder, const std::string& attempt, AttemptEnd end,
                    const std::string& detail) {
    responder->Respond(HttpResponse(200, EncodeWorkerReply(WorkerReply(attempt, end, detail))));
  }

  void Start(const HttpRequest& request, const ResponderPtr& responder) {
    const auto decoded = DecodeStart(request.body());
    if (std::holds_alternative<Error>(decoded)) {
      responder->Respond(HttpResponse(400, "{}"));
      return;
    }
    const auto& start = std::get<StartRequest>(decoded);
    const std::string& name = start.attempt();
    const Instant now = m_clock.Now();
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_ended.count(name) > 0 || m_running.count(name) > 0) {
      return Reply(responder, name, AttemptEnd::kRefused, "the attempt is already known");
    }
    if (now >= start.lease_until()) {
      return Reply(responder, name, AttemptEnd::kRefused, "the lease has expired");
    }
    if (m_faults.leaving) return Reply(responder, name, AttemptEnd::kWorkerLeaving, "leaving");
    if (m_faults.full || m_running.size() >= m_slots) {
      return Reply(responder, name, AttemptEnd::kWorkerFull, "no free slot");
    }
    m_trace.push_back({{"attempt", name}, {"kind", start.kind()}, {"at_ms", ToUnixMillis(now)}});
    m_running.emplace(name, Running{responder});
    const json payload = json::parse(start.payload(), nullptr, false);
    const double run_ms = payload.is_object() ? payload.value("run_ms", 1.0) : 1.0;
    const Duration run =
        m_faults.fail ? Duration(1000) : FromMillis(run_ms * m_factor * m_faults.slow);
    const bool in_lease = now + run <= start.lease_until();
    const AttemptEnd end = m_faults.fail ? AttemptEnd::kTaskFailed
                           : in_lease    ? AttemptEnd::kSucceeded
                                         : AttemptEnd::kStopped;
    if (run.count() == 0) return EndLocked(name, end);
    m_timers.At(std::min(now + run, start.lease_until()), [this, name, end] {
      std::lock_guard<std::mutex> relock(m_mutex);
      EndLocked(name, end);
    });
  }

  // precondition: m_mutex is held
  void EndLocked(const std::string& name, AttemptEnd end) {
    auto node = m_running.extract(name);
    if (!node) return;
    const std::string detail =
        end == AttemptEnd::kSucceeded ? "done by " + name : "the simulated run did not succeed";
    m_ended.emplace(name, WorkerReply(name, end, detail));
    if (m_faults.drop_reply) {
      node.mapped().responder->Abort();
    } else {
      Reply(node.mapped().responder, name, end, detail);
    }
  }

  void Stop(const HttpRequest& request, const ResponderPtr& responder) {
    const auto names = DecodeStop(request.body());
    if (std::holds_alternative<Error>(names)) {
      responder->Respond(HttpResponse(400, "{}"));
      return;
    }
    std::vector<WorkerReply> replies;
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const std::string& name : std::get<std::vector<std::string>>(names)) {
      EndLocked(name, AttemptEnd::kStopped);
      // an unknown attempt is recorded as ended, so that a start request that arrives later is
      // refused
      const auto ended =
          m_ended.emplace(name, WorkerReply(name, AttemptEnd::kRefused, "stopped before start"));
      replies.push_back(ended.first->second);
    }
    responder->Respond(HttpResponse(200, EncodeStopReplies(replies)));
  }

  void SetFaults(const HttpRequest& request, const ResponderPtr& responder) {
    const json parsed_body = json::parse(request.body(), nullptr, false);
    if (!parsed_body.is_object()) {
      responder->Respond(HttpResponse(400, "{}"));
      return;
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    m_faults.fail = parsed_body.value("fail", false);
    m_faults.full = parsed_body.value("full", false);
    m_faults.leaving = parsed_body.value("leaving", false);
    m_faults.drop_reply = parsed_body.value("drop_reply", false);
    m_faults.slow = parsed_body.value("slow", 1.0);
    responder->Respond(HttpResponse(200, "{}"));
  }

  void Trace(const ResponderPtr& responder) {
    std::lock_guard<std::mutex> lock(m_mutex);
    responder->Respond(HttpResponse(200, json{{"starts", m_trace}}.dump()));
  }

  const std::uint32_t m_slots;
  const double m_factor;
  const MonotonicClock m_clock;
  std::mutex m_mutex;
  // all members below except m_timers are guarded by m_mutex
  Faults m_faults;
  std::map<std::string, Running> m_running;
  std::map<std::string, WorkerReply> m_ended;
  json m_trace = json::array();
  TimerThread m_timers;
};

}  // namespace
}  // namespace sapphireflow

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Stand-in for an upstream worker.", ' ', "test");
  TCLAP::ValueArg<std::string> address("a", "address", "where to listen", true, "", "ip:port",
                                       command);
  TCLAP::ValueArg<std::uint32_t> slots("n", "slots", "number of concurrent tasks", false, 8,
                                       "count", command);
  TCLAP::ValueArg<double> factor("f", "factor", "run time relative to an average worker", false, 1,
                                 "factor", command);
  command.parse(argc, argv);
  const sigset_t signals = sapphireflow::BlockStopSignals();
  sapphireflow::StandinWorker worker(slots.getValue(), factor.getValue());
  return sapphireflow::ServeUntilStopped(address.getValue(), worker, signals);
}
