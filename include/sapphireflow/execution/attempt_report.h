// Part of execution: the outcome of a start request, as reported by the transport.
#ifndef SAPPHIREFLOW_EXECUTION_ATTEMPT_REPORT_H_
#define SAPPHIREFLOW_EXECUTION_ATTEMPT_REPORT_H_

#include <string>
#include <utility>

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/ids.h"

namespace sapphireflow {

/// @brief What is known of an attempt once its start request has ended.
enum class AttemptEnd {
  kSucceeded,      ///< ran; the result is present
  kTaskFailed,     ///< ran, and the task itself failed
  kStopped,        ///< started, then stopped; no longer running
  kWorkerFull,     ///< refused, did not run: no free slot
  kWorkerLeaving,  ///< refused, did not run: the worker is leaving
  kRefused,        ///< refused, did not run: another reason
  kNotSent,        ///< never reached the worker, did not run
  kLost,           ///< sent, but without a reply: may still be running
};

/// @brief Whether the attempt certainly did not run.
inline bool DidNotRun(AttemptEnd end) {
  return end == AttemptEnd::kWorkerFull || end == AttemptEnd::kWorkerLeaving ||
         end == AttemptEnd::kRefused || end == AttemptEnd::kNotSent;
}

/// @brief The outcome of one start request, with the task's result or the reason.
class AttemptReport : public Comparable<AttemptReport> {
 public:
  AttemptReport(const AttemptId& attempt, AttemptEnd end, std::string detail)
      : m_attempt(attempt), m_end(end), m_detail(std::move(detail)) {}
  const AttemptId& attempt() const { return m_attempt; }
  AttemptEnd end() const { return m_end; }
  /// @brief The task's result if it succeeded, otherwise a human-readable reason.
  const std::string& detail() const { return m_detail; }
  auto Fields() const { return std::tie(m_attempt, m_end, m_detail); }

 private:
  AttemptId m_attempt;
  AttemptEnd m_end;
  std::string m_detail;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_EXECUTION_ATTEMPT_REPORT_H_
