// Part of transport: construction, startup and shutdown of a dispatch node.
#include "sapphireflow/transport/dispatch_service.h"

#include <algorithm>
#include <future>
#include <utility>

#include "sapphireflow/transport/clock.h"
#include "sapphireflow/transport/directory_watch.h"
#include "sapphireflow/transport/http_server.h"
#include "sapphireflow/transport/metrics_page.h"
#include "sapphireflow/transport/new_incarnation.h"
#include "sapphireflow/transport/peer_links.h"
#include "sapphireflow/transport/timer_thread.h"

namespace sapphireflow {
namespace {

// shorter than the heartbeat interval, which is the shortest time limit checked by ticks
constexpr Duration kTick = std::chrono::milliseconds(50);
// the load balancer checks readiness once a second and reacts to the second failed check
constexpr Duration kBalancerDetectionTime = std::chrono::milliseconds(2500);
// part of the stop grace period that is reserved for closing down
constexpr Duration kShutdownReserve = std::chrono::milliseconds(700);
// time for responses already passed to the sockets to be sent
constexpr Duration kFlushTime = std::chrono::milliseconds(150);
constexpr char kEvictionOrder[] = "held-longest";
// not secret: members find each other through the platform's store, which only the system's own
// processes can write
constexpr char kPeerKey[] = "sapphireflow";

}  // namespace

class DispatchService::Impl {
 public:
  Impl(const DispatchServiceOptions& service_options, const DispatchSettings& settings,
       PlatformStore& store, WorkerGateway& workers, const JobAnswerFormat& format,
       Metrics& metrics, EventLog& log)
      : m_service_options(service_options),
        m_log(log),
        m_gate(service_options.ingress(), kEvictionOrder, m_clock, metrics, log),
        m_metrics_page(metrics, &m_gate),
        m_self(service_options.peers(), NewIncarnation(m_clock.Now())),
        m_listing(m_self, service_options.zone(), service_options.milli_cores()),
        m_node(m_listing, settings),
        m_overload(MakeOverloadController(settings.overload_control()),
                   service_options.milli_cores(), m_clock, metrics, log),
        m_timers(m_clock,
                 [&log](const std::string& reason) {
                   log.Write(LogEvent(LogLevel::kError, "timer_failed", {{"why", reason}}));
                 }),
        m_links(service_options.peer_listener(), kPeerKey, m_listener, &m_gate),
        m_runner(m_node, m_clock, workers, m_links, m_replies, format, metrics, log),
        m_interest(m_node, m_clock),
        m_directory(m_listing, store, m_interest, m_runner, m_clock, m_timers, log) {
    m_listener.runner = &m_runner;
  }

  ~Impl() { Stop(); }

  const DispatchNode& node() const { return m_node; }
  Sink<DispatchEvent>& events() { return m_runner; }
  PendingReplies& replies() { return m_replies; }
  OverloadMonitor& overload() { return m_overload; }
  const Clock& clock() const { return m_clock; }

  std::optional<Error> Start(HttpHandler& callers, HttpHandler& readiness) {
    m_callers = std::make_unique<HttpServer>(m_service_options.callers(), 1, callers, &m_gate,
                                             IngressListener::kCallers);
    m_readiness = std::make_unique<HttpServer>(m_service_options.readiness(), 1, readiness, &m_gate,
                                               IngressListener::kReadiness);
    // members that knew a former process at this address may pass the list of workers on at once
    m_runner.Accept(EvacuationsAwaited());
    m_callers->MeasureDelay(m_overload.Listener(EventLoop::kCallers));
    m_links.MeasureDelay(m_overload.Listener(EventLoop::kPeers));
    if (auto error = m_links.Start()) return error;
    if (auto error = m_readiness->Start()) return error;
    if (auto error = m_callers->Start()) return error;
    StartMetrics();
    m_log.Write(LogEvent(LogLevel::kInfo, "started",
                         {{"zone", m_service_options.zone()},
                          {"callers", m_service_options.callers().text()},
                          {"member", m_self.text()}}));
    m_directory.Start();
    ScheduleNextTick(m_clock.Now());
    return std::nullopt;
  }

  void DrainAndStop() {
    const Instant drain_start = m_clock.Now();
    m_log.Write(LogEvent(LogLevel::kInfo, "draining",
                         {{"open", std::to_string(m_replies.size())},
                          {"grace_ms", std::to_string(ToMillis(m_service_options.stop_grace()))}}));
    m_runner.Accept(StopPlanned());
    m_directory.Leave();
    m_callers->DisableKeepAlive();
    const Duration limit = m_service_options.stop_grace() - kShutdownReserve;
    WaitOnTimer(std::min(kBalancerDetectionTime, limit));
    m_runner.Accept(IntakeClosed());
    const bool empty = m_replies.WaitUntilEmpty(limit - (m_clock.Now() - drain_start));
    WaitOnTimer(kFlushTime);
    Stop();
    m_log.Write(LogEvent(LogLevel::kInfo, "stopped",
                         {{"all_answered", empty ? "true" : "false"},
                          {"after_ms", std::to_string(ToMillis(m_clock.Now() - drain_start))}}));
  }

 private:
  // forwards to the runner, which is constructed after the links because it uses them
  struct ForwardingListener : public PeerListener {
    void OnPeerMessage(const std::string& bytes) override { runner->OnPeerMessage(bytes); }
    void OnPeerUnreachable(const Address& peer) override { runner->OnPeerUnreachable(peer); }
    PeerListener* runner = nullptr;
  };

  class NodeInterest : public WorkerListInterest {
   public:
    NodeInterest(const DispatchNode& node, const Clock& clock) : m_node(node), m_clock(clock) {}
    bool ReadsWorkers() const override { return m_node.ReadsWorkers(m_clock.Now()); }

   private:
    const DispatchNode& m_node;
    const Clock& m_clock;
  };

  // no job depends on the metrics, so the node also runs if they cannot be served
  void StartMetrics() {
    const auto& address = m_service_options.metrics();
    if (!address) return;
    m_metrics_server = std::make_unique<HttpServer>(*address, 1, m_metrics_page, &m_gate,
                                                    IngressListener::kMetrics);
    if (const auto error = m_metrics_server->Start()) {
      m_log.Write(LogEvent(
          LogLevel::kWarning, "metrics_not_served",
          {{"address", address->text()}, {"error", error->code()}, {"why", error->message()}}));
      m_metrics_server.reset();
    }
  }

  // @param due when this tick was due
  void ScheduleNextTick(Instant due) {
    m_on_tick_delay(m_clock.Now() - due, kTick);
    m_overload.OnTick();
    m_runner.Accept(DispatchTick(m_overload.LongestRecentDelay()));
    m_gate.Sweep();
    const Instant next = m_clock.Now() + kTick;
    m_timers.At(next, [this, next] { ScheduleNextTick(next); });
  }

  void WaitOnTimer(Duration length) {
    std::promise<void> over;
    m_timers.At(m_clock.Now() + length, [&over] { over.set_value(); });
    over.get_future().wait();
  }

  void Stop() {
    m_timers.Stop();
    if (m_callers) m_callers->Stop();
    if (m_readiness) m_readiness->Stop();
    if (m_metrics_server) m_metrics_server->Stop();
    m_links.Stop();
  }

  const DispatchServiceOptions m_service_options;
  EventLog& m_log;
  const MonotonicClock m_clock;
  // outlives the servers and their requests
  IngressGate m_gate;
  MetricsPage m_metrics_page;
  const NodeId m_self;
  const MemberListing m_listing;
  PendingReplies m_replies;
  DispatchNode m_node;
  OverloadMonitor m_overload;
  const OnLoopDelay m_on_tick_delay = m_overload.Listener(EventLoop::kTimers);
  TimerThread m_timers;
  ForwardingListener m_listener;
  PeerLinks m_links;
  DispatchRunner m_runner;
  NodeInterest m_interest;
  DirectoryWatch m_directory;
  std::unique_ptr<HttpServer> m_callers;
  std::unique_ptr<HttpServer> m_readiness;
  std::unique_ptr<HttpServer> m_metrics_server;
};

DispatchService::DispatchService(const DispatchServiceOptions& service_options,
                                 const DispatchSettings& settings, PlatformStore& store,
                                 WorkerGateway& workers, const JobAnswerFormat& format,
                                 Metrics& metrics, EventLog& log)
    : m_impl(std::make_unique<Impl>(service_options, settings, store, workers, format, metrics,
                                    log)) {}

DispatchService::~DispatchService() = default;

const DispatchNode& DispatchService::node() const { return m_impl->node(); }
Sink<DispatchEvent>& DispatchService::events() { return m_impl->events(); }
PendingReplies& DispatchService::replies() { return m_impl->replies(); }

OverloadMonitor& DispatchService::overload() { return m_impl->overload(); }

const Clock& DispatchService::clock() const { return m_impl->clock(); }

std::optional<Error> DispatchService::Start(HttpHandler& callers, HttpHandler& readiness) {
  return m_impl->Start(callers, readiness);
}

void DispatchService::DrainAndStop() { m_impl->DrainAndStop(); }

}  // namespace sapphireflow
