// Drives all clients of a crowd from one thread.
#include "crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace sapphireflow::ingress {
namespace {

// clients take turns, so that all of them advance together
constexpr std::size_t kSliceBytes = 16U << 10;
// small, so that little is in transit once a client has sent everything
constexpr int kSendBufferBytes = 64 << 10;
constexpr int kMaxStallMs = 2000;

int Connect(const Address& to) {
  const int made = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt(made, SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof kSendBufferBytes);
  sockaddr_in place{};
  place.sin_family = AF_INET;
  place.sin_port = htons(to.port());
  place.sin_addr.s_addr = htonl(to.ip());
  // a connection that fails shows as an error of the socket later
  (void)connect(made, reinterpret_cast<const sockaddr*>(&place), sizeof place);
  return made;
}

}  // namespace

Crowd::Crowd(const std::vector<Sender>& senders) : m_senders(senders) {
  for (const Sender& sender : m_senders) {
    for (std::size_t i = 0; i < sender.clients; ++i) {
      Client client;
      client.sender = &sender;
      m_clients.push_back(client);
    }
  }
}

Crowd::~Crowd() {
  for (const Client& client : m_clients) {
    if (client.socket >= 0) close(client.socket);
  }
}

void Crowd::Play(const std::function<void()>& after_turn) {
  for (Client& client : m_clients) client.socket = Connect(client.sender->to);
  std::vector<pollfd> waits(m_clients.size());
  while (true) {
    bool pending = false;
    for (std::size_t i = 0; i < m_clients.size(); ++i) {
      const Client& client = m_clients[i];
      // poll() ignores negative descriptors
      waits[i] = {client.Done() ? -1 : client.socket, POLLIN | POLLOUT, 0};
      pending = pending || !client.Done();
    }
    if (!pending || poll(waits.data(), waits.size(), kMaxStallMs) <= 0) return;
    for (std::size_t i = 0; i < m_clients.size(); ++i) {
      if ((waits[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0) Receive(m_clients[i]);
      if ((waits[i].revents & POLLOUT) != 0 && !m_clients[i].closed) SendSome(m_clients[i]);
    }
    after_turn();
  }
}

std::size_t Crowd::CountOpen() const {
  return static_cast<std::size_t>(std::count_if(
      m_clients.begin(), m_clients.end(), [](const Client& client) { return !client.closed; }));
}

void Crowd::SendSome(Client& client) {
  std::size_t left = kSliceBytes;
  while (left > 0 && !client.Done()) {
    const Piece& piece = client.sender->pieces[client.piece];
    const std::size_t wanted = std::min(left, piece.bytes->size() - client.offset);
    const ssize_t sent =
        send(client.socket, piece.bytes->data() + client.offset, wanted, MSG_NOSIGNAL);
    if (sent < 0) {
      client.closed = errno != EAGAIN;
      return;
    }
    m_sent_bytes += static_cast<std::size_t>(sent);
    left -= static_cast<std::size_t>(sent);
    client.offset += static_cast<std::size_t>(sent);
    if (client.offset < piece.bytes->size()) continue;
    client.offset = 0;
    if (++client.repetition < piece.times) continue;
    client.repetition = 0;
    ++client.piece;
  }
}

void Crowd::Receive(Client& client) {
  std::array<char, 4096> answer{};
  const ssize_t received = recv(client.socket, answer.data(), answer.size(), 0);
  client.closed = received == 0 || (received < 0 && errno != EAGAIN);
}

}  // namespace sapphireflow::ingress
