// Part of codec: CBOR encoding of the messages between dispatch nodes.
#ifndef SAPPHIREFLOW_CODEC_DISPATCH_CODEC_H_
#define SAPPHIREFLOW_CODEC_DISPATCH_CODEC_H_

#include <string>

#include "sapphireflow/dispatch/dispatch_message.h"
#include "sapphireflow/model/error.h"

namespace sapphireflow {

/// @brief Encodes a message as CBOR. Complexity: linear.
std::string EncodeDispatchMessage(const DispatchMessage& message);

/// @return the message, or `kMalformedMessage` with the reason. Complexity: linear.
Result<DispatchMessage> DecodeDispatchMessage(const std::string& bytes);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_CODEC_DISPATCH_CODEC_H_
