// Part of placement: takes workers out that fail what they start, and lets them back in by probes.
#ifndef SAPPHIREFLOW_PLACEMENT_OUTLIER_DETECTOR_H_
#define SAPPHIREFLOW_PLACEMENT_OUTLIER_DETECTOR_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Decides how many tasks a worker may hold, from how its tasks ended.
/// Not thread-safe: its shard's lock guards it.
class OutlierDetector {
 public:
  virtual ~OutlierDetector() = default;
  /// @brief A task ended well on the worker.
  virtual void OnSuccess(const Address& worker) = 0;
  /// @brief A task failed, was lost or could not be sent.
  virtual void OnFailure(const Address& worker, Instant now) = 0;
  /// @return how many tasks may run on the worker at once, at most `slots`.
  virtual std::uint32_t Allowance(const Address& worker, std::uint32_t slots,
                                  Instant now) const = 0;
  /// @return when a worker that is out may be probed; `kNever` if it is not out.
  virtual Instant ProbeAt(const Address& worker) const = 0;
  virtual void Forget(const Address& worker) = 0;
};

/// @brief Baseline: every worker is always trusted.
class TrustingDetector : public OutlierDetector {
 public:
  void OnSuccess(const Address& worker) override;
  void OnFailure(const Address& worker, Instant now) override;
  std::uint32_t Allowance(const Address& worker, std::uint32_t slots, Instant now) const override;
  Instant ProbeAt(const Address& worker) const override;
  void Forget(const Address& worker) override;
};

/// @brief One failure leaves one slot, several in a row none; a probe that succeeds restores all.
class ConsecutiveFailureDetector : public OutlierDetector {
 public:
  void OnSuccess(const Address& worker) override;
  void OnFailure(const Address& worker, Instant now) override;
  std::uint32_t Allowance(const Address& worker, std::uint32_t slots, Instant now) const override;
  Instant ProbeAt(const Address& worker) const override;
  void Forget(const Address& worker) override;

 private:
  struct Record {
    // failures since the last success; 0 only before the first failure of a trusted worker
    std::uint32_t failures = 0;
    bool proven = false;
    Instant ejected_until{};
  };
  std::unordered_map<Address, Record> m_records;
};

/// @brief Makes a detector from its name in the settings. @return null for an unknown name.
std::unique_ptr<OutlierDetector> MakeOutlierDetector(const std::string& name);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_PLACEMENT_OUTLIER_DETECTOR_H_
