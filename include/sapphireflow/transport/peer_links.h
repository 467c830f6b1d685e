// Part of transport: links between entry VMs by websocketpp.
#ifndef SAPPHIREFLOW_TRANSPORT_PEER_LINKS_H_
#define SAPPHIREFLOW_TRANSPORT_PEER_LINKS_H_

#include <memory>
#include <optional>
#include <string>

#include "sapphireflow/model/address.h"
#include "sapphireflow/model/error.h"

namespace sapphireflow {

/// @brief Takes what comes over the links; called from the links' threads.
class PeerListener {
 public:
  virtual ~PeerListener() = default;
  virtual void OnPeerBytes(const std::string& bytes) = 0;
  /// @brief The link is broken or was not made; what was sent over it may have been lost.
  virtual void OnPeerUnreachable(const Address& peer) = 0;
};

/// @brief One outgoing link to each peer that is sent something, and all incoming ones.
class PeerLinks {
 public:
  /// @param self where to listen
  /// @param key the secret that peers present; who lacks it is turned away
  /// @param listener outlives the links
  PeerLinks(const Address& self, const std::string& key, PeerListener& listener);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  std::optional<Error> Start();
  /// @brief Sends, opening a link first if there is none. Never blocks.
  void Send(const Address& to, const std::string& bytes);
  /// @brief Gives up the link to a peer; the next message opens a new one.
  void Reset(const Address& to);
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_PEER_LINKS_H_
