// Part of settings: applies edits to the table in the platform's store, even if replies are lost.
#ifndef SAPPHIREFLOW_SETTINGS_TABLE_EDITOR_H_
#define SAPPHIREFLOW_SETTINGS_TABLE_EDITOR_H_

#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "sapphireflow/settings/store_op.h"
#include "sapphireflow/settings/table_edit.h"

namespace sapphireflow {

/// @brief The reply to an operator's request.
class EditOutcome : public Comparable<EditOutcome> {
 public:
  EditOutcome(RequestToken token, EditAnswer answer)
      : m_token(token), m_answer(std::move(answer)) {}
  RequestToken token() const { return m_token; }
  const EditAnswer& answer() const { return m_answer; }
  auto Fields() const { return std::tie(m_token, m_answer); }

 private:
  RequestToken m_token;
  EditAnswer m_answer;
};

/// @brief Result of one step of the editor: store calls to make and edits that have finished.
class EditStep : public Comparable<EditStep> {
 public:
  EditStep() = default;
  EditStep(std::vector<StoreOp> calls, std::vector<EditOutcome> outcomes)
      : m_calls(std::move(calls)), m_outcomes(std::move(outcomes)) {}
  const std::vector<StoreOp>& calls() const { return m_calls; }
  const std::vector<EditOutcome>& outcomes() const { return m_outcomes; }
  auto Fields() const { return std::tie(m_calls, m_outcomes); }

 private:
  std::vector<StoreOp> m_calls;
  std::vector<EditOutcome> m_outcomes;
};

/// @brief State machine of the edits in progress. Thread-safe: guarded by its own lock.
///
/// An edit reads the value and swaps it if the base version is still current. After a swap without
/// a reply it reads again. If the audit trail contains the edit's id, the edit was accepted. If the
/// revision is unchanged, the swap can be retried. If the version differs and the id is missing,
/// the edit can never apply, because a swap still in flight expects a revision that no longer
/// exists.
class TableEditor {
 public:
  /// @brief Starts an edit.
  EditStep Begin(RequestToken token, const TableEdit& edit, Instant now);
  /// @brief Advances the edit that made the call.
  EditStep OnReply(const StoreReply& reply, Instant now);
  /// @brief Retries reads that are due and abandons edits that have timed out.
  EditStep Advance(Instant now);

 private:
  struct PendingEdit {
    RequestToken token = 0;
    TableEdit edit;
    Instant give_up_at;
    // when to read again after a call without a reply
    std::optional<Instant> retry_at;
  };
  using Edits = std::map<StoreCall, PendingEdit>;
  EditStep OnValue(Edits::node_type node, const StoreReply& reply, Instant now);
  EditStep Reread(Edits::node_type node);

  std::mutex m_mutex;
  // keyed by the call that each edit waits for; invariant: guarded by m_mutex
  Edits m_pending_edits;
  StoreCall m_next_call = kWatchCall + 1;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_SETTINGS_TABLE_EDITOR_H_
