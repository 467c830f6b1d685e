// Part of the model: every error that is reported to callers or operators, with its stable id.
// docs/ERRORS.md explains each id with an example.
#ifndef SAPPHIREFLOW_MODEL_ERROR_H_
#define SAPPHIREFLOW_MODEL_ERROR_H_

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "sapphireflow/model/comparable.h"

namespace sapphireflow {

/// @brief Stable error numbers, printed as `SF<number>`.
enum class ErrorId : int {
  kNone = 0,
  // invalid requests
  kMalformedRequest = 1001,
  kBodyTooLarge = 1002,
  kForgedId = 1003,
  kUnauthorized = 1004,
  kNoSuchResource = 1005,
  kIdReused = 1006,
  // refusals: no task ran; kCannotFinishInTime may also fail a job in progress
  kUnknownKind = 2001,
  kQuotaExceeded = 2003,
  kCannotFinishInTime = 2004,
  kNoWorkerFits = 2005,
  kDraining = 2006,
  kNoTable = 2007,
  kTooManyTasks = 2008,
  kLimitReached = 2009,
  kNotBuilt = 2010,
  kNoConfiguration = 2011,
  kOverloaded = 2012,
  kConfigurationOutdated = 2013,
  // failures: the answer states the fate of each task, except for kHomeGone
  kDeadlinePassed = 3001,
  kTaskFailed = 3002,
  kCancelled = 3003,
  kHomeGone = 3004,
  kIdExpired = 3005,
  kTaskCrashesWorkers = 3006,
  // the outcome is unknown: the caller should retry
  kHomeUnreachable = 4001,
  kStoreUnavailable = 4002,
  // settings, table and platform
  kBadSettings = 5001,
  kBadTable = 5002,
  kStaleVersion = 5003,
  kMalformedMessage = 5004,
  kIo = 5005,
};

/// @brief An error: its stable id and a human-readable message.
class Error : public Comparable<Error> {
 public:
  Error(ErrorId id, std::string message) : m_id(id), m_message(std::move(message)) {}
  ErrorId id() const { return m_id; }
  const std::string& message() const { return m_message; }
  /// @brief The stable id as printed, e.g. `SF2001`.
  std::string code() const { return "SF" + std::to_string(static_cast<int>(m_id)); }
  auto Fields() const { return std::tie(m_id, m_message); }

 private:
  ErrorId m_id;
  std::string m_message;
};

/// @brief Either a value or an error.
template <class T>
using Result = std::variant<T, Error>;

/// @brief One problem found while validating a document, with its location.
class Finding : public Comparable<Finding> {
 public:
  Finding(std::string place, std::string message)
      : m_place(std::move(place)), m_message(std::move(message)) {}
  /// @brief File, line and key, or row and column.
  const std::string& place() const { return m_place; }
  /// @brief What is wrong and what is allowed.
  const std::string& message() const { return m_message; }
  std::string text() const { return m_place + ": " + m_message; }
  auto Fields() const { return std::tie(m_place, m_message); }

 private:
  std::string m_place;
  std::string m_message;
};

/// @brief All problems of one document, reported together.
using Findings = std::vector<Finding>;

/// @brief Either a valid value or all problems found in its source.
template <class T>
using Validated = std::variant<T, Findings>;

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MODEL_ERROR_H_
