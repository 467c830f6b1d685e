// Part of placement: outlier ejection after consecutive failures.
#include "sapphireflow/placement/outlier_detector.h"

#include <algorithm>

namespace sapphireflow {
namespace {

constexpr std::uint32_t kFailuresToEject = 3;
constexpr std::uint32_t kUnprovenAllowance = 2;
constexpr std::uint32_t kSuspectAllowance = 1;
constexpr Duration kBaseEjectionTime = std::chrono::seconds(1);
// Limits the ejection time to four seconds: a probe costs one task, and a worker that has recovered
// is unused for no longer than that.
constexpr std::uint32_t kMaxEjectionDoublings = 2;

}  // namespace

void TrustingDetector::OnSuccess(const Address& /*worker*/) {}
void TrustingDetector::OnFailure(const Address& /*worker*/, Instant /*now*/) {}
std::uint32_t TrustingDetector::Allowance(const Address& /*worker*/, std::uint32_t slots,
                                          Instant /*now*/) const {
  return slots;
}
Instant TrustingDetector::ProbeAt(const Address& /*worker*/) const { return kNever; }
void TrustingDetector::Forget(const Address& /*worker*/) {}

void ConsecutiveFailureDetector::OnSuccess(const Address& worker) {
  Record& record = m_records[worker];
  record.failures = 0;
  record.proven = true;
}

void ConsecutiveFailureDetector::OnFailure(const Address& worker, Instant now) {
  Record& record = m_records[worker];
  // this task was started before the worker was ejected
  if (record.failures >= kFailuresToEject && now < record.ejected_until) return;
  ++record.failures;
  record.proven = false;
  if (record.failures < kFailuresToEject) return;
  const std::uint32_t doublings =
      std::min(record.failures - kFailuresToEject, kMaxEjectionDoublings);
  record.ejected_until = now + kBaseEjectionTime * (1U << doublings);
}

std::uint32_t ConsecutiveFailureDetector::Allowance(const Address& worker, std::uint32_t slots,
                                                    Instant now) const {
  const auto found = m_records.find(worker);
  if (found == m_records.end()) return std::min(slots, kUnprovenAllowance);
  const Record& record = found->second;
  if (record.proven) return slots;
  if (record.failures == 0) return std::min(slots, kUnprovenAllowance);
  if (record.failures >= kFailuresToEject && now < record.ejected_until) return 0;
  return std::min(slots, kSuspectAllowance);
}

Instant ConsecutiveFailureDetector::ProbeAt(const Address& worker) const {
  const auto found = m_records.find(worker);
  if (found == m_records.end() || found->second.failures < kFailuresToEject) return kNever;
  return found->second.ejected_until;
}

void ConsecutiveFailureDetector::Forget(const Address& worker) { m_records.erase(worker); }

std::unique_ptr<OutlierDetector> MakeOutlierDetector(const std::string& name) {
  if (name == "trusting") return std::make_unique<TrustingDetector>();
  if (name == "consecutive-failures") return std::make_unique<ConsecutiveFailureDetector>();
  return nullptr;
}

}  // namespace sapphireflow
