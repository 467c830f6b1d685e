// Part of settings: calls to the platform's store and their replies, as values.
#ifndef SAPPHIREFLOW_SETTINGS_STORE_OP_H_
#define SAPPHIREFLOW_SETTINGS_STORE_OP_H_

#include <cstdint>
#include <variant>

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/table.h"

namespace sapphireflow {

/// @brief Correlates a reply with its call; 0 is the watch.
using StoreCall = std::uint64_t;
inline constexpr StoreCall kWatchCall = 0;

/// @brief Revision of the value in the store; 0 if there is no value.
using Revision = std::uint64_t;

/// @brief Reads the value of the table. A watch waits until its revision differs from `known`.
class ReadStore : public Comparable<ReadStore> {
 public:
  ReadStore(StoreCall call, bool watch, Revision known)
      : m_call(call), m_watch(watch), m_known(known) {}
  StoreCall call() const { return m_call; }
  bool watch() const { return m_watch; }
  Revision known() const { return m_known; }
  auto Fields() const { return std::tie(m_call, m_watch, m_known); }

 private:
  StoreCall m_call;
  bool m_watch;
  Revision m_known;
};

/// @brief Replaces the value of the table if its revision is still `expected` (compare-and-swap).
class SwapStore : public Comparable<SwapStore> {
 public:
  SwapStore(StoreCall call, Revision expected, TablePtr table)
      : m_call(call), m_expected(expected), m_table(std::move(table)) {}
  StoreCall call() const { return m_call; }
  Revision expected() const { return m_expected; }
  const TablePtr& table() const { return m_table; }
  auto Fields() const { return std::tie(m_call, m_expected, *m_table); }

 private:
  StoreCall m_call;
  Revision m_expected;
  TablePtr m_table;
};

using StoreOp = std::variant<ReadStore, SwapStore>;

/// @brief How a call to the store ended.
enum class StoreEnd {
  kValue,     ///< read succeeded; the table is null if the store has no value yet
  kSwapped,   ///< swap took effect
  kConflict,  ///< swap had no effect: the revision differed
  kUnknown,   ///< no reply: a swap may have taken effect
};

/// @brief Reply to one call.
class StoreReply : public Comparable<StoreReply> {
 public:
  StoreReply(StoreCall call, StoreEnd end, Revision revision, TablePtr table)
      : m_call(call), m_end(end), m_revision(revision), m_table(std::move(table)) {}
  StoreCall call() const { return m_call; }
  StoreEnd end() const { return m_end; }
  Revision revision() const { return m_revision; }
  /// @brief Null unless a read found a value.
  const TablePtr& table() const { return m_table; }
  auto Fields() const { return std::tie(m_call, m_end, m_revision, m_table); }

 private:
  StoreCall m_call;
  StoreEnd m_end;
  Revision m_revision;
  TablePtr m_table;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_SETTINGS_STORE_OP_H_
