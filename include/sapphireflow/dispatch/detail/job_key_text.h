// Part of dispatch: the text form of a job key in log lines.
#ifndef SAPPHIREFLOW_DISPATCH_DETAIL_JOB_KEY_TEXT_H_
#define SAPPHIREFLOW_DISPATCH_DETAIL_JOB_KEY_TEXT_H_

#include <string>

#include "sapphireflow/model/job_order.h"

namespace sapphireflow::detail {

/// @brief Formats a job key as the 16 hexadecimal digits by which the caller named the job.
inline std::string JobKeyText(JobKey key) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (std::size_t i = 0; i < text.size(); ++i) {
    text[text.size() - 1 - i] = kDigits[(key >> (4 * i)) & 0xf];
  }
  return text;
}

}  // namespace sapphireflow::detail

#endif  // SAPPHIREFLOW_DISPATCH_DETAIL_JOB_KEY_TEXT_H_
