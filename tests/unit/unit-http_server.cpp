// HttpServer with real sockets: header fields, and callers that close the connection early.
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

// records the request and its responder, and whether the caller closed the connection
class RecordingHandler : public HttpHandler {
 public:
  void Handle(const HttpRequest& request, std::shared_ptr<HttpResponder> responder) override {
    responder->OnClosed([this] { m_caller_closed.set_value(); });
    // set before m_arrived, which lets the test continue
    m_responder = std::move(responder);
    m_arrived.set_value(request);
  }
  std::promise<HttpRequest> m_arrived;
  std::promise<void> m_caller_closed;
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

constexpr std::chrono::seconds kWaitLimit(5);

}  // namespace

TEST_CASE("a caller that disconnects before its answer is reported") {
  RecordingHandler recording_handler;
  HttpServer server(Address(INADDR_LOOPBACK, kPort), 1, recording_handler);
  REQUIRE_FALSE(server.Start());
  const int caller = Connect();
  auto arrived = recording_handler.m_arrived.get_future();
  REQUIRE(arrived.wait_for(kWaitLimit) == std::future_status::ready);
  const HttpRequest request = arrived.get();
  CHECK(request.Header("host") == "h1");
  CHECK(request.Header("X-LIMIT") == "7");
  CHECK(request.Header("missing").empty());
  close(caller);
  CHECK(recording_handler.m_caller_closed.get_future().wait_for(kWaitLimit) ==
        std::future_status::ready);
  server.Stop();
}

TEST_CASE("a caller that disconnects after its answer is not reported") {
  RecordingHandler recording_handler;
  HttpServer server(Address(INADDR_LOOPBACK, kPort), 1, recording_handler);
  REQUIRE_FALSE(server.Start());
  const int caller = Connect();
  REQUIRE(recording_handler.m_arrived.get_future().wait_for(kWaitLimit) ==
          std::future_status::ready);
  server.DisableKeepAlive();
  recording_handler.m_responder->Respond(
      HttpResponse(200, "{}", "application/json", {{"Retry-After", "3"}}));
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
  CHECK(recording_handler.m_caller_closed.get_future().wait_for(std::chrono::milliseconds(200)) ==
        std::future_status::timeout);
  server.Stop();
}
