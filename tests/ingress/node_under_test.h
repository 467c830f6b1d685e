// One dispatch node as a process, with a store and a worker of its own.
#ifndef SAPPHIREFLOW_TESTS_INGRESS_NODE_UNDER_TEST_H_
#define SAPPHIREFLOW_TESTS_INGRESS_NODE_UNDER_TEST_H_

#include <atomic>
#include <string>

#include "node_process.h"
#include "sapphireflow/transport/clock.h"
#include "sapphireflow/transport/http_client.h"
#include "sapphireflow/transport/http_server.h"
#include "sapphireflow/transport/timer_thread.h"
#include "soak_store.h"
#include "soak_worker.h"

namespace sapphireflow::ingress {

/// @brief Starts a dispatch node with low limits and reads how much it uses.
class NodeUnderTest : private soak::CrashListener {
 public:
  /// The bounds of all tests: what the node's settings file states.
  static constexpr std::size_t kMemoryMb = 64;
  static constexpr std::size_t kMaxDescriptors = 400;

  /// @param slot selects the subnet 127.12.SLOT.0/24
  NodeUnderTest(const std::string& program, const std::string& folder, std::uint32_t slot);
  ~NodeUnderTest() override;
  NodeUnderTest(const NodeUnderTest&) = delete;
  NodeUnderTest& operator=(const NodeUnderTest&) = delete;

  /// @return whether the node is ready
  bool Start();
  Address callers() const;
  Address readiness() const;
  Address peers() const;
  bool Lives() { return !m_process.HasEnded(); }
  /// @brief The largest resident memory that the process has had.
  double PeakResidentMb() const;
  std::size_t CountDescriptors() const;
  /// @brief Waits until the node has read all that its sockets hold, or does not read on.
  void WaitUntilRead();
  /// @return the status of the answer to a job; 0 if no complete answer came
  int SubmitJob();
  /// @return the status of the answer to the readiness probe; 0 if no complete answer came
  int ProbeReadiness();

 private:
  // no task of these tests crashes its worker
  void OnCrash(const std::string& /*worker*/) override {}
  void PublishWorkerEntry();
  Address At(std::uint32_t host, std::uint16_t port) const;
  std::string WriteSettings(const std::string& folder) const;
  void Wait(Duration length);
  // bytes that the sockets of the node's listeners hold
  std::size_t CountUnreadBytes() const;

  const std::uint32_t m_slot;
  const MonotonicClock m_clock;
  TimerThread m_timers;
  soak::SoakStore m_store;
  HttpServer m_store_server;
  soak::InvariantChecker m_checker;
  soak::FaultTracker m_fault_tracker;
  soak::SoakWorker m_worker;
  HttpServer m_worker_server;
  std::atomic<bool> m_publishing{true};
  HttpClient m_client;
  soak::NodeProcess m_process;
};

}  // namespace sapphireflow::ingress

#endif  // SAPPHIREFLOW_TESTS_INGRESS_NODE_UNDER_TEST_H_
