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
  // The backend refused the request without running it: it shed load, its queue
  // was full, or it is not the owner.
  kRefused,
  // The connection could not be made or broke, the attempt timed out, or the
  // backend server is down.
  kFailed,
  // The caller ended the attempt. This says nothing about the backend.
  kCancelled,
};

// Chooses backends for the requests of services without keys: the less loaded
// of two random ones. Learns from the attempts of this entry node which
// backends fail and ejects those for a while. Holds one record for each backend
// of the routes, at most 4,096. Does no I/O and reads no clock; owned by the
// traffic thread.
class Balancer
{
public:
  explicit Balancer(std::string aZone);

  // Returns the number of the better of two backends that are drawn by aRandom
  // (64 uniformly distributed bits), or 0 if there is none. aExcluded lists the
  // backends that this request has already tried.
  uint32_t ChooseBackend(const RouteTable& aRoutes,
                         std::string_view aService,
                         std::span<const uint32_t> aExcluded,
                         uint64_t aRandom,
                         TimePoint aNow);

  // Every started attempt must be finished exactly once. Attempts at a backend
  // without a record are not counted.
  void OnAttemptStarted(uint32_t aBackend, TimePoint aNow);
  void OnAttemptFinished(uint32_t aBackend,
                         AttemptResult aResult,
                         TimePoint aNow);

  // Adds records for new backends, whose share of the load then ramps up, and
  // drops the records of those that the routes no longer contain. ChooseBackend
  // calls it when the backends have changed. Backends of the first call count
  // as warm, since nothing distinguishes new ones from old ones.
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
    // Ejections since the last response. Each one doubles the duration of the
    // next.
    uint32_t m_consecutiveEjections = 0;
    TimePoint m_ejectedUntil;
    // Set by an ejection: the backend gets one attempt at a time until it
    // responds to one.
    bool m_probing = false;
    // When the load ramp of a new or recovered backend began.
    TimePoint m_rampStartedAt;
    // Exponentially decaying count of failed and refused attempts. It counts as
    // load, since a backend that fails fast has few attempts in flight.
    double m_penalty = 0;
    TimePoint m_penaltyUpdatedAt;
  };
  enum class CandidateFilter
  {
    // Neither ejected nor busy with the one attempt after an ejection.
    kUsable,
    // Every active backend that this request has not tried.
    kAny,
  };

  const BackendRecord* FindRecord(uint32_t aBackend) const;
  bool IsCandidate(const RouteTable& aRoutes,
                   uint32_t aBackend,
                   std::span<const uint32_t> aExcluded,
                   CandidateFilter aFilter,
                   TimePoint aNow) const;
  // Compares all candidates, starting at a random one.
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
  // Attempts in flight and penalty for each usable slot.
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
  // Backend map of the latest update. A different pointer in the routes means
  // that backends have changed.
  std::shared_ptr<const RouteTable::BackendMap> m_knownBackends;
};

} // namespace rattanloft::routing
