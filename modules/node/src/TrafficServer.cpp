#include "TrafficServer.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include "Headers.h"
#include "Outcome.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::node {

namespace {

// The scheduler expects a tick every 10 ms.
constexpr Duration kSchedulerTickInterval = Milliseconds(10);
constexpr Duration kLoadReportInterval = Seconds(1);
// A draining backend server gets no new work after this time, even if some of
// its shards have not been moved yet, for example while the control instances
// have no leader.
constexpr Duration kDrainAdmissionPeriod = Seconds(4);
// The busiest shards and keys are named in each load report.
constexpr size_t kMaxReportedShards = 32;
constexpr size_t kMaxReportedKeys = 16;
// Keys with fewer requests per report are left out: they are neither worth a
// shard of their own nor the bytes of the report.
constexpr uint64_t kMinReportedKeyCount = 10;
constexpr size_t kMaxConnectionsPerPeer = 32;
constexpr size_t kMaxTotalPeerConnections = 512;

std::shared_ptr<const routing::RoutingView>
MakeEmptyView()
{
  auto view = std::make_shared<routing::RoutingView>();
  view->m_routes = routing::RouteTable::MakeEmpty();
  view->m_catalogue = routing::Catalogue::Make(0, {});
  // An empty view counts as stale until the first Sync is confirmed.
  view->m_confirmedAt = TimePoint{} - routing::kMaxConfirmationAge;
  return view;
}

admission::WorkClass
ToWorkClass(wire::WorkClass aClass)
{
  switch (aClass) {
    case wire::WORK_CLASS_PROMPT:
      return admission::WorkClass::kPrompt;
    case wire::WORK_CLASS_BULK:
      return admission::WorkClass::kBulk;
    default:
      return admission::WorkClass::kInteractive;
  }
}

} // namespace

tl::expected<std::unique_ptr<TrafficServer>, NodeError>
TrafficServer::Make(boost::asio::io_context& aContext,
                    const Clock& aClock,
                    const NodeOptions& aOptions,
                    std::unique_ptr<admission::Scheduler> aScheduler,
                    Hooks aHooks)
{
  std::unique_ptr<TrafficServer> traffic(new TrafficServer(
    aContext, aClock, aOptions, std::move(aScheduler), std::move(aHooks)));
  const auto listening = traffic->Listen(aOptions);
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  return traffic;
}

TrafficServer::TrafficServer(boost::asio::io_context& aContext,
                             const Clock& aClock,
                             const NodeOptions& aOptions,
                             std::unique_ptr<admission::Scheduler> aScheduler,
                             Hooks aHooks)
  : m_context(aContext, aClock, std::move(aScheduler), aOptions)
  , m_hooks(std::move(aHooks))
  , m_shardTracker([this](const routing::NodeAgent::OwnedShard& aShard) {
    m_hooks.m_onShardReleased(aShard);
  })
  , m_recordService(m_context)
  , m_ownerHandler(m_context, m_recordService, m_shardTracker)
  , m_entryHandler(m_context, m_ownerHandler)
{
  m_context.m_view = MakeEmptyView();
  http::ClientOptions peerOptions;
  peerOptions.m_maxConnectionsPerPeer = kMaxConnectionsPerPeer;
  peerOptions.m_maxTotalConnections = kMaxTotalPeerConnections;
  m_context.m_peerClient = http::Client::Make(aContext, peerOptions);
  m_context.m_backendClient = http::Client::Make(aContext, {});
}

tl::expected<void, NodeError>
TrafficServer::Listen(const NodeOptions& aOptions)
{
  http::ServerOptions options;
  options.m_address = aOptions.m_listenAddress;
  options.m_port = aOptions.m_callerPort;
  // The server refuses some requests, such as malformed ones, before it calls
  // the handler. None of them has run.
  options.m_refusalHeaderFields = { { std::string(header::kOutcome),
                                      std::string(
                                        OutcomeName(Outcome::kNotRun)) } };
  auto callerServer =
    http::Server::Make(m_context.m_ioContext,
                       options,
                       [this](http::Request aRequest,
                              std::shared_ptr<http::CancelToken> aCancelToken) {
                         return m_entryHandler.Handle(std::move(aRequest),
                                                      std::move(aCancelToken));
                       });
  if (!callerServer) {
    return tl::unexpected(
      NodeError{ NodeErrorCode::kListenFailed,
                 "caller_port: " + callerServer.error().m_message });
  }
  m_callerServer = std::move(*callerServer);
  options.m_port = aOptions.m_peerPort;
  options.m_refusalHeaderFields.clear();
  // Every other node may keep its whole connection pool open to this one.
  options.m_maxConnections = 20'000;
  auto peerServer = http::Server::Make(
    m_context.m_ioContext,
    options,
    [this](http::Request aRequest,
           std::shared_ptr<http::CancelToken> aCancelToken) {
      return HandlePeerRequest(std::move(aRequest), std::move(aCancelToken));
    });
  if (!peerServer) {
    return tl::unexpected(
      NodeError{ NodeErrorCode::kListenFailed,
                 "peer_port: " + peerServer.error().m_message });
  }
  m_peerServer = std::move(*peerServer);
  return {};
}

void
TrafficServer::Start()
{
  boost::asio::co_spawn(
    m_context.m_ioContext, TickLoop(), boost::asio::detached);
  boost::asio::co_spawn(
    m_context.m_ioContext, ReportLoop(), boost::asio::detached);
}

void
TrafficServer::SetView(std::shared_ptr<const routing::RoutingView> aView,
                       std::vector<routing::NodeAgent::OwnedShard> aReleases)
{
  m_context.m_view = std::move(aView);
  if (m_context.m_view->m_catalogue->Revision() != m_appliedCatalogueRevision) {
    m_appliedCatalogueRevision = m_context.m_view->m_catalogue->Revision();
    ApplyEntryLimits();
  }
  UpdateDrainState();
  m_recordService.OnViewChanged();
  m_shardTracker.RequestRelease(std::move(aReleases));
  m_context.m_viewChanged.NotifyAll();
}

void
TrafficServer::UpdateDrainState()
{
  const routing::RoutingView& view = *m_context.m_view;
  if (view.m_draining || view.m_operatorDrain) {
    m_drainStart = m_drainStart.value_or(m_context.m_clock.Now());
  } else if (m_drainStart) {
    m_drainStart.reset();
    m_admissionEnded = false;
    m_context.m_admissionGate.SetBackend(m_announcedSlots, false);
  }
}

bool
TrafficServer::IsDrainPeriodOver() const
{
  return m_drainStart &&
         m_context.m_clock.Now() - *m_drainStart >= kDrainAdmissionPeriod;
}

void
TrafficServer::SetBackend(const Announcement& aAnnouncement, bool aIsNew)
{
  m_context.m_backendAddress = aAnnouncement.m_address;
  m_announcedSlots = aAnnouncement.m_backend.slots();
  m_context.m_admissionGate.SetBackend(
    IsDrainPeriodOver() ? 0 : m_announcedSlots, aIsNew);
  if (aIsNew && m_context.m_quarantineEnabled) {
    m_context.m_runTracker.OnNewIncarnation(m_context.m_clock.Now());
  }
}

void
TrafficServer::MergeQuarantine(const wire::QuarantineUpdate& aUpdate)
{
  if (!m_context.m_quarantineEnabled) {
    return;
  }
  const TimePoint now = m_context.m_clock.Now();
  for (const wire::QuarantineEntry& entry : aUpdate.entries()) {
    m_context.m_runTracker.Merge(entry, now);
  }
  // A new control leader does not have the quarantine entries of its
  // predecessor.
  if (aUpdate.term() != m_quarantineTerm) {
    m_quarantineTerm = aUpdate.term();
    m_hooks.m_onQuarantineEntries(m_context.m_runTracker.ListWireEntries(now));
  }
  m_context.m_runEnded.NotifyAll();
}

boost::asio::awaitable<void>
TrafficServer::Stop()
{
  co_await m_callerServer->Stop();
  co_await m_peerServer->Stop();
}

std::string
TrafficServer::FormatMetrics() const
{
  const TrafficCounters& counters = m_context.m_counters;
  std::string text;
  const auto addCounter = [&](const char* aName,
                              const std::atomic<uint64_t>& aValue) {
    text += fmt::format("# TYPE rattanloft_{0} counter\nrattanloft_{0} {1}\n",
                        aName,
                        aValue.load(std::memory_order_relaxed));
  };
  addCounter("requests_received_total", counters.m_requestsReceived);
  addCounter("requests_answered_total", counters.m_requestsAnswered);
  addCounter("requests_not_run_total", counters.m_requestsNotRun);
  addCounter("requests_unknown_total", counters.m_requestsUnknown);
  addCounter("requests_forwarded_total", counters.m_requestsForwarded);
  addCounter("retries_total", counters.m_retriesSent);
  addCounter("misdirected_total", counters.m_requestsMisdirected);
  addCounter("refused_stale_total", counters.m_requestsRefusedStale);
  addCounter("refused_by_scheduler_total",
             counters.m_requestsRefusedByScheduler);
  addCounter("records_copied_total", counters.m_recordsCopied);
  text +=
    fmt::format("# TYPE rattanloft_requests_running gauge\n"
                "rattanloft_requests_running {}\n",
                counters.m_requestsRunning.load(std::memory_order_relaxed));
  const auto addGauge = [&](const char* aName, double aValue) {
    text += fmt::format(
      "# TYPE rattanloft_{0} gauge\nrattanloft_{0} {1:.3f}\n", aName, aValue);
  };
  addGauge("request_mean_ms", counters.m_requestMeanMs);
  addGauge("request_p50_ms", counters.m_requestP50Ms);
  addGauge("request_p99_ms", counters.m_requestP99Ms);
  addGauge("request_max_ms", counters.m_requestMaxMs);
  return text;
}

boost::asio::awaitable<http::Response>
TrafficServer::HandlePeerRequest(
  http::Request aRequest,
  std::shared_ptr<http::CancelToken> aCancelToken)
{
  const std::string_view target(aRequest.target().data(),
                                aRequest.target().size());
  if (target == kRecordPutTarget) {
    co_return m_recordService.HandleRecordPut(aRequest);
  }
  if (target == kRecordFetchTarget) {
    co_return m_recordService.HandleRecordFetch(aRequest);
  }
  const auto timeLeftMs =
    header::ParseNumberField<int64_t>(aRequest, header::kDeadlineMs);
  if (!timeLeftMs || *timeLeftMs <= 0) {
    co_return MakeRefusalResponse(
      { 400, Outcome::kNotRun, "missing_deadline", std::nullopt });
  }
  const TimePoint now = m_context.m_clock.Now();
  const std::string_view sentText(aRequest[header::kSent].data(),
                                  aRequest[header::kSent].size());
  const auto stamp = ParseTransitStamp(sentText);
  const Duration transitDelay =
    stamp ? m_transitDelay.Estimate(*stamp, now) : Duration{};
  const Duration timeLeft = Milliseconds(*timeLeftMs) - transitDelay;
  if (timeLeft <= Duration{}) {
    LogInfo("route",
            "Refused a request that arrived after its deadline. request={} "
            "transit_ms={} left_ms={}",
            std::string_view(aRequest[header::kRequestId].data(),
                             aRequest[header::kRequestId].size()),
            transitDelay.m_ms,
            timeLeft.m_ms);
    http::Response refusal = MakeRefusalResponse(
      { 503, Outcome::kNotRun, "late_arrival", std::nullopt });
    refusal.set(header::kLateMs, std::to_string(transitDelay.m_ms));
    co_return refusal;
  }
  RequestTerms terms;
  terms.m_requestId = std::string(aRequest[header::kRequestId]);
  terms.m_deadline = now + timeLeft;
  terms.m_epoch =
    header::ParseNumberField<uint64_t>(aRequest, header::kEpoch).value_or(0);
  co_return co_await m_ownerHandler.Handle(
    std::move(aRequest), std::move(terms), std::move(aCancelToken));
}

boost::asio::awaitable<void>
TrafficServer::TickLoop()
{
  while (!m_context.m_ioContext.stopped()) {
    co_await Sleep(m_context.m_ioContext, kSchedulerTickInterval);
    if (IsDrainPeriodOver() && !m_admissionEnded) {
      LogInfo("node",
              "The backend server has drained too long to get new work.");
      m_admissionEnded = true;
      m_context.m_admissionGate.SetBackend(0, false);
    }
    m_context.m_admissionGate.Tick();
    m_context.m_recordTable.Expire(m_context.m_clock.Now());
    auto changes = m_context.m_runTracker.TakeChanges(m_context.m_clock.Now());
    if (!changes.empty()) {
      m_hooks.m_onQuarantineEntries(std::move(changes));
    }
  }
}

boost::asio::awaitable<void>
TrafficServer::ReportLoop()
{
  while (!m_context.m_ioContext.stopped()) {
    co_await Sleep(m_context.m_ioContext, kLoadReportInterval);
    m_hooks.m_onLoadReport(TakeLoadReport(kLoadReportInterval));
    UpdateLatencyMetrics();
  }
}

void
TrafficServer::UpdateLatencyMetrics()
{
  const LatencyWindow::Summary summary =
    m_context.m_callerLatency.TakeSummary();
  TrafficCounters& counters = m_context.m_counters;
  counters.m_requestMeanMs = summary.m_meanMs;
  counters.m_requestP50Ms = summary.m_p50Ms;
  counters.m_requestP99Ms = summary.m_p99Ms;
  counters.m_requestMaxMs = summary.m_maxMs;
}

wire::NodeLoad
TrafficServer::TakeLoadReport(Duration aInterval)
{
  const double perSecond = 1000.0 / static_cast<double>(aInterval.m_ms);
  wire::NodeLoad load;
  const auto counters = m_context.m_admissionGate.Counters();
  load.set_in_flight(counters.m_running);
  load.set_queued(counters.m_queued);
  const uint64_t received = m_context.m_counters.m_requestsReceived.load();
  load.set_requests_per_second(
    static_cast<double>(received - m_lastReceivedCount) * perSecond);
  m_lastReceivedCount = received;
  for (const auto& [shard, count] :
       m_shardTracker.TakeRequestCounts(kMaxReportedShards)) {
    wire::ShardLoad* out = load.add_shards();
    out->set_service(shard.m_service);
    out->set_shard(shard.m_shard);
    out->set_requests_per_second(static_cast<double>(count) * perSecond);
  }
  const wire::Backend* ownBackend =
    m_context.m_view->m_routes->FindBackend(m_context.m_view->m_backend);
  for (const auto& key : m_context.m_keyCounter.TakeBusiest(kMaxReportedKeys)) {
    if (ownBackend == nullptr || key.m_count < kMinReportedKeyCount) {
      break;
    }
    wire::KeyLoad* out = load.add_keys();
    out->set_service(ownBackend->service());
    out->set_key(key.m_key);
    out->set_requests_per_second(static_cast<double>(key.m_count) * perSecond);
  }
  return load;
}

void
TrafficServer::ApplyEntryLimits()
{
  std::vector<admission::EntryLimits> limits;
  for (const auto& entry : m_context.m_view->m_catalogue->Entries()) {
    limits.push_back({ entry.name(),
                       ToWorkClass(entry.work_class()),
                       entry.limits().max_in_flight(),
                       entry.limits().max_queue() });
  }
  m_context.m_admissionGate.SetLimits(std::move(limits));
}

} // namespace rattanloft::node
