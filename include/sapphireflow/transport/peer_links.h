// Part of transport: message links between nodes, based on websocketpp.
#ifndef SAPPHIREFLOW_TRANSPORT_PEER_LINKS_H_
#define SAPPHIREFLOW_TRANSPORT_PEER_LINKS_H_

#include <memory>
#include <optional>
#include <string>

#include "sapphireflow/model/address.h"
#include "sapphireflow/model/error.h"
#include "sapphireflow/transport/ingress_gate.h"
#include "sapphireflow/transport/loop_delay.h"

namespace sapphireflow {

/// @brief Receives messages and link failures. Called concurrently from the threads of the links.
class PeerListener {
 public:
  virtual ~PeerListener() = default;
  virtual void OnPeerMessage(const std::string& bytes) = 0;
  /// @brief The link broke or could not be opened; messages sent over it may have been lost.
  virtual void OnPeerUnreachable(const Address& peer) = 0;
};

/// @brief Accepts incoming links, and opens one outgoing link to each peer to which messages are
/// sent.
class PeerLinks {
 public:
  /// @param self address to listen on
  /// @param key shared secret; links from peers that do not present it are rejected
  /// @param listener must outlive the links
  /// @param gate limits incoming connections; must outlive the links; null for no limits
  PeerLinks(const Address& self, const std::string& key, PeerListener& listener,
            IngressGate* gate = nullptr);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /// @brief Reports the delay of the links' loop from its start on.
  void MeasureDelay(OnLoopDelay on_delay);
  std::optional<Error> Start();
  /// @brief Sends a message and opens a link first if there is none. Never blocks: messages are
  /// queued while the link is being opened, and dropped when the queue is full.
  void Send(const Address& to, const std::string& bytes);
  /// @brief Closes the link to a peer and reports the peer as unreachable; the next message opens a
  /// new link.
  void Reset(const Address& to);
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_PEER_LINKS_H_
