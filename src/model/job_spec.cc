// Part of the model: names of verdicts.
#include "sapphireflow/model/job_spec.h"

namespace sapphireflow {

const char* VerdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kComplete:
      return "complete";
    case Verdict::kFailed:
      return "failed";
    case Verdict::kRefused:
      return "refused";
    case Verdict::kUnknown:
      return "unknown";
  }
  return "";
}

}  // namespace sapphireflow
