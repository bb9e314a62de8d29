#include "BackendMonitor.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include "rattanloft/base/Log.h"

namespace rattanloft::node {

namespace {

constexpr Duration kProbeInterval = Milliseconds(500);
constexpr Duration kProbeTimeout = Milliseconds(500);
// A failed probe is repeated after this short delay. With the full interval in
// between, a frozen backend server was noticed only after 2.1 s.
constexpr Duration kProbeRetryDelay = Milliseconds(10);
// A backend server that has answered no probe for this long is unhealthy and
// loses its shards.
constexpr Duration kMaxSilence = Milliseconds(1500);
constexpr Duration kBackendCallTimeout = Milliseconds(500);
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusConflict = 409;

http::Request
MakeRequest(const char* aMethod, const char* aTarget, std::string aBody)
{
  http::Request request;
  request.version(11);
  request.method_string(aMethod);
  request.target(aTarget);
  if (!aBody.empty()) {
    request.set("Content-Type", "application/json");
  }
  request.body() = std::move(aBody);
  request.prepare_payload();
  return request;
}

std::string
FormatFullGrantList(uint64_t aRevision, const GrantList& aGrants)
{
  fmt::memory_buffer out;
  fmt::format_to(std::back_inserter(out),
                 R"({{"revision":{},"expires_ms":{},"grants":[)",
                 aRevision,
                 aGrants.m_expiresAt.m_ms);
  const char* separator = "";
  for (const auto& shard : aGrants.m_shards) {
    fmt::format_to(std::back_inserter(out),
                   "{}[{},{}]",
                   separator,
                   shard.m_shard,
                   shard.m_epoch);
    separator = ",";
  }
  fmt::format_to(std::back_inserter(out), "]}}");
  return fmt::to_string(out);
}

} // namespace

BackendMonitor::BackendMonitor(boost::asio::io_context& aContext,
                               const Clock& aClock,
                               HealthCallback aCallback)
  : m_context(aContext)
  , m_clock(aClock)
  , m_healthCallback(std::move(aCallback))
  , m_client(http::Client::Make(aContext, {}))
{
}

void
BackendMonitor::Start()
{
  boost::asio::co_spawn(m_context, ProbeLoop(), boost::asio::detached);
}

void
BackendMonitor::SetAnnouncement(const Announcement& aAnnouncement)
{
  const bool isNew =
    !m_announcement || m_announcement->m_backend.incarnation() !=
                         aAnnouncement.m_backend.incarnation();
  m_announcement = aAnnouncement;
  if (isNew) {
    m_lastReplyAt = m_clock.Now();
    m_sentShards.clear();
    m_grantsConfirmed = false;
    SetHealthy(true);
  }
}

boost::asio::awaitable<bool>
BackendMonitor::PutGrants(GrantList aGrants)
{
  if (!m_announcement || !m_announcement->m_backend.verifies_tokens()) {
    co_return true;
  }
  const uint64_t incarnation = m_announcement->m_backend.incarnation();
  if (m_grantsConfirmed && m_sentShards == aGrants.m_shards) {
    const unsigned status = co_await SendGrantRequest(
      fmt::format(R"({{"revision":{},"expires_ms":{}}})",
                  m_grantRevision,
                  aGrants.m_expiresAt.m_ms));
    if (status != kStatusConflict) {
      co_return status == kStatusOk;
    }
  }
  // The revision is at least the clock time, so that it also grows across
  // restarts of this node.
  m_grantRevision = std::max<uint64_t>(
    m_grantRevision + 1, static_cast<uint64_t>(m_clock.Now().m_ms));
  m_grantsConfirmed = false;
  m_sentShards = aGrants.m_shards;
  const unsigned status =
    co_await SendGrantRequest(FormatFullGrantList(m_grantRevision, aGrants));
  m_grantsConfirmed = status == kStatusOk && m_announcement &&
                      m_announcement->m_backend.incarnation() == incarnation;
  if (!m_grantsConfirmed) {
    LogWarning("lease",
               "The backend server did not confirm its grants. status={}",
               status);
  }
  co_return m_grantsConfirmed;
}

boost::asio::awaitable<bool>
BackendMonitor::SendOperatorDrain(bool aDrain)
{
  if (!m_announcement) {
    co_return false;
  }
  const std::string address = m_announcement->m_address;
  const uint64_t incarnation = m_announcement->m_backend.incarnation();
  const char* method = aDrain ? "POST" : "DELETE";
  http::Request request = MakeRequest(method, "/rattanloft/drain", "");
  const auto reply = co_await m_client->Exchange(
    address, std::move(request), kBackendCallTimeout);
  co_return reply && reply->result_int() == kStatusOk &&
    m_announcement->m_backend.incarnation() == incarnation;
}

boost::asio::awaitable<void>
BackendMonitor::ProbeLoop()
{
  Duration nextDelay = kProbeInterval;
  while (!m_context.stopped()) {
    co_await Sleep(m_context, nextDelay);
    bool answered = true;
    if (m_announcement) {
      answered = co_await ProbeOnce();
    }
    nextDelay = answered || !m_healthy ? kProbeInterval : kProbeRetryDelay;
  }
}

boost::asio::awaitable<bool>
BackendMonitor::ProbeOnce()
{
  // GCC 12 compiles a co_await inside a condition with an else branch to a
  // trap, so the result is stored first.
  const bool answered = co_await SendProbe();
  if (answered) {
    m_lastReplyAt = m_clock.Now();
    SetHealthy(true);
  } else if (m_clock.Now() - m_lastReplyAt >= kMaxSilence) {
    SetHealthy(false);
  }
  co_return answered;
}

// Uses a new connection, because an idle one may have gone silent although the
// backend server is healthy.
boost::asio::awaitable<bool>
BackendMonitor::SendProbe()
{
  const std::string address = m_announcement->m_address;
  m_client->CloseIdleConnections(address);
  const auto reply = co_await m_client->Exchange(
    address, MakeRequest("GET", "/rattanloft/health", ""), kProbeTimeout);
  co_return reply && reply->result_int() == kStatusOk;
}

boost::asio::awaitable<unsigned>
BackendMonitor::SendGrantRequest(std::string aBody)
{
  const auto reply = co_await m_client->Exchange(
    m_announcement->m_address,
    MakeRequest("PUT", "/rattanloft/grants", std::move(aBody)),
    kBackendCallTimeout);
  co_return reply ? reply->result_int() : 0;
}

void
BackendMonitor::SetHealthy(bool aHealthy)
{
  if (m_healthy == aHealthy) {
    return;
  }
  m_healthy = aHealthy;
  LogInfo("lease",
          "The backend server is {}. address={}",
          aHealthy ? "healthy" : "unhealthy",
          m_announcement->m_address);
  m_healthCallback(aHealthy);
}

} // namespace rattanloft::node
