// Part of transport: follows what operators write into the platform's store: the configuration and
// the evacuations of zones. One watch serves both, and each is read again only after it changed.
#include "sapphireflow/transport/directory_watch.h"

namespace sapphireflow {
namespace {

// A configuration must take effect within two seconds, an evacuation within five. Each answer
// confirms the configuration. A silent watch is detected within this time and the time limit of a
// call.
constexpr Duration kOperatorWatchTimeout = std::chrono::milliseconds(1000);

}  // namespace

void DirectoryWatch::FollowOperators() {
  {
    std::lock_guard<std::mutex> lock(m_operators_mutex);
    m_operators_watched_from.reset();
  }
  // Read after the evacuations, from whose revision on both are watched. No change between the two
  // reads is missed, and the evacuations do not wait for the larger value.
  m_configuration_due = true;
  m_configuration_is_read = false;
  RequestEvacuations();
}

void DirectoryWatch::RequestEvacuations() {
  if (m_evacuations_read.Begin()) ReadEvacuations();
}

void DirectoryWatch::ReadEvacuations() {
  m_evacuations_read.OnSend();
  m_store.ReadEvacuations([this](const Result<VersionedValue<EvacuatedZones>>& read) {
    UpdateStoreStatus(std::get_if<Error>(&read));
    const auto* reading = std::get_if<VersionedValue<EvacuatedZones>>(&read);
    if (reading == nullptr) {
      if (!m_evacuations_tried) m_events.Accept(EvacuationsUnavailable());
      OnEvacuationsTried();
      RunAfter(kRetryDelay, [this] { ReadEvacuations(); });
      return;
    }
    HandleOrRetry(
        [&] {
          m_events.Accept(EvacuationsListed(reading->value()));
          if (!WatchOperatorsFrom(reading->revision())) m_evacuations_read.Begin();
          OnEvacuationsTried();
          if (m_evacuations_read.End()) ReadEvacuations();
        },
        &DirectoryWatch::ReadEvacuations);
  });
}

void DirectoryWatch::OnEvacuationsTried() {
  if (m_configuration_due.exchange(false)) RequestConfiguration();
  if (!m_evacuations_tried.exchange(true)) AllowWorkers();
}

void DirectoryWatch::RequestConfiguration() {
  if (m_configuration_read.Begin()) ReadConfiguration();
}

void DirectoryWatch::Confirm(Instant as_of) {
  if (m_configuration_is_read) m_events.Accept(ConfigurationConfirmed(as_of));
}

void DirectoryWatch::ReadConfiguration() {
  m_configuration_read.OnSend();
  const Instant sent_at = m_clock.Now();
  m_store.ReadConfiguration([this, sent_at](const Result<VersionedValue<ConfigurationPtr>>& read) {
    UpdateStoreStatus(std::get_if<Error>(&read));
    const auto* reading = std::get_if<VersionedValue<ConfigurationPtr>>(&read);
    if (reading == nullptr) m_events.Accept(ConfigurationUnconfirmed());
    if (reading == nullptr || !reading->value()) {
      RunAfter(kRetryDelay, [this] { ReadConfiguration(); });
      return;
    }
    HandleOrRetry(
        [&] {
          m_events.Accept(ConfigurationCopy(reading->value()));
          if (!WatchOperatorsFrom(reading->revision())) m_configuration_read.Begin();
          if (m_configuration_read.End()) {
            ReadConfiguration();
          } else {
            m_configuration_is_read = true;
            Confirm(sent_at);
          }
        },
        &DirectoryWatch::ReadConfiguration);
  });
}

bool DirectoryWatch::WatchOperatorsFrom(std::uint64_t revision) {
  {
    std::lock_guard<std::mutex> lock(m_operators_mutex);
    if (m_operators_watched_from) {
      const bool is_covered = revision >= *m_operators_watched_from;
      // a store that was replaced may count from a lower revision: one repetition is enough
      if (!is_covered) m_operators_watched_from = revision;
      return is_covered;
    }
    m_operators_watched_from = revision;
  }
  WatchOperators(revision);
  return true;
}

void DirectoryWatch::WatchOperators(std::uint64_t after) {
  const Instant sent_at = m_clock.Now();
  m_store.WatchOperators(
      after, kOperatorWatchTimeout,
      [this, sent_at](WatchEnd end, std::uint64_t revision, const OperatorChanges& changes) {
        if (end == WatchEnd::kFailed) {
          m_events.Accept(ConfigurationUnconfirmed());
          RunAfter(kRetryDelay, [this] { FollowOperators(); });
          return;
        }
        if (end == WatchEnd::kHistoryUnavailable) {
          FollowOperators();
          return;
        }
        UpdateStoreStatus(nullptr);
        if (changes.evacuations()) RequestEvacuations();
        if (changes.configuration()) {
          m_configuration_is_read = false;
          RequestConfiguration();
        }
        // the store held an empty answer for as long as it was asked to
        Confirm(end == WatchEnd::kUnchanged ? sent_at + kOperatorWatchTimeout : sent_at);
        WatchOperators(revision);
      });
}

}  // namespace sapphireflow
