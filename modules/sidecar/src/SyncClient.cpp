#include "SyncClient.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "rattanloft/base/Log.h"
#include "rattanloft/base/Random.h"
#include "rattanloft/fleet/InternalPaths.h"
#include "rattanloft/fleet/RangePlacer.h"

namespace rattanloft::sidecar {

namespace {

namespace asio = boost::asio;

// The leader holds a call without news for 500 ms. After this time, the network
// path or the leader may be down, or the link is slow. Another coordinator is
// then called, while the reply is still awaited.
constexpr Duration kMaxLeaderSilence = Milliseconds(850);
// The same for a coordinator that is not known to lead or did not reply before.
constexpr Duration kMaxSearchSilence = Milliseconds(250);
// A call ends after this time. Shorter than a lease, so that its reply still
// renews one.
constexpr Duration kCallTimeout = Milliseconds(2500);
// Calls that may await the reply of one coordinator. Limits the load on one
// that is slow because it is overloaded.
constexpr int kMaxOpenCalls = 3;
// Delay after a failed call before the next coordinator is called.
constexpr Duration kFailureRetryDelay = Milliseconds(60);
// Delay between two calls. Limits their rate while the state changes often.
constexpr Duration kMinCallPause = Milliseconds(15);
constexpr Duration kIdleTimeout = Seconds(20);
// Two heartbeats of a backend server, which show whether it is cold.
constexpr uint32_t kPossiblyColdMs = 1740;
constexpr size_t kMaxCoordinatorAddresses = 32;
// Once this many buckets have counts, further requests are not counted until
// the next report.
constexpr size_t kMaxCountedBuckets = 1024;

} // namespace

void
LoadCounter::CountRequest(const std::string& aService, uint32_t aKey)
{
  if (m_counts.size() < kMaxCountedBuckets) {
    ++m_counts[{ aService, aKey / fleet::kKeysPerBucket }];
  }
}

void
LoadCounter::MoveCountsTo(wire::FleetSyncRequest& aRequest)
{
  for (const auto& [bucket, count] : m_counts) {
    wire::BucketLoad& load = *aRequest.add_loads();
    load.set_service(bucket.first);
    load.set_bucket(bucket.second);
    load.set_requests(count);
  }
  m_counts.clear();
}

http::ClientOptions
SyncClient::MakeClientOptions()
{
  http::ClientOptions options;
  // A slow link delays a new connection as much as a reply.
  options.m_connectTimeout = kCallTimeout;
  options.m_idleTimeout = kIdleTimeout;
  return options;
}

SyncClient::SyncClient(asio::io_context& aContext,
                       const Clock& aClock,
                       const SidecarOptions& aOptions,
                       http::Client& aControlClient,
                       LocalBackend& aLocalBackend,
                       FleetDirectory& aDirectory,
                       const WorkQueue& aWorkQueue,
                       LoadCounter& aLoadCounter,
                       BackendQuarantine& aQuarantine)
  : m_context(aContext)
  , m_clock(aClock)
  , m_options(aOptions)
  , m_controlClient(aControlClient)
  , m_localBackend(aLocalBackend)
  , m_directory(aDirectory)
  , m_workQueue(aWorkQueue)
  , m_loadCounter(aLoadCounter)
  , m_quarantine(aQuarantine)
  , m_wakeTimer(aContext)
  , m_session(RandomId())
  , m_coordinatorAddresses(aOptions.m_coordinators)
{
}

void
SyncClient::Start()
{
  asio::co_spawn(m_context, RunLoop(), asio::detached);
}

void
SyncClient::SetCoordinators(std::vector<std::string> aAddresses)
{
  m_coordinatorAddresses = std::move(aAddresses);
}

void
SyncClient::SyncIfChanged()
{
  if (m_localBackend.ReportRevision() == m_reportedRevision &&
      m_stopping == m_reportedStopping &&
      !m_quarantine.HasUnreportedChanges()) {
    return;
  }
  // Stops waiting for the call that the leader holds; the loop starts the next
  // one.
  EndWait();
}

void
SyncClient::EndWait()
{
  m_callPending = false;
  m_wakeTimer.cancel();
}

void
SyncClient::Stop()
{
  m_stopping = true;
  SyncIfChanged();
}

std::string
SyncClient::NextCoordinator()
{
  if (!m_leaderAddress.empty()) {
    return m_leaderAddress;
  }
  if (m_coordinatorAddresses.empty()) {
    return {};
  }
  return m_coordinatorAddresses[m_nextCoordinator++ %
                                m_coordinatorAddresses.size()];
}

int
SyncClient::CountUnansweredCalls(const std::string& aAddress) const
{
  const auto found = m_unansweredCalls.find(aAddress);
  return found == m_unansweredCalls.end() ? 0 : found->second;
}

asio::awaitable<void>
SyncClient::RunLoop()
{
  while (true) {
    const std::string address = NextCoordinator();
    const bool mayCall =
      !address.empty() && CountUnansweredCalls(address) < kMaxOpenCalls;
    // Calls that follow each other closely must not extend the wait for the
    // first one.
    const TimePoint startedAt = m_leaderReached
                                  ? m_unansweredSince.value_or(m_clock.Now())
                                  : m_clock.Now();
    const Duration searchSilence =
      address == m_leaderAddress && CountUnansweredCalls(address) == 0
        ? kMaxLeaderSilence
        : kMaxSearchSilence;
    m_callPending = true;
    if (mayCall) {
      const uint64_t callNumber = ++m_newestCallNumber;
      asio::co_spawn(m_context, RunCall(address, callNumber), asio::detached);
    }
    while (m_callPending) {
      const Duration maxSilence =
        m_leaderReached ? kMaxLeaderSilence : searchSilence;
      const Duration left = startedAt + maxSilence - m_clock.Now();
      if (left <= Milliseconds(0)) {
        m_callPending = false;
        m_searching = true;
        OnCallFailed(address, "no reply yet");
        break;
      }
      m_wakeTimer.expires_after(std::chrono::milliseconds(left.m_ms));
      co_await m_wakeTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    const Duration pauseTime = m_backOff ? kFailureRetryDelay : kMinCallPause;
    m_backOff = false;
    asio::steady_timer pause(m_context,
                             std::chrono::milliseconds(pauseTime.m_ms));
    co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

wire::FleetSyncRequest
SyncClient::MakeRequest()
{
  wire::FleetSyncRequest request;
  request.set_instance(m_options.m_instance);
  request.set_session(m_session);
  request.set_sequence(++m_sequence);
  request.set_zone(m_options.m_zone);
  request.set_peer_address(m_options.m_peerAddress);
  request.set_stopping(m_stopping);
  m_reportedStopping = m_stopping;
  request.set_configuration_version(
    m_directory.Router() ? m_directory.Router()->Version() : 0);
  request.set_ranges_index(m_directory.RangesIndex());
  request.set_endpoints_revision(m_directory.EndpointsRevision());
  request.set_endpoints_term(m_directory.EndpointsTerm());
  request.set_accepts_endpoint_changes(true);
  request.set_accepts_configuration_changes(
    m_directory.AcceptsConfigurationChanges());
  request.set_accepts_evacuations(true);
  for (const std::string& zone : m_directory.EvacuatedZones()) {
    request.add_evacuated_zones(zone);
  }
  m_localBackend.FillReport(request, m_clock.Now());
  if (m_workQueue.ColdStart().IsLimiting(m_clock.Now())) {
    // Others count it as cold as well while this is not known.
    wire::BackendView& backend = *request.mutable_backend();
    backend.set_cold_remaining_ms(
      std::max(backend.cold_remaining_ms(), kPossiblyColdMs));
  }
  m_reportedRevision = m_localBackend.ReportRevision();
  request.set_service_time_ms(
    static_cast<uint32_t>(m_workQueue.MeanServiceTime().m_ms));
  request.set_request_limit(m_workQueue.RateLimit().value_or(0));
  m_loadCounter.MoveCountsTo(request);
  m_quarantine.FillRequest(request);
  return request;
}

asio::awaitable<void>
SyncClient::RunCall(std::string aAddress, uint64_t aCallNumber)
{
  const wire::FleetSyncRequest syncRequest = MakeRequest();
  http::Request request;
  request.method(boost::beast::http::verb::post);
  request.target({ fleet::kSyncPath.data(), fleet::kSyncPath.size() });
  request.body() = syncRequest.SerializeAsString();
  const TimePoint sentAt = m_clock.Now();
  ++m_unansweredCalls[aAddress];
  if (!m_unansweredSince) {
    m_unansweredSince = sentAt;
  }
  tl::expected<http::Response, http::HttpError> response =
    co_await m_controlClient.Exchange(
      aAddress, std::move(request), kCallTimeout);
  if (--m_unansweredCalls[aAddress] == 0) {
    m_unansweredCalls.erase(aAddress);
  }
  const Duration callTime = m_clock.Now() - sentAt;
  wire::FleetSyncReply reply;
  if (!response) {
    LogInfo("sync",
            "event=call-failed sequence={} ms={} superseded={} reason=\"{}\"",
            syncRequest.sequence(),
            callTime.m_ms,
            aCallNumber != m_newestCallNumber,
            response.error().m_message);
    if (aCallNumber == m_newestCallNumber) {
      OnCallFailed(aAddress, response.error().m_message);
    }
  } else if (!http::ParseMessage(response->body(), reply)) {
    OnCallFailed(aAddress, "sync reply is not a valid FleetSyncReply message");
  } else {
    UpdateCoordinators(reply);
    if (reply.has_configuration() || reply.has_configuration_changes()) {
      LogInfo("sync",
              "event=configuration-received sequence={} version={} whole={} "
              "bytes={} endpoints={} ms={} superseded={}",
              syncRequest.sequence(),
              reply.has_configuration()
                ? reply.configuration().version()
                : reply.configuration_changes().version(),
              reply.has_configuration(),
              response->body().size(),
              reply.endpoints_size(),
              callTime.m_ms,
              aCallNumber != m_newestCallNumber);
    }
    if (reply.leading()) {
      OnLeaderReply(reply, syncRequest, sentAt);
      if (m_leaderAddress.empty()) {
        m_leaderAddress = aAddress;
      }
      if (reply.term() != 0 && std::exchange(m_searching, false)) {
        // The connection of this call is faster than a new one.
        EndWait();
      }
    } else if (aCallNumber == m_newestCallNumber) {
      const bool hasLeaderHint =
        !reply.leader_address().empty() && reply.leader_address() != aAddress;
      m_leaderAddress = hasLeaderHint ? reply.leader_address() : std::string();
      m_backOff = !hasLeaderHint;
    }
  }
  if (aCallNumber == m_newestCallNumber) {
    EndWait();
  }
}

void
SyncClient::OnLeaderReply(const wire::FleetSyncReply& aReply,
                          const wire::FleetSyncRequest& aRequest,
                          TimePoint aSentAt)
{
  m_unansweredSince.reset();
  if (!m_leaderReached) {
    m_leaderReached = true;
    LogInfo("sync",
            "event=regained term={} sequence={}",
            aReply.term(),
            aReply.sequence());
  }
  // A reply to a call that was superseded by a newer one has no content.
  if (aReply.term() == 0) {
    return;
  }
  m_directory.ApplyReply(aReply, aSentAt);
  m_localBackend.OnSyncReply(aReply, aSentAt);
  m_localBackend.OnReportDelivered(aRequest);
  m_quarantine.OnLeaderReply(aReply);
  if (m_onReplyApplied) {
    m_onReplyApplied();
  }
  SyncIfChanged();
}

void
SyncClient::OnCallFailed(const std::string& aAddress, std::string_view aReason)
{
  m_leaderAddress.clear();
  m_unansweredSince.reset();
  m_backOff = true;
  if (m_leaderReached) {
    m_leaderReached = false;
    LogWarning(
      "sync", "event=lost coordinator={} reason=\"{}\"", aAddress, aReason);
  }
  if (m_options.m_readCoordinators &&
      m_nextCoordinator % std::max<size_t>(m_coordinatorAddresses.size(), 1) ==
        0) {
    for (std::string& configured : m_options.m_readCoordinators()) {
      if (std::ranges::find(m_coordinatorAddresses, configured) ==
            m_coordinatorAddresses.end() &&
          m_coordinatorAddresses.size() < kMaxCoordinatorAddresses) {
        m_coordinatorAddresses.push_back(std::move(configured));
      }
    }
  }
}

void
SyncClient::UpdateCoordinators(const wire::FleetSyncReply& aReply)
{
  if (aReply.members().empty() || !aReply.leading()) {
    return;
  }
  m_coordinatorAddresses.assign(aReply.members().begin(),
                                aReply.members().end());
}

} // namespace rattanloft::sidecar
