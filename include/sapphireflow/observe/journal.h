// Part of observe: the journal of decisions about a job, printed by `explain`.
#ifndef SAPPHIREFLOW_OBSERVE_JOURNAL_H_
#define SAPPHIREFLOW_OBSERVE_JOURNAL_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/model/address.h"
#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Type of a decision about a job.
enum class Decision {
  kAdmitted,
  kRefused,
  kStarted,
  kTaskDone,
  kAttemptEnded,
  kRetried,
  kStopped,
  kCompleted,
  kFailed,
  kHandedOver,
};

/// @brief One decision: its time, type, task, worker and reason.
class JournalEntry : public Comparable<JournalEntry> {
 public:
  JournalEntry(Instant at, Decision decision, std::uint32_t task, Address worker, std::string why)
      : m_at(at), m_decision(decision), m_task(task), m_worker(worker), m_why(std::move(why)) {}
  Instant at() const { return m_at; }
  Decision decision() const { return m_decision; }
  /// @brief Index of the task; 0 if the decision concerns the whole job.
  std::uint32_t task() const { return m_task; }
  /// @brief Worker that the decision concerns, or a default-constructed address.
  const Address& worker() const { return m_worker; }
  const std::string& why() const { return m_why; }
  auto Fields() const { return std::tie(m_at, m_decision, m_task, m_worker, m_why); }

 private:
  Instant m_at;
  Decision m_decision;
  std::uint32_t m_task;
  Address m_worker;
  std::string m_why;
};

using Journal = std::vector<JournalEntry>;

/// @brief Describes each entry in one line, with its time relative to the first entry.
std::vector<std::string> Explain(const Journal& journal);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OBSERVE_JOURNAL_H_
