// Part of codec: text form of job ids, authenticated with a truncated HMAC-SHA-256 so that forged
// ids are rejected.
#ifndef SAPPHIREFLOW_CODEC_JOB_ID_CODEC_H_
#define SAPPHIREFLOW_CODEC_JOB_ID_CODEC_H_

#include <string>
#include <utility>

#include "sapphireflow/model/error.h"
#include "sapphireflow/model/ids.h"

namespace sapphireflow {

/// @brief Converts job ids to and from text. Thread-safe: immutable after construction.
class JobIdCodec {
 public:
  /// @param key secret shared by all entry VMs
  explicit JobIdCodec(std::string key) : m_key(std::move(key)) {}
  /// @return e.g. `sf1-7f0000011bbd-19d0c2a1b2c-1-5f-19d0c2a1c00-0123456789abcdef`
  std::string Write(const JobId& id) const;
  /// @return the id, or `kForgedId` if the text is malformed or was not written with this key.
  Result<JobId> Read(const std::string& text) const;

 private:
  std::string ComputeMac(const std::string& body) const;

  std::string m_key;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_CODEC_JOB_ID_CODEC_H_
