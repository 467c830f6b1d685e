// Part of admission: the checks that a new submission must pass. They run in order, and the first
// rejection refuses the job.
#ifndef SAPPHIREFLOW_ADMISSION_ADMISSION_CHECKS_H_
#define SAPPHIREFLOW_ADMISSION_ADMISSION_CHECKS_H_

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "sapphireflow/admission/candidate.h"
#include "sapphireflow/model/error.h"
#include "sapphireflow/pipeline/filter.h"

namespace sapphireflow {

/// @brief Maximum number of tasks in one job.
inline constexpr std::size_t kMaxTasksPerJob = 140;

using AdmissionCheck = Filter<Candidate, std::optional<Error>>;
using AdmissionChain = CheckChain<Candidate, Error>;

/// @brief Requires a table that has a row for the kind of every task.
class KindCheck : public AdmissionCheck {
 public:
  std::optional<Error> Apply(const Candidate& candidate) override;
};

/// @brief Requires 1 to `kMaxTasksPerJob` tasks and a deadline that lies in the future and within
/// the limits of the rows.
class JobBoundsCheck : public AdmissionCheck {
 public:
  std::optional<Error> Apply(const Candidate& candidate) override;
};

/// @brief Requires, for each task, a known worker with enough capacity.
class FitCheck : public AdmissionCheck {
 public:
  explicit FitCheck(const LoadView& load) : m_load(load) {}
  std::optional<Error> Apply(const Candidate& candidate) override;

 private:
  const LoadView& m_load;
};

/// @brief Requires that, with this job, the tasks of unsettled jobs stay within the limit of each
/// row.
class InFlightLimitCheck : public AdmissionCheck {
 public:
  explicit InFlightLimitCheck(const LoadView& load) : m_load(load) {}
  std::optional<Error> Apply(const Candidate& candidate) override;

 private:
  const LoadView& m_load;
};

/// @brief Requires that the job is predicted to finish before its deadline.
class FeasibilityCheck : public AdmissionCheck {
 public:
  explicit FeasibilityCheck(const LoadView& load) : m_load(load) {}
  std::optional<Error> Apply(const Candidate& candidate) override;

 private:
  const LoadView& m_load;
};

/// @brief Enforces a team's quota of tasks per second of each kind with a token bucket.
///
/// A bucket with any tokens left admits a whole job, so its balance may go negative by up to one
/// job.
class QuotaCheck : public AdmissionCheck {
 public:
  explicit QuotaCheck(const LoadView& load) : m_load(load) {}
  std::optional<Error> Apply(const Candidate& candidate) override;

 private:
  struct Bucket {
    double tokens;
    Instant refilled_at;
  };
  Bucket& Refill(const TableRow& row, const std::string& team, Instant now);

  const LoadView& m_load;
  // keyed by kind and team; invariant: tokens never exceed this shard's quota for one second
  std::map<std::pair<std::string, std::string>, Bucket> m_buckets;
};

/// @brief Creates the admission policy that the settings name: `predictive`, or `open`, which
/// leaves out the feasibility check.
/// @return null for an unknown name.
std::unique_ptr<AdmissionChain> MakeAdmission(const std::string& name, const LoadView& load);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_ADMISSION_ADMISSION_CHECKS_H_
