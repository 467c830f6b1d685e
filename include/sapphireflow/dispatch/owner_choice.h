// Part of dispatch: which owner of workers a run is sent to.
#ifndef SAPPHIREFLOW_DISPATCH_OWNER_CHOICE_H_
#define SAPPHIREFLOW_DISPATCH_OWNER_CHOICE_H_

#include <memory>
#include <string>

#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief What one owner offers for one run.
class OwnerOffer : public Comparable<OwnerOffer> {
 public:
  OwnerOffer(const NodeId& owner, Duration distance, bool has_room, Duration wait,
             Duration run_time)
      : m_owner(owner),
        m_distance(distance),
        m_has_room(has_room),
        m_wait(wait),
        m_run_time(run_time) {}
  const NodeId& owner() const { return m_owner; }
  /// @brief Cost of the way there, as time.
  Duration distance() const { return m_distance; }
  bool has_room() const { return m_has_room; }
  /// @brief How long the run would wait, about; 0 if there is room.
  Duration wait() const { return m_wait; }
  /// @brief Expected on the best worker with room, or on an average one.
  Duration run_time() const { return m_run_time; }
  auto Fields() const { return std::tie(m_owner, m_distance, m_has_room, m_wait, m_run_time); }

 private:
  NodeId m_owner;
  Duration m_distance;
  bool m_has_room;
  Duration m_wait;
  Duration m_run_time;
};

/// @brief Compares offers; the lowest cost is taken.
class OwnerChoice {
 public:
  virtual ~OwnerChoice() = default;
  virtual Duration Cost(const OwnerOffer& offer) const = 0;
};

/// @brief Baseline: the nearest owner, whatever its load.
class NearestOwner : public OwnerChoice {
 public:
  Duration Cost(const OwnerOffer& offer) const override { return offer.distance(); }
};

/// @brief The owner at which the run is expected to end first.
class EarliestEndOwner : public OwnerChoice {
 public:
  Duration Cost(const OwnerOffer& offer) const override {
    return offer.distance() + offer.wait() + offer.run_time();
  }
};

/// @brief Makes a choice from its name in the settings. @return null for an unknown name.
inline std::unique_ptr<OwnerChoice> MakeOwnerChoice(const std::string& name) {
  if (name == "nearest") return std::make_unique<NearestOwner>();
  if (name == "earliest-end") return std::make_unique<EarliestEndOwner>();
  return nullptr;
}

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_DISPATCH_OWNER_CHOICE_H_
