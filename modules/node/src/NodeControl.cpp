#include "NodeControl.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "rattanloft/base/Log.h"
#include "rattanloft/base/Random.h"

namespace rattanloft::node {

using OwnedShard = routing::NodeAgent::OwnedShard;

namespace {

// Delay after the first failed Sync. It grows by the same amount with each
// further failure, up to the maximum.
constexpr Duration kSyncRetryDelay = Milliseconds(50);
constexpr Duration kMaxSyncRetryDelay = Milliseconds(400);
// One Sync that the leader holds until it has news, and one that reports news
// of this node. A third would only add load.
constexpr uint32_t kMaxSyncsInFlight = 2;

http::Response
MakeTextResponse(unsigned aStatus, const char* aContentType, std::string aBody)
{
  http::Response response;
  response.version(11);
  response.result(aStatus);
  response.set("Content-Type", aContentType);
  response.body() = std::move(aBody);
  response.prepare_payload();
  return response;
}

http::Response
MakeErrorResponse(unsigned aStatus, const std::string& aMessage)
{
  return MakeTextResponse(aStatus,
                          "application/json",
                          nlohmann::json{ { "error", aMessage } }.dump());
}

} // namespace

tl::expected<std::unique_ptr<NodeControl>, NodeError>
NodeControl::Make(boost::asio::io_context& aContext,
                  const Clock& aClock,
                  const NodeOptions& aOptions,
                  std::string aPeerAddress,
                  Hooks aHooks)
{
  std::unique_ptr<NodeControl> control(new NodeControl(
    aContext, aClock, aOptions, std::move(aPeerAddress), std::move(aHooks)));
  http::ServerOptions options;
  options.m_port = aOptions.m_agentPort;
  options.m_maxConnections = 50;
  auto server = http::Server::Make(
    aContext,
    options,
    [self = control.get()](http::Request aRequest,
                           std::shared_ptr<http::CancelToken>) {
      return self->HandleAgentRequest(std::move(aRequest));
    });
  if (!server) {
    return tl::unexpected(
      NodeError{ NodeErrorCode::kListenFailed,
                 "agent_port: " + server.error().m_message });
  }
  control->m_agentServer = std::move(*server);
  return control;
}

NodeControl::NodeControl(boost::asio::io_context& aContext,
                         const Clock& aClock,
                         const NodeOptions& aOptions,
                         std::string aPeerAddress,
                         Hooks aHooks)
  : m_context(aContext)
  , m_clock(aClock)
  , m_options(aOptions)
  , m_peerAddress(std::move(aPeerAddress))
  , m_hooks(std::move(aHooks))
  , m_nodeAgent(
      { aOptions.m_nodeId, RandomId(), aOptions.m_zone, m_peerAddress })
  , m_controlClient(
      ControlClient::Make(aContext, aClock, aOptions.m_controlAddresses))
  , m_backendMonitor(aContext, aClock, [this](bool aHealthy) {
    m_nodeAgent.SetBackendHealthy(aHealthy);
    m_hooks.m_onHealthChanged(aHealthy);
    SyncNow();
  })
{
}

void
NodeControl::Start()
{
  m_backendMonitor.Start();
  SendSync();
}

void
NodeControl::OnShardReleased(const OwnedShard& aShard)
{
  m_nodeAgent.MarkReleased(aShard.m_service, aShard.m_shard, aShard.m_epoch);
  SyncNow();
}

void
NodeControl::SetLoad(wire::NodeLoad aLoad)
{
  m_nodeAgent.SetLoad(std::move(aLoad));
}

void
NodeControl::AddQuarantineEntries(
  const std::vector<wire::QuarantineEntry>& aEntries)
{
  if (!aEntries.empty()) {
    m_nodeAgent.AddQuarantine(aEntries);
    SyncNow();
  }
}

void
NodeControl::StartDrain()
{
  LogInfo("node", "The node stops: it drains and hands over its shards.");
  m_stopping = true;
  m_nodeAgent.SetDraining(true);
  SyncNow();
  PublishView();
}

bool
NodeControl::HasOtherActiveBackend() const
{
  const auto view = m_nodeAgent.CurrentView();
  const wire::Backend* ownBackend =
    view->m_routes->FindBackend(view->m_backend);
  if (ownBackend == nullptr) {
    return false;
  }
  const auto backends = view->m_routes->BackendsOf(ownBackend->service());
  return std::any_of(backends.begin(), backends.end(), [&](uint32_t aNumber) {
    return aNumber != view->m_backend &&
           view->m_routes->FindBackend(aNumber)->state() ==
             wire::BACKEND_STATE_ACTIVE;
  });
}

boost::asio::awaitable<http::Response>
NodeControl::HandleAgentRequest(http::Request aRequest)
{
  const std::string_view target(aRequest.target().data(),
                                aRequest.target().size());
  if (target == "/announce") {
    if (aRequest.method_string() != "POST") {
      co_return MakeErrorResponse(405, "announce takes POST");
    }
    co_return HandleAnnounce(aRequest);
  }
  if (target == "/status") {
    co_return HandleStatus();
  }
  if (target == "/metrics") {
    co_return HandleMetrics();
  }
  if (target == "/healthz") {
    co_return MakeTextResponse(200, "text/plain", "ok\n");
  }
  co_return MakeErrorResponse(404, "unknown target");
}

http::Response
NodeControl::HandleAnnounce(const http::Request& aRequest)
{
  auto announcement = ParseAnnouncement(aRequest.body());
  if (!announcement) {
    return MakeErrorResponse(400, announcement.error());
  }
  wire::Backend& backend = announcement->m_backend;
  backend.set_node_id(m_options.m_nodeId);
  backend.set_zone(m_options.m_zone);
  backend.set_peer_address(m_peerAddress);
  if (!m_nodeAgent.SetBackend(backend)) {
    return MakeErrorResponse(409, "a newer incarnation has replaced this one");
  }
  const bool isNew = backend.incarnation() != m_announcedIncarnation;
  m_announcedIncarnation = backend.incarnation();
  m_backendMonitor.SetAnnouncement(*announcement);
  if (isNew) {
    // The new incarnation must get no request under the lease of the former
    // one, also while PublishLoop() awaits the answer to its grants.
    m_hooks.m_onViewChanged(m_nodeAgent.CurrentView(), {});
    PublishView();
  }
  m_hooks.m_onAnnouncement(*announcement, isNew);
  m_nodeAgent.SetDraining(m_stopping || announcement->m_draining);
  if (isNew) {
    m_confirmedOperatorDrain = false;
  }
  UpdateOperatorDrain();
  if (isNew) {
    LogInfo("node",
            "A new incarnation of the backend server announced itself. "
            "service={} address={} "
            "incarnation={:016x}",
            backend.service(),
            announcement->m_address,
            backend.incarnation());
    SyncNow();
  }
  return MakeTextResponse(200, "application/json", "{}");
}

http::Response
NodeControl::HandleStatus() const
{
  const auto view = m_nodeAgent.CurrentView();
  const TimePoint now = m_clock.Now();
  const nlohmann::json status = {
    { "node", m_options.m_nodeId },
    { "zone", m_options.m_zone },
    { "backend", view->m_backend },
    { "control", ControlStateText() },
    { "control_address", m_controlClient->CurrentAddress() },
    { "lease_left_ms", std::max<int64_t>(0, (view->m_leaseEnd - now).m_ms) },
    { "stale", view->IsStale(now) },
    { "draining", view->m_draining },
    { "operator_drain", view->m_operatorDrain },
    { "catalogue_revision", view->m_catalogue->Revision() },
    { "route_revision", view->m_routes->Revision() },
    { "owned_shards", m_nodeAgent.OwnedShards().size() },
    { "syncs", m_syncCount },
    { "sync_bytes", m_syncBytes },
  };
  return MakeTextResponse(200, "application/json", status.dump());
}

http::Response
NodeControl::HandleMetrics() const
{
  const auto view = m_nodeAgent.CurrentView();
  const TimePoint now = m_clock.Now();
  std::string text = m_hooks.m_formatTrafficMetrics();
  const auto addMetric =
    [&](const char* aName, const char* aType, auto aValue) {
      text += fmt::format("# TYPE {0} {1}\n{0} {2}\n", aName, aType, aValue);
    };
  addMetric("rattanloft_node_lease_left_ms",
            "gauge",
            std::max<int64_t>(0, (view->m_leaseEnd - now).m_ms));
  addMetric("rattanloft_node_stale", "gauge", view->IsStale(now) ? 1 : 0);
  addMetric(
    "rattanloft_node_owned_shards", "gauge", m_nodeAgent.OwnedShards().size());
  addMetric("rattanloft_node_syncs_total", "counter", m_syncCount);
  addMetric("rattanloft_node_sync_bytes_total", "counter", m_syncBytes);
  addMetric("rattanloft_node_catalogue_revision",
            "gauge",
            view->m_catalogue->Revision());
  addMetric(
    "rattanloft_node_route_revision", "gauge", view->m_routes->Revision());
  return MakeTextResponse(200, "text/plain; version=0.0.4", std::move(text));
}

void
NodeControl::SendSync()
{
  wire::SyncRequest request = m_nodeAgent.MakeRequest();
  // The leader learns from this which of its replies have arrived.
  request.set_answered(m_lastAnsweredSequence);
  const uint64_t sequence = request.sequence();
  m_lastSentSequence = sequence;
  ++m_syncsInFlight;
  m_syncBytes += request.ByteSizeLong();
  m_controlClient->Sync(std::move(request),
                        [this, sequence](ControlClient::SyncResult aResult) {
                          OnSyncResult(sequence, std::move(aResult));
                        });
}

void
NodeControl::SyncNow()
{
  if (m_syncsInFlight < kMaxSyncsInFlight) {
    SendSync();
  } else {
    ScheduleSync(Milliseconds(5));
  }
}

void
NodeControl::OnSyncResult(uint64_t aSequence, ControlClient::SyncResult aResult)
{
  --m_syncsInFlight;
  ++m_syncCount;
  m_syncBytes += aResult.m_reply.ByteSizeLong();
  if (!aResult.m_ok ||
      aResult.m_reply.status() == wire::SYNC_STATUS_NO_LEADER) {
    OnSyncError(aResult);
    return;
  }
  m_noLeaderSeen = false;
  m_consecutiveFailures = 0;
  m_lastAnsweredSequence = std::max(m_lastAnsweredSequence, aSequence);
  if (aResult.m_reply.status() != wire::SYNC_STATUS_REPLACED &&
      m_nodeAgent.OnReply(aResult.m_reply, aResult.m_sentAt, m_clock.Now())) {
    PublishView();
    UpdateOperatorDrain();
    if (aResult.m_reply.has_quarantine()) {
      m_hooks.m_onQuarantineUpdate(aResult.m_reply.quarantine());
    }
  }
  if (aSequence == m_lastSentSequence || m_syncsInFlight == 0) {
    SendSync();
  }
}

void
NodeControl::OnSyncError(const ControlClient::SyncResult& aResult)
{
  m_noLeaderSeen = aResult.m_ok;
  ++m_consecutiveFailures;
  if (m_consecutiveFailures == 1) {
    LogWarning("sync",
               "A Sync with a control instance failed. address={} error={}",
               m_controlClient->CurrentAddress(),
               aResult.m_ok ? "the instance knows no leader" : aResult.m_error);
  }
  m_controlClient->UseNextInstance();
  ScheduleSync(
    std::min(kMaxSyncRetryDelay, kSyncRetryDelay * m_consecutiveFailures));
}

void
NodeControl::ScheduleSync(Duration aDelay)
{
  if (m_syncScheduled) {
    return;
  }
  m_syncScheduled = true;
  boost::asio::co_spawn(
    m_context,
    [this, aDelay]() -> boost::asio::awaitable<void> {
      co_await Sleep(m_context, aDelay);
      m_syncScheduled = false;
      SyncNow();
    },
    boost::asio::detached);
}

void
NodeControl::PublishView()
{
  if (m_publishLoopRunning) {
    m_publishRequested = true;
    return;
  }
  m_publishLoopRunning = true;
  boost::asio::co_spawn(m_context, PublishLoop(), boost::asio::detached);
}

// New grants are sent to the backend server before the traffic thread uses
// them, so that the backend server does not refuse requests for an unknown
// token. Without a change of the shards, the view is published at once.
boost::asio::awaitable<void>
NodeControl::PublishLoop()
{
  do {
    m_publishRequested = false;
    const auto view = m_nodeAgent.CurrentView();
    GrantList grants{ m_nodeAgent.OwnedShards(), view->m_leaseEnd };
    std::vector<OwnedShard> releases = m_nodeAgent.ShardsToRelease();
    const bool shardsChanged = grants.m_shards != m_publishedShards;
    if (!shardsChanged) {
      m_hooks.m_onViewChanged(view, releases);
    } else {
      LogInfo("place",
              "The shards of this node changed. owned={} to_release={} "
              "route_revision={}",
              grants.m_shards.size(),
              releases.size(),
              view->m_routes->Revision());
      m_publishedShards = grants.m_shards;
    }
    co_await m_backendMonitor.PutGrants(std::move(grants));
    // A new incarnation may have ended the lease meanwhile.
    const bool sameLease =
      m_nodeAgent.CurrentView()->m_backend == view->m_backend;
    if (shardsChanged && sameLease) {
      m_hooks.m_onViewChanged(view, std::move(releases));
    }
  } while (m_publishRequested);
  m_publishLoopRunning = false;
}

// Called for each Sync reply and each announcement, so a message that was not
// confirmed is sent again.
void
NodeControl::UpdateOperatorDrain()
{
  const bool drainWanted = m_nodeAgent.CurrentView()->m_operatorDrain;
  if (m_reportingOperatorDrain || drainWanted == m_confirmedOperatorDrain) {
    return;
  }
  m_reportingOperatorDrain = true;
  boost::asio::co_spawn(
    m_context, ReportOperatorDrain(drainWanted), boost::asio::detached);
}

boost::asio::awaitable<void>
NodeControl::ReportOperatorDrain(bool aDrain)
{
  const bool confirmed = co_await m_backendMonitor.SendOperatorDrain(aDrain);
  m_reportingOperatorDrain = false;
  if (confirmed) {
    m_confirmedOperatorDrain = aDrain;
  }
}

const char*
NodeControl::ControlStateText() const
{
  if (m_consecutiveFailures == 0) {
    return "ok";
  }
  return m_noLeaderSeen ? "no control quorum" : "cut off";
}

} // namespace rattanloft::node
