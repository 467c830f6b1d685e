// Part of observe: human-readable descriptions of journal entries.
#include "sapphireflow/observe/journal.h"

#include <cstdio>

namespace sapphireflow {
namespace {

std::string ReasonSuffix(const JournalEntry& entry) {
  return entry.why().empty() ? std::string() : ": " + entry.why();
}

std::string DescribeDecision(const JournalEntry& entry) {
  const std::string task = "task " + std::to_string(entry.task());
  const std::string worker = entry.worker().text();
  switch (entry.decision()) {
    case Decision::kAdmitted:
      return "the job was admitted" + ReasonSuffix(entry);
    case Decision::kRefused:
      return "the job was refused and did not run" + ReasonSuffix(entry);
    case Decision::kStarted:
      return task + " was started on worker " + worker + ReasonSuffix(entry);
    case Decision::kTaskDone:
      return task + " was completed by worker " + worker;
    case Decision::kAttemptEnded:
      return "the attempt of " + task + " on worker " + worker + " ended" + ReasonSuffix(entry);
    case Decision::kRetried:
      return task + " was queued again" + ReasonSuffix(entry);
    case Decision::kStopped:
      return task + " was stopped on worker " + worker + ReasonSuffix(entry);
    case Decision::kCompleted:
      return "the job was answered as complete" + ReasonSuffix(entry);
    case Decision::kFailed:
      return "the job was answered as failed" + ReasonSuffix(entry);
    case Decision::kHandedOver:
      return "the job was handed over" + ReasonSuffix(entry);
  }
  return {};
}

}  // namespace

std::vector<std::string> Explain(const Journal& journal) {
  std::vector<std::string> lines;
  for (const JournalEntry& entry : journal) {
    constexpr int kStampSize = 32;
    char stamp[kStampSize];
    std::snprintf(stamp, sizeof stamp, "+%.1f ms ", ToMillis(entry.at() - journal.front().at()));
    lines.push_back(stamp + DescribeDecision(entry));
  }
  return lines;
}

}  // namespace sapphireflow
