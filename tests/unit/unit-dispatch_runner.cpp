// Tests of DispatchRunner: unexpected errors while an event is handled, and counters.
#include <catch2/catch.hpp>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "sapphireflow/transport/clock.h"
#include "sapphireflow/transport/dispatch_runner.h"

using namespace sapphireflow;

namespace {

class FailingNode : public Filter<DispatchInput, DispatchEffects> {
 public:
  DispatchEffects Apply(const DispatchInput& in) override {
    if (std::holds_alternative<DispatchTick>(in.event())) throw std::out_of_range("no such run");
    ++handled;
    return {};
  }
  int handled = 0;
};

class CountingNode : public Filter<DispatchInput, DispatchEffects> {
 public:
  DispatchEffects Apply(const DispatchInput& /*in*/) override {
    return {CounterIncrement("adoptions_total", "state", "sent")};
  }
};

class NoWorkers : public WorkerGateway {
 public:
  void Start(const StartRun& /*order*/,
             std::function<void(const StartReplied&)> /*done*/) override {}
  void Stop(const StopRun& /*order*/) override {}
  void Renew(const RenewLease& /*order*/,
             std::function<void(const RenewalReplied&)> /*done*/) override {}
};

class NoListener : public PeerListener {
 public:
  void OnPeerMessage(const std::string& /*bytes*/) override {}
  void OnPeerUnreachable(const Address& /*peer*/) override {}
};

class EmptyAnswers : public JobAnswerFormat {
 public:
  HttpResponse Format(const AnswerCaller& /*answer*/) const override { return {kStatus, ""}; }

 private:
  static constexpr int kStatus = 500;
};

class RecordingLog : public EventLog {
 public:
  void Write(const LogEvent& event) override { lines.push_back(event.Line()); }
  std::vector<std::string> lines;
};

// a runner of a node without workers, peers or callers
struct RunnerHarness {
  explicit RunnerHarness(Filter<DispatchInput, DispatchEffects>& node)
      : runner(node, clock, workers, links, replies, format, metrics, log) {}

  MonotonicClock clock;
  NoWorkers workers;
  NoListener listener;
  PeerLinks links{Address(0x7f000001, 7906), "key", listener};
  PendingReplies replies;
  EmptyAnswers format;
  Metrics metrics;
  RecordingLog log;
  DispatchRunner runner;
};

}  // namespace

TEST_CASE("an event whose handling fails is logged, and the next one is handled") {
  FailingNode node;
  RunnerHarness harness(node);
  DispatchRunner& runner = harness.runner;
  const RecordingLog& log = harness.log;
  CHECK_NOTHROW(runner.Accept(DispatchTick()));
  REQUIRE(log.lines.size() == 1);
  CHECK(log.lines[0].find("event=event_failed") != std::string::npos);
  CHECK(log.lines[0].find("no such run") != std::string::npos);
  runner.OnPeerMessage("\x01\x02");
  CHECK(log.lines.size() == 2);
  runner.Accept(StoreAnswered());
  CHECK(node.handled == 1);
}

TEST_CASE("what a node counts is on the metrics page") {
  CountingNode node;
  RunnerHarness harness(node);
  harness.runner.Accept(DispatchTick());
  harness.runner.Accept(DispatchTick());
  CHECK(harness.metrics.Render().find("sapphireflow_adoptions_total{state=\"sent\"} 2\n") !=
        std::string::npos);
}
