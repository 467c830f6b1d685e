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

}  // namespace

TEST_CASE("an event whose handling fails is logged, and the next one is handled") {
  FailingNode node;
  const MonotonicClock clock;
  NoWorkers workers;
  NoListener listener;
  PeerLinks links(Address(0x7f000001, 7906), "key", listener);
  PendingReplies replies;
  const EmptyAnswers format;
  Metrics metrics;
  RecordingLog log;
  DispatchRunner runner(node, clock, workers, links, replies, format, metrics, log);
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
  const MonotonicClock clock;
  NoWorkers workers;
  NoListener listener;
  PeerLinks links(Address(0x7f000001, 7906), "key", listener);
  PendingReplies replies;
  const EmptyAnswers format;
  Metrics metrics;
  RecordingLog log;
  DispatchRunner runner(node, clock, workers, links, replies, format, metrics, log);
  runner.Accept(DispatchTick());
  runner.Accept(DispatchTick());
  CHECK(metrics.Render().find("sapphireflow_adoptions_total{state=\"sent\"} 2\n") !=
        std::string::npos);
}
