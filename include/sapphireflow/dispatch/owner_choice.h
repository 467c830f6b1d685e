// Part of dispatch: policies that select the owner to which a run is sent.
#ifndef SAPPHIREFLOW_DISPATCH_OWNER_CHOICE_H_
#define SAPPHIREFLOW_DISPATCH_OWNER_CHOICE_H_

#include <memory>
#include <string>

#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Expected cost of placing one run with one owner.
class OwnerOffer : public Comparable<OwnerOffer> {
 public:
  OwnerOffer(const NodeId& owner, Duration distance, bool has_free_capacity, Duration wait,
             Duration run_time, Duration time_left)
      : m_owner(owner),
        m_distance(distance),
        m_has_free_capacity(has_free_capacity),
        m_wait(wait),
        m_run_time(run_time),
        m_time_left(time_left) {}
  const NodeId& owner() const { return m_owner; }
  /// @brief Network cost of reaching the owner, expressed as time.
  Duration distance() const { return m_distance; }
  bool has_free_capacity() const { return m_has_free_capacity; }
  /// @brief Estimated queueing time of the run; 0 if a worker has enough free capacity.
  Duration wait() const { return m_wait; }
  /// @brief Expected run time: on the best worker with free capacity, else on an average worker.
  Duration run_time() const { return m_run_time; }
  /// @brief Time left until the job's response time objective.
  Duration time_left() const { return m_time_left; }
  auto Fields() const {
    return std::tie(m_owner, m_distance, m_has_free_capacity, m_wait, m_run_time, m_time_left);
  }

 private:
  NodeId m_owner;
  Duration m_distance;
  bool m_has_free_capacity;
  Duration m_wait;
  Duration m_run_time;
  Duration m_time_left;
};

/// @brief Whether a run of this expected length ends in time with a margin of a quarter of its run
/// time. The margin is needed because declared run times, and so expected ones, are often too
/// short.
inline bool FinishesWithMargin(Duration run_time, Duration time_left) {
  return run_time + run_time / 4 <= time_left;
}

/// @brief Policy that ranks offers; the offer with the lowest cost is selected.
class OwnerChoice {
 public:
  virtual ~OwnerChoice() = default;
  virtual Duration Cost(const OwnerOffer& offer) const = 0;
};

/// @brief Baseline: selects the nearest owner regardless of its load.
class NearestOwner : public OwnerChoice {
 public:
  Duration Cost(const OwnerOffer& offer) const override { return offer.distance(); }
};

/// @brief Selects the owner at which the run is expected to end first.
class EarliestEndOwner : public OwnerChoice {
 public:
  Duration Cost(const OwnerOffer& offer) const override {
    return offer.distance() + offer.wait() + offer.run_time();
  }
};

/// @brief Selects the slowest worker with free capacity that finishes in time (see
/// `FinishesWithMargin`), which keeps fast workers free for long runs. If no worker does, selects
/// the owner at which the run is expected to end first.
class SlowestSufficientOwner : public OwnerChoice {
 public:
  Duration Cost(const OwnerOffer& offer) const override {
    if (offer.has_free_capacity() && FinishesWithMargin(offer.run_time(), offer.time_left())) {
      return offer.distance() - offer.run_time();
    }
    return offer.time_left() + offer.distance() + offer.wait() + offer.run_time();
  }
};

/// @brief Creates a policy from its name in the settings.
/// @return null for an unknown name.
inline std::unique_ptr<OwnerChoice> MakeOwnerChoice(const std::string& name) {
  if (name == "nearest") return std::make_unique<NearestOwner>();
  if (name == "earliest-end") return std::make_unique<EarliestEndOwner>();
  if (name == "slowest-sufficient") return std::make_unique<SlowestSufficientOwner>();
  return nullptr;
}

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_DISPATCH_OWNER_CHOICE_H_
