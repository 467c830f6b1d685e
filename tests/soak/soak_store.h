// A test double of the platform's store with fault injection.
#ifndef SAPPHIREFLOW_TESTS_SOAK_SOAK_STORE_H_
#define SAPPHIREFLOW_TESTS_SOAK_SOAK_STORE_H_

#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "sapphireflow/transport/clock.h"
#include "sapphireflow/transport/http.h"
#include "sapphireflow/transport/timer_thread.h"

namespace sapphireflow::soak {

/// @brief Faults of the store that can be switched on; the defaults mean no fault.
struct StoreFaults {
  // every call is answered with 503
  bool reject_all = false;
  // delay of each reply
  Duration reply_delay = std::chrono::milliseconds(4);
  // share of calls that are carried out but get no reply
  double lost_reply_share = 0;
};

/// @brief Key-value store with revisions, leases and watches, served in the platform's protocol.
/// Thread-safe.
class SoakStore : public HttpHandler {
 public:
  /// All references must outlive the store.
  SoakStore(const Clock& clock, TimerThread& timers, std::uint32_t seed);

  void Handle(const HttpRequest& request, std::shared_ptr<HttpResponder> responder) override;
  void SetFaults(const StoreFaults& faults);
  /// @brief Writes or removes a key on behalf of the platform, without the checks of a client's
  /// transaction.
  void Put(const std::string& key, const nlohmann::json& value);
  /// @brief Writes a key with bytes that need not be JSON.
  void PutBytes(const std::string& key, const std::string& bytes);
  void Remove(const std::string& key);
  /// @brief Discards the history: a watch from an earlier revision is answered with 410.
  void CompactHistory();

 private:
  using Json = nlohmann::json;
  using ResponderPtr = std::shared_ptr<HttpResponder>;
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::uint64_t revision;
    std::string key;
    // empty if the key was removed
    std::optional<Item> item;
  };
  struct Watch {
    std::string prefix;
    std::uint64_t after = 0;
    ResponderPtr responder;
    std::uint64_t serial = 0;
  };
  struct Reply {
    int status;
    Json body;
  };

  std::optional<Reply> Serve(const HttpRequest& request, const ResponderPtr& responder);
  Reply Range(const std::string& prefix, const std::string& after) const;
  Reply Transaction(const Json& body);
  std::optional<Reply> StartWatch(const HttpRequest& request, const ResponderPtr& responder);
  Reply EventsSince(const std::string& prefix, std::uint64_t after) const;
  void Write(const std::string& key, const std::string& value, std::uint64_t lease);
  void Erase(const std::string& key);
  void AnswerWatches();
  void ExpireLease(std::uint64_t lease);
  void Send(const ResponderPtr& responder, const Reply& reply);
  static Json ItemJson(const std::string& key, const Item& item);

  const Clock& m_clock;
  TimerThread& m_timers;
  std::mutex m_mutex;
  // all members below are guarded by m_mutex
  std::mt19937 m_random;
  StoreFaults m_faults;
  std::uint64_t m_revision = 1;
  std::uint64_t m_compacted_revision = 0;
  std::uint64_t m_serial = 0;
  std::map<std::string, Item> m_items;
  std::vector<Event> m_history;
  std::vector<Watch> m_watches;
  // when each lease expires
  std::map<std::uint64_t, Instant> m_lease_deadlines;
  std::map<std::uint64_t, Duration> m_lease_ttls;
  std::vector<ResponderPtr> m_unanswered;
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_SOAK_STORE_H_
