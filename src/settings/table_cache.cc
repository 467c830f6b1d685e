// Part of settings: the cached table and its watch calls.
#include "sapphireflow/settings/table_cache.h"

namespace sapphireflow {
namespace {

constexpr Duration kRetryPause = std::chrono::milliseconds(500);

}  // namespace

TablePtr TableCache::Current() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_table;
}

std::uint64_t TableCache::Version() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_table ? m_table->version() : 0;
}

bool TableCache::UpdateIfNewer(const TablePtr& table) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (!table || (m_table && table->version() <= m_table->version())) return false;
  m_table = table;
  return true;
}

std::optional<ReadStore> TableCache::NextWatch(bool watching, Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (!watching) m_reached = true;
  if (!watching || m_call_open || now < m_next_call) return std::nullopt;
  m_call_open = true;
  return ReadStore(kWatchCall, true, m_revision);
}

void TableCache::OnWatchReply(const StoreReply& reply, Instant now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_call_open = false;
  m_reached = reply.end() == StoreEnd::kValue;
  m_next_call = m_reached ? now : now + kRetryPause;
  if (m_reached) m_revision = reply.revision();
}

bool TableCache::StoreReached() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_reached;
}

}  // namespace sapphireflow
