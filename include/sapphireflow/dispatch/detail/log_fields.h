// Part of dispatch: fields of log lines.
#ifndef SAPPHIREFLOW_DISPATCH_DETAIL_LOG_FIELDS_H_
#define SAPPHIREFLOW_DISPATCH_DETAIL_LOG_FIELDS_H_

#include <cstdint>
#include <string>

#include "sapphireflow/dispatch/detail/job_key_text.h"
#include "sapphireflow/model/job_order.h"
#include "sapphireflow/model/time.h"
#include "sapphireflow/observe/event_log.h"

namespace sapphireflow::detail {

/// @brief Formats a duration in whole milliseconds.
inline std::string MillisText(Duration length) {
  return std::to_string(static_cast<std::int64_t>(ToMillis(length)));
}

/// @brief The fields that name a run, followed by further ones.
inline LogEvent::Pairs RunFields(const RunKey& run, const LogEvent::Pairs& further) {
  LogEvent::Pairs fields = {{"job", JobKeyText(run.task().job())},
                            {"step", std::to_string(run.task().step())},
                            {"task", std::to_string(run.task().index())},
                            {"run", std::to_string(run.number())}};
  fields.insert(fields.end(), further.begin(), further.end());
  return fields;
}

}  // namespace sapphireflow::detail

#endif  // SAPPHIREFLOW_DISPATCH_DETAIL_LOG_FIELDS_H_
