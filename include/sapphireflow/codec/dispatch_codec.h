// Part of codec: messages between dispatch nodes as CBOR.
#ifndef SAPPHIREFLOW_CODEC_DISPATCH_CODEC_H_
#define SAPPHIREFLOW_CODEC_DISPATCH_CODEC_H_

#include <string>

#include "sapphireflow/dispatch/dispatch_message.h"
#include "sapphireflow/model/error.h"

namespace sapphireflow {

/// @brief Complexity: linear in the message.
std::string EncodeDispatchMessage(const DispatchMessage& message);

/// @return the message, or `kMalformedMessage` with the reason. Complexity: linear.
Result<DispatchMessage> DecodeDispatchMessage(const std::string& bytes);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_CODEC_DISPATCH_CODEC_H_
