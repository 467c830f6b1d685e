// Part of placement: ejects workers whose tasks fail, and readmits them after a successful probe.
#ifndef SAPPHIREFLOW_PLACEMENT_OUTLIER_DETECTOR_H_
#define SAPPHIREFLOW_PLACEMENT_OUTLIER_DETECTOR_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Limits the concurrent tasks of a worker according to how its recent tasks ended.
/// Not thread-safe: guarded by its shard's lock.
class OutlierDetector {
 public:
  virtual ~OutlierDetector() = default;
  /// @brief Records that a task succeeded on the worker.
  virtual void OnSuccess(const Address& worker) = 0;
  /// @brief Records that a task failed, was lost or could not be sent.
  virtual void OnFailure(const Address& worker, Instant now) = 0;
  /// @return the number of tasks that may run on the worker at once, at most `slots`.
  virtual std::uint32_t Allowance(const Address& worker, std::uint32_t slots,
                                  Instant now) const = 0;
  /// @return when an ejected worker may be probed; `kNever` if it is not ejected.
  virtual Instant ProbeAt(const Address& worker) const = 0;
  virtual void Forget(const Address& worker) = 0;
};

/// @brief Baseline: never limits or ejects a worker.
class TrustingDetector : public OutlierDetector {
 public:
  void OnSuccess(const Address& worker) override;
  void OnFailure(const Address& worker, Instant now) override;
  std::uint32_t Allowance(const Address& worker, std::uint32_t slots, Instant now) const override;
  Instant ProbeAt(const Address& worker) const override;
  void Forget(const Address& worker) override;
};

/// @brief Reduces a worker to one slot after a failure and ejects it after several in a row.
///
/// While ejected, a worker gets no task until its probe is due; one success restores all its slots.
/// A worker without any outcome so far is limited to two slots.
class ConsecutiveFailureDetector : public OutlierDetector {
 public:
  void OnSuccess(const Address& worker) override;
  void OnFailure(const Address& worker, Instant now) override;
  std::uint32_t Allowance(const Address& worker, std::uint32_t slots, Instant now) const override;
  Instant ProbeAt(const Address& worker) const override;
  void Forget(const Address& worker) override;

 private:
  struct Record {
    // consecutive failures since the last success
    std::uint32_t failures = 0;
    // whether the last outcome was a success
    bool proven = false;
    Instant ejected_until{};
  };
  std::unordered_map<Address, Record> m_records;
};

/// @brief Creates the detector that the settings name. @return null for an unknown name.
std::unique_ptr<OutlierDetector> MakeOutlierDetector(const std::string& name);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_PLACEMENT_OUTLIER_DETECTOR_H_
