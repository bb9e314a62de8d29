#include "rattanloft/fleet/FleetLeader.h"

#include <algorithm>
#include <utility>

#include "rattanloft/base/Log.h"
#include "rattanloft/fleet/HeartbeatDelay.h"
#include "rattanloft/fleet/HolderName.h"

namespace rattanloft::fleet {

namespace {

// Added to each lease on the side of the leader: covers the clock drift between
// two machines during one lease, and the granularity of their clocks.
constexpr Duration kLeaseClockMargin = Milliseconds(150);
// A sidecar that has been silent for longer does not count as alive, and its
// backend server gets no new keys.
constexpr Duration kMaxAliveSilence = Milliseconds(1800);
// A sidecar that has been silent for longer is removed from the endpoint list.
constexpr Duration kMaxEndpointSilence = Seconds(6);
// A new leader sends complete endpoint lists and rebalances only after this
// time, when every sidecar has had time to report.
constexpr Duration kEndpointListDelay = Milliseconds(1500);
// The first placement of a service waits until no backend server has joined for
// kJoinSettleTime, but at most for kMaxJoinSettleTime since the first one
// joined.
constexpr Duration kJoinSettleTime = Milliseconds(1000);
constexpr Duration kMaxJoinSettleTime = Milliseconds(3000);
// A new leader transfers no range until every instance that owns keys has
// reported, or until this time has passed: a sidecar needs up to 0.9 s to
// detect that a call to the former leader is lost.
constexpr Duration kMaxHolderReportWait = Milliseconds(2000);
// Whenever a sidecar reports to a new leader for the first time, the leader
// waits for this time: the reports of others may be in flight.
constexpr Duration kReportSettleTime = Milliseconds(120);
// Pause between two rebalancing moves of a service, so that the measured load
// reflects the previous move.
constexpr Duration kRebalancePause = Milliseconds(1000);

// Transfers and commands that take longer than a lease are logged, at this
// interval.
constexpr Duration kLongWait = Milliseconds(4000);

// A departure stays recorded for this time after it was last reported and after
// the leadership began. A heartbeat that was sent before the departure may
// arrive kMaxHeartbeatDelay later. Its sidecar uses it for 4.5 s, and needs up
// to 2.5 s to report it.
constexpr Duration kDepartureRetention = Seconds(20);
// Departures to drop are collected for this time, so that one command drops
// those of many backend servers.
constexpr Duration kDepartureCheckInterval = Milliseconds(1000);
// Departures that one command records or drops at most, about 30 KB.
constexpr int kMaxDeparturesPerCommand = 512;

// Handover tokens that are kept per backend lifetime until their ranges are
// transferred.
constexpr size_t kMaxHandoversPerHolder = 64;

// A sidecar that is stopping still serves for some seconds, but is listed as
// draining, so that it gets no new work that can go elsewhere.
wire::Endpoint
MakeEndpoint(const wire::FleetSyncRequest& aReport)
{
  wire::Endpoint endpoint;
  endpoint.set_instance(aReport.instance());
  endpoint.set_zone(aReport.zone());
  endpoint.set_peer_address(aReport.peer_address());
  wire::BackendView& view = *endpoint.mutable_backend();
  view = aReport.backend();
  if (aReport.stopping() && view.phase() == wire::BACKEND_PHASE_READY) {
    view.set_phase(wire::BACKEND_PHASE_DRAINING);
  }
  return endpoint;
}

} // namespace

FleetLeader::FleetLeader(const FleetState& aState,
                         uint64_t aTerm,
                         LeaderTimings aTimings,
                         TimePoint aNow)
  : m_state(aState)
  , m_term(aTerm)
  , m_timings(aTimings)
  , m_leadershipStart(aNow)
  , m_latestTime(aNow)
{
  m_configurationHistory.Observe(m_state.CurrentChange().configuration());
  for (const auto& [name, ranges] : m_state.RangesByService()) {
    for (const wire::OwnedRange& range : ranges.ranges()) {
      if (!range.holder().empty()) {
        FindOrAddHolder(range.holder());
      }
    }
  }
}

bool
FleetLeader::OnSync(const wire::FleetSyncRequest& aRequest, TimePoint aNow)
{
  m_latestTime = aNow;
  if (!m_sidecars.contains(aRequest.instance())) {
    m_lastNewSidecarAt = aNow;
  }
  Sidecar& sidecar = m_sidecars[aRequest.instance()];
  if (sidecar.m_lastRequest.session() == aRequest.session() &&
      aRequest.sequence() <= sidecar.m_lastRequest.sequence()) {
    return false;
  }
  if (sidecar.m_lastRequest.session() != aRequest.session()) {
    sidecar.m_sessionStart = aNow;
  }
  const wire::BackendView& backend = aRequest.backend();
  if (!backend.holder().empty()) {
    RecordLifetime(aRequest, sidecar.m_sessionStart, aNow);
  }
  AdoptReportedDepartures(aRequest, aNow);
  RecordLoads(aRequest, aNow);
  for (const wire::QuarantineEntry& entry : aRequest.quarantine()) {
    m_quarantine.Merge(entry, aNow);
  }
  sidecar.m_lastRequest = aRequest;
  if (const auto holder = m_holders.find(backend.holder());
      holder != m_holders.end()) {
    // A sidecar that has restarted may report an earlier phase, or a lifetime
    // that has ended.
    sidecar.m_lastRequest.mutable_backend()->set_phase(
      holder->second.m_ended ? wire::BACKEND_PHASE_GONE
                             : holder->second.m_phase);
  }
  sidecar.m_lastHeardAt = aNow;
  m_endpoints.Set(MakeEndpoint(sidecar.m_lastRequest));
  return true;
}

// Earlier leaders may have renewed any lease until this leadership began.
TimePoint
FleetLeader::EndOfEarlierLeases() const
{
  return m_leadershipStart + m_timings.m_leaseDuration + kLeaseClockMargin;
}

FleetLeader::Holder&
FleetLeader::FindOrAddHolder(const std::string& aName)
{
  const auto [holder, isNew] = m_holders.try_emplace(aName);
  if (isNew) {
    holder->second.m_leaseEnd = EndOfEarlierLeases();
    if (const auto departure = m_state.Departures().find(aName);
        departure != m_state.Departures().end()) {
      holder->second.m_phase = departure->second;
    }
  }
  return holder->second;
}

void
FleetLeader::RecordLifetime(const wire::FleetSyncRequest& aRequest,
                            TimePoint aSessionStart,
                            TimePoint aNow)
{
  const wire::BackendView& backend = aRequest.backend();
  MarkEarlierLifetimesEnded(aRequest.instance(), backend);
  Holder& holder = FindOrAddHolder(backend.holder());
  holder.m_instance = aRequest.instance();
  if (holder.m_session != aRequest.session()) {
    holder.m_wasReportedEarlier = holder.m_session.has_value();
    holder.m_earlierHeartbeatSequence = holder.m_heartbeatSequence;
    holder.m_session = aRequest.session();
  }
  holder.m_heartbeatSequence =
    std::max(holder.m_heartbeatSequence, aRequest.heartbeat_sequence());
  if (holder.m_ended && aNow - aSessionStart >= kMaxHeartbeatDelay) {
    // Not a late heartbeat that a sidecar gets after its start. The sidecar has
    // not heard the later lifetime for long, whose start was stated wrongly.
    LogWarning("placement", "event=lifetime-again holder={}", backend.holder());
    holder.m_ended = false;
  }
  holder.m_phase = std::max(holder.m_phase, backend.phase());
  holder.m_refusedRanges.assign(aRequest.refused_ranges().begin(),
                                aRequest.refused_ranges().end());
  for (const wire::HandedOver& handover : aRequest.handovers()) {
    holder.m_handovers.push_back(handover);
  }
  if (holder.m_handovers.size() > kMaxHandoversPerHolder) {
    holder.m_handovers.erase(holder.m_handovers.begin(),
                             holder.m_handovers.end() - kMaxHandoversPerHolder);
  }
}

// Only one backend server at a time can listen at the backend address of an
// instance, so a later lifetime there proves that the earlier ones have ended.
void
FleetLeader::MarkEarlierLifetimesEnded(const std::string& aInstance,
                                       const wire::BackendView& aBackend)
{
  for (auto& [name, holder] : m_holders) {
    const std::optional<HolderName> parsed = ParseHolderName(name);
    if (name != aBackend.holder() && parsed &&
        parsed->m_instance == aInstance &&
        parsed->m_startedAtUnixMs < aBackend.started_at_unix_ms()) {
      holder.m_instance = aInstance;
      holder.m_ended = true;
    }
  }
}

void
FleetLeader::AdoptReportedDepartures(const wire::FleetSyncRequest& aRequest,
                                     TimePoint aNow)
{
  for (const wire::Departure& departure : aRequest.departures()) {
    Holder& holder = FindOrAddHolder(departure.holder());
    holder.m_instance = aRequest.instance();
    holder.m_phase = std::max(holder.m_phase, departure.phase());
    m_departuresNeededAt[departure.holder()] = aNow;
    if (m_state.EvaluateDeparture(departure) ==
        DepartureOutcome::kTooManyDepartures) {
      ++m_refusedDepartures;
    } else if (!IsRecorded(departure)) {
      m_reportedDepartures[departure.holder()] = holder.m_phase;
    }
  }
  // A backend server that only its responses say is leaving continues to send
  // heartbeats that do not say so.
  const std::string& current = aRequest.backend().holder();
  if (m_state.Departures().contains(current)) {
    m_departuresNeededAt[current] = aNow;
  }
}

void
FleetLeader::OnDeparturesFinished()
{
  m_departuresProposed = false;
  m_proposedDrops.clear();
}

std::optional<wire::ChangeDepartures>
FleetLeader::PlanDepartures(TimePoint aNow)
{
  if (m_departuresProposed) {
    return std::nullopt;
  }
  wire::ChangeDepartures command;
  while (!m_reportedDepartures.empty() &&
         command.recorded_size() < kMaxDeparturesPerCommand) {
    const auto reported =
      m_reportedDepartures.extract(m_reportedDepartures.begin());
    wire::Departure& departure = *command.add_recorded();
    departure.set_holder(reported.key());
    departure.set_phase(reported.mapped());
  }
  if (aNow - m_departuresCheckedAt >= kDepartureCheckInterval) {
    m_departuresCheckedAt = aNow;
    DropDepartures(command, aNow);
  }
  if (command.recorded().empty() && command.dropped().empty()) {
    return std::nullopt;
  }
  m_departuresProposed = true;
  m_proposedDrops = { command.dropped().begin(), command.dropped().end() };
  return command;
}

void
FleetLeader::DropDepartures(wire::ChangeDepartures& aCommand, TimePoint aNow)
{
  if (const size_t refused = std::exchange(m_refusedDepartures, 0)) {
    LogWarning("placement",
               "event=departures-refused reports={} recorded={}",
               refused,
               m_state.Departures().size());
  }
  for (const auto& [holder, phase] : m_state.Departures()) {
    const auto neededAt = m_departuresNeededAt.try_emplace(holder, aNow).first;
    if (aNow - neededAt->second >= kDepartureRetention &&
        aCommand.dropped_size() < kMaxDeparturesPerCommand) {
      aCommand.add_dropped(holder);
    }
  }
  std::erase_if(m_departuresNeededAt, [&](const auto& aItem) {
    return aNow - aItem.second >= kDepartureRetention &&
           !m_state.Departures().contains(aItem.first);
  });
}

void
FleetLeader::RecordLoads(const wire::FleetSyncRequest& aRequest, TimePoint aNow)
{
  for (const wire::BucketLoad& load : aRequest.loads()) {
    m_services[load.service()].m_keyLoad.AddRequests(
      load.bucket(), load.requests(), aNow);
  }
}

bool
FleetLeader::CanOwnKeys(const Sidecar& aSidecar, TimePoint aNow) const
{
  const wire::BackendView& backend = aSidecar.m_lastRequest.backend();
  return aNow - aSidecar.m_lastHeardAt <= kMaxAliveSilence &&
         !aSidecar.m_lastRequest.stopping() &&
         !m_state.EvacuatedZones().contains(aSidecar.m_lastRequest.zone()) &&
         backend.phase() == wire::BACKEND_PHASE_READY && backend.reachable();
}

// Returns the requests per second that a cold backend server of the service
// takes; 0 if the service states no bound.
double
FleetLeader::FindColdCapacity(const std::string& aService) const
{
  for (const wire::ServiceSpec& spec :
       m_state.CurrentChange().configuration().services()) {
    if (spec.name() == aService) {
      return std::max(0.0, spec.cold_requests_per_second());
    }
  }
  return 0;
}

// Returns the backend servers of the service that can take keys. Their
// capacities follow from the measured time per request and the limit that the
// server names; a server without a measurement is assumed to take the mean of
// the others, or 1000 ms if there is none.
std::vector<HolderCandidate>
FleetLeader::ListCandidates(const std::string& aService, TimePoint aNow) const
{
  std::vector<HolderCandidate> candidates;
  const double coldCapacity = FindColdCapacity(aService);
  double serviceTimeSumMs = 0;
  int measuredCount = 0;
  for (const auto& [name, sidecar] : m_sidecars) {
    if (sidecar.m_lastRequest.backend().service() == aService &&
        sidecar.m_lastRequest.service_time_ms() > 0) {
      serviceTimeSumMs += sidecar.m_lastRequest.service_time_ms();
      ++measuredCount;
    }
  }
  const double defaultServiceTimeMs =
    measuredCount > 0 ? serviceTimeSumMs / measuredCount : 1000;
  for (const auto& [name, sidecar] : m_sidecars) {
    const wire::BackendView& backend = sidecar.m_lastRequest.backend();
    if (backend.service() != aService || !CanOwnKeys(sidecar, aNow)) {
      continue;
    }
    const double serviceTimeMs = sidecar.m_lastRequest.service_time_ms() > 0
                                   ? sidecar.m_lastRequest.service_time_ms()
                                   : defaultServiceTimeMs;
    double capacity = std::max(1U, backend.slots()) * 1000.0 / serviceTimeMs;
    if (sidecar.m_lastRequest.request_limit() > 0) {
      capacity = std::min(capacity, sidecar.m_lastRequest.request_limit());
    }
    candidates.push_back(
      { backend.holder(),
        capacity,
        backend.cold_remaining_ms() > 0 ? coldCapacity : 0 });
  }
  return candidates;
}

// Whether the backend lifetime can no longer hold any key of the range.
bool
FleetLeader::HasReleased(const std::string& aHolder,
                         const RangeTransfer& aTransfer,
                         TimePoint aNow) const
{
  if (aHolder.empty()) {
    return true;
  }
  const auto found = m_holders.find(aHolder);
  if (found == m_holders.end()) {
    return aNow >= EndOfEarlierLeases();
  }
  const Holder& holder = found->second;
  if (aNow >= holder.m_leaseEnd) {
    return true;
  }
  const auto sidecar = m_sidecars.find(holder.m_instance);
  if (sidecar == m_sidecars.end()) {
    return holder.m_ended;
  }
  const wire::FleetSyncRequest& last = sidecar->second.m_lastRequest;
  // A later lifetime may hold ranges whose grants were meant for the one that
  // has ended, and its sidecar reports them.
  if (!holder.m_ended &&
      (last.backend().holder() != aHolder || !last.holds_known() ||
       last.plan_term() != m_term || last.plan() < holder.m_planNumber)) {
    return false;
  }
  return std::ranges::none_of(
    last.possible_holds(), [&](const wire::KeyRange& aRange) {
      return KeysOverlap(
        aRange.first(), aRange.last(), aTransfer.m_first, aTransfer.m_last);
    });
}

// Whether ranges are being transferred to the holder.
bool
FleetLeader::ExpectsRanges(const std::string& aHolder) const
{
  return std::ranges::any_of(m_services, [&](const auto& aService) {
    const ServiceState& service = aService.second;
    return std::ranges::any_of(service.m_pendingTransfers,
                               [&](const PendingTransfer& aPending) {
                                 return aPending.m_transfer.m_to == aHolder;
                               }) ||
           std::ranges::any_of(service.m_proposedCommand.ranges(),
                               [&](const wire::RangeAssignment& aRange) {
                                 return aRange.holder() == aHolder;
                               });
  });
}

// Returns the latest handover token that covers the whole range; empty if there
// is none.
std::string
FleetLeader::FindHandoverToken(const RangeTransfer& aTransfer) const
{
  const auto found = m_holders.find(aTransfer.m_from);
  if (found == m_holders.end()) {
    return {};
  }
  const auto& handovers = found->second.m_handovers;
  for (auto item = handovers.rbegin(); item != handovers.rend(); ++item) {
    if (item->first() <= aTransfer.m_first &&
        item->last() >= aTransfer.m_last) {
      return item->token();
    }
  }
  return {};
}

// Whether enough sidecars have reported to this leader to distinguish a holder
// that is lost from one that it has not heard from yet.
bool
FleetLeader::HaveHoldersReported(TimePoint aNow) const
{
  if (aNow - m_leadershipStart >= kMaxHolderReportWait) {
    return true;
  }
  if (aNow - m_lastNewSidecarAt < kReportSettleTime) {
    return false;
  }
  for (const auto& [name, ranges] : m_state.RangesByService()) {
    for (const wire::OwnedRange& range : ranges.ranges()) {
      const std::optional<HolderName> holder = ParseHolderName(range.holder());
      if (holder && !m_sidecars.contains(holder->m_instance)) {
        return false;
      }
    }
  }
  return true;
}

// Returns the ranges of the service that their holder has refused since their
// fencing token is too low, as transfers to the same holder: they get a new
// token.
std::vector<RangeTransfer>
FleetLeader::ListRefusedRanges(const std::string& aService) const
{
  std::vector<RangeTransfer> transfers;
  const auto service = m_state.RangesByService().find(aService);
  if (service == m_state.RangesByService().end()) {
    return transfers;
  }
  for (const wire::OwnedRange& range : service->second.ranges()) {
    const auto holder = m_holders.find(range.holder());
    if (holder == m_holders.end()) {
      continue;
    }
    for (const wire::RefusedRange& refused : holder->second.m_refusedRanges) {
      if (refused.fence() == range.fence() &&
          KeysOverlap(
            range.first(), range.last(), refused.first(), refused.last())) {
        transfers.push_back({ std::max(range.first(), refused.first()),
                              std::min(range.last(), refused.last()),
                              range.holder(),
                              range.holder() });
      }
    }
  }
  return transfers;
}

void
FleetLeader::StartTransfers(const std::string& aServiceName,
                            ServiceState& aService,
                            TimePoint aNow)
{
  const std::vector<HolderCandidate> candidates =
    ListCandidates(aServiceName, aNow);
  if (candidates.size() > aService.m_candidateCount) {
    aService.m_lastJoinAt = aNow;
    if (aService.m_candidateCount == 0) {
      aService.m_firstJoinAt = aNow;
    }
  }
  aService.m_candidateCount = candidates.size();
  const bool haveReported = HaveHoldersReported(aNow);
  wire::ServiceRanges ranges;
  const auto found = m_state.RangesByService().find(aServiceName);
  if (found != m_state.RangesByService().end()) {
    ranges = found->second;
  } else if (candidates.empty() || !haveReported) {
    return;
  } else {
    const bool settled = aNow - aService.m_lastJoinAt >= kJoinSettleTime ||
                         aNow - aService.m_firstJoinAt >= kMaxJoinSettleTime;
    if (!settled) {
      return;
    }
    ranges = SplitKeySpace(aServiceName, candidates.size());
  }
  const bool mayRebalance =
    aNow - aService.m_lastTransferAt >= kRebalancePause &&
    aNow - m_leadershipStart >= kEndpointListDelay;
  // Ranges in transfer count for their new holder and are not planned again.
  for (const PendingTransfer& pending : aService.m_pendingTransfers) {
    wire::OwnedRange movingRange;
    movingRange.set_first(pending.m_transfer.m_first);
    movingRange.set_last(pending.m_transfer.m_last);
    movingRange.set_holder(pending.m_transfer.m_to);
    AssignRange(ranges, movingRange);
  }
  const auto isMoving = [&](const RangeTransfer& aTransfer) {
    return std::ranges::any_of(aService.m_pendingTransfers,
                               [&](const PendingTransfer& aPending) {
                                 return KeysOverlap(aTransfer.m_first,
                                                    aTransfer.m_last,
                                                    aPending.m_transfer.m_first,
                                                    aPending.m_transfer.m_last);
                               });
  };
  std::vector<RangeTransfer> transfers = ListRefusedRanges(aServiceName);
  std::ranges::move(
    haveReported ? PlanTransfers(
                     ranges, candidates, aService.m_keyLoad, mayRebalance, aNow)
                 : PlanSuccessions(ranges, candidates),
    std::back_inserter(transfers));
  for (RangeTransfer& transfer : transfers) {
    if (isMoving(transfer)) {
      continue;
    }
    LogInfo("placement",
            "event=transfer-start service={} first={} last={} from={} to={} "
            "candidates={}",
            aServiceName,
            transfer.m_first,
            transfer.m_last,
            transfer.m_from,
            transfer.m_to,
            candidates.size());
    aService.m_pendingTransfers.push_back({ std::move(transfer), aNow });
  }
}

void
FleetLeader::PlanServiceAssignments(const std::string& aServiceName,
                                    std::vector<wire::AssignRanges>& aCommands,
                                    TimePoint aNow)
{
  ServiceState& service = m_services[aServiceName];
  LogLongWaits(aServiceName, service, aNow);
  if (!service.m_proposedCommand.ranges().empty()) {
    return;
  }
  StartTransfers(aServiceName, service, aNow);
  RefreshPlans();
  const std::vector<HolderCandidate> candidates =
    ListCandidates(aServiceName, aNow);
  const auto isCandidate = [&](const std::string& aHolder) {
    return std::ranges::any_of(candidates, [&](const HolderCandidate& aItem) {
      return aItem.m_holder == aHolder;
    });
  };
  wire::AssignRanges command;
  command.set_service(aServiceName);
  std::erase_if(
    service.m_pendingTransfers, [&](const PendingTransfer& aPending) {
      const RangeTransfer& transfer = aPending.m_transfer;
      if (!isCandidate(transfer.m_to)) {
        return true;
      }
      if (!HasReleased(transfer.m_from, transfer, aNow)) {
        return false;
      }
      wire::RangeAssignment& range = *command.add_ranges();
      range.set_first(transfer.m_first);
      range.set_last(transfer.m_last);
      range.set_holder(transfer.m_to);
      range.set_handover(FindHandoverToken(transfer));
      LogInfo("placement",
              "event=transfer-done service={} first={} last={} from={} to={} "
              "warm={} after_ms={}",
              aServiceName,
              transfer.m_first,
              transfer.m_last,
              transfer.m_from,
              transfer.m_to,
              !range.handover().empty(),
              (aNow - aPending.m_startedAt).m_ms);
      return true;
    });
  if (command.ranges().empty()) {
    return;
  }
  service.m_proposedCommand = command;
  service.m_lastTransferAt = aNow;
  aCommands.push_back(std::move(command));
}

// Keys of a transfer, and those of a command whose outcome is not known, have
// no owner meanwhile.
void
FleetLeader::LogLongWaits(const std::string& aServiceName,
                          ServiceState& aService,
                          TimePoint aNow) const
{
  const auto& pending = aService.m_pendingTransfers;
  const bool hasOpenCommand = !aService.m_proposedCommand.ranges().empty();
  const auto oldest =
    std::ranges::min_element(pending, {}, &PendingTransfer::m_startedAt);
  const bool transferWaits =
    oldest != pending.end() && aNow - oldest->m_startedAt >= kLongWait;
  const bool commandWaits =
    hasOpenCommand && aNow - aService.m_lastTransferAt >= kLongWait;
  if (aNow - aService.m_waitsLoggedAt < kLongWait ||
      (!transferWaits && !commandWaits)) {
    return;
  }
  aService.m_waitsLoggedAt = aNow;
  LogWarning("placement",
             "event=long-wait service={} transfers={} oldest_from={} "
             "oldest_to={} oldest_ms={} open_command_ranges={} "
             "command_age_ms={}",
             aServiceName,
             pending.size(),
             oldest != pending.end() ? oldest->m_transfer.m_from : "",
             oldest != pending.end() ? oldest->m_transfer.m_to : "",
             oldest != pending.end() ? (aNow - oldest->m_startedAt).m_ms : 0,
             aService.m_proposedCommand.ranges_size(),
             hasOpenCommand ? (aNow - aService.m_lastTransferAt).m_ms : 0);
}

std::vector<wire::AssignRanges>
FleetLeader::PlanAssignments(TimePoint aNow)
{
  m_latestTime = aNow;
  std::vector<wire::AssignRanges> commands;
  for (const wire::ServiceSpec& spec :
       m_state.CurrentChange().configuration().services()) {
    if (spec.keyed()) {
      PlanServiceAssignments(spec.name(), commands, aNow);
    }
  }
  RefreshPlans();
  RemoveSilentEndpoints(aNow);
  return commands;
}

void
FleetLeader::OnAssignmentFinished(const std::string& aService)
{
  m_services[aService].m_proposedCommand.Clear();
  RefreshPlans();
}

// Returns the ranges that each holder is to hold. A range that is about to
// leave its holder is excluded, also while the command that reassigns it is
// outstanding.
std::map<std::string, std::vector<wire::OwnedRange>>
FleetLeader::ComputePlannedRanges() const
{
  std::map<std::string, std::vector<wire::OwnedRange>> planned;
  for (const auto& [name, ranges] : m_state.RangesByService()) {
    std::vector<KeySpan> leavingSpans;
    const auto service = m_services.find(name);
    if (service != m_services.end()) {
      for (const PendingTransfer& pending :
           service->second.m_pendingTransfers) {
        leavingSpans.push_back(
          { pending.m_transfer.m_first, pending.m_transfer.m_last });
      }
      for (const auto& proposed : service->second.m_proposedCommand.ranges()) {
        leavingSpans.push_back({ proposed.first(), proposed.last() });
      }
    }
    for (wire::OwnedRange& range :
         SubtractSpans(ranges, std::move(leavingSpans))) {
      planned[range.holder()].push_back(std::move(range));
    }
  }
  return planned;
}

void
FleetLeader::RefreshPlans()
{
  std::map<std::string, std::vector<wire::OwnedRange>> planned =
    ComputePlannedRanges();
  for (auto& [name, holder] : m_holders) {
    std::string serialized;
    for (const wire::OwnedRange& range : planned[name]) {
      serialized += range.SerializeAsString();
    }
    if (holder.m_planNumber == 0 || serialized != holder.m_serializedPlan) {
      holder.m_plannedRanges = std::move(planned[name]);
      holder.m_serializedPlan = std::move(serialized);
      ++holder.m_planNumber;
    }
  }
}

void
FleetLeader::RemoveSilentEndpoints(TimePoint aNow)
{
  size_t silentCount = 0;
  for (const auto& [name, sidecar] : m_sidecars) {
    silentCount += aNow - sidecar.m_lastHeardAt > kMaxAliveSilence ? 1 : 0;
  }
  // If most sidecars are silent, this coordinator is more likely cut off from
  // them than they are lost.
  const bool mostAreSilent = silentCount * 2 > m_sidecars.size();
  for (const auto& [name, sidecar] : m_sidecars) {
    if (aNow - sidecar.m_lastHeardAt > kMaxEndpointSilence && !mostAreSilent) {
      m_endpoints.Remove(name);
    }
  }
}

// Before every sidecar has had time to report, the list of a new leader is
// incomplete. Until then it goes only to sidecars that have no list of another
// leader.
bool
FleetLeader::NeedsEndpoints(const wire::FleetSyncRequest& aRequest) const
{
  const bool sameTerm = aRequest.endpoints_term() == m_term;
  if (sameTerm && aRequest.endpoints_revision() >= m_endpoints.Revision()) {
    return false;
  }
  return sameTerm || aRequest.endpoints_revision() == 0 ||
         m_latestTime - m_leadershipStart >= kEndpointListDelay;
}

bool
FleetLeader::IsRecorded(const wire::Departure& aDeparture) const
{
  return m_state.EvaluateDeparture(aDeparture) == DepartureOutcome::kRecorded &&
         !m_proposedDrops.contains(aDeparture.holder());
}

bool
FleetLeader::HasRecordedDeparture(const wire::FleetSyncRequest& aRequest) const
{
  return std::ranges::any_of(aRequest.departures(),
                             [this](const wire::Departure& aDeparture) {
                               return IsRecorded(aDeparture);
                             });
}

bool
FleetLeader::NeedsQuarantine(const wire::FleetSyncRequest& aRequest) const
{
  return aRequest.accepts_quarantine() &&
         m_quarantine.HasUpdateFor(aRequest, m_term);
}

bool
FleetLeader::NeedsEvacuations(const wire::FleetSyncRequest& aRequest) const
{
  return aRequest.accepts_evacuations() &&
         !std::ranges::equal(aRequest.evacuated_zones(),
                             m_state.EvacuatedZones());
}

bool
FleetLeader::HasUpdates(const wire::FleetSyncRequest& aRequest) const
{
  if (aRequest.stopping() || !aRequest.handovers().empty() ||
      aRequest.awaits_confirmation() || HasRecordedDeparture(aRequest) ||
      aRequest.configuration_version() <
        m_state.CurrentChange().configuration().version() ||
      aRequest.ranges_index() < m_state.RangesIndex() ||
      NeedsEndpoints(aRequest) || NeedsQuarantine(aRequest) ||
      NeedsEvacuations(aRequest)) {
    return true;
  }
  const auto holder = m_holders.find(aRequest.backend().holder());
  return holder != m_holders.end() &&
         (aRequest.plan_term() != m_term ||
          aRequest.plan() < holder->second.m_planNumber);
}

void
FleetLeader::AddEndpoints(const wire::FleetSyncRequest& aRequest,
                          wire::FleetSyncReply& aReply) const
{
  const bool changesOnly =
    aRequest.accepts_endpoint_changes() && aRequest.endpoints_term() == m_term;
  m_endpoints.AddTo(aReply, changesOnly ? aRequest.endpoints_revision() : 0);
}

void
FleetLeader::AddConfiguration(const wire::FleetSyncRequest& aRequest,
                              wire::FleetSyncReply& aReply)
{
  const wire::Configuration& current = m_state.CurrentChange().configuration();
  m_configurationHistory.Observe(current);
  if (aRequest.configuration_version() >= current.version()) {
    return;
  }
  const wire::ConfigurationChanges* const changes =
    aRequest.accepts_configuration_changes()
      ? m_configurationHistory.FindChangesSince(
          aRequest.configuration_version())
      : nullptr;
  if (changes != nullptr) {
    *aReply.mutable_configuration_changes() = *changes;
  } else {
    *aReply.mutable_configuration() = current;
  }
}

// Each assignment carries the log index of its command as its fencing token, so
// the ranges with a later index are those that the sidecar does not know.
void
FleetLeader::AddChangedRanges(uint64_t aKnownIndex,
                              wire::FleetSyncReply& aReply) const
{
  aReply.set_has_ranges(true);
  for (const auto& [name, ranges] : m_state.RangesByService()) {
    wire::ServiceRanges changed;
    changed.set_service(name);
    for (const wire::OwnedRange& range : ranges.ranges()) {
      if (range.fence() > aKnownIndex) {
        *changed.add_ranges() = range;
      }
    }
    if (!changed.ranges().empty()) {
      *aReply.add_services() = std::move(changed);
    }
  }
}

wire::FleetSyncReply
FleetLeader::BuildReply(const wire::FleetSyncRequest& aRequest, TimePoint aNow)
{
  wire::FleetSyncReply reply;
  reply.set_leading(true);
  reply.set_term(m_term);
  reply.set_sequence(aRequest.sequence());
  reply.set_sidecars(static_cast<uint32_t>(CountSidecars(aNow)));
  AddConfiguration(aRequest, reply);
  reply.set_ranges_index(m_state.RangesIndex());
  if (aRequest.ranges_index() < m_state.RangesIndex()) {
    AddChangedRanges(aRequest.ranges_index(), reply);
  }
  if (NeedsEndpoints(aRequest)) {
    AddEndpoints(aRequest, reply);
  }
  // In every reply, since a sidecar that has just started must not adopt a
  // configuration without it.
  if (aRequest.accepts_evacuations()) {
    reply.set_has_evacuated_zones(true);
    for (const std::string& zone : m_state.EvacuatedZones()) {
      reply.add_evacuated_zones(zone);
    }
  }
  // The term tells a sidecar that this leader lacks the entries that were
  // reported to the former one, so it is sent even if the list is empty.
  if (aRequest.accepts_quarantine() &&
      !m_quarantine.IsCurrent(aRequest, m_term)) {
    *reply.mutable_quarantine() =
      m_quarantine.MakeUpdate(aRequest, m_term, aNow);
  }
  for (const wire::Departure& departure : aRequest.departures()) {
    if (IsRecorded(departure)) {
      *reply.add_recorded_departures() = departure;
    }
  }
  const std::string& name = aRequest.backend().holder();
  const auto found = m_holders.find(name);
  if (found == m_holders.end() || found->second.m_ended) {
    return reply;
  }
  Holder& holder = found->second;
  if (holder.m_planNumber == 0) {
    RefreshPlans();
  }
  holder.m_leaseEnd = std::max(
    holder.m_leaseEnd, aNow + m_timings.m_leaseDuration + kLeaseClockMargin);
  reply.set_lease_ms(static_cast<uint32_t>(m_timings.m_leaseDuration.m_ms));
  reply.set_holder(name);
  reply.set_backend_phase(holder.m_phase);
  reply.set_earlier_heartbeat_sequence(holder.m_earlierHeartbeatSequence);
  // A grant of an earlier process needs a lease, which this leader gives only
  // after a report, and which has ended if an earlier leader gave it.
  reply.set_knows_earlier_grants(holder.m_wasReportedEarlier ||
                                 aNow >= EndOfEarlierLeases());
  reply.set_plan(holder.m_planNumber);
  reply.set_expects_ranges(ExpectsRanges(name));
  if (aRequest.plan_term() != m_term ||
      aRequest.plan() != holder.m_planNumber) {
    for (const wire::OwnedRange& range : holder.m_plannedRanges) {
      *reply.add_plan_ranges() = range;
    }
  }
  return reply;
}

size_t
FleetLeader::CountPendingTransfers() const
{
  size_t count = 0;
  for (const auto& [name, service] : m_services) {
    count += service.m_pendingTransfers.size();
  }
  return count;
}

size_t
FleetLeader::CountOpenCommands() const
{
  return static_cast<size_t>(
    std::ranges::count_if(m_services, [](const auto& aItem) {
      return !aItem.second.m_proposedCommand.ranges().empty();
    }));
}

size_t
FleetLeader::CountSidecars(TimePoint aNow) const
{
  return static_cast<size_t>(
    std::ranges::count_if(m_sidecars, [&](const auto& aItem) {
      return aNow - aItem.second.m_lastHeardAt <= kMaxEndpointSilence;
    }));
}

} // namespace rattanloft::fleet
