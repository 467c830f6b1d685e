// Part of admission: implementation of the admission checks.
#include "sapphireflow/admission/admission_checks.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sapphireflow {
namespace {

std::string FormatMilliseconds(Duration length) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(length).count()) +
         " ms";
}

// returns the row of this kind if an earlier task of the job uses it, else null
const TableRow* FindRowByKind(const std::vector<RowDemand>& demands, const std::string& kind) {
  const auto found = std::find_if(demands.begin(), demands.end(), [&kind](const RowDemand& demand) {
    return demand.row().kind() == kind;
  });
  return found == demands.end() ? nullptr : &found->row();
}

}  // namespace

Candidate::Candidate(JobSpecPtr spec, TablePtr table, Instant now)
    : m_spec(std::move(spec)), m_table(std::move(table)), m_now(now) {
  if (!m_table) return;
  for (const Task& task : m_spec->tasks()) {
    const TableRow* row = FindRowByKind(m_rows, task.kind());
    if (row == nullptr) row = m_table->Find(task.kind(), m_spec->team());
    if (row == nullptr) {
      m_unknown_kind = &task.kind();
      return;
    }
    const auto demand = std::find_if(m_rows.begin(), m_rows.end(),
                                     [row](const RowDemand& one) { return &one.row() == row; });
    if (demand == m_rows.end()) {
      m_rows.emplace_back(row, 1);
    } else {
      *demand = RowDemand(row, demand->tasks() + 1);
    }
  }
}

double Candidate::Weight() const {
  double weight = 0;
  for (const RowDemand& demand : m_rows) weight += demand.row().weight() * demand.tasks();
  return weight;
}

std::optional<Error> KindCheck::Apply(const Candidate& candidate) {
  if (!candidate.table()) return Error(ErrorId::kNoTable, "no table has been received yet");
  if (candidate.unknown_kind() == nullptr) return std::nullopt;
  return Error(ErrorId::kUnknownKind, "the table has no row for kind '" +
                                          *candidate.unknown_kind() + "' and team '" +
                                          candidate.spec().team() + "'");
}

std::optional<Error> JobBoundsCheck::Apply(const Candidate& candidate) {
  const JobSpec& spec = candidate.spec();
  if (spec.tasks().empty() || spec.tasks().size() > kMaxTasksPerJob) {
    return Error(ErrorId::kTooManyTasks, "a job has 1 to " + std::to_string(kMaxTasksPerJob) +
                                             " tasks, this one has " +
                                             std::to_string(spec.tasks().size()));
  }
  const Duration left = spec.deadline() - candidate.now();
  if (left.count() <= 0) {
    return Error(ErrorId::kCannotFinishInTime, "the deadline has already passed");
  }
  for (const RowDemand& demand : candidate.rows()) {
    if (left <= demand.row().deadline()) continue;
    return Error(ErrorId::kLimitReached, "the deadline is " + FormatMilliseconds(left) +
                                             " away, but the table allows kind '" +
                                             demand.row().kind() + "' at most " +
                                             FormatMilliseconds(demand.row().deadline()));
  }
  return std::nullopt;
}

std::optional<Error> FitCheck::Apply(const Candidate& candidate) {
  const ResourceSpec* last_checked = nullptr;
  for (const Task& task : candidate.spec().tasks()) {
    // most jobs have the same needs for all tasks
    if (last_checked != nullptr && *last_checked == task.needs()) continue;
    last_checked = &task.needs();
    if (m_load.AnyWorkerFits(task.needs())) continue;
    const ResourceSpec& needs = task.needs();
    return Error(ErrorId::kNoWorkerFits, "no worker has " + std::to_string(needs.cores()) +
                                             " cores, " + std::to_string(needs.memory_mb()) +
                                             " MB and " + std::to_string(needs.accelerators()) +
                                             " accelerators");
  }
  return std::nullopt;
}

std::optional<Error> InFlightLimitCheck::Apply(const Candidate& candidate) {
  for (const RowDemand& demand : candidate.rows()) {
    const TableRow& row = demand.row();
    const std::uint32_t in_flight = m_load.InFlight(row);
    if (in_flight + demand.tasks() <= row.limit()) continue;
    return Error(ErrorId::kLimitReached,
                 "kind '" + row.kind() + "' has " + std::to_string(in_flight) +
                     " tasks in unfinished jobs; the limit is " + std::to_string(row.limit()));
  }
  return std::nullopt;
}

std::optional<Error> FeasibilityCheck::Apply(const Candidate& candidate) {
  const Duration left = candidate.spec().deadline() - candidate.now();
  const Duration predicted = m_load.PredictedResponse(candidate.spec(), candidate.Weight());
  if (predicted <= left) return std::nullopt;
  return Error(ErrorId::kCannotFinishInTime, "predicted response " + FormatMilliseconds(predicted) +
                                                 ", but the deadline is " +
                                                 FormatMilliseconds(left) + " away");
}

QuotaCheck::Bucket& QuotaCheck::Refill(const TableRow& row, const std::string& team, Instant now) {
  const double rate = static_cast<double>(row.quota()) / m_load.QuotaShares();
  Bucket& bucket =
      m_buckets.try_emplace(std::make_pair(row.kind(), team), Bucket{rate, now}).first->second;
  const double seconds = std::chrono::duration<double>(now - bucket.refilled_at).count();
  bucket.tokens = std::min(rate, bucket.tokens + std::max(seconds, 0.0) * rate);
  bucket.refilled_at = now;
  return bucket;
}

std::optional<Error> QuotaCheck::Apply(const Candidate& candidate) {
  const std::string& team = candidate.spec().team();
  std::vector<std::pair<Bucket*, std::uint32_t>> charges;
  for (const RowDemand& demand : candidate.rows()) {
    const TableRow& row = demand.row();
    Bucket& bucket = Refill(row, team, candidate.now());
    // A job larger than the whole bucket may pass too: the next one waits until the debt is paid.
    if (bucket.tokens <= 0) {
      return Error(ErrorId::kQuotaExceeded,
                   "team '" + team + "' has used up this shard's part of its quota for kind '" +
                       row.kind() + "': " + std::to_string(row.quota()) +
                       " tasks/s in the whole fleet");
    }
    charges.emplace_back(&bucket, demand.tasks());
  }
  for (const auto& [bucket, tasks] : charges) bucket->tokens -= tasks;
  return std::nullopt;
}

std::unique_ptr<AdmissionChain> MakeAdmission(const std::string& name, const LoadView& load) {
  const bool predictive = name == "predictive";
  if (!predictive && name != "open") return nullptr;
  std::vector<std::unique_ptr<AdmissionCheck>> checks;
  checks.push_back(std::make_unique<KindCheck>());
  checks.push_back(std::make_unique<JobBoundsCheck>());
  checks.push_back(std::make_unique<FitCheck>(load));
  checks.push_back(std::make_unique<InFlightLimitCheck>(load));
  if (predictive) checks.push_back(std::make_unique<FeasibilityCheck>(load));
  // last, because a check that passes consumes tokens
  checks.push_back(std::make_unique<QuotaCheck>(load));
  return std::make_unique<AdmissionChain>(std::move(checks));
}

}  // namespace sapphireflow
