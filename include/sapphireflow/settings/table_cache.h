// Part of settings: the table in force at this entry VM, and the watch that updates it.
#ifndef SAPPHIREFLOW_SETTINGS_TABLE_CACHE_H_
#define SAPPHIREFLOW_SETTINGS_TABLE_CACHE_H_

#include <mutex>
#include <optional>

#include "sapphireflow/model/time.h"
#include "sapphireflow/settings/store_op.h"

namespace sapphireflow {

/// @brief Caches the newest table received and schedules the calls that watch the store.
/// Thread-safe: guarded by its own lock.
class TableCache {
 public:
  /// @brief Null until the first table arrives.
  TablePtr Current() const;
  std::uint64_t Version() const;
  /// @brief Replaces the table if the version of `table` is higher than the current one.
  /// @return whether the table was replaced; the version never decreases.
  bool UpdateIfNewer(const TablePtr& table);

  /// @brief Returns the next watch call if one is due and this entry VM watches the store.
  std::optional<ReadStore> NextWatch(bool watching, Instant now);
  /// @brief Records the outcome of a watch call. Does not take its table: pass that to
  /// `UpdateIfNewer`.
  void OnWatchReply(const StoreReply& reply, Instant now);
  /// @brief False if the last watch call failed.
  bool StoreReached() const;

 private:
  mutable std::mutex m_mutex;
  // invariant: all members below are guarded by m_mutex
  TablePtr m_table;
  Revision m_revision = 0;
  bool m_call_open = false;
  bool m_reached = true;
  Instant m_next_call{};
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_SETTINGS_TABLE_CACHE_H_
