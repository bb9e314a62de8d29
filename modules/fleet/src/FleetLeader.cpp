#include "rattanloft/fleet/FleetLeader.h"

#include <algorithm>

#include "rattanloft/base/Log.h"
#include "rattanloft/fleet/HolderName.h"

namespace rattanloft::fleet {

namespace {

// Clock drift between two machines during one lease, and the granularity of
// their clocks.
constexpr Duration kLeaseMargin = Milliseconds(150);
// A sidecar that was heard within this time can take keys.
constexpr Duration kFresh = Milliseconds(1800);
// A sidecar that is silent for longer is no endpoint any more.
constexpr Duration kEndpointSilence = Seconds(6);
// A new leader lists endpoints once every sidecar had time to report.
constexpr Duration kListDelay = Milliseconds(1500);
// The first placement waits until no backend server has joined for this time.
constexpr Duration kSettle = Milliseconds(1000);
constexpr Duration kSettleAtMost = Milliseconds(3000);
// A new leader moves nothing until every instance that owns keys has reported,
// or for this time: a sidecar needs up to 0.9 s to find that a call to the
// former leader is lost.
constexpr Duration kReportTime = Milliseconds(2000);
// After the last report, others may be on their way.
constexpr Duration kReportSettle = Milliseconds(120);
// Pause between two rebalancing moves of a service, so that the measured load
// follows the last one.
constexpr Duration kMovePause = Milliseconds(1000);

// Handover tokens of one lifetime that wait for their moves.
constexpr size_t kKeptHandovers = 64;

bool
Overlaps(uint32_t aFirst, uint32_t aLast, uint32_t aOtherFirst, uint32_t aOther)
{
  return aFirst <= aOther && aOtherFirst <= aLast;
}

// A sidecar that stops still serves for some seconds, but takes no new work
// that can go elsewhere.
wire::BackendView
ListedView(const wire::FleetSyncRequest& aReport)
{
  wire::BackendView view = aReport.backend();
  if (aReport.stopping() && view.phase() == wire::BACKEND_PHASE_READY) {
    view.set_phase(wire::BACKEND_PHASE_DRAINING);
  }
  return view;
}

} // namespace

FleetLeader::FleetLeader(const FleetState& aState,
                         uint64_t aTerm,
                         LeaderTimings aTimings,
                         TimePoint aNow)
  : m_state(aState)
  , m_term(aTerm)
  , m_timings(aTimings)
  , m_started(aNow)
  , m_latest(aNow)
{
  // An earlier leader may have renewed any lease until this moment.
  for (const auto& [name, ranges] : m_state.Services()) {
    for (const wire::OwnedRange& range : ranges.ranges()) {
      if (!range.holder().empty()) {
        m_holders[range.holder()].m_leaseEnd =
          aNow + m_timings.m_lease + kLeaseMargin;
      }
    }
  }
}

bool
FleetLeader::OnSync(const wire::FleetSyncRequest& aRequest, TimePoint aNow)
{
  m_latest = aNow;
  if (!m_sidecars.contains(aRequest.instance())) {
    m_lastNewSidecar = aNow;
  }
  Sidecar& sidecar = m_sidecars[aRequest.instance()];
  if (sidecar.m_last.session() == aRequest.session() &&
      aRequest.sequence() <= sidecar.m_last.sequence()) {
    return false;
  }
  const wire::BackendView& backend = aRequest.backend();
  if (!backend.holder().empty()) {
    EndEarlierLifetimes(aRequest.instance(), backend);
    Holder& holder = m_holders[backend.holder()];
    holder.m_instance = aRequest.instance();
    for (const wire::HandedOver& handover : aRequest.handovers()) {
      holder.m_handovers.push_back(handover);
    }
    if (holder.m_handovers.size() > kKeptHandovers) {
      holder.m_handovers.erase(holder.m_handovers.begin(),
                               holder.m_handovers.end() - kKeptHandovers);
    }
  }
  RecordLoads(aRequest, aNow);
  sidecar.m_last = aRequest;
  sidecar.m_seen = aNow;
  RefreshEndpoints(aNow);
  return true;
}

// Only one backend server at a time can listen at the address beside a sidecar,
// so a later lifetime there proves that the earlier ones ended.
void
FleetLeader::EndEarlierLifetimes(const std::string& aInstance,
                                 const wire::BackendView& aBackend)
{
  for (auto& [name, holder] : m_holders) {
    const std::optional<HolderName> parsed = ParseHolderName(name);
    if (name != aBackend.holder() && parsed &&
        parsed->m_instance == aInstance &&
        parsed->m_startedAtUnixMs < aBackend.started_at_unix_ms()) {
      holder.m_ended = true;
    }
  }
}

void
FleetLeader::RecordLoads(const wire::FleetSyncRequest& aRequest, TimePoint aNow)
{
  for (const wire::BucketLoad& load : aRequest.loads()) {
    m_services[load.service()].m_load.Add(load.bucket(), load.requests(), aNow);
  }
}

bool
FleetLeader::IsUsable(const Sidecar& aSidecar, TimePoint aNow) const
{
  const wire::BackendView& backend = aSidecar.m_last.backend();
  return aNow - aSidecar.m_seen <= kFresh && !aSidecar.m_last.stopping() &&
         backend.phase() == wire::BACKEND_PHASE_READY && backend.reachable();
}

std::vector<Candidate>
FleetLeader::Candidates(const std::string& aService, TimePoint aNow) const
{
  std::vector<Candidate> candidates;
  double timeSum = 0;
  int measured = 0;
  for (const auto& [name, sidecar] : m_sidecars) {
    if (sidecar.m_last.backend().service() == aService &&
        sidecar.m_last.service_time_ms() > 0) {
      timeSum += sidecar.m_last.service_time_ms();
      ++measured;
    }
  }
  const double usual = measured > 0 ? timeSum / measured : 1000;
  for (const auto& [name, sidecar] : m_sidecars) {
    const wire::BackendView& backend = sidecar.m_last.backend();
    if (backend.service() != aService || !IsUsable(sidecar, aNow)) {
      continue;
    }
    const double time = sidecar.m_last.service_time_ms() > 0
                          ? sidecar.m_last.service_time_ms()
                          : usual;
    candidates.push_back(
      { backend.holder(), std::max(1U, backend.slots()) * 1000.0 / time });
  }
  return candidates;
}

// Whether nothing of the range can be held by the lifetime any more.
bool
FleetLeader::IsFree(const std::string& aHolder,
                    const Transfer& aTransfer,
                    TimePoint aNow) const
{
  if (aHolder.empty()) {
    return true;
  }
  const auto found = m_holders.find(aHolder);
  if (found == m_holders.end()) {
    return aNow >= m_started + m_timings.m_lease + kLeaseMargin;
  }
  const Holder& holder = found->second;
  if (holder.m_ended || aNow >= holder.m_leaseEnd) {
    return true;
  }
  const auto sidecar = m_sidecars.find(holder.m_instance);
  if (sidecar == m_sidecars.end()) {
    return false;
  }
  const wire::FleetSyncRequest& last = sidecar->second.m_last;
  if (last.backend().holder() != aHolder || !last.holds_known() ||
      last.plan_term() != m_term || last.plan() < holder.m_plan) {
    return false;
  }
  return std::ranges::none_of(
    last.possible_holds(), [&](const wire::KeyRange& aRange) {
      return Overlaps(
        aRange.first(), aRange.last(), aTransfer.m_first, aTransfer.m_last);
    });
}

bool
FleetLeader::Expects(const std::string& aHolder) const
{
  return std::ranges::any_of(m_services, [&](const auto& aService) {
    const Service& service = aService.second;
    return std::ranges::any_of(service.m_pending,
                               [&](const PendingTransfer& aPending) {
                                 return aPending.m_transfer.m_to == aHolder;
                               }) ||
           std::ranges::any_of(service.m_proposed.ranges(),
                               [&](const wire::RangeAssignment& aRange) {
                                 return aRange.holder() == aHolder;
                               });
  });
}

std::string
FleetLeader::FindHandover(const Transfer& aTransfer) const
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

// Whether enough sidecars have reported to this leader to tell a holder that is
// lost from one that it has not heard of yet.
bool
FleetLeader::KnowsHolders(TimePoint aNow) const
{
  if (aNow - m_started >= kReportTime) {
    return true;
  }
  if (aNow - m_lastNewSidecar < kReportSettle) {
    return false;
  }
  for (const auto& [name, ranges] : m_state.Services()) {
    for (const wire::OwnedRange& range : ranges.ranges()) {
      const std::optional<HolderName> holder = ParseHolderName(range.holder());
      if (holder && !m_sidecars.contains(holder->m_instance)) {
        return false;
      }
    }
  }
  return true;
}

void
FleetLeader::StartTransfers(const std::string& aName,
                            Service& aService,
                            TimePoint aNow)
{
  const std::vector<Candidate> candidates = Candidates(aName, aNow);
  if (candidates.size() > aService.m_known) {
    aService.m_lastJoin = aNow;
    if (aService.m_known == 0) {
      aService.m_firstJoin = aNow;
    }
  }
  aService.m_known = candidates.size();
  if (candidates.empty() || !KnowsHolders(aNow)) {
    return;
  }
  wire::ServiceRanges ranges;
  const auto found = m_state.Services().find(aName);
  if (found != m_state.Services().end()) {
    ranges = found->second;
  } else {
    const bool settled = aNow - aService.m_lastJoin >= kSettle ||
                         aNow - aService.m_firstJoin >= kSettleAtMost;
    if (!settled) {
      return;
    }
    ranges = CutAllKeys(aName, candidates.size());
  }
  const bool mayRebalance = aNow - aService.m_lastTransfer >= kMovePause &&
                            aNow - m_started >= kListDelay;
  // Ranges that are on their way count for their targets and stay as they are.
  for (const PendingTransfer& pending : aService.m_pending) {
    wire::OwnedRange moving;
    moving.set_first(pending.m_transfer.m_first);
    moving.set_last(pending.m_transfer.m_last);
    moving.set_holder(pending.m_transfer.m_to);
    AssignRange(ranges, moving);
  }
  const auto isMoving = [&](const Transfer& aTransfer) {
    return std::ranges::any_of(aService.m_pending,
                               [&](const PendingTransfer& aPending) {
                                 return Overlaps(aTransfer.m_first,
                                                 aTransfer.m_last,
                                                 aPending.m_transfer.m_first,
                                                 aPending.m_transfer.m_last);
                               });
  };
  for (Transfer& transfer :
       PlanTransfers(ranges, candidates, aService.m_load, mayRebalance, aNow)) {
    if (isMoving(transfer)) {
      continue;
    }
    LogInfo("placement",
            "event=transfer-start service={} first={} last={} from={} to={} "
            "candidates={}",
            aName,
            transfer.m_first,
            transfer.m_last,
            transfer.m_from,
            transfer.m_to,
            candidates.size());
    aService.m_pending.push_back({ std::move(transfer), aNow });
  }
}

void
FleetLeader::PlanService(const std::string& aName,
                         std::vector<wire::AssignRanges>& aCommands,
                         TimePoint aNow)
{
  Service& service = m_services[aName];
  if (!service.m_proposed.ranges().empty()) {
    return;
  }
  StartTransfers(aName, service, aNow);
  RefreshPlans();
  const std::vector<Candidate> candidates = Candidates(aName, aNow);
  const auto isCandidate = [&](const std::string& aHolder) {
    return std::ranges::any_of(candidates, [&](const Candidate& aItem) {
      return aItem.m_holder == aHolder;
    });
  };
  wire::AssignRanges command;
  command.set_service(aName);
  std::erase_if(service.m_pending, [&](const PendingTransfer& aPending) {
    const Transfer& transfer = aPending.m_transfer;
    if (!isCandidate(transfer.m_to)) {
      return true;
    }
    if (!IsFree(transfer.m_from, transfer, aNow)) {
      return false;
    }
    wire::RangeAssignment& range = *command.add_ranges();
    range.set_first(transfer.m_first);
    range.set_last(transfer.m_last);
    range.set_holder(transfer.m_to);
    range.set_handover(FindHandover(transfer));
    LogInfo("placement",
            "event=transfer-done service={} first={} last={} from={} to={} "
            "warm={} after_ms={}",
            aName,
            transfer.m_first,
            transfer.m_last,
            transfer.m_from,
            transfer.m_to,
            !range.handover().empty(),
            (aNow - aPending.m_since).m_ms);
    return true;
  });
  if (command.ranges().empty()) {
    return;
  }
  service.m_proposed = command;
  service.m_lastTransfer = aNow;
  aCommands.push_back(std::move(command));
}

std::vector<wire::AssignRanges>
FleetLeader::PlanAssignments(TimePoint aNow)
{
  m_latest = aNow;
  std::vector<wire::AssignRanges> commands;
  for (const wire::ServiceSpec& spec :
       m_state.CurrentChange().configuration().services()) {
    if (spec.keyed()) {
      PlanService(spec.name(), commands, aNow);
    }
  }
  RefreshPlans();
  RefreshEndpoints(aNow);
  return commands;
}

void
FleetLeader::OnAssignmentFinished(const std::string& aService)
{
  m_services[aService].m_proposed.Clear();
  RefreshPlans();
}

// Ranges of each holder. A range that is about to leave is cut out, also while
// the command that assigns it is on its way.
std::map<std::string, std::vector<wire::OwnedRange>>
FleetLeader::PlannedRanges() const
{
  std::map<std::string, std::vector<wire::OwnedRange>> planned;
  for (const auto& [name, ranges] : m_state.Services()) {
    std::vector<KeySpan> leaving;
    const auto service = m_services.find(name);
    if (service != m_services.end()) {
      for (const PendingTransfer& pending : service->second.m_pending) {
        leaving.push_back(
          { pending.m_transfer.m_first, pending.m_transfer.m_last });
      }
      for (const auto& proposed : service->second.m_proposed.ranges()) {
        leaving.push_back({ proposed.first(), proposed.last() });
      }
    }
    for (wire::OwnedRange& range : SubtractSpans(ranges, std::move(leaving))) {
      planned[range.holder()].push_back(std::move(range));
    }
  }
  return planned;
}

void
FleetLeader::RefreshPlans()
{
  std::map<std::string, std::vector<wire::OwnedRange>> planned =
    PlannedRanges();
  for (auto& [name, holder] : m_holders) {
    std::string text;
    for (const wire::OwnedRange& range : planned[name]) {
      text += range.SerializeAsString();
    }
    if (holder.m_plan == 0 || text != holder.m_plannedText) {
      holder.m_planned = std::move(planned[name]);
      holder.m_plannedText = std::move(text);
      ++holder.m_plan;
    }
  }
}

void
FleetLeader::RefreshEndpoints(TimePoint aNow)
{
  size_t silent = 0;
  for (const auto& [name, sidecar] : m_sidecars) {
    silent += aNow - sidecar.m_seen > kFresh ? 1 : 0;
  }
  // If most are silent, this coordinator is more likely cut off than they are
  // gone.
  const bool mass = silent * 2 > m_sidecars.size();
  std::string text;
  for (auto& [name, sidecar] : m_sidecars) {
    const bool silentTooLong = aNow - sidecar.m_seen > kEndpointSilence;
    if (silentTooLong && !mass) {
      sidecar.m_listed = false;
    } else if (!silentTooLong) {
      sidecar.m_listed = true;
    }
    if (!sidecar.m_listed) {
      continue;
    }
    wire::BackendView view = ListedView(sidecar.m_last);
    view.set_cold_remaining_ms(view.cold_remaining_ms() > 0 ? 1 : 0);
    text += name + '|' + sidecar.m_last.peer_address() + '|' +
            view.SerializeAsString();
  }
  if (text != m_endpointsText) {
    m_endpointsText = std::move(text);
    ++m_endpointsRevision;
  }
}

std::vector<wire::Endpoint>
FleetLeader::Endpoints() const
{
  std::vector<wire::Endpoint> endpoints;
  for (const auto& [name, sidecar] : m_sidecars) {
    if (!sidecar.m_listed) {
      continue;
    }
    wire::Endpoint endpoint;
    endpoint.set_instance(name);
    endpoint.set_zone(sidecar.m_last.zone());
    endpoint.set_peer_address(sidecar.m_last.peer_address());
    *endpoint.mutable_backend() = ListedView(sidecar.m_last);
    endpoints.push_back(std::move(endpoint));
  }
  return endpoints;
}

// Until every sidecar had time to report, a list would lack those that have
// not. It goes only to sidecars that know none of another leader.
bool
FleetLeader::NeedsEndpoints(const wire::FleetSyncRequest& aRequest) const
{
  const bool sameTerm = aRequest.endpoints_term() == m_term;
  if (sameTerm && aRequest.endpoints_revision() >= m_endpointsRevision) {
    return false;
  }
  return sameTerm || aRequest.endpoints_revision() == 0 ||
         m_latest - m_started >= kListDelay;
}

bool
FleetLeader::HasUpdates(const wire::FleetSyncRequest& aRequest) const
{
  if (aRequest.stopping() || !aRequest.handovers().empty() ||
      aRequest.configuration_version() <
        m_state.CurrentChange().configuration().version() ||
      aRequest.ranges_index() < m_state.RangesIndex() ||
      NeedsEndpoints(aRequest)) {
    return true;
  }
  const auto holder = m_holders.find(aRequest.backend().holder());
  return holder != m_holders.end() && (aRequest.plan_term() != m_term ||
                                       aRequest.plan() < holder->second.m_plan);
}

void
FleetLeader::AddEndpoints(wire::FleetSyncReply& aReply) const
{
  aReply.set_has_endpoints(true);
  aReply.set_endpoints_revision(m_endpointsRevision);
  for (wire::Endpoint& endpoint : Endpoints()) {
    *aReply.add_endpoints() = std::move(endpoint);
  }
}

// Each assignment carries the index of its command as its fence, so the later
// ones are those that the sidecar does not know.
void
FleetLeader::AddRanges(uint64_t aKnownIndex, wire::FleetSyncReply& aReply) const
{
  aReply.set_has_ranges(true);
  for (const auto& [name, ranges] : m_state.Services()) {
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
  const wire::Configuration& current = m_state.CurrentChange().configuration();
  if (aRequest.configuration_version() < current.version()) {
    *reply.mutable_configuration() = current;
  }
  reply.set_ranges_index(m_state.RangesIndex());
  if (aRequest.ranges_index() < m_state.RangesIndex()) {
    AddRanges(aRequest.ranges_index(), reply);
  }
  if (NeedsEndpoints(aRequest)) {
    AddEndpoints(reply);
  }
  const std::string& name = aRequest.backend().holder();
  const auto found = m_holders.find(name);
  if (found == m_holders.end() || found->second.m_ended) {
    return reply;
  }
  Holder& holder = found->second;
  if (holder.m_plan == 0) {
    RefreshPlans();
  }
  holder.m_leaseEnd =
    std::max(holder.m_leaseEnd, aNow + m_timings.m_lease + kLeaseMargin);
  reply.set_lease_ms(static_cast<uint32_t>(m_timings.m_lease.m_ms));
  reply.set_holder(name);
  reply.set_plan(holder.m_plan);
  reply.set_expects_ranges(Expects(name));
  if (aRequest.plan_term() != m_term || aRequest.plan() != holder.m_plan) {
    for (const wire::OwnedRange& range : holder.m_planned) {
      *reply.add_plan_ranges() = range;
    }
  }
  return reply;
}

size_t
FleetLeader::CountSidecars(TimePoint aNow) const
{
  return static_cast<size_t>(
    std::ranges::count_if(m_sidecars, [&](const auto& aItem) {
      return aNow - aItem.second.m_seen <= kEndpointSilence;
    }));
}

} // namespace rattanloft::fleet
