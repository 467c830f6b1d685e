// Refusals of overload control at the callers' HTTP handler. Guards against refusals that cost as
// much as the job (body decoded, a log line each), that hit repeated submissions of a job that may
// run, or that hit requests other than submissions.
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "job_http_handler.h"
#include "sapphireflow/dispatch/job_submission.h"
#include "wire_format.h"

using namespace sapphireflow;
using namespace sapphireflow::platform;

namespace {

const NodeId kSelf(Address(1, 7720), 1);
const MemberListing kListing(kSelf, "celaya", 250);

class SetClock : public Clock {
 public:
  Instant Now() const override { return now; }
  Instant now = FromUnixMillis(1700000000000);
};

class RecordingLog : public EventLog {
 public:
  void Write(const LogEvent& event) override { names.push_back(event.name()); }
  std::vector<std::string> names;
};

class RefuseAll : public OverloadController {
 public:
  void OnLoopDelay(const LoopDelaySample& /*sample*/) override {}
  void OnCpuUse(const CpuUseSample& /*sample*/) override {}
  OverloadVerdict Decide(const ArrivingJob& job) override {
    jobs.push_back(job);
    if (admits) return OverloadVerdict::Admit();
    return OverloadVerdict::Refuse(std::chrono::seconds(3));
  }
  OverloadState State(Instant /*now*/) const override {
    return {!jobs.empty(), jobs.empty() ? 1.0 : 0.5, {}, EventLoop::kCallers};
  }
  std::vector<ArrivingJob> jobs;
  bool admits = false;
};

class RecordingResponder : public HttpResponder {
 public:
  void Respond(const HttpResponse& response) override { responses.push_back(response); }
  void Abort() override {}
  void OnClosed(std::function<void()> /*action*/) override {}
  std::vector<HttpResponse> responses;
};

// a node with one worker and one queue, and its handler
class OverloadedVm : public Sink<DispatchEvent> {
 public:
  OverloadedVm() {
    const Resources capacity(16000, 4096, 0);
    const NodeId owner(Address(2, 7720), 1);
    m_node.Apply(
        DispatchInput(m_clock.now, WorkersListed({WorkerListing("w1", Address(10, 80), "workshop",
                                                                "celaya", {}, capacity, 1, false)},
                                                 m_clock.now)));
    m_node.Apply(DispatchInput(m_clock.now, MembersListed({MemberListing(owner, "celaya", 250)})));
    m_node.Apply(DispatchInput(
        m_clock.now, DispatchMessage(CapacityAnnouncement(
                         owner, "celaya",
                         {CapacityDigest("workshop", {WorkerFreeCapacity("w1", capacity, 1.0)},
                                         Duration::zero(), 16000)}))));
    const QueueConfig queue("jobs", "shop", "/jobs/", "workshop", 2, 1, 1.6,
                            std::chrono::milliseconds(60), std::chrono::milliseconds(1500));
    m_node.Apply(DispatchInput(
        m_clock.now, ConfigurationCopy(std::make_shared<Configuration>(
                         1, std::vector<QueueConfig>{queue}, std::vector<ServiceConfig>{}, 1000))));
  }

  void Accept(DispatchEvent event) override {
    events.push_back(event);
    m_node.Apply(DispatchInput(m_clock.now, std::move(event)));
  }

  std::vector<HttpResponse> Request(const std::string& method, const std::string& name,
                                    const std::string& body) {
    const auto responder = std::make_shared<RecordingResponder>();
    m_handler.Handle(HttpRequest(method, "/jobs/" + name, "", "", body,
                                 {{"Host", "shop"}, {"Sapphireflow-Deadline-Ms", "700"}}),
                     responder);
    return responder->responses;
  }

  void Tick(Duration pause) {
    m_clock.now += pause;
    m_monitor.OnTick();
  }

  void Delay(Duration delay) { m_monitor.Listener(EventLoop::kCallers)(delay, Duration::zero()); }

  Instant now() const { return m_clock.now; }

  std::vector<DispatchEvent> events;
  RecordingLog log;
  Metrics metrics;

 private:
  SetClock m_clock;
  DispatchNode m_node{kListing, DispatchSettings(LeaseLimits(std::chrono::seconds(1),
                                                             std::chrono::milliseconds(1300)),
                                                 std::chrono::seconds(2), 2.0, "least-slack",
                                                 "slowest-sufficient", "consecutive-failures")};
  std::unique_ptr<RefuseAll> m_owned_controller = std::make_unique<RefuseAll>();

 public:
  RefuseAll& controller = *m_owned_controller;

 private:
  PendingReplies m_replies;
  AnswerFormat m_format;
  OverloadMonitor m_monitor{std::move(m_owned_controller), 250, m_clock, metrics, log};
  JobHttpHandler m_handler{m_node, *this, m_replies, m_format, m_monitor, m_clock};
};

const std::string kName = "00000000000000a7";
const std::string kBody = R"({"spec":"x","best_effort":true,)"
                          R"("steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimated_ms":20}]})";

// the job of kName and kBody
JobOrderPtr KnownOrder() {
  const auto submission = DecodeSubmission(0xa7, kBody);
  const QueueConfig queue("jobs", "shop", "/jobs/", "workshop", 2, 1, 1.6,
                          std::chrono::milliseconds(60), std::chrono::milliseconds(1500));
  return std::get<JobOrderPtr>(
      MakeJobOrder(queue, std::get<JobSubmission>(submission), std::chrono::milliseconds(1500)));
}

}  // namespace

TEST_CASE("a job is refused before its body is decoded, other requests are not") {
  OverloadedVm vm;
  const auto refused = vm.Request("POST", kName, "not decoded");
  REQUIRE(refused.size() == 1);
  CHECK(refused.front().status() == 503);
  CHECK(refused.front().headers() == HttpHeaders{{"Retry-After", "3"}});
  CHECK(refused.front().body().find("SF2012") != std::string::npos);
  CHECK(vm.events.empty());
  REQUIRE(vm.controller.jobs.size() == 1);
  CHECK(vm.controller.jobs.front().key() == 0xa7);
  CHECK(vm.controller.jobs.front().priority() == 2);
  CHECK(vm.controller.jobs.front().time_left() == std::chrono::milliseconds(700));
  CHECK(vm.metrics.Render().find("jobs_shed_total{priority=\"2\"} 1\n") != std::string::npos);
  CHECK(vm.Request("GET", kName, "").empty());
  CHECK(vm.Request("DELETE", kName, "").empty());
  CHECK(vm.events.size() == 2);
}

TEST_CASE("a job that this VM knows is not refused when it is submitted again") {
  OverloadedVm vm;
  vm.Accept(SubmitJobOrder(99, KnownOrder()));
  vm.events.clear();
  CHECK(vm.Request("POST", kName, kBody).empty());
  REQUIRE(vm.events.size() == 1);
  CHECK(std::holds_alternative<SubmitJobOrder>(vm.events.front()));
  CHECK(vm.Request("POST", "00000000000000a8", kBody).size() == 1);
}

// Guards against callers who get past overload control because they have come before.
TEST_CASE("a job whose caller has left is refused like a new one when it is submitted again") {
  OverloadedVm vm;
  vm.Accept(SubmitJobOrder(99, KnownOrder()));
  vm.Accept(CallerDisconnected(99));
  const auto refused = vm.Request("POST", kName, kBody);
  REQUIRE(refused.size() == 1);
  CHECK(refused.front().status() == 503);
}

// A VM short of CPU time answered 404 for a queue that had been added 3.6 s before.
TEST_CASE("a late VM whose configuration was not confirmed in time handles nothing by it") {
  OverloadedVm vm;
  vm.controller.admits = true;
  const auto status_after = [&vm](Duration pause, int own_delay_ms) {
    vm.Tick(pause);
    vm.Delay(std::chrono::milliseconds(own_delay_ms));
    const auto responses = vm.Request("GET", "x/y", "");
    return responses.empty() ? 0 : responses.front().status();
  };
  // nothing is known of the store yet
  CHECK(status_after(std::chrono::seconds(10), 900) == 410);
  vm.Accept(ConfigurationConfirmed(vm.now()));
  CHECK(status_after(std::chrono::milliseconds(1800), 900) == 410);
  SECTION("a VM that is on time knows that the store is slow") {
    CHECK(status_after(std::chrono::seconds(3), 100) == 410);
  }
  SECTION("a late one does not") {
    CHECK(status_after(std::chrono::milliseconds(100), 900) == 503);
    CHECK(vm.Request("POST", kName, kBody).front().headers() == HttpHeaders{{"Retry-After", "1"}});
    vm.Accept(ConfigurationConfirmed(vm.now()));
    CHECK(status_after(std::chrono::milliseconds(100), 900) == 410);
  }
  SECTION("it goes on while the store is away, as a zone that is cut off has to serve") {
    vm.Accept(ConfigurationUnconfirmed());
    CHECK(status_after(std::chrono::seconds(30), 900) == 410);
    vm.Accept(ConfigurationConfirmed(vm.now() - std::chrono::seconds(3)));
    CHECK(status_after(std::chrono::milliseconds(1), 900) == 503);
  }
}

// Guards against callers that are told to repeat a request which can never be accepted.
TEST_CASE("a request that is itself at fault gets no Retry-After") {
  OverloadedVm vm;
  vm.controller.admits = true;
  const auto malformed = vm.Request("POST", kName, "no job");
  REQUIRE(malformed.size() == 1);
  CHECK(malformed.front().status() == 400);
  CHECK(malformed.front().headers().empty());
  const auto unnamed = vm.Request("POST", "x", kBody);
  REQUIRE(unnamed.size() == 1);
  CHECK(unnamed.front().headers().empty());
}

TEST_CASE("refusals are logged by one line a second") {
  OverloadedVm vm;
  for (int i = 0; i < 50; ++i) {
    vm.Request("POST", kName, kBody);
    vm.Tick(std::chrono::milliseconds(50));
  }
  CHECK(vm.log.names == std::vector<std::string>{"overload_began", "jobs_shed", "jobs_shed"});
}
