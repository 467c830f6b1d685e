// Part of codec: CBOR encoding of the messages between entry VMs.
#ifndef SAPPHIREFLOW_CODEC_PEER_CODEC_H_
#define SAPPHIREFLOW_CODEC_PEER_CODEC_H_

#include <string>

#include "sapphireflow/model/error.h"
#include "sapphireflow/routing/peer_message.h"

namespace sapphireflow {

/// @brief Encodes a message as CBOR. Complexity: linear.
std::string EncodePeerMessage(const PeerMessage& message);

/// @brief Returns the type tag of the message in its encoding. Complexity: constant.
const char* PeerMessageName(const PeerMessage& message);

/// @return the message, or `kMalformedMessage` with the reason. Complexity: linear.
Result<PeerMessage> DecodePeerMessage(const std::string& bytes);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_CODEC_PEER_CODEC_H_
