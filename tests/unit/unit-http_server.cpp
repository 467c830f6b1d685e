// The server over real sockets: headers, and callers that leave before their answer.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <string>

#include "sapphireflow/transport/http_server.h"

using namespace sapphireflow;

namespace {

constexpr std::uint16_t kPort = 7911;
constexpr char kRequest[] =
    "POST /p/1 HTTP/1.1\r\nHost: h1\r\nX-Limit: 7\r\nContent-Length: 2\r\n\r\nhi";

// keeps each request's responder, and tells when a caller has left
class Keeper : public HttpHandler {
 public:
  void Handle(const HttpRequest& request, std::shared_ptr<HttpResponder> responder) override {
    responder->OnClosed([this] { m_left.set_value(); });
    // the test goes on as soon as the request has arrived
    m_responder = std::move(responder);
    m_arrived.set_value(request);
  }
  std::promise<HttpRequest> m_arrived;
  std::promise<void> m_left;
  std::shared_ptr<HttpResponder> m_responder;
};

int Connect() {
  const int handle = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
  REQUIRE(send(handle, kRequest, sizeof kRequest - 1, 0) == sizeof kRequest - 1);
  return handle;
}

constexpr std::chrono::seconds kPatience(5);

}  // namespace

TEST_CASE("a caller that leaves before its answer is noticed") {
  Keeper keeper;
  HttpServer server(Address(INADDR_LOOPBACK, kPort), 1, keeper);
  REQUIRE_FALSE(server.Start());
  const int caller = Connect();
  auto arrived = keeper.m_arrived.get_future();
  REQUIRE(arrived.wait_for(kPatience) == std::future_status::ready);
  const HttpRequest request = arrived.get();
  CHECK(request.Header("host") == "h1");
  CHECK(request.Header("X-LIMIT") == "7");
  CHECK(request.Header("missing").empty());
  close(caller);
  CHECK(keeper.m_left.get_future().wait_for(kPatience) == std::future_status::ready);
  server.Stop();
}

TEST_CASE("a caller that leaves after its answer is none of the handler's business") {
  Keeper keeper;
  HttpServer server(Address(INADDR_LOOPBACK, kPort), 1, keeper);
  REQUIRE_FALSE(server.Start());
  const int caller = Connect();
  REQUIRE(keeper.m_arrived.get_future().wait_for(kPatience) == std::future_status::ready);
  server.Retire();
  keeper.m_responder->Respond(HttpResponse(200, "{}", "application/json", {{"Retry-After", "3"}}));
  std::string answer(4096, '\0');
  std::size_t size = 0;
  for (ssize_t got = 1; got > 0;) {
    got = recv(caller, answer.data() + size, answer.size() - size, 0);
    if (got > 0) size += static_cast<std::size_t>(got);
  }
  answer.resize(size);
  CHECK(answer.find("Retry-After: 3") != std::string::npos);
  CHECK(answer.find("Connection: close") != std::string::npos);
  close(caller);
  CHECK(keeper.m_left.get_future().wait_for(std::chrono::milliseconds(200)) ==
        std::future_status::timeout);
  server.Stop();
}
