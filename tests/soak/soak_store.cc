// Implements the calls of the store's protocol.
#include "soak_store.h"

#include <openssl/evp.h>

#include <algorithm>

namespace sapphireflow::soak {
namespace {

constexpr int kOk = 200;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kFailedCondition = 412;
constexpr int kUnavailable = 503;
// maximum number of events, about ten seconds of changes; the older half is discarded beyond it
constexpr std::size_t kMaxHistory = 2000;

std::string Base64(const std::string& bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                   reinterpret_cast<const unsigned char*>(bytes.data()),
                                   static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

SoakStore::SoakStore(const Clock& clock, TimerThread& timers, std::uint32_t seed)
    : m_clock(clock), m_timers(timers), m_random(seed) {}

void SoakStore::SetFaults(const StoreFaults& faults) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_faults = faults;
  if (faults.lost_reply_share > 0) return;
  for (const ResponderPtr& responder : m_unanswered) responder->Abort();
  m_unanswered.clear();
}

void SoakStore::Put(const std::string& key, const Json& value) {
  std::lock_guard<std::mutex> lock(m_mutex);
  Write(key, Base64(value.dump()), 0);
}

void SoakStore::PutBytes(const std::string& key, const std::string& bytes) {
  std::lock_guard<std::mutex> lock(m_mutex);
  Write(key, Base64(bytes), 0);
}

void SoakStore::Remove(const std::string& key) {
  std::lock_guard<std::mutex> lock(m_mutex);
  Erase(key);
}

void SoakStore::CompactHistory() {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_compacted_revision = m_revision;
  m_history.clear();
}

void SoakStore::Write(const std::string& key, const std::string& value, std::uint64_t lease) {
  Item& item = m_items[key];
  ++m_revision;
  item = Item{value, m_revision, item.created == 0 ? m_revision : item.created, lease};
  m_history.push_back(Event{m_revision, key, item});
  AnswerWatches();
}

void SoakStore::Erase(const std::string& key) {
  if (m_items.erase(key) == 0) return;
  ++m_revision;
  m_history.push_back(Event{m_revision, key, std::nullopt});
  AnswerWatches();
}

nlohmann::json SoakStore::ItemJson(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", item.value},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

void SoakStore::Send(const ResponderPtr& responder, const Reply& reply) {
  if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_faults.lost_reply_share) {
    m_unanswered.push_back(responder);
    return;
  }
  m_timers.At(m_clock.Now() + m_faults.reply_delay, [responder, reply] {
    responder->Respond(HttpResponse(reply.status, reply.body.dump()));
  });
}

void SoakStore::Handle(const HttpRequest& request, std::shared_ptr<HttpResponder> responder) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_faults.reject_all) {
    responder->Respond(HttpResponse(kUnavailable, "{}"));
    return;
  }
  if (const auto reply = Serve(request, responder)) Send(responder, *reply);
}

std::optional<SoakStore::Reply> SoakStore::Serve(const HttpRequest& request,
                                                 const ResponderPtr& responder) {
  const std::string& path = request.path();
  if (path == "/kv-key") {
    const auto found = m_items.find(request.Parameter("key"));
    if (found == m_items.end()) return Reply{kNotFound, Json::object()};
    Json body = ItemJson(found->first, found->second);
    body["store_revision"] = m_revision;
    return Reply{kOk, std::move(body)};
  }
  if (path == "/kv-range") return Range(request.Parameter("prefix"), request.Parameter("after"));
  if (path == "/kv-watch") return StartWatch(request, responder);
  const Json body = Json::parse(request.body(), nullptr, false);
  if (path == "/kv-txn") return Transaction(body);
  if (path == "/kv-lease") {
    const std::uint64_t lease = ++m_serial;
    const auto ttl = std::chrono::milliseconds(body.at("ttl_ms").get<int>());
    m_lease_ttls[lease] = ttl;
    m_lease_deadlines[lease] = m_clock.Now() + ttl;
    m_timers.At(m_lease_deadlines[lease], [this, lease] { ExpireLease(lease); });
    return Reply{kOk, {{"lease", lease}, {"ttl_ms", body.at("ttl_ms")}}};
  }
  const std::uint64_t lease = std::stoull("0" + path.substr(path.rfind('/') + 1));
  if (m_lease_deadlines.count(lease) == 0) return Reply{kNotFound, Json::object()};
  m_lease_deadlines[lease] =
      StartsWith(path, "/kv-keep/") ? m_clock.Now() + m_lease_ttls[lease] : m_clock.Now();
  m_timers.At(m_lease_deadlines[lease], [this, lease] { ExpireLease(lease); });
  return Reply{kOk, Json::object()};
}

void SoakStore::ExpireLease(std::uint64_t lease) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_lease_deadlines.find(lease);
  if (found == m_lease_deadlines.end() || found->second > m_clock.Now()) return;
  m_lease_deadlines.erase(found);
  std::vector<std::string> keys;
  for (const auto& [key, item] : m_items) {
    if (item.lease == lease) keys.push_back(key);
  }
  for (const std::string& key : keys) Erase(key);
}

SoakStore::Reply SoakStore::Range(const std::string& prefix, const std::string& after) const {
  Json items = Json::array();
  for (auto item = m_items.upper_bound(after); item != m_items.end(); ++item) {
    if (StartsWith(item->first, prefix)) items.push_back(ItemJson(item->first, item->second));
  }
  return {kOk, {{"items", std::move(items)}, {"truncated", false}, {"store_revision", m_revision}}};
}

SoakStore::Reply SoakStore::Transaction(const Json& body) {
  for (const Json& row : body.at("expected")) {
    const auto found = m_items.find(row.at("key").get<std::string>());
    const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
    if (revision != row.at("revision").get<std::uint64_t>()) {
      return {kFailedCondition, {{"items", Json::array()}}};
    }
  }
  for (const Json& write : body.at("writes")) {
    const auto key = write.at("key").get<std::string>();
    if (StartsWith(key, "op/") || StartsWith(key, "servers/")) return {kForbidden, Json::object()};
    const auto lease = write.value("lease", std::uint64_t{0});
    if (lease != 0 && m_lease_deadlines.count(lease) == 0) return {kNotFound, Json::object()};
    Write(key, write.at("value").get<std::string>(), lease);
  }
  for (const Json& key : body.at("remove")) Erase(key.get<std::string>());
  return {kOk, {{"revision", m_revision}}};
}

SoakStore::Reply SoakStore::EventsSince(const std::string& prefix, std::uint64_t after) const {
  Json events = Json::array();
  for (const Event& event : m_history) {
    if (event.revision <= after || !StartsWith(event.key, prefix)) continue;
    events.push_back(
        event.item ? ItemJson(event.key, *event.item)
                   : Json{{"key", event.key}, {"revision", event.revision}, {"deleted", true}});
  }
  return {kOk, {{"events", std::move(events)}, {"store_revision", m_revision}}};
}

std::optional<SoakStore::Reply> SoakStore::StartWatch(const HttpRequest& request,
                                                      const ResponderPtr& responder) {
  const std::string prefix = request.Parameter("prefix");
  const std::uint64_t after = std::stoull("0" + request.Parameter("after"));
  if (after < m_compacted_revision) return Reply{kGone, Json::object()};
  Reply events = EventsSince(prefix, after);
  if (!events.body.at("events").empty()) return events;
  const std::uint64_t serial = ++m_serial;
  m_watches.push_back(Watch{prefix, after, responder, serial});
  const auto wait = std::chrono::milliseconds(std::stoi("0" + request.Parameter("wait_ms")));
  m_timers.At(m_clock.Now() + wait, [this, serial] {
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = std::find_if(m_watches.begin(), m_watches.end(),
                                    [serial](const Watch& one) { return one.serial == serial; });
    if (found == m_watches.end()) return;
    const Watch due = *found;
    m_watches.erase(found);
    Send(due.responder, EventsSince(due.prefix, due.after));
  });
  return std::nullopt;
}

void SoakStore::AnswerWatches() {
  if (m_history.size() > kMaxHistory) {
    m_compacted_revision = m_history[m_history.size() / 2].revision;
    m_history.erase(m_history.begin(),
                    m_history.begin() + static_cast<std::ptrdiff_t>(m_history.size() / 2));
  }
  const std::string& key = m_history.back().key;
  for (auto watch = m_watches.begin(); watch != m_watches.end();) {
    if (!StartsWith(key, watch->prefix)) {
      ++watch;
      continue;
    }
    Send(watch->responder, EventsSince(watch->prefix, watch->after));
    watch = m_watches.erase(watch);
  }
}

}  // namespace sapphireflow::soak
