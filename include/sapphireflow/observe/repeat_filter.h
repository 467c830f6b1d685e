// Part of observe: tells new occurrences of something from repetitions, so that only these are
// logged.
#ifndef SAPPHIREFLOW_OBSERVE_REPEAT_FILTER_H_
#define SAPPHIREFLOW_OBSERVE_REPEAT_FILTER_H_

#include <iterator>
#include <map>

#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Remembers keys until they have not occurred for some time. Not thread-safe.
template <class Key>
class RepeatFilter {
 public:
  explicit RepeatFilter(Duration retention) : m_retention(retention) {}

  /// @brief Records an occurrence of the key.
  /// @return whether it is the first one for the retention time. Complexity: logarithmic in the
  /// keys, amortized over the retention time.
  bool IsNew(const Key& key, Instant now) {
    if (now - m_pruned_at >= m_retention) Prune(now);
    const auto [place, is_first] = m_last_at.try_emplace(key, now);
    const bool is_new = is_first || now - place->second >= m_retention;
    place->second = now;
    return is_new;
  }

 private:
  void Prune(Instant now) {
    for (auto item = m_last_at.begin(); item != m_last_at.end();) {
      item = now - item->second >= m_retention ? m_last_at.erase(item) : std::next(item);
    }
    m_pruned_at = now;
  }

  const Duration m_retention;
  // when each key last occurred
  std::map<Key, Instant> m_last_at;
  Instant m_pruned_at{};
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OBSERVE_REPEAT_FILTER_H_
