// Part of codec: JSON bodies of the HTTP interfaces for callers, operators, workers and the
// platform. docs/API.md describes each field.
#ifndef SAPPHIREFLOW_CODEC_HTTP_BODIES_H_
#define SAPPHIREFLOW_CODEC_HTTP_BODIES_H_

#include <optional>
#include <string>
#include <vector>

#include "sapphireflow/codec/job_id_codec.h"
#include "sapphireflow/execution/attempt_report.h"
#include "sapphireflow/execution/shard_effect.h"
#include "sapphireflow/model/error.h"
#include "sapphireflow/model/job_spec.h"
#include "sapphireflow/model/table.h"
#include "sapphireflow/model/vm_list.h"
#include "sapphireflow/routing/node.h"
#include "sapphireflow/settings/table_edit.h"

namespace sapphireflow {

// callers
Result<std::uint32_t> DecodeIdRequest(const std::string& body);
std::string EncodeIds(const std::vector<JobId>& ids, const JobIdCodec& text);
/// @brief The field `deadline_ms` is relative to `now`.
/// @return the submission, or one error that lists all invalid fields.
Result<JobSpec> DecodeSubmission(const std::string& body, Instant now);
std::string EncodeSubmission(const JobSpec& spec, Instant now);
std::string EncodeAnswer(const JobAnswer& answer);
Result<JobAnswer> DecodeAnswer(const std::string& body);
std::string EncodeError(const Error& error);
std::string EncodeExplanation(const Journal& journal);

// operators
/// @brief An edit as sent by `sapphireflowctl`: the sheet is CSV text in a JSON field.
class EditRequest : public Comparable<EditRequest> {
 public:
  EditRequest(std::string edit_id, std::string who, std::uint64_t base_version, std::string csv)
      : m_edit_id(std::move(edit_id)),
        m_who(std::move(who)),
        m_base_version(base_version),
        m_csv(std::move(csv)) {}
  const std::string& edit_id() const { return m_edit_id; }
  const std::string& who() const { return m_who; }
  std::uint64_t base_version() const { return m_base_version; }
  const std::string& csv() const { return m_csv; }
  auto Fields() const { return std::tie(m_edit_id, m_who, m_base_version, m_csv); }

 private:
  std::string m_edit_id;
  std::string m_who;
  std::uint64_t m_base_version;
  std::string m_csv;
};
std::string EncodeEditRequest(const EditRequest& request);
Result<EditRequest> DecodeEditRequest(const std::string& body);
/// @brief Encodes all findings of an invalid sheet in one error body.
std::string EncodeFindings(const Findings& findings);
std::string EncodeEditAnswer(const EditAnswer& answer);
/// @brief Encodes the version, the rows as CSV, and the audit trail.
std::string EncodeTableView(const TablePtr& table);
std::string EncodeStatus(const NodeStatus& status, Instant now);

// workers
std::string EncodeStart(const StartAttempt& start, const std::string& attempt_name);
/// @brief A start request as received by a worker.
class StartRequest : public Comparable<StartRequest> {
 public:
  StartRequest(std::string attempt, std::string kind, std::string payload, Instant lease_until)
      : m_attempt(std::move(attempt)),
        m_kind(std::move(kind)),
        m_payload(std::move(payload)),
        m_lease_until(lease_until) {}
  const std::string& attempt() const { return m_attempt; }
  const std::string& kind() const { return m_kind; }
  const std::string& payload() const { return m_payload; }
  Instant lease_until() const { return m_lease_until; }
  auto Fields() const { return std::tie(m_attempt, m_kind, m_payload, m_lease_until); }

 private:
  std::string m_attempt;
  std::string m_kind;
  std::string m_payload;
  Instant m_lease_until;
};
Result<StartRequest> DecodeStart(const std::string& body);
/// @brief End of an attempt, as reported by a worker.
class WorkerReply : public Comparable<WorkerReply> {
 public:
  WorkerReply(std::string attempt, AttemptEnd end, std::string detail)
      : m_attempt(std::move(attempt)), m_end(end), m_detail(std::move(detail)) {}
  const std::string& attempt() const { return m_attempt; }
  AttemptEnd end() const { return m_end; }
  const std::string& detail() const { return m_detail; }
  auto Fields() const { return std::tie(m_attempt, m_end, m_detail); }

 private:
  std::string m_attempt;
  AttemptEnd m_end;
  std::string m_detail;
};
std::string EncodeWorkerReply(const WorkerReply& reply);
Result<WorkerReply> DecodeWorkerReply(const std::string& body);
std::string EncodeStop(const std::vector<std::string>& attempts);
Result<std::vector<std::string>> DecodeStop(const std::string& body);
std::string EncodeStopReplies(const std::vector<WorkerReply>& replies);
Result<std::vector<WorkerReply>> DecodeStopReplies(const std::string& body);
/// @brief Name of an attempt in requests to workers: job id, task and attempt number.
std::string AttemptName(const AttemptId& attempt, const JobIdCodec& text);

// platform
std::string EncodeStoredTable(const Table& table);
Result<Table> DecodeStoredTable(const std::string& value);
std::string EncodeVmList(const VmList& list, std::uint64_t revision);
/// @brief The list of VMs and its revision.
class VmListView : public Comparable<VmListView> {
 public:
  VmListView(VmList list, std::uint64_t revision) : m_list(std::move(list)), m_revision(revision) {}
  const VmList& list() const { return m_list; }
  std::uint64_t revision() const { return m_revision; }
  auto Fields() const { return std::tie(m_list, m_revision); }

 private:
  VmList m_list;
  std::uint64_t m_revision;
};
Result<VmListView> DecodeVmList(const std::string& body);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_CODEC_HTTP_BODIES_H_
