// Part of transport: construction, startup and shutdown of an entry VM's service.
#include "sapphireflow/transport/entry_service.h"

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "sapphireflow/codec/http_bodies.h"
#include "sapphireflow/codec/job_id_codec.h"
#include "sapphireflow/codec/peer_codec.h"
#include "sapphireflow/observe/metrics.h"
#include "sapphireflow/routing/node.h"
#include "sapphireflow/transport/clock.h"
#include "sapphireflow/transport/effect_runner.h"
#include "sapphireflow/transport/entry_http.h"
#include "sapphireflow/transport/http_client.h"
#include "sapphireflow/transport/http_server.h"
#include "sapphireflow/transport/new_incarnation.h"
#include "sapphireflow/transport/peer_links.h"
#include "sapphireflow/transport/pending_replies.h"
#include "sapphireflow/transport/timer_thread.h"

namespace sapphireflow {
namespace {

// how long the platform holds a VM list request, and how much longer the client waits for the reply
constexpr Duration kVmListWatchTimeout = std::chrono::seconds(20);
constexpr Duration kVmListReplyMargin = std::chrono::seconds(5);
constexpr Duration kVmListRetryDelay = std::chrono::milliseconds(500);
// time for responses already passed to the sockets to be sent
constexpr Duration kFlushTime = std::chrono::milliseconds(300);
constexpr int kOk = 200;
constexpr char kEvictionOrder[] = "held-longest";

NodeOptions MakeNodeOptions(const EntrySettings& settings, Instant now) {
  const NodeId self(settings.addresses().peer(), NewIncarnation(now));
  return {self,
          settings.zone(),
          settings.limits().shards(),
          settings.policies(),
          settings.membership(),
          settings.addresses().seeds(),
          settings.limits().drain_limit(),
          now,
          self.incarnation()};
}

}  // namespace

class EntryService::Impl : public PeerListener {
 public:
  Impl(const EntrySettings& settings, EventLog& log)
      : m_settings(settings),
        m_log(log),
        m_id_codec(settings.peer_key()),
        m_gate(settings.limits().ingress(), kEvictionOrder, m_clock, m_metrics, log),
        m_options(MakeNodeOptions(settings, m_clock.Now())),
        m_node(m_options),
        m_timers(m_clock),
        m_http_client(settings.limits().worker_threads()),
        m_links(settings.addresses().peer(), settings.peer_key(), *this, &m_gate),
        m_runner(m_node, m_clock, m_timers, m_http_client, m_links, m_replies, m_id_codec,
                 m_metrics, log, settings.addresses().platform(),
                 [this](bool handed_over) { m_drained.set_value(handed_over); }),
        m_http(m_runner, m_node, m_clock, m_replies, m_id_codec, m_metrics, settings.operator_key(),
               settings.limits().max_body_bytes(), m_gate),
        m_server(settings.addresses().http(), settings.limits().http_threads(), m_http, &m_gate,
                 IngressListener::kCallers) {}

  ~Impl() override { Stop(); }

  std::optional<Error> Start() {
    if (auto error = m_links.Start()) return error;
    if (auto error = m_server.Start()) return error;
    m_log.Write(LogEvent(LogLevel::kInfo, "started",
                         {{"zone", m_settings.zone()},
                          {"http", m_settings.addresses().http().text()},
                          {"peer", m_settings.addresses().peer().text()},
                          {"incarnation", std::to_string(m_options.self().incarnation())}}));
    WatchVmList(0);
    ScheduleNextHeartbeat();
    return std::nullopt;
  }

  bool DrainAndStop() {
    m_log.Write(LogEvent(LogLevel::kInfo, "draining", {}));
    auto drained = m_drained.get_future();
    m_runner.Accept(BeginDrain());
    const bool handed_over = drained.get();
    std::promise<void> flushed;
    m_timers.At(m_clock.Now() + kFlushTime, [&flushed] { flushed.set_value(); });
    flushed.get_future().wait();
    Stop();
    m_log.Write(
        LogEvent(LogLevel::kInfo, "stopped", {{"handed_over", handed_over ? "true" : "false"}}));
    return handed_over;
  }

  void OnPeerMessage(const std::string& bytes) override {
    m_metrics.IncrementCounter("peer_bytes_total", "way", "in", bytes.size());
    auto message = DecodePeerMessage(bytes);
    if (const auto* error = std::get_if<Error>(&message)) {
      m_metrics.IncrementCounter("malformed_total", "from", "peer");
      m_log.Write(LogEvent(LogLevel::kWarning, "malformed-message",
                           {{"error", error->code()}, {"why", error->message()}}));
      return;
    }
    m_runner.Accept(PeerMessageReceived(std::move(std::get<PeerMessage>(message))));
  }

  void OnPeerUnreachable(const Address& peer) override { m_runner.Accept(PeerUnreachable(peer)); }

 private:
  void ScheduleNextHeartbeat() {
    m_runner.Accept(HeartbeatTick());
    m_gate.Sweep();
    m_timers.At(m_clock.Now() + m_settings.membership().heartbeat_interval(),
                [this] { ScheduleNextHeartbeat(); });
  }

  void WatchVmList(std::uint64_t known) {
    const std::string target =
        "/v1/vms?zone=" + m_settings.zone() + "&after=" + std::to_string(known) +
        "&wait_ms=" + std::to_string(static_cast<std::int64_t>(ToMillis(kVmListWatchTimeout)));
    m_http_client.Start(HttpCall("GET", m_settings.addresses().platform(), target, "", "",
                                 kVmListWatchTimeout + kVmListReplyMargin),
                        [this, known](const HttpResult& result) { OnVmList(known, result); });
  }

  void OnVmList(std::uint64_t known, const HttpResult& result) {
    if (result.end() == CallEnd::kResponded && result.status() == kOk) {
      const auto view = DecodeVmList(result.body());
      if (const auto* list = std::get_if<VmListView>(&view)) {
        if (list->revision() != known) m_runner.Accept(list->list());
        WatchVmList(list->revision());
        return;
      }
    }
    m_timers.At(m_clock.Now() + kVmListRetryDelay, [this, known] { WatchVmList(known); });
  }

  void Stop() {
    m_timers.Stop();
    m_server.Stop();
    m_links.Stop();
    m_http_client.Stop();
  }

  const EntrySettings m_settings;
  EventLog& m_log;
  const MonotonicClock m_clock;
  const JobIdCodec m_id_codec;
  Metrics m_metrics;
  // outlives the links, the server, and the requests that wait for their answers
  IngressGate m_gate;
  PendingReplies m_replies;
  std::promise<bool> m_drained;
  const NodeOptions m_options;
  Node m_node;
  TimerThread m_timers;
  HttpClient m_http_client;
  PeerLinks m_links;
  EffectRunner m_runner;
  EntryHttp m_http;
  HttpServer m_server;
};

EntryService::EntryService(const EntrySettings& settings, EventLog& log)
    : m_impl(std::make_unique<Impl>(settings, log)) {}

EntryService::~EntryService() = default;

std::optional<Error> EntryService::Start() { return m_impl->Start(); }

bool EntryService::DrainAndStop() { return m_impl->DrainAndStop(); }

}  // namespace sapphireflow
