// Part of routing: input events and effects of a dispatch node.
#ifndef SAPPHIREFLOW_ROUTING_DISPATCH_EVENT_H_
#define SAPPHIREFLOW_ROUTING_DISPATCH_EVENT_H_

#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "sapphireflow/dispatch/job_event.h"
#include "sapphireflow/membership/member_table.h"
#include "sapphireflow/model/evacuated_zones.h"
#include "sapphireflow/observe/gauge_value.h"
#include "sapphireflow/ownership/owner_event.h"

namespace sapphireflow {

/// @brief A full snapshot of the workers listed in the directory.
class WorkersListed : public Comparable<WorkersListed> {
 public:
  WorkersListed(WorkerListings workers, Instant as_of)
      : m_workers(std::move(workers)), m_as_of(as_of) {}
  const WorkerListings& workers() const { return m_workers; }
  /// @brief A time by this VM's clock that is not later than the newest answer of the directory.
  Instant as_of() const { return m_as_of; }
  auto Fields() const { return std::tie(m_workers, m_as_of); }

 private:
  WorkerListings m_workers;
  Instant m_as_of;
};

/// @brief A full snapshot of the members listed in the directory.
class MembersListed : public Comparable<MembersListed> {
 public:
  explicit MembersListed(std::vector<MemberListing> members) : m_members(std::move(members)) {}
  const std::vector<MemberListing>& members() const { return m_members; }
  auto Fields() const { return std::tie(m_members); }

 private:
  std::vector<MemberListing> m_members;
};

/// @brief The evacuations are about to be read for the first time.
class EvacuationsAwaited : public Comparable<EvacuationsAwaited> {
 public:
  auto Fields() const { return std::tuple<>(); }
};

/// @brief The zones that are evacuated, as read from the platform's store.
class EvacuationsListed : public Comparable<EvacuationsListed> {
 public:
  explicit EvacuationsListed(EvacuatedZones zones) : m_zones(std::move(zones)) {}
  const EvacuatedZones& zones() const { return m_zones; }
  auto Fields() const { return std::tie(m_zones); }

 private:
  EvacuatedZones m_zones;
};

/// @brief The store had accepted no newer configuration than the one in force at this time.
class ConfigurationConfirmed : public Comparable<ConfigurationConfirmed> {
 public:
  explicit ConfigurationConfirmed(Instant as_of) : m_as_of(as_of) {}
  Instant as_of() const { return m_as_of; }
  auto Fields() const { return std::tie(m_as_of); }

 private:
  Instant m_as_of;
};

/// @brief The store has not answered whether the configuration in force is the newest one.
class ConfigurationUnconfirmed : public Comparable<ConfigurationUnconfirmed> {
 public:
  auto Fields() const { return std::tuple<>(); }
};

/// @brief The evacuations could not be read; the last known ones stay in force.
class EvacuationsUnavailable : public Comparable<EvacuationsUnavailable> {
 public:
  auto Fields() const { return std::tuple<>(); }
};

/// @brief The platform's store has answered a request.
class StoreAnswered : public Comparable<StoreAnswered> {
 public:
  auto Fields() const { return std::tuple<>(); }
};

/// @brief The connection to a member broke; messages in transit are lost.
class LinkDown : public Comparable<LinkDown> {
 public:
  explicit LinkDown(const Address& peer) : m_peer(peer) {}
  const Address& peer() const { return m_peer; }
  auto Fields() const { return std::tie(m_peer); }

 private:
  Address m_peer;
};

/// @brief The periodic timer has fired.
class DispatchTick : public Comparable<DispatchTick> {
 public:
  explicit DispatchTick(Duration own_delay = Duration::zero()) : m_own_delay(own_delay) {}
  /// @brief How late an event loop of this VM was lately: what has arrived since then may not have
  /// been read yet.
  Duration own_delay() const { return m_own_delay; }
  auto Fields() const { return std::tie(m_own_delay); }

 private:
  Duration m_own_delay;
};

/// @brief First phase of a planned stop: other members take over the workers, and no new
/// connections arrive.
class StopPlanned : public Comparable<StopPlanned> {
 public:
  auto Fields() const { return std::tuple<>(); }
};

/// @brief Second phase of a planned stop: new jobs are refused, so that all accepted ones can be
/// answered in time.
class IntakeClosed : public Comparable<IntakeClosed> {
 public:
  auto Fields() const { return std::tuple<>(); }
};

using DispatchEvent =
    std::variant<SubmitJobOrder, CallerDisconnected, JobOrderRequest, WorkersListed, MembersListed,
                 ConfigurationCopy, DispatchMessage, StoreAnswered, LinkDown, StartReplied,
                 RenewalReplied, DispatchTick, StopPlanned, IntakeClosed, EvacuationsAwaited,
                 EvacuationsListed, EvacuationsUnavailable, ConfigurationConfirmed,
                 ConfigurationUnconfirmed>;

class DispatchInput : public Comparable<DispatchInput> {
 public:
  DispatchInput(Instant now, DispatchEvent event) : m_now(now), m_event(std::move(event)) {}
  Instant now() const { return m_now; }
  const DispatchEvent& event() const { return m_event; }
  auto Fields() const { return std::tie(m_now, m_event); }

 private:
  Instant m_now;
  DispatchEvent m_event;
};

/// @brief Sends one message to one or more other members.
class SendMessage : public Comparable<SendMessage> {
 public:
  SendMessage(const Address& to, DispatchMessage message)
      : m_to({to}), m_message(std::move(message)) {}
  SendMessage(std::vector<Address> to, DispatchMessage message)
      : m_to(std::move(to)), m_message(std::move(message)) {}
  const std::vector<Address>& to() const { return m_to; }
  const DispatchMessage& message() const { return m_message; }
  auto Fields() const { return std::tie(m_to, m_message); }

 private:
  std::vector<Address> m_to;
  DispatchMessage m_message;
};

/// @brief Closes the connection to a member and opens a new one.
class ResetLink : public Comparable<ResetLink> {
 public:
  explicit ResetLink(const Address& peer) : m_peer(peer) {}
  const Address& peer() const { return m_peer; }
  auto Fields() const { return std::tie(m_peer); }

 private:
  Address m_peer;
};

using DispatchEffect =
    std::variant<StartRun, StopRun, RenewLease, SendMessage, ResetLink, AnswerCaller, JobFinished,
                 CounterIncrement, GaugeValue, LogEvent>;
using DispatchEffects = std::vector<DispatchEffect>;

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_ROUTING_DISPATCH_EVENT_H_
