// Part of the model: the availability zones that operators have evacuated.
#ifndef SAPPHIREFLOW_MODEL_EVACUATED_ZONES_H_
#define SAPPHIREFLOW_MODEL_EVACUATED_ZONES_H_

#include <set>
#include <string>
#include <utility>

#include "sapphireflow/model/comparable.h"

namespace sapphireflow {

/// @brief The zones on whose workers no task may start.
class EvacuatedZones : public Comparable<EvacuatedZones> {
 public:
  EvacuatedZones() = default;
  explicit EvacuatedZones(std::set<std::string> names) : m_names(std::move(names)) {}
  /// @brief Every zone: applies while it is not known which zones are evacuated.
  static EvacuatedZones All() {
    EvacuatedZones zones;
    zones.m_is_all = true;
    return zones;
  }
  bool Contains(const std::string& zone) const { return m_is_all || m_names.count(zone) > 0; }
  bool empty() const { return !m_is_all && m_names.empty(); }
  /// @brief Empty for `All`.
  const std::set<std::string>& names() const { return m_names; }
  auto Fields() const { return std::tie(m_is_all, m_names); }

 private:
  bool m_is_all = false;
  // invariant: empty if m_is_all
  std::set<std::string> m_names;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MODEL_EVACUATED_ZONES_H_
