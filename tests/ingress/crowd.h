// Plays untrusted clients that send unfinished or oversized requests.
#ifndef SAPPHIREFLOW_TESTS_INGRESS_CROWD_H_
#define SAPPHIREFLOW_TESTS_INGRESS_CROWD_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sapphireflow/model/address.h"

namespace sapphireflow::ingress {

/// @brief Bytes that are sent a number of times in a row.
struct Piece {
  std::shared_ptr<const std::string> bytes;
  std::size_t times = 1;
};

/// @brief A number of clients that each open one connection and send the same pieces.
struct Sender {
  Address to;
  std::size_t clients = 0;
  std::vector<Piece> pieces;
};

/// @brief Opens the connections of all senders and sends in turns, until each client has sent all
/// of its pieces, was disconnected, or cannot send because the other side does not read. The
/// connections stay open until the crowd is destroyed.
class Crowd {
 public:
  explicit Crowd(const std::vector<Sender>& senders);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// @brief Connects and sends. Ends by itself: the number of bytes is fixed, and so is the time
  /// without progress after which it returns.
  /// @param after_turn called after each turn of all clients
  void Play(const std::function<void()>& after_turn);
  std::size_t clients() const { return m_clients.size(); }
  /// @brief Clients that have sent everything and are still connected.
  std::size_t CountOpen() const;
  std::size_t sent_bytes() const { return m_sent_bytes; }

 private:
  struct Client {
    int socket = -1;
    const Sender* sender = nullptr;
    // position within the pieces
    std::size_t piece = 0;
    std::size_t repetition = 0;
    std::size_t offset = 0;
    bool closed = false;
    bool Done() const { return closed || piece == sender->pieces.size(); }
  };

  // sends up to one slice
  void SendSome(Client& client);
  // reads what the other side sent, and notes whether it closed the connection
  static void Receive(Client& client);

  const std::vector<Sender> m_senders;
  std::vector<Client> m_clients;
  std::size_t m_sent_bytes = 0;
};

}  // namespace sapphireflow::ingress

#endif  // SAPPHIREFLOW_TESTS_INGRESS_CROWD_H_
