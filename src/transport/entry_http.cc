// Part of transport: routing of paths and methods of the entry VM's HTTP interface.
#include "sapphireflow/transport/entry_http.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <utility>

#include "sapphireflow/codec/csv.h"
#include "sapphireflow/codec/http_bodies.h"
#include "sapphireflow/settings/table_sheet.h"
#include "sapphireflow/transport/metrics_page.h"

namespace sapphireflow {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr std::int64_t kDefaultWaitMs = 10000;
constexpr std::int64_t kMaxWaitMs = 120000;
constexpr char kJobsPath[] = "/v1/jobs/";

void RespondWithError(const std::shared_ptr<HttpResponder>& responder, int status, ErrorId id,
                      const std::string& message) {
  responder->Respond(HttpResponse(status, EncodeError(Error(id, message))));
}

bool StartsWith(const std::string& text, const std::string& start) {
  return text.compare(0, start.size(), start) == 0;
}

}  // namespace

EntryHttp::EntryHttp(Sink<NodeEvent>& events, const Node& node, const Clock& clock,
                     PendingReplies& replies, const JobIdCodec& id_codec, Metrics& metrics,
                     std::string operator_key, std::size_t max_body_bytes, const IngressGate& gate)
    : m_events(events),
      m_node(node),
      m_clock(clock),
      m_replies(replies),
      m_id_codec(id_codec),
      m_metrics(metrics),
      m_operator_authorization("Bearer " + std::move(operator_key)),
      m_max_body_bytes(max_body_bytes),
      m_gate(gate) {}

bool EntryHttp::IsOperator(const HttpRequest& request) const {
  return request.authorization() == m_operator_authorization;
}

void EntryHttp::Handle(const HttpRequest& request, std::shared_ptr<HttpResponder> responder) {
  m_metrics.IncrementCounter("http_requests_total", "method", request.method());
  if (request.body().size() > m_max_body_bytes) {
    RespondWithError(responder, kTooLarge, ErrorId::kBodyTooLarge,
                     "the body has " + std::to_string(request.body().size()) +
                         " bytes, the maximum is " + std::to_string(m_max_body_bytes));
    return;
  }
  HandlePublic(request, responder);
}

void EntryHttp::HandlePublic(const HttpRequest& request, const ResponderPtr& responder) {
  if (request.method() == "GET" && request.path() == "/healthz") {
    const bool draining = m_node.Status(m_clock.Now()).draining();
    // the load balancer stops sending requests here as soon as a planned stop begins
    responder->Respond(HttpResponse(draining ? kUnavailable : kOk, draining ? "draining\n" : "ok\n",
                                    "text/plain"));
    return;
  }
  if (request.method() == "POST" && request.path() == "/v1/ids") {
    HandleIssueIds(request, responder);
    return;
  }
  if (StartsWith(request.path(), kJobsPath)) {
    HandleJob(request, request.path().substr(sizeof kJobsPath - 1), responder);
    return;
  }
  if (!IsOperator(request)) {
    RespondWithError(responder, kUnauthorized, ErrorId::kUnauthorized,
                     "the operator key is required for this resource");
    return;
  }
  HandleOperator(request, responder);
}

void EntryHttp::HandleOperator(const HttpRequest& request, const ResponderPtr& responder) {
  const bool get = request.method() == "GET";
  if (get && request.path() == "/status") {
    const Instant now = m_clock.Now();
    responder->Respond(HttpResponse(kOk, EncodeStatus(m_node.Status(now), now)));
  } else if (get && request.path() == "/metrics") {
    MetricsPage(m_metrics, &m_gate).Handle(request, responder);
  } else if (get && request.path() == "/v1/table") {
    responder->Respond(HttpResponse(kOk, EncodeTableView(m_node.CurrentTable())));
  } else if (request.method() == "PUT" && request.path() == "/v1/table") {
    HandleTableEdit(request, responder);
  } else {
    RespondWithError(responder, kNotFound, ErrorId::kNoSuchResource,
                     "no such resource: " + request.method() + " " + request.path());
  }
}

void EntryHttp::HandleJob(const HttpRequest& request, const std::string& id_and_verb,
                          const ResponderPtr& responder) {
  const std::size_t slash = id_and_verb.find('/');
  const std::string verb = slash == std::string::npos ? "" : id_and_verb.substr(slash + 1);
  const auto id = m_id_codec.Read(id_and_verb.substr(0, slash));
  if (const auto* error = std::get_if<Error>(&id)) {
    responder->Respond(HttpResponse(kBadRequest, EncodeError(*error)));
    return;
  }
  const JobId& job = std::get<JobId>(id);
  const std::string& method = request.method();
  if (verb.empty() && method == "PUT") {
    HandleSubmit(request, job, responder);
  } else if (verb.empty() && method == "GET") {
    HandleQuery(request, job, JobRequestKind::kAnswer, responder);
  } else if (verb == "stop" && method == "POST" && IsOperator(request)) {
    HandleQuery(request, job, JobRequestKind::kStop, responder);
  } else if (verb == "explain" && method == "GET" && IsOperator(request)) {
    HandleQuery(request, job, JobRequestKind::kExplain, responder);
  } else if (verb == "stop" || verb == "explain") {
    RespondWithError(responder, kUnauthorized, ErrorId::kUnauthorized,
                     "the operator key is required for this resource");
  } else {
    RespondWithError(responder, kNotFound, ErrorId::kNoSuchResource,
                     "no such resource: " + method + " " + request.path());
  }
}

void EntryHttp::HandleIssueIds(const HttpRequest& request, const ResponderPtr& responder) {
  const auto count = DecodeIdRequest(request.body());
  if (const auto* error = std::get_if<Error>(&count)) {
    responder->Respond(HttpResponse(kBadRequest, EncodeError(*error)));
    return;
  }
  m_events.Accept(IssueIds(m_replies.Add(responder), std::get<std::uint32_t>(count)));
}

void EntryHttp::HandleSubmit(const HttpRequest& request, const JobId& id,
                             const ResponderPtr& responder) {
  auto spec = DecodeSubmission(request.body(), m_clock.Now());
  if (const auto* error = std::get_if<Error>(&spec)) {
    responder->Respond(HttpResponse(kBadRequest, EncodeError(*error)));
    return;
  }
  m_events.Accept(CallerSubmit(m_replies.Add(responder), id,
                               std::make_shared<JobSpec>(std::move(std::get<JobSpec>(spec)))));
}

void EntryHttp::HandleQuery(const HttpRequest& request, const JobId& id, JobRequestKind query_kind,
                            const ResponderPtr& responder) {
  const std::string wait = request.Parameter("wait_ms");
  std::int64_t wait_ms = wait.empty() ? kDefaultWaitMs : std::strtoll(wait.c_str(), nullptr, 10);
  wait_ms = std::clamp<std::int64_t>(wait_ms, 1, kMaxWaitMs);
  const Instant reply_by = m_clock.Now() + std::chrono::milliseconds(wait_ms);
  m_events.Accept(CallerQuery(m_replies.Add(responder), id, query_kind, reply_by));
}

void EntryHttp::HandleTableEdit(const HttpRequest& request, const ResponderPtr& responder) {
  const auto edit = DecodeEditRequest(request.body());
  if (const auto* error = std::get_if<Error>(&edit)) {
    responder->Respond(HttpResponse(kBadRequest, EncodeError(*error)));
    return;
  }
  const auto& edit_request = std::get<EditRequest>(edit);
  const auto sheet = ReadCsv(edit_request.csv());
  if (const auto* findings = std::get_if<Findings>(&sheet)) {
    responder->Respond(HttpResponse(kBadRequest, EncodeFindings(*findings)));
    return;
  }
  const auto rows = ParseTableSheet(std::get<Sheet>(sheet));
  if (const auto* findings = std::get_if<Findings>(&rows)) {
    responder->Respond(HttpResponse(kBadRequest, EncodeFindings(*findings)));
    return;
  }
  m_events.Accept(
      OperatorEdit(m_replies.Add(responder),
                   TableEdit(edit_request.edit_id(), edit_request.who(),
                             edit_request.base_version(), std::get<std::vector<TableRow>>(rows))));
}

}  // namespace sapphireflow
