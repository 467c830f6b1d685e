// Part of transport: converts effects to calls and their results to events.
#include "sapphireflow/transport/effect_runner.h"

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "sapphireflow/codec/http_bodies.h"
#include "sapphireflow/codec/peer_codec.h"

namespace sapphireflow {
namespace {

constexpr Duration kStopTimeout = std::chrono::seconds(1);
constexpr Duration kStoreTimeout = std::chrono::seconds(2);
// how long the store holds a watch call, and how much longer the client waits for the reply
constexpr Duration kWatchWait = std::chrono::seconds(20);
constexpr Duration kWatchReplyMargin = std::chrono::seconds(5);
// a worker stops a task when its lease expires and replies only afterwards
constexpr Duration kLeaseReplyMargin = std::chrono::milliseconds(100);

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

int StatusOf(const Error& error) {
  switch (error.id()) {
    case ErrorId::kQuotaExceeded:
    case ErrorId::kLimitReached:
    case ErrorId::kCannotFinishInTime:
      return kTooManyRequests;
    case ErrorId::kDraining:
    case ErrorId::kNoTable:
    case ErrorId::kStoreUnavailable:
    case ErrorId::kHomeUnreachable:
      return kUnavailable;
    case ErrorId::kIdReused:
    case ErrorId::kStaleVersion:
      return kConflict;
    default:
      return kUnprocessable;
  }
}

// converts the body of a reply to an HTTP response
class ResponseMaker {
 public:
  explicit ResponseMaker(const JobIdCodec& codec) : m_codec(codec) {}
  HttpResponse operator()(const std::vector<JobId>& ids) const {
    return {kOk, EncodeIds(ids, m_codec)};
  }
  HttpResponse operator()(const JobAnswer& answer) const {
    const bool settled =
        answer.verdict() == Verdict::kComplete || answer.verdict() == Verdict::kFailed;
    return {settled ? kOk : StatusOf(*answer.cause()), EncodeAnswer(answer)};
  }
  HttpResponse operator()(const Journal& journal) const {
    return {kOk, EncodeExplanation(journal)};
  }
  HttpResponse operator()(const EditAnswer& answer) const {
    return {answer.cause() ? StatusOf(*answer.cause()) : kOk, EncodeEditAnswer(answer)};
  }
  HttpResponse operator()(const Error& error) const {
    return {StatusOf(error), EncodeError(error)};
  }

 private:
  const JobIdCodec& m_codec;
};

AttemptReport ToReport(const AttemptId& attempt, const HttpResult& result) {
  if (result.end() == CallEnd::kNotSent) {
    return {attempt, AttemptEnd::kNotSent, result.body()};
  }
  if (result.end() == CallEnd::kLost) return {attempt, AttemptEnd::kLost, result.body()};
  const auto reply = DecodeWorkerReply(result.body());
  if (const auto* error = std::get_if<Error>(&reply)) {
    return {attempt, AttemptEnd::kLost, "cannot decode the reply: " + error->message()};
  }
  return {attempt, std::get<WorkerReply>(reply).end(), std::get<WorkerReply>(reply).detail()};
}

StoreReply ToStoreReply(StoreCall call, const HttpResult& result, const TablePtr& swapped) {
  if (result.end() != CallEnd::kResponded) return {call, StoreEnd::kUnknown, 0, nullptr};
  // the first line of the body is the store's revision, the rest is the value
  const std::size_t line = result.body().find('\n');
  const Revision revision = std::strtoull(result.body().c_str(), nullptr, 10);
  if (result.status() == kConflict) return {call, StoreEnd::kConflict, revision, nullptr};
  if (result.status() != kOk || line == std::string::npos) {
    return {call, StoreEnd::kUnknown, 0, nullptr};
  }
  if (swapped) return {call, StoreEnd::kSwapped, revision, swapped};
  const std::string value = result.body().substr(line + 1);
  if (value.empty()) return {call, StoreEnd::kValue, revision, nullptr};
  const auto table = DecodeStoredTable(value);
  if (std::holds_alternative<Error>(table)) return {call, StoreEnd::kUnknown, 0, nullptr};
  return {call, StoreEnd::kValue, revision, std::make_shared<Table>(std::get<Table>(table))};
}

}  // namespace

EffectRunner::EffectRunner(Filter<NodeInput, NodeEffects>& node, const Clock& clock,
                           TimerThread& timers, HttpClient& http, PeerLinks& links,
                           PendingReplies& replies, const JobIdCodec& id_codec, Metrics& metrics,
                           EventLog& log, const Address& platform,
                           std::function<void(bool)> on_drained)
    : m_node(node),
      m_clock(clock),
      m_timers(timers),
      m_http(http),
      m_links(links),
      m_replies(replies),
      m_id_codec(id_codec),
      m_metrics(metrics),
      m_log(log),
      m_platform(platform),
      m_on_drained(std::move(on_drained)) {}

void EffectRunner::Accept(NodeEvent event) {
  const NodeEffects effects = m_node.Apply(NodeInput(m_clock.Now(), std::move(event)));
  for (const NodeEffect& effect : effects) {
    std::visit([this](const auto& one) { Run(one); }, effect);
  }
}

void EffectRunner::Run(const StartAttempt& effect) {
  m_metrics.IncrementCounter("messages_total", "kind", "start");
  const AttemptId attempt = effect.attempt();
  const Duration timeout = effect.lease_until() - m_clock.Now() + kLeaseReplyMargin;
  const HttpCall call("POST", effect.worker(), "/v1/tasks", "",
                      EncodeStart(effect, AttemptName(attempt, m_id_codec)), timeout);
  m_http.Start(call,
               [this, attempt](const HttpResult& result) { Accept(ToReport(attempt, result)); });
}

void EffectRunner::Run(const StopAttempts& effect) {
  m_metrics.IncrementCounter("messages_total", "kind", "stop");
  std::map<std::string, AttemptId> by_name;
  std::vector<std::string> names;
  for (const AttemptId& attempt : effect.attempts()) {
    names.push_back(AttemptName(attempt, m_id_codec));
    by_name.emplace(names.back(), attempt);
  }
  const HttpCall call("POST", effect.worker(), "/v1/stop", "", EncodeStop(names), kStopTimeout);
  m_http.Start(call, [this, by_name](const HttpResult& result) {
    // without a reply, the attempts end when their leases expire
    if (result.end() != CallEnd::kResponded) return;
    const auto replies = DecodeStopReplies(result.body());
    if (std::holds_alternative<Error>(replies)) return;
    for (const WorkerReply& reply : std::get<std::vector<WorkerReply>>(replies)) {
      const auto found = by_name.find(reply.attempt());
      if (found == by_name.end()) continue;
      Accept(AttemptReport(found->second, reply.end(), reply.detail()));
    }
  });
}

void EffectRunner::Run(const JobSettled& effect) {
  const JobAnswer& answer = effect.answer();
  m_metrics.IncrementCounter("jobs_total", "verdict", VerdictName(answer.verdict()));
  if (answer.verdict() == Verdict::kComplete) {
    m_metrics.RecordResponse(effect.kind(), effect.response());
    return;
  }
  m_metrics.IncrementCounter("job_errors_total", "error", answer.cause()->code());
  m_log.Write(LogEvent(LogLevel::kWarning, "job-" + std::string(VerdictName(answer.verdict())),
                       {{"job", m_id_codec.Write(effect.job())},
                        {"team", effect.team()},
                        {"kind", effect.kind()},
                        {"error", answer.cause()->code()},
                        {"why", answer.cause()->message()}}));
}

void EffectRunner::Run(const AttemptWasted& effect) {
  m_metrics.IncrementCounter("attempts_wasted_total", "cause", effect.cause());
  m_log.Write(LogEvent(LogLevel::kWarning, "attempt-wasted",
                       {{"attempt", AttemptName(effect.attempt(), m_id_codec)},
                        {"worker", effect.worker().text()},
                        {"cause", effect.cause()}}));
}

void EffectRunner::Run(const WakeShard& effect) {
  const ShardIndex shard = effect.shard();
  m_timers.At(effect.at(), [this, shard] { Accept(ShardTimerExpired(shard)); });
}

void EffectRunner::Run(const SendToPeer& effect) {
  const std::string bytes = EncodePeerMessage(effect.message());
  m_metrics.IncrementCounter("peer_messages_total", "kind", PeerMessageName(effect.message()));
  m_metrics.IncrementCounter("peer_bytes_total", "way", "out", bytes.size());
  m_links.Send(effect.to(), bytes);
}

void EffectRunner::Run(const CallerReply& effect) {
  m_replies.Respond(effect.token(), std::visit(ResponseMaker(m_id_codec), effect.body()));
}

void EffectRunner::Run(const ReadStore& effect) {
  m_metrics.IncrementCounter("store_calls_total", "kind", effect.watch() ? "watch" : "read");
  std::string target = "/v1/kv/table";
  Duration timeout = kStoreTimeout;
  if (effect.watch()) {
    target += "?after=" + std::to_string(effect.known()) +
              "&wait_ms=" + std::to_string(static_cast<std::int64_t>(ToMillis(kWatchWait)));
    timeout = kWatchWait + kWatchReplyMargin;
  }
  const StoreCall id = effect.call();
  m_http.Start(HttpCall("GET", m_platform, target, "", "", timeout),
               [this, id](const HttpResult& result) { Accept(ToStoreReply(id, result, nullptr)); });
}

void EffectRunner::Run(const SwapStore& effect) {
  m_metrics.IncrementCounter("store_calls_total", "kind", "swap");
  const StoreCall id = effect.call();
  const TablePtr& table = effect.table();
  const std::string target = "/v1/kv/table?expect=" + std::to_string(effect.expected());
  m_http.Start(
      HttpCall("PUT", m_platform, target, "", EncodeStoredTable(*table), kStoreTimeout),
      [this, id, table](const HttpResult& result) { Accept(ToStoreReply(id, result, table)); });
}

void EffectRunner::Run(const TableActivated& effect) {
  m_log.Write(
      LogEvent(LogLevel::kInfo, "table-in-force", {{"version", std::to_string(effect.version())}}));
}

void EffectRunner::Run(const Drained& effect) { m_on_drained(effect.handed_over()); }

}  // namespace sapphireflow
