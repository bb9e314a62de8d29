#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "rattanloft/base/Time.h"
#include "rattanloft/routing/RouteTable.h"

namespace rattanloft::routing {

enum class AttemptResult
{
  kAnswered,
  // Refused without having run: load shed, queue full, not the owner.
  kRefused,
  // No connection, broken connection, timeout, or the backend server is down.
  kFailed,
  // Ended by the caller; says nothing about the backend.
  kCancelled,
};

// Chooses backends for services without keys and learns from the attempts of
// this entry node which of them fail. Pure; owned by the traffic thread. Holds
// one record for each backend of the routes, at most 4,096.
class Balancer
{
public:
  explicit Balancer(std::string aZone);

  // The better of two backends drawn by aRandom (64 uniform bits), or 0 if
  // there is none. aExcluded lists backends that this request has tried.
  uint32_t ChooseBackend(const RouteTable& aRoutes,
                         std::string_view aService,
                         std::span<const uint32_t> aExcluded,
                         uint64_t aRandom,
                         TimePoint aNow);

  // Each started attempt is finished exactly once. Attempts at a backend
  // without a record are not counted.
  void OnAttemptStarted(uint32_t aBackend, TimePoint aNow);
  void OnAttemptFinished(uint32_t aBackend,
                         AttemptResult aResult,
                         TimePoint aNow);

  // Learns new backends, which then ramp up, and forgets those that the routes
  // no longer contain. ChooseBackend calls it when the backends have changed.
  // Backends of the first call count as warm, since nothing tells them apart.
  void UpdateBackends(const RouteTable& aRoutes, TimePoint aNow);

  uint32_t InFlightAttempts(uint32_t aBackend) const;
  bool IsEjected(uint32_t aBackend, TimePoint aNow) const;
  size_t RecordCount() const { return m_records.size(); }

private:
  struct BackendRecord
  {
    explicit BackendRecord(TimePoint aRampStartedAt)
      : m_rampStartedAt(aRampStartedAt)
    {
    }

    uint32_t m_inFlight = 0;
    uint32_t m_consecutiveFailures = 0;
    // Ejections since the last success. Each doubles the next one.
    uint32_t m_consecutiveEjections = 0;
    TimePoint m_ejectedUntil;
    // After an ejection, one attempt at a time until one succeeds.
    bool m_probing = false;
    // Start of the ramp of a new or recovered backend.
    TimePoint m_rampStartedAt;
    // Failed and refused attempts, decaying. Counted as load, since a backend
    // that fails fast has few attempts in flight.
    double m_penalty = 0;
    TimePoint m_penaltyUpdatedAt;
  };
  enum class CandidateFilter
  {
    kUsable,
    kAny,
  };

  const BackendRecord* FindRecord(uint32_t aBackend) const;
  bool IsCandidate(const RouteTable& aRoutes,
                   uint32_t aBackend,
                   std::span<const uint32_t> aExcluded,
                   CandidateFilter aFilter,
                   TimePoint aNow) const;
  uint32_t FindBestCandidate(const RouteTable& aRoutes,
                             std::span<const uint32_t> aBackends,
                             std::span<const uint32_t> aExcluded,
                             CandidateFilter aFilter,
                             uint64_t aRandom,
                             TimePoint aNow) const;
  bool IsBetter(const RouteTable& aRoutes,
                uint32_t aLeft,
                uint32_t aRight,
                TimePoint aNow) const;
  double RelativeLoad(const wire::Backend& aBackend, TimePoint aNow) const;
  static void OnBackendAlive(uint32_t aBackend,
                             BackendRecord& aRecord,
                             TimePoint aNow);
  static void OnBackendFailure(uint32_t aBackend,
                               BackendRecord& aRecord,
                               TimePoint aNow);
  static void AddPenalty(BackendRecord& aRecord, TimePoint aNow);
  static double DecayedPenalty(const BackendRecord& aRecord, TimePoint aNow);

  std::string m_zone;
  std::unordered_map<uint32_t, BackendRecord> m_records;
  // The backends of the latest update.
  std::shared_ptr<const RouteTable::BackendMap> m_knownBackends;
};

} // namespace rattanloft::routing
