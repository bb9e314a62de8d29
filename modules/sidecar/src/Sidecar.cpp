#include "rattanloft/sidecar/Sidecar.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <map>
#include <memory>
#include <optional>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "BackendCallRules.h"
#include "BackendHandler.h"
#include "BodyReservations.h"
#include "EndpointSelector.h"
#include "EntryHandler.h"
#include "FleetDirectory.h"
#include "LocalBackend.h"
#include "RangeCaller.h"
#include "RunningRequests.h"
#include "SidecarLimits.h"
#include "StopSchedule.h"
#include "SyncClient.h"
#include "WorkQueue.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/base/Log.h"
#include "rattanloft/base/Random.h"
#include "rattanloft/base/TransitDelay.h"
#include "rattanloft/fleet/HolderName.h"
#include "rattanloft/http/Endpoint.h"
#include "rattanloft/http/OverloadReport.h"
#include "rattanloft/http/Server.h"

namespace rattanloft::sidecar {

namespace {

namespace asio = boost::asio;
using boost::beast::http::field;
using boost::beast::http::status;

// Intervals at which the queue is processed while requests wait, and while none
// wait.
constexpr std::chrono::milliseconds kBusyTickInterval{ 25 };
constexpr std::chrono::milliseconds kIdleTickInterval{ 100 };
// Time between two health checks of a backend server that may become cold. At
// most this part of a second's requests is sent before it is known.
constexpr Duration kColdCheckInterval = Milliseconds(250);
// Longest time for which the response to a heartbeat is held back. Backend
// servers accept a response for one second; some send the next heartbeat only
// 1.5 s after the last one.
constexpr Duration kMaxHeartbeatHold = Milliseconds(850);
// Time for which the response is held back further after ranges have arrived
// while more are on their way.
constexpr Duration kNextRangesHold = Milliseconds(150);
// Interval at which a held response checks for new ranges.
constexpr Duration kHeartbeatPollInterval = Milliseconds(15);
// Interval at which a call that states a departure checks whether that is
// recorded.
constexpr Duration kDeparturePollInterval = Milliseconds(5);
// A heartbeat with as many ranges as are accepted takes less.
constexpr uint64_t kMaxBackendCallBytes = 256 * 1024;
// Longer than the time for which callers keep idle connections: up to four
// fifths of the configured idle timeout, of which the longest that is expected
// is 60 s.
constexpr Duration kServerIdleTimeout = Seconds(75);
// Shorter than the idle timeout of backend servers, which is at least 10 s.
constexpr Duration kBackendIdleTimeout = Seconds(5);
// Shorter than the time for which sidecars and coordinators keep idle
// connections.
constexpr Duration kPeerIdleTimeout = Seconds(20);
constexpr Duration kConnectTimeout = Milliseconds(250);
// A body that is not granted within this time is refused.
constexpr Duration kMaxReservationWait = Milliseconds(600);
// Retry delay that is reported with the refusal of a body.
constexpr Duration kLinkFullRetryDelay = Milliseconds(400);

class SidecarImpl final : public Sidecar
{
public:
  SidecarImpl(SidecarOptions aOptions,
              const BackendProtocol& aProtocol,
              SidecarLimits aLimits)
    : m_options(std::move(aOptions))
    , m_protocol(aProtocol)
    , m_limits(std::move(aLimits))
    , m_stopSignals(m_context, SIGTERM, SIGINT)
    , m_reloadSignals(m_context, SIGHUP)
    , m_tickTimer(m_context)
    , m_configuredBackend{ m_options.m_service, m_options.m_backendAddress }
    , m_localBackend(m_options.m_instance,
                     m_options.m_drainTimeout,
                     m_clock.Now())
    , m_endpointSelector(RandomId(), m_options.m_zoneRouting)
    , m_peerClient(MakePeerClient())
    , m_backendClient(MakeBackendClient())
    , m_healthClient(MakeHealthClient())
    , m_controlClient(
        MakeClient("control-client", SyncClient::MakeClientOptions()))
    , m_quarantine(m_context,
                   m_clock,
                   *m_backendClient,
                   m_options.m_backendAddress,
                   [this] { return HealthCheckTarget(); })
    , m_localHandler(m_context,
                     m_clock,
                     m_protocol,
                     *m_backendClient,
                     m_localBackend,
                     m_workQueue,
                     m_quarantine,
                     m_directory,
                     m_options.m_zone,
                     m_options.m_backendAddress)
    , m_syncClient(m_context,
                   m_clock,
                   m_options,
                   *m_controlClient,
                   m_localBackend,
                   m_directory,
                   m_workQueue,
                   m_loadCounter,
                   m_quarantine)
    , m_entryHandler(m_context,
                     m_clock,
                     m_options,
                     m_protocol,
                     *m_peerClient,
                     m_directory,
                     m_endpointSelector,
                     m_localHandler,
                     m_quarantine,
                     m_loadCounter)
    , m_rangeCaller(m_context,
                    m_clock,
                    m_protocol,
                    m_localBackend,
                    m_options.m_backendAddress,
                    MakeLimitedOptions("grant-client", {}),
                    MakeLimitedOptions("release-client", {}),
                    [this] { OnRangesChanged(); })
  {
    http::LogMemoryStates(m_limits.Budget());
    m_syncClient.SetReplyCallback([this] { OnReplyApplied(); });
  }

  // Opens the listeners whose address is not empty.
  tl::expected<void, SidecarError> OpenListeners()
  {
    const struct
    {
      std::string_view m_name;
      const std::string* m_address;
      std::unique_ptr<http::Server>* m_server;
      http::Server::Handler m_handler;
      uint64_t m_maxBodyBytes;
    } listeners[] = {
      { "callers",
        &m_options.m_callerAddress,
        &m_callerServer,
        [this](http::Request aRequest,
               std::shared_ptr<http::CancelToken> aCancel) {
          return ServeCaller(std::move(aRequest), std::move(aCancel));
        },
        kMaxBodyBytes },
      { "peers",
        &m_options.m_peerAddress,
        &m_peerServer,
        [this](http::Request aRequest,
               std::shared_ptr<http::CancelToken> aCancel) {
          return ServePeer(std::move(aRequest), std::move(aCancel));
        },
        kMaxBodyBytes },
      { "ready",
        &m_options.m_readyAddress,
        &m_readyServer,
        [this](http::Request, std::shared_ptr<http::CancelToken>) {
          return ServeReady();
        },
        kMaxBackendCallBytes },
      { "announce",
        &m_options.m_announceAddress,
        &m_announceServer,
        [this](http::Request aRequest, std::shared_ptr<http::CancelToken>) {
          return ServeBackendCall(std::move(aRequest));
        },
        kMaxBackendCallBytes },
      { "metrics",
        &m_options.m_metricsAddress,
        &m_metricsServer,
        [this](http::Request, std::shared_ptr<http::CancelToken>) {
          return ServeMetrics();
        },
        kMaxBackendCallBytes },
    };
    for (const auto& listener : listeners) {
      if (listener.m_address->empty()) {
        continue;
      }
      auto server = MakeServer(listener.m_name,
                               *listener.m_address,
                               listener.m_handler,
                               listener.m_maxBodyBytes);
      if (!server) {
        return tl::unexpected(server.error());
      }
      *listener.m_server = std::move(*server);
    }
    return {};
  }

  void Run() override
  {
    LogInfo("sidecar",
            "event=start instance={} zone={} service={} callers={} peers={} "
            "backend={} coordinators={}",
            m_options.m_instance,
            m_options.m_zone,
            m_options.m_service,
            m_options.m_callerAddress,
            m_options.m_peerAddress,
            m_options.m_backendAddress,
            m_options.m_coordinators.size());
    m_stopSignals.async_wait(
      [this](const boost::system::error_code& aError, int) {
        if (!aError) {
          asio::co_spawn(m_context, Stop(), asio::detached);
        }
      });
    WaitForReload();
    ScheduleTick();
    m_syncClient.Start();
    asio::co_spawn(m_context, CheckColdState(), asio::detached);
    m_context.run();
  }

private:
  std::unique_ptr<http::Client> MakeBackendClient()
  {
    http::ClientOptions options;
    options.m_idleTimeout = kBackendIdleTimeout;
    options.m_connectTimeout = kConnectTimeout;
    options.m_acceptUnframedResponses = true;
    options.m_echoedFieldName = m_protocol.Headers().m_requestId;
    return MakeClient("backend-client", std::move(options));
  }

  std::unique_ptr<http::Client> MakeHealthClient()
  {
    http::ClientOptions options;
    options.m_maxConnectionsPerPeer = 1;
    options.m_idleTimeout = kBackendIdleTimeout;
    options.m_connectTimeout = kConnectTimeout;
    options.m_acceptUnframedResponses = true;
    return http::Client::Make(m_context, options);
  }

  std::unique_ptr<http::Client> MakePeerClient()
  {
    http::ClientOptions options;
    options.m_idleTimeout = kPeerIdleTimeout;
    options.m_connectTimeout = kConnectTimeout;
    return MakeClient("peer-client", std::move(options));
  }

  http::ClientOptions MakeLimitedOptions(std::string_view aName,
                                         http::ClientOptions aOptions) const
  {
    m_limits.Apply(aName, aOptions);
    return aOptions;
  }

  std::unique_ptr<http::Client> MakeClient(std::string_view aName,
                                           http::ClientOptions aOptions)
  {
    return http::Client::Make(m_context,
                              MakeLimitedOptions(aName, std::move(aOptions)));
  }

  // Largest body that callers may send, by the configuration in force.
  uint64_t ConfiguredMaxBodyBytes() const
  {
    const auto& router = m_directory.Router();
    const uint64_t configured =
      router ? router->SourceConfiguration().limits().max_body_bytes() : 0;
    return configured > 0 ? configured : kMaxBodyBytes;
  }

  tl::expected<std::unique_ptr<http::Server>, SidecarError> MakeServer(
    std::string_view aName,
    const std::string& aAddress,
    const http::Server::Handler& aHandler,
    uint64_t aMaxBodyBytes)
  {
    const auto endpoint = http::ParseEndpoint(aAddress);
    if (!endpoint) {
      return tl::unexpected(SidecarError{
        "listener address is not an IP address and port: " + aAddress });
    }
    http::ServerOptions options;
    options.m_address = endpoint->address().to_string();
    options.m_port = endpoint->port();
    options.m_maxBodyBytes = aMaxBodyBytes;
    options.m_idleTimeout = kServerIdleTimeout;
    options.m_stopGrace = StopSchedule::kListenerStopTime;
    m_limits.Apply(aName, options);
    if (aName == "callers") {
      options.m_currentMaxBodyBytes = [this] {
        return ConfiguredMaxBodyBytes();
      };
    } else if (aName == "peers") {
      options.m_refusalHeaderFields = MakePeerRefusalFields();
    } else {
      options.m_isControl = true;
    }
    auto server = http::Server::Make(m_context, std::move(options), aHandler);
    if (!server) {
      return tl::unexpected(SidecarError{ server.error().m_message });
    }
    return std::move(*server);
  }

  void ScheduleTick()
  {
    m_tickTimer.expires_after(
      m_workQueue.WaitingCount() > 0 ? kBusyTickInterval : kIdleTickInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        m_localHandler.Tick();
        WakeGrantedSenders();
        OnRangesChanged();
        ScheduleTick();
      }
    });
  }

  // Sends the range calls that are due and reports what has changed.
  void OnRangesChanged()
  {
    m_rangeCaller.SendDueCalls();
    m_syncClient.SyncIfChanged();
  }

  // Passes new endpoints on to the selector, and a new plan to the backend
  // server.
  void OnReplyApplied()
  {
    m_workQueue.ColdStart().SetBound(FindColdBound(m_options, FindOwnService()),
                                     m_clock.Now());
    m_localBackend.SetRangeDelivery(FindRangeDelivery());
    m_rangeCaller.SendDueCalls();
    if (m_endpointsRevision != m_directory.EndpointsRevision() ||
        m_endpointsTerm != m_directory.EndpointsTerm()) {
      m_endpointsRevision = m_directory.EndpointsRevision();
      m_endpointsTerm = m_directory.EndpointsTerm();
      m_endpointSelector.SetEndpoints(m_directory.Endpoints(), m_clock.Now());
    }
    ApplyEvacuations();
  }

  void ApplyEvacuations()
  {
    m_endpointSelector.SetEvacuatedZones(m_directory.EvacuatedZones());
    const bool isEvacuated = m_directory.IsEvacuated(m_options.m_zone);
    if (isEvacuated == m_isZoneEvacuated) {
      return;
    }
    m_isZoneEvacuated = isEvacuated;
    LogInfo("sidecar",
            "event=evacuation zone=\"{}\" active={} running={} waiting={}",
            m_options.m_zone,
            isEvacuated,
            m_workQueue.RunningCount(),
            m_workQueue.WaitingCount());
    if (isEvacuated) {
      m_localHandler.OnEvacuationStarted();
    } else {
      OnEvacuationEnded();
    }
  }

  // The backend server may have become cold during the evacuation.
  void OnEvacuationEnded()
  {
    m_workQueue.ColdStart().OnPossiblyCold(m_clock.Now());
  }

  asio::awaitable<http::Response> ServeReady()
  {
    http::Response response;
    const bool ready = !m_stopSchedule && m_directory.Router() != nullptr;
    response.result(ready ? status::ok : status::service_unavailable);
    co_return response;
  }

  asio::awaitable<http::Response> ServeCaller(
    http::Request aRequest,
    std::shared_ptr<http::CancelToken> aCancel)
  {
    const RunningRequests::Guard guard(m_runningRequests, aCancel);
    co_return co_await m_entryHandler.Serve(std::move(aRequest),
                                            std::move(aCancel));
  }

  // How much longer than usual the request was on its way from its peer.
  Duration EstimateTransitDelay(const http::Request& aRequest,
                                TimePoint aArrivedAt)
  {
    const auto stamp = ParseTransitStamp(FieldValue(aRequest, kSentField));
    return stamp ? m_transitDelay.Estimate(*stamp, aArrivedAt) : Duration{};
  }

  asio::awaitable<http::Response> ServePeer(
    http::Request aRequest,
    std::shared_ptr<http::CancelToken> aCancel)
  {
    const RunningRequests::Guard guard(m_runningRequests, aCancel);
    const TimePoint arrivedAt = m_clock.Now();
    if (const auto bytes = ParseNumberField(aRequest, kReserveBytesField)) {
      const Duration timeLeft = Milliseconds(
        ParseNumberField(aRequest, m_protocol.Headers().m_deadlineMs)
          .value_or(kMaxReservationWait.m_ms));
      http::Response reserved = co_await ServeReservation(
        static_cast<size_t>(std::clamp<int64_t>(*bytes, 0, kMaxBodyBytes)),
        timeLeft,
        std::move(aCancel));
      co_return reserved;
    }
    if (const auto id = ParseNumberField(aRequest, kReservationField)) {
      m_bodyReservations.OnArrived(static_cast<uint64_t>(*id), arrivedAt);
      WakeGrantedSenders();
    }
    const HeaderNames& names = m_protocol.Headers();
    RequestAttributes attributes;
    attributes.m_service = FieldValue(aRequest, kServiceField);
    attributes.m_kind = FieldValue(aRequest, kKindField);
    attributes.m_keyed = FieldValue(aRequest, kKeyedField) == "1";
    attributes.m_timeToTarget =
      Milliseconds(ParseNumberField(aRequest, kTargetMsField).value_or(0));
    attributes.m_rank =
      static_cast<uint32_t>(ParseNumberField(aRequest, kRankField).value_or(0));
    const Duration transitDelay = EstimateTransitDelay(aRequest, arrivedAt);
    attributes.m_timeToDeadline =
      Milliseconds(ParseNumberField(aRequest, names.m_deadlineMs).value_or(0)) -
      transitDelay;
    const auto key = ParseNumberField(aRequest, names.m_key);
    if (attributes.m_keyed && key) {
      attributes.m_key = static_cast<uint32_t>(*key);
    }
    AttemptResult result;
    if (m_stopSchedule &&
        !m_stopSchedule->MayServe(arrivedAt,
                                  arrivedAt + attributes.m_timeToDeadline)) {
      result = MakeNotRunResult(kStoppingReason,
                                m_stopSchedule->RetryDelay(arrivedAt));
    } else if (transitDelay > Duration{} &&
               attributes.m_timeToDeadline <= Duration{}) {
      // Its caller has got a response by now, or has left.
      ++m_lateRequests;
      LogInfo("backend",
              "event=refused id={} service={} reason={} transit_ms={} "
              "left_ms={}",
              FieldValue(aRequest, names.m_requestId),
              attributes.m_service,
              kLateReason,
              transitDelay.m_ms,
              attributes.m_timeToDeadline.m_ms);
      result = MakeNotRunResult(kLateReason, {});
    } else {
      result = co_await m_localHandler.RunRequest(
        std::move(aRequest), attributes, std::move(aCancel));
    }
    http::Response response =
      EncodeAttemptResult(std::move(result), m_localHandler.CurrentLoad());
    SetField(response,
             kHandlingMsField,
             std::to_string((m_clock.Now() - arrivedAt).m_ms));
    if (transitDelay > Duration{}) {
      SetField(response, kLateMsField, std::to_string(transitDelay.m_ms));
    }
    co_return response;
  }

  // Wakes the calls of peers whose bodies may be sent now.
  void WakeGrantedSenders()
  {
    for (const auto id : m_bodyReservations.TakeGranted(m_clock.Now())) {
      const auto waiting = m_reservationTimers.find(id);
      if (waiting != m_reservationTimers.end()) {
        waiting->second->cancel();
      }
    }
  }

  // Waits until the reservation is granted, at most for this time. Returns
  // whether the sender may send the body.
  asio::awaitable<bool> WaitForGrant(BodyReservations::Id aId,
                                     Duration aMaxWait,
                                     std::shared_ptr<http::CancelToken> aCancel)
  {
    const auto timer = std::make_shared<asio::steady_timer>(
      m_context, std::chrono::milliseconds(aMaxWait.m_ms));
    m_reservationTimers[aId] = timer;
    if (aCancel) {
      aCancel->SetCancelCallback([timer] { timer->cancel(); });
    }
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
    if (aCancel) {
      aCancel->SetCancelCallback({});
    }
    m_reservationTimers.erase(aId);
    const bool hasLeft = aCancel && aCancel->IsCancelled();
    co_return !hasLeft && m_bodyReservations.IsGranted(aId);
  }

  // Answers a peer that asks whether it may send a large body.
  asio::awaitable<http::Response> ServeReservation(
    size_t aBytes,
    Duration aTimeLeft,
    std::shared_ptr<http::CancelToken> aCancel)
  {
    const auto id = m_bodyReservations.Request(aBytes, m_clock.Now());
    WakeGrantedSenders();
    bool isGranted = id && m_bodyReservations.IsGranted(*id);
    if (id && !isGranted) {
      isGranted = co_await WaitForGrant(
        *id, std::min(aTimeLeft, kMaxReservationWait), std::move(aCancel));
    }
    if (isGranted) {
      ++m_grantedBodies;
      http::Response response;
      response.result(status::ok);
      SetField(response, kReservationField, std::to_string(*id));
      co_return response;
    }
    if (id) {
      m_bodyReservations.Cancel(*id);
      WakeGrantedSenders();
    }
    ++m_refusedBodies;
    LogInfo("backend",
            "event=body-refused bytes={} waited={} window={} granted={} "
            "waiting={}",
            aBytes,
            id.has_value(),
            m_bodyReservations.WindowBytes(),
            m_bodyReservations.GrantedBytes(),
            m_bodyReservations.WaitingCount());
    AttemptResult result =
      MakeNotRunResult(kLinkFullReason, kLinkFullRetryDelay);
    result.m_kind = ResultKind::kOverloaded;
    co_return EncodeAttemptResult(std::move(result),
                                  m_localHandler.CurrentLoad());
  }

  asio::awaitable<http::Response> ServeBackendCall(http::Request aRequest)
  {
    const auto method = aRequest.method_string();
    const auto target = aRequest.target();
    const BackendCall call = m_protocol.Classify(
      { method.data(), method.size() }, { target.data(), target.size() });
    http::Response response;
    if (call.m_kind != BackendCallKind::kOther) {
      if (const auto id = CheckBackendId(call.m_backendId); !id) {
        co_return RefuseBackendCall(id.error());
      }
    }
    switch (call.m_kind) {
      case BackendCallKind::kHeartbeat:
        response = co_await ServeHeartbeat(call.m_backendId, aRequest.body());
        break;
      case BackendCallKind::kDeregistration:
        response =
          co_await ServeDeregistration(call.m_backendId, aRequest.body());
        break;
      case BackendCallKind::kOther:
        response.result(status::not_found);
        break;
    }
    response.set(field::content_type, "application/json");
    co_return response;
  }

  // The id is not logged, since it may be anything.
  http::Response RefuseBackendCall(std::string_view aReason)
  {
    ++m_refusedBackendCalls;
    LogWarning("backend",
               "event=heartbeat-refused holder={} refused={} reason=\"{}\"",
               m_localBackend.View().holder(),
               m_refusedBackendCalls,
               aReason);
    http::Response response;
    response.result(status::bad_request);
    return response;
  }

  // Confirms a deregistration only once it can no longer be forgotten: another
  // process of this sidecar may have to answer the late heartbeats.
  asio::awaitable<http::Response> ServeDeregistration(std::string aBackendId,
                                                      http::Body aBody)
  {
    const TimePoint end = m_clock.Now() + kMaxHeartbeatHold;
    const std::string holder = m_localBackend.OnDeregistration(
      aBackendId, m_protocol.ParseLifetimeStartUnixMs(aBody), m_clock.Now());
    m_syncClient.SyncIfChanged();
    const bool isRecorded =
      !holder.empty() && co_await WaitUntilDepartureRecorded(holder, end);
    if (!isRecorded) {
      LogWarning("backend",
                 "event=deregistration-unconfirmed backend={} holder={} "
                 "leader_age_ms={}",
                 aBackendId,
                 holder,
                 m_directory.TimeSinceLastReply(m_clock.Now()).m_ms);
    }
    http::Response response;
    response.result(isRecorded ? status::ok : status::service_unavailable);
    co_return response;
  }

  // Returns whether the departure was recorded before aEnd.
  asio::awaitable<bool> WaitUntilDepartureRecorded(std::string aHolder,
                                                   TimePoint aEnd)
  {
    while (!m_localBackend.IsDepartureRecorded(aHolder) &&
           m_clock.Now() < aEnd) {
      co_await Sleep(kDeparturePollInterval);
    }
    co_return m_localBackend.IsDepartureRecorded(aHolder);
  }

  asio::awaitable<http::Response> ServeHeartbeat(std::string aBackendId,
                                                 http::Body aBody)
  {
    const TimePoint end = m_clock.Now() + kMaxHeartbeatHold;
    http::Response response;
    const auto heartbeat = m_protocol.ParseHeartbeat(aBackendId, aBody);
    const tl::expected<void, std::string> verdict =
      heartbeat ? CheckHeartbeat(*heartbeat, m_configuredBackend)
                : tl::unexpected(heartbeat.error());
    if (!verdict) {
      co_return RefuseBackendCall(verdict.error());
    }
    const std::string holderBefore = m_localBackend.View().holder();
    const bool isAccepted =
      m_localBackend.OnHeartbeat(*heartbeat, m_clock.Now());
    if (m_localBackend.View().holder() != holderBefore) {
      m_localHandler.OnNewLifetime();
      m_rangeCaller.OnNewLifetime();
    }
    if (isAccepted) {
      m_workQueue.ColdStart().OnHeartbeat(
        heartbeat->m_sequence, heartbeat->m_coldRemaining, m_clock.Now());
    }
    m_workQueue.ColdStart().SetBound(FindColdBound(m_options, FindOwnService()),
                                     m_clock.Now());
    m_localBackend.SetRangeDelivery(FindRangeDelivery());
    m_workQueue.SetSlots(std::max(1U, m_localBackend.View().slots()));
    OnRangesChanged();
    if (heartbeat->m_draining) {
      // The response confirms the drain. The next heartbeat states it again.
      const std::string holder =
        fleet::FormatHolderName({ m_options.m_instance,
                                  heartbeat->m_backendId,
                                  heartbeat->m_startedAtUnixMs });
      const bool isRecorded = co_await WaitUntilDepartureRecorded(holder, end);
      if (!isRecorded) {
        LogWarning("backend",
                   "event=drain-unconfirmed holder={} accepted={} "
                   "leader_age_ms={}",
                   holder,
                   isAccepted,
                   m_directory.TimeSinceLastReply(m_clock.Now()).m_ms);
        response.result(status::service_unavailable);
        co_return response;
      }
    }
    HeartbeatResponse heartbeatResponse;
    if (isAccepted) {
      co_await WaitForRanges(end);
      const bool isNewest =
        m_localBackend.HeartbeatSequence() == heartbeat->m_sequence &&
        m_localBackend.View().started_at_unix_ms() ==
          heartbeat->m_startedAtUnixMs;
      if (isNewest) {
        heartbeatResponse = m_localBackend.MakeHeartbeatResponse(
          m_clock.Now(), [this](const HeartbeatResponse& aResponse) {
            return m_protocol.FormatHeartbeatResponse(aResponse).size() <=
                   m_protocol.MaxHeartbeatResponseBytes();
          });
      }
    }
    response.result(status::ok);
    response.body() = m_protocol.FormatHeartbeatResponse(heartbeatResponse);
    co_return response;
  }

  // Holds the response to a heartbeat back while ranges are on their way, so
  // that they need not wait for the next heartbeat. The validity of the grants
  // still counts from the time at which the heartbeat was sent.
  asio::awaitable<void> WaitForRanges(TimePoint aEnd)
  {
    uint64_t planCount = m_localBackend.AdoptedPlanCount();
    // No ranges are on their way to a zone under evacuation.
    while (m_localBackend.ShouldWaitForRanges(IsServiceKeyed()) &&
           !m_isZoneEvacuated && m_clock.Now() < aEnd) {
      co_await Sleep(kHeartbeatPollInterval);
      if (m_localBackend.AdoptedPlanCount() != planCount) {
        // Ranges have arrived; waits a little longer for those that follow
        // closely.
        planCount = m_localBackend.AdoptedPlanCount();
        aEnd = std::min(aEnd, m_clock.Now() + kNextRangesHold);
      }
    }
  }

  // Returns nullptr if no configuration is known or it lacks the service.
  const wire::ServiceSpec* FindOwnService() const
  {
    const auto& router = m_directory.Router();
    return router == nullptr
             ? nullptr
             : router->FindService(m_localBackend.View().service());
  }

  // Returns nullopt until a configuration is known.
  std::optional<bool> IsServiceKeyed() const
  {
    if (m_directory.Router() == nullptr) {
      return std::nullopt;
    }
    const wire::ServiceSpec* const service = FindOwnService();
    return service != nullptr && service->keyed();
  }

  // Returns nullopt until a configuration with the service is known.
  std::optional<wire::RangeDelivery> FindRangeDelivery() const
  {
    const wire::ServiceSpec* const service = FindOwnService();
    return service == nullptr ? std::nullopt
                              : std::optional(service->range_delivery());
  }

  // Asks a backend server whose service has a bound for cold ones whether it is
  // cold. It may become cold at any moment, and its next heartbeat may be 0.9 s
  // away.
  asio::awaitable<void> CheckColdState()
  {
    while (!m_stopSchedule) {
      co_await Sleep(kColdCheckInterval);
      std::string target = HealthCheckTarget();
      if (m_workQueue.ColdStart().Bound() > 0 && target.starts_with('/') &&
          !m_localBackend.View().holder().empty()) {
        co_await m_localHandler.CheckColdState(*m_healthClient,
                                               std::move(target));
      }
    }
  }

  std::string HealthCheckTarget() const
  {
    const wire::ServiceSpec* const service = FindOwnService();
    return service == nullptr ? "/" : service->health_check_path();
  }

  asio::awaitable<http::Response> ServeMetrics()
  {
    const EntryCounters& counters = m_entryHandler.Counters();
    const ReportedLoad load = m_localHandler.CurrentLoad();
    http::Response response;
    response.result(status::ok);
    std::string text = fmt::format(
      "rattanloft_requests {}\nrattanloft_answered {}\nrattanloft_not_run {}\n"
      "rattanloft_unknown {}\nrattanloft_retries {}\n"
      "rattanloft_backend_running {}\nrattanloft_backend_waiting {}\n"
      "rattanloft_backend_service_ms {}\nrattanloft_configuration_version {}\n"
      "rattanloft_directory_age_ms {}\nrattanloft_quarantine_entries {}\n"
      "rattanloft_backend_request_limit {}\n"
      "rattanloft_backend_heartbeats_refused {}\n"
      "rattanloft_backend_cold {}\n"
      "rattanloft_cold_requests_refused {}\n"
      "rattanloft_zone_evacuated {}\n"
      "rattanloft_late_requests {}\n"
      "rattanloft_planned_ranges {}\n"
      "rattanloft_granted_ranges {}\n"
      "rattanloft_body_window_bytes {}\n"
      "rattanloft_bodies_waiting {}\n"
      "rattanloft_bodies_granted {}\n"
      "rattanloft_bodies_refused {}\n",
      counters.m_requests,
      counters.m_answered,
      counters.m_notRun,
      counters.m_unknown,
      counters.m_retries,
      load.m_runningRequests,
      load.m_waitingRequests,
      load.m_serviceTimeMs,
      m_directory.Router() ? m_directory.Router()->Version() : 0,
      m_directory.TimeSinceLastReply(m_clock.Now()).m_ms,
      m_quarantine.CountLiveEntries(),
      m_workQueue.RateLimit().value_or(0),
      m_refusedBackendCalls,
      m_workQueue.ColdStart().IsLimiting(m_clock.Now()) ? 1 : 0,
      m_workQueue.ColdStart().RefusedCount(),
      m_isZoneEvacuated ? 1 : 0,
      m_lateRequests,
      m_localBackend.PlannedRangeCount(),
      m_localBackend.OfferedRangeCount(m_clock.Now()),
      m_bodyReservations.WindowBytes(),
      m_bodyReservations.WaitingCount(),
      m_grantedBodies,
      m_refusedBodies);
    for (const auto& [reason, count] : counters.m_notRunByReason) {
      text += fmt::format(
        "rattanloft_not_run_by_reason{{reason=\"{}\"}} {}\n", reason, count);
    }
    text += m_endpointSelector.Zones().FormatMetrics();
    text +=
      http::FormatOverloadMetrics(m_limits.Budget(),
                                  { { "callers", m_callerServer.get() },
                                    { "peers", m_peerServer.get() },
                                    { "ready", m_readyServer.get() },
                                    { "announce", m_announceServer.get() },
                                    { "metrics", m_metricsServer.get() } });
    response.body() = std::move(text);
    co_return response;
  }

  void WaitForReload()
  {
    m_reloadSignals.async_wait(
      [this](const boost::system::error_code& aError, int) {
        if (aError) {
          return;
        }
        if (m_options.m_readCoordinators) {
          m_syncClient.SetCoordinators(m_options.m_readCoordinators());
        }
        LogInfo("sidecar", "event=reload");
        WaitForReload();
      });
  }

  asio::awaitable<void> Sleep(Duration aDuration)
  {
    asio::steady_timer timer(m_context,
                             std::chrono::milliseconds(aDuration.m_ms));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }

  asio::awaitable<void> StopServer(http::Server& aServer)
  {
    ++m_serversToStop;
    co_await aServer.Stop();
    --m_serversToStop;
  }

  asio::awaitable<void> WaitForServers(TimePoint aEnd)
  {
    constexpr Duration kStopPollInterval = Milliseconds(50);
    do {
      co_await Sleep(kStopPollInterval);
    } while (m_serversToStop > 0 && m_clock.Now() < aEnd);
  }

  // Fails the readiness checks, then stops the listeners and waits for running
  // requests until the grace period ends.
  asio::awaitable<void> Stop()
  {
    LogInfo("sidecar",
            "event=stop running={} waiting={}",
            m_workQueue.RunningCount(),
            m_workQueue.WaitingCount());
    m_stopSchedule = StopSchedule::Make(m_clock.Now(), m_options.m_stopGrace);
    m_entryHandler.SetStopSchedule(*m_stopSchedule);
    m_syncClient.Stop();
    co_await Sleep(m_stopSchedule->ListenersStopAt() - m_clock.Now());
    asio::co_spawn(m_context, StopServer(*m_callerServer), asio::detached);
    asio::co_spawn(m_context, StopServer(*m_peerServer), asio::detached);
    co_await WaitForServers(m_stopSchedule->WaitsEndAt());
    if (m_serversToStop > 0) {
      LogInfo("sidecar",
              "event=stop-ends-waits running={}",
              m_runningRequests.Count());
      m_runningRequests.CancelAll();
      co_await WaitForServers(m_stopSchedule->ProcessEndsAt());
    }
    LogInfo("sidecar", "event=stopped cut_off={}", m_serversToStop);
    m_context.stop();
  }

  SidecarOptions m_options;
  const BackendProtocol& m_protocol;
  SidecarLimits m_limits;
  BootClock m_clock;
  asio::io_context m_context{ 1 };
  asio::signal_set m_stopSignals;
  asio::signal_set m_reloadSignals;
  asio::steady_timer m_tickTimer;
  ConfiguredBackend m_configuredBackend;
  LocalBackend m_localBackend;
  WorkQueue m_workQueue;
  FleetDirectory m_directory;
  EndpointSelector m_endpointSelector;
  LoadCounter m_loadCounter;
  std::unique_ptr<http::Client> m_peerClient;
  std::unique_ptr<http::Client> m_backendClient;
  std::unique_ptr<http::Client> m_healthClient;
  std::unique_ptr<http::Client> m_controlClient;
  BackendQuarantine m_quarantine;
  BackendHandler m_localHandler;
  SyncClient m_syncClient;
  EntryHandler m_entryHandler;
  RangeCaller m_rangeCaller;
  RunningRequests m_runningRequests;
  std::unique_ptr<http::Server> m_callerServer;
  std::unique_ptr<http::Server> m_peerServer;
  std::unique_ptr<http::Server> m_readyServer;
  std::unique_ptr<http::Server> m_announceServer;
  std::unique_ptr<http::Server> m_metricsServer;
  uint64_t m_endpointsRevision = 0;
  uint64_t m_endpointsTerm = 0;
  uint64_t m_refusedBackendCalls = 0;
  TransitDelay m_transitDelay;
  BodyReservations m_bodyReservations;
  // Calls of peers that wait for a reservation, by its id.
  std::map<BodyReservations::Id, std::shared_ptr<asio::steady_timer>>
    m_reservationTimers;
  uint64_t m_grantedBodies = 0;
  uint64_t m_refusedBodies = 0;
  // Requests of peers whose deadline had passed when they arrived.
  uint64_t m_lateRequests = 0;
  int m_serversToStop = 0;
  bool m_isZoneEvacuated = false;
  // Set once the process was told to stop.
  std::optional<StopSchedule> m_stopSchedule;
};

} // namespace

double
FindColdBound(const SidecarOptions& aOptions, const wire::ServiceSpec* aService)
{
  return aService == nullptr || aService->cold_requests_per_second() <= 0
           ? 0
           : aService->cold_requests_per_second() * aOptions.m_coldRateFactor +
               aOptions.m_coldExtraRequests;
}

tl::expected<std::unique_ptr<Sidecar>, SidecarError>
Sidecar::Make(SidecarOptions aOptions, const BackendProtocol& aProtocol)
{
  static const BootClock sClock;
  auto limits = SidecarLimits::Make(aOptions, sClock);
  if (!limits) {
    return tl::unexpected(limits.error());
  }
  auto sidecar = std::make_unique<SidecarImpl>(
    std::move(aOptions), aProtocol, std::move(*limits));
  if (auto opened = sidecar->OpenListeners(); !opened) {
    return tl::unexpected(opened.error());
  }
  return sidecar;
}

} // namespace rattanloft::sidecar
