// Part of admission: the checks a new submission passes, in order; the first objection refuses it.
#ifndef SAPPHIREFLOW_ADMISSION_CHECKS_H_
#define SAPPHIREFLOW_ADMISSION_CHECKS_H_

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "sapphireflow/admission/candidate.h"
#include "sapphireflow/model/error.h"
#include "sapphireflow/pipeline/filter.h"

namespace sapphireflow {

/// @brief Most tasks in one job.
inline constexpr std::size_t kMaxTasksPerJob = 140;

using AdmissionCheck = Filter<Candidate, std::optional<Error>>;
using AdmissionChain = CheckChain<Candidate, Error>;

/// @brief A table is in force, and every task's kind has a row in it.
class KindCheck : public AdmissionCheck {
 public:
  std::optional<Error> Apply(const Candidate& candidate) override;
};

/// @brief 1 to `kMaxTasksPerJob` tasks, and a deadline ahead and within the rows' limits.
class JobBoundsCheck : public AdmissionCheck {
 public:
  std::optional<Error> Apply(const Candidate& candidate) override;
};

/// @brief Some known worker could run each task.
class FitCheck : public AdmissionCheck {
 public:
  explicit FitCheck(const LoadView& load) : m_load(load) {}
  std::optional<Error> Apply(const Candidate& candidate) override;

 private:
  const LoadView& m_load;
};

/// @brief The kinds' limits of unfinished tasks leave room for the job.
class InFlightLimitCheck : public AdmissionCheck {
 public:
  explicit InFlightLimitCheck(const LoadView& load) : m_load(load) {}
  std::optional<Error> Apply(const Candidate& candidate) override;

 private:
  const LoadView& m_load;
};

/// @brief The predicted finish lies before the deadline.
class FeasibilityCheck : public AdmissionCheck {
 public:
  explicit FeasibilityCheck(const LoadView& load) : m_load(load) {}
  std::optional<Error> Apply(const Candidate& candidate) override;

 private:
  const LoadView& m_load;
};

/// @brief The team's quota of a kind's tasks a second, as a token bucket that may run into debt by
/// one job.
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
  // by kind and team; invariant: tokens never exceed one second's share
  std::map<std::pair<std::string, std::string>, Bucket> m_buckets;
};

/// @brief The chain of checks named in the settings: `predictive`, or `open` without feasibility.
/// @return null for an unknown name.
std::unique_ptr<AdmissionChain> MakeAdmission(const std::string& name, const LoadView& load);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_ADMISSION_CHECKS_H_
