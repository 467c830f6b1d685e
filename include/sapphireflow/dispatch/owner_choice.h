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
             Duration run_time, Duration time_left)
      : m_owner(owner),
        m_distance(distance),
        m_has_room(has_room),
        m_wait(wait),
        m_run_time(run_time),
        m_time_left(time_left) {}
  const NodeId& owner() const { return m_owner; }
  /// @brief Cost of the way there, as time.
  Duration distance() const { return m_distance; }
  bool has_room() const { return m_has_room; }
  /// @brief How long the run would wait, about; 0 if there is room.
  Duration wait() const { return m_wait; }
  /// @brief Expected on the best worker with room, or on an average one.
  Duration run_time() const { return m_run_time; }
  /// @brief Until the job's objective.
  Duration time_left() const { return m_time_left; }
  auto Fields() const {
    return std::tie(m_owner, m_distance, m_has_room, m_wait, m_run_time, m_time_left);
  }

 private:
  NodeId m_owner;
  Duration m_distance;
  bool m_has_room;
  Duration m_wait;
  Duration m_run_time;
  Duration m_time_left;
};

/// @brief Whether a run of this expected length ends in time with some to spare: declared run
/// times, and so expected ones, are often too short.
inline bool Suffices(Duration run_time, Duration time_left) {
  return run_time + run_time / 4 <= time_left;
}

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

/// @brief The slowest workers with room that suffice, so that fast ones are left to long runs;
/// where none suffices, the owner at which the run is expected to end first.
class SlowestSufficientOwner : public OwnerChoice {
 public:
  Duration Cost(const OwnerOffer& offer) const override {
    if (offer.has_room() && Suffices(offer.run_time(), offer.time_left())) {
      return offer.distance() - offer.run_time();
    }
    return offer.time_left() + offer.distance() + offer.wait() + offer.run_time();
  }
};

/// @brief Makes a choice from its name in the settings. @return null for an unknown name.
inline std::unique_ptr<OwnerChoice> MakeOwnerChoice(const std::string& name) {
  if (name == "nearest") return std::make_unique<NearestOwner>();
  if (name == "earliest-end") return std::make_unique<EarliestEndOwner>();
  if (name == "slowest-sufficient") return std::make_unique<SlowestSufficientOwner>();
  return nullptr;
}

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_DISPATCH_OWNER_CHOICE_H_
