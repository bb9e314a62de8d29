#include "SyncClient.h"

#include <algorithm>
#include <chrono>

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

// The leader holds a call for 500 ms; more than that means a silent path.
constexpr Duration kCallTimeout = Milliseconds(850);
// Pause after a failed call, before the next coordinator is asked.
constexpr Duration kFailurePause = Milliseconds(60);
// Pause between two calls, which bounds their rate while much changes.
constexpr Duration kLeastPause = Milliseconds(15);
constexpr size_t kMaxContacts = 32;
constexpr size_t kMaxCounted = 1024;

} // namespace

void
LoadCounter::Count(const std::string& aService, uint32_t aKey)
{
  if (m_counts.size() < kMaxCounted) {
    ++m_counts[{ aService, aKey / fleet::kKeysPerBucket }];
  }
}

void
LoadCounter::MoveTo(wire::FleetSyncRequest& aRequest)
{
  for (const auto& [place, count] : m_counts) {
    wire::BucketLoad& load = *aRequest.add_loads();
    load.set_service(place.first);
    load.set_bucket(place.second);
    load.set_requests(count);
  }
  m_counts.clear();
}

SyncClient::SyncClient(asio::io_context& aContext,
                       const Clock& aClock,
                       const SidecarOptions& aOptions,
                       http::Client& aClient,
                       BackendAgent& aAgent,
                       Directory& aDirectory,
                       const WorkQueue& aQueue,
                       LoadCounter& aLoads)
  : m_context(aContext)
  , m_clock(aClock)
  , m_options(aOptions)
  , m_client(aClient)
  , m_agent(aAgent)
  , m_directory(aDirectory)
  , m_queue(aQueue)
  , m_loads(aLoads)
  , m_pause(aContext)
  , m_session(RandomId())
  , m_contacts(aOptions.m_coordinators)
{
}

void
SyncClient::Start()
{
  asio::co_spawn(m_context, Run(), asio::detached);
}

void
SyncClient::SetCoordinators(std::vector<std::string> aAddresses)
{
  m_contacts = std::move(aAddresses);
}

void
SyncClient::Wake()
{
  if (m_agent.Revision() == m_reportedRevision && !m_stopping) {
    return;
  }
  // Replaces the call that the leader holds; the loop starts the next one.
  m_callOut = false;
  m_pause.cancel();
}

void
SyncClient::Stop()
{
  m_stopping = true;
  Wake();
}

std::string
SyncClient::NextAddress()
{
  if (!m_leader.empty()) {
    return m_leader;
  }
  if (m_contacts.empty()) {
    return {};
  }
  return m_contacts[m_turn++ % m_contacts.size()];
}

asio::awaitable<void>
SyncClient::Run()
{
  while (true) {
    const std::string address = NextAddress();
    if (!address.empty()) {
      m_callOut = true;
      const uint64_t turn = ++m_currentCall;
      asio::co_spawn(m_context, Call(address, turn), asio::detached);
    }
    while (m_callOut || address.empty()) {
      m_pause.expires_after(std::chrono::milliseconds(kCallTimeout.m_ms));
      co_await m_pause.async_wait(asio::as_tuple(asio::use_awaitable));
      if (address.empty()) {
        break;
      }
    }
    const Duration rest = m_paused ? kFailurePause : kLeastPause;
    m_paused = false;
    asio::steady_timer pause(m_context, std::chrono::milliseconds(rest.m_ms));
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
  request.set_configuration_version(
    m_directory.Router() ? m_directory.Router()->Version() : 0);
  request.set_ranges_index(m_directory.RangesIndex());
  request.set_endpoints_revision(m_directory.EndpointsRevision());
  request.set_endpoints_term(m_directory.EndpointsTerm());
  m_agent.Report(request, m_clock.Now());
  m_reportedRevision = m_agent.Revision();
  request.set_service_time_ms(
    static_cast<uint32_t>(m_queue.ServiceTime().m_ms));
  m_loads.MoveTo(request);
  return request;
}

asio::awaitable<void>
SyncClient::Call(std::string aAddress, uint64_t aTurn)
{
  const wire::FleetSyncRequest sync = MakeRequest();
  http::Request request;
  request.method(boost::beast::http::verb::post);
  request.target({ fleet::kSyncPath.data(), fleet::kSyncPath.size() });
  request.body() = sync.SerializeAsString();
  const TimePoint sent = m_clock.Now();
  tl::expected<http::Response, http::HttpError> response =
    co_await m_client.Exchange(aAddress, std::move(request), kCallTimeout);
  wire::FleetSyncReply reply;
  if (!response) {
    if (aTurn == m_currentCall) {
      OnFailure(aAddress, response.error().m_message);
    }
  } else if (!reply.ParseFromString(response->body())) {
    OnFailure(aAddress, "unreadable reply");
  } else {
    AddContacts(reply);
    if (reply.leading()) {
      OnReply(reply, sync, sent);
    } else if (aTurn == m_currentCall) {
      const bool hint =
        !reply.leader_address().empty() && reply.leader_address() != aAddress;
      m_leader = hint ? reply.leader_address() : std::string();
      m_paused = !hint;
    }
  }
  if (aTurn == m_currentCall) {
    m_callOut = false;
    m_pause.cancel();
  }
}

void
SyncClient::OnReply(const wire::FleetSyncReply& aReply,
                    const wire::FleetSyncRequest& aRequest,
                    TimePoint aSent)
{
  if (!m_connected) {
    m_connected = true;
    LogInfo("sync",
            "event=regained term={} sequence={}",
            aReply.term(),
            aReply.sequence());
  }
  // A reply to a call that a newer one replaced has no content.
  if (aReply.term() == 0) {
    return;
  }
  m_directory.Adopt(aReply, m_clock.Now());
  m_agent.OnPlan(aReply, aSent);
  m_agent.OnHandoversTaken(aRequest);
  if (m_adopted) {
    m_adopted();
  }
  Wake();
}

void
SyncClient::OnFailure(const std::string& aAddress, std::string_view aReason)
{
  m_leader.clear();
  m_paused = true;
  if (m_connected) {
    m_connected = false;
    LogWarning(
      "sync", "event=lost coordinator={} reason=\"{}\"", aAddress, aReason);
  }
  if (m_options.m_readCoordinators &&
      m_turn % std::max<size_t>(m_contacts.size(), 1) == 0) {
    for (std::string& seed : m_options.m_readCoordinators()) {
      if (std::ranges::find(m_contacts, seed) == m_contacts.end() &&
          m_contacts.size() < kMaxContacts) {
        m_contacts.push_back(std::move(seed));
      }
    }
  }
}

void
SyncClient::AddContacts(const wire::FleetSyncReply& aReply)
{
  if (aReply.members().empty() || !aReply.leading()) {
    return;
  }
  m_contacts.assign(aReply.members().begin(), aReply.members().end());
}

} // namespace rattanloft::sidecar
