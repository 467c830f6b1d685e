// Part of transport: paths and methods of the entry VM's HTTP interface.
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
constexpr std::int64_t kLongestWaitMs = 120000;
constexpr char kJobs[] = "/v1/jobs/";

void Fail(const std::shared_ptr<HttpResponder>& responder, int status, ErrorId id,
          const std::string& message) {
  responder->Respond(HttpResponse(status, EncodeError(Error(id, message))));
}

bool StartsWith(const std::string& text, const std::string& start) {
  return text.compare(0, start.size(), start) == 0;
}

}  // namespace

EntryHttp::EntryHttp(Sink<NodeEvent>& events, const Node& node, const Clock& clock,
                     PendingReplies& replies, const JobIdCodec& id_text, Metrics& metrics,
                     std::string operator_key, std::size_t max_body_bytes)
    : m_events(events),
      m_node(node),
      m_clock(clock),
      m_replies(replies),
      m_id_text(id_text),
      m_metrics(metrics),
      m_operator_authorization("Bearer " + std::move(operator_key)),
      m_max_body_bytes(max_body_bytes) {}

bool EntryHttp::IsOperator(const HttpRequest& request) const {
  return request.authorization() == m_operator_authorization;
}

void EntryHttp::Handle(const HttpRequest& request, std::shared_ptr<HttpResponder> responder) {
  m_metrics.IncrementCounter("http_requests_total", "method", request.method());
  if (request.body().size() > m_max_body_bytes) {
    Fail(responder, kTooLarge, ErrorId::kBodyTooLarge,
         "the body has " + std::to_string(request.body().size()) + " bytes, allowed are " +
             std::to_string(m_max_body_bytes));
    return;
  }
  HandleOpen(request, responder);
}

void EntryHttp::HandleOpen(const HttpRequest& request, const ResponderPtr& responder) {
  if (request.method() == "GET" && request.path() == "/healthz") {
    const bool draining = m_node.Status(m_clock.Now()).draining();
    // the balancer stops sending here as soon as a planned stop begins
    responder->Respond(HttpResponse(draining ? kUnavailable : kOk, draining ? "draining\n" : "ok\n",
                                    "text/plain"));
    return;
  }
  if (request.method() == "POST" && request.path() == "/v1/ids") {
    Issue(request, responder);
    return;
  }
  if (StartsWith(request.path(), kJobs)) {
    HandleJob(request, request.path().substr(sizeof kJobs - 1), responder);
    return;
  }
  if (!IsOperator(request)) {
    Fail(responder, kUnauthorized, ErrorId::kUnauthorized, "the operators' key is wanted here");
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
    MetricsPage(m_metrics).Handle(request, responder);
  } else if (get && request.path() == "/v1/table") {
    responder->Respond(HttpResponse(kOk, EncodeTableView(m_node.CurrentTable())));
  } else if (request.method() == "PUT" && request.path() == "/v1/table") {
    EditTable(request, responder);
  } else {
    Fail(responder, kNotFound, ErrorId::kNoSuchResource,
         "nothing answers " + request.method() + " " + request.path());
  }
}

void EntryHttp::HandleJob(const HttpRequest& request, const std::string& rest,
                          const ResponderPtr& responder) {
  const std::size_t slash = rest.find('/');
  const std::string verb = slash == std::string::npos ? "" : rest.substr(slash + 1);
  const auto id = m_id_text.Read(rest.substr(0, slash));
  if (const auto* error = std::get_if<Error>(&id)) {
    responder->Respond(HttpResponse(kBadRequest, EncodeError(*error)));
    return;
  }
  const JobId& job = std::get<JobId>(id);
  const std::string& method = request.method();
  if (verb.empty() && method == "PUT") {
    Submit(request, job, responder);
  } else if (verb.empty() && method == "GET") {
    AskAbout(request, job, JobRequestKind::kAnswer, responder);
  } else if (verb == "stop" && method == "POST" && IsOperator(request)) {
    AskAbout(request, job, JobRequestKind::kStop, responder);
  } else if (verb == "explain" && method == "GET" && IsOperator(request)) {
    AskAbout(request, job, JobRequestKind::kExplain, responder);
  } else if (verb == "stop" || verb == "explain") {
    Fail(responder, kUnauthorized, ErrorId::kUnauthorized, "the operators' key is wanted here");
  } else {
    Fail(responder, kNotFound, ErrorId::kNoSuchResource,
         "nothing answers " + method + " " + request.path());
  }
}

void EntryHttp::Issue(const HttpRequest& request, const ResponderPtr& responder) {
  const auto count = DecodeIdRequest(request.body());
  if (const auto* error = std::get_if<Error>(&count)) {
    responder->Respond(HttpResponse(kBadRequest, EncodeError(*error)));
    return;
  }
  m_events.Accept(IssueIds(m_replies.Add(responder), std::get<std::uint32_t>(count)));
}

void EntryHttp::Submit(const HttpRequest& request, const JobId& id, const ResponderPtr& responder) {
  auto spec = DecodeSubmission(request.body(), m_clock.Now());
  if (const auto* error = std::get_if<Error>(&spec)) {
    responder->Respond(HttpResponse(kBadRequest, EncodeError(*error)));
    return;
  }
  m_events.Accept(CallerSubmit(m_replies.Add(responder), id,
                               std::make_shared<JobSpec>(std::move(std::get<JobSpec>(spec)))));
}

void EntryHttp::AskAbout(const HttpRequest& request, const JobId& id, JobRequestKind question,
                         const ResponderPtr& responder) {
  const std::string wait = request.Parameter("wait_ms");
  std::int64_t wait_ms = wait.empty() ? kDefaultWaitMs : std::strtoll(wait.c_str(), nullptr, 10);
  wait_ms = std::clamp<std::int64_t>(wait_ms, 1, kLongestWaitMs);
  const Instant reply_by = m_clock.Now() + std::chrono::milliseconds(wait_ms);
  m_events.Accept(CallerQuery(m_replies.Add(responder), id, question, reply_by));
}

void EntryHttp::EditTable(const HttpRequest& request, const ResponderPtr& responder) {
  const auto edit = DecodeEditRequest(request.body());
  if (const auto* error = std::get_if<Error>(&edit)) {
    responder->Respond(HttpResponse(kBadRequest, EncodeError(*error)));
    return;
  }
  const auto& wanted = std::get<EditRequest>(edit);
  const auto sheet = ReadCsv(wanted.csv());
  if (const auto* findings = std::get_if<Findings>(&sheet)) {
    responder->Respond(HttpResponse(kBadRequest, EncodeFindings(*findings)));
    return;
  }
  const auto rows = ParseTableSheet(std::get<Sheet>(sheet));
  if (const auto* findings = std::get_if<Findings>(&rows)) {
    responder->Respond(HttpResponse(kBadRequest, EncodeFindings(*findings)));
    return;
  }
  m_events.Accept(OperatorEdit(m_replies.Add(responder),
                               TableEdit(wanted.edit_id(), wanted.who(), wanted.base_version(),
                                         std::get<std::vector<TableRow>>(rows))));
}

}  // namespace sapphireflow
