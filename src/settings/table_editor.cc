// Part of settings: transitions of an edit in progress.
#include "sapphireflow/settings/table_editor.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphireflow {
namespace {

constexpr Duration kEditTimeout = std::chrono::seconds(8);
constexpr Duration kRetryPause = std::chrono::milliseconds(200);

const AuditEntry* FindEdit(const TablePtr& table, const std::string& edit_id) {
  if (!table) return nullptr;
  const auto& audit = table->audit();
  const auto found = std::find_if(audit.begin(), audit.end(), [&](const AuditEntry& entry) {
    return entry.edit_id() == edit_id;
  });
  return found == audit.end() ? nullptr : &*found;
}

}  // namespace

EditStep TableEditor::Begin(RequestToken token, const TableEdit& edit, Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const StoreCall call = m_next_call++;
  m_pending_edits.emplace(call, PendingEdit{token, edit, now + kEditTimeout, std::nullopt});
  return {{ReadStore(call, false, 0)}, {}};
}

EditStep TableEditor::OnReply(const StoreReply& reply, Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  auto node = m_pending_edits.extract(reply.call());
  if (!node) return {};
  switch (reply.end()) {
    case StoreEnd::kValue:
      return OnValue(std::move(node), reply, now);
    case StoreEnd::kSwapped: {
      const EditAnswer answer(EditVerdict::kAccepted, node.mapped().edit.base_version() + 1,
                              std::nullopt);
      return {{}, {EditOutcome(node.mapped().token, answer)}};
    }
    case StoreEnd::kConflict:
      return Reread(std::move(node));
    case StoreEnd::kUnknown:
      node.mapped().retry_at = now + kRetryPause;
      node.key() = m_next_call++;
      m_pending_edits.insert(std::move(node));
      return {};
  }
  return {};
}

EditStep TableEditor::Reread(Edits::node_type node) {
  const StoreCall call = m_next_call++;
  node.key() = call;
  node.mapped().retry_at.reset();
  m_pending_edits.insert(std::move(node));
  return {{ReadStore(call, false, 0)}, {}};
}

EditStep TableEditor::OnValue(Edits::node_type node, const StoreReply& reply, Instant now) {
  const PendingEdit& pending_edit = node.mapped();
  const TableEdit& edit = pending_edit.edit;
  const std::uint64_t version = reply.table() ? reply.table()->version() : 0;
  const AuditEntry* done = FindEdit(reply.table(), edit.edit_id());
  if (done != nullptr) {
    const EditAnswer answer(EditVerdict::kAccepted, done->version(), std::nullopt);
    return {{}, {EditOutcome(pending_edit.token, answer)}};
  }
  if (version != edit.base_version()) {
    const Error cause(ErrorId::kStaleVersion,
                      "the edit is based on version " + std::to_string(edit.base_version()) +
                          ", but the table is at version " + std::to_string(version));
    return {{},
            {EditOutcome(pending_edit.token, EditAnswer(EditVerdict::kRefused, version, cause))}};
  }
  const TablePtr next = ApplyEdit(reply.table(), edit, now);
  const StoreCall call = m_next_call++;
  node.key() = call;
  m_pending_edits.insert(std::move(node));
  return {{SwapStore(call, reply.revision(), next)}, {}};
}

EditStep TableEditor::Advance(Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<StoreOp> calls;
  std::vector<EditOutcome> outcomes;
  for (auto item = m_pending_edits.begin(); item != m_pending_edits.end();) {
    const auto current = item++;
    PendingEdit& pending_edit = current->second;
    if (now >= pending_edit.give_up_at) {
      const Error cause(ErrorId::kStoreUnavailable,
                        "the store did not answer; retry with the same edit id");
      outcomes.emplace_back(pending_edit.token, EditAnswer(EditVerdict::kUnknown, 0, cause));
      m_pending_edits.erase(current);
    } else if (pending_edit.retry_at && now >= *pending_edit.retry_at) {
      pending_edit.retry_at.reset();
      calls.emplace_back(ReadStore(current->first, false, 0));
    }
  }
  return {std::move(calls), std::move(outcomes)};
}

}  // namespace sapphireflow
