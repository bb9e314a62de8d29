#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Announcement.h"
#include "AsyncCondition.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/http/Client.h"
#include "rattanloft/routing/NodeAgent.h"

namespace rattanloft::node {

// The shards that the backend server may serve, and the end of their lease.
struct GrantList
{
  std::vector<routing::NodeAgent::OwnedShard> m_shards;
  TimePoint m_expiresAt;
};

// Probes the health of the backend server beside this node and sends it its
// grants. Owned by the control thread.
class BackendMonitor
{
public:
  // Called on each change of the health state.
  using HealthCallback = std::function<void(bool aHealthy)>;

  BackendMonitor(boost::asio::io_context& aContext,
                 const Clock& aClock,
                 HealthCallback aCallback);

  // Starts the health probes. They go on until the process ends.
  void Start();
  // Adopts an announcement. A new incarnation counts as healthy and has no
  // grants.
  void SetAnnouncement(const Announcement& aAnnouncement);

  // Sends the full grant list if its shards differ from the last list, else
  // only the new expiry time. False if the backend server did not confirm.
  // Completes with true at once if the backend server does not verify tokens.
  boost::asio::awaitable<bool> PutGrants(GrantList aGrants);
  // Tells the backend server whether an operator drains it. False if the
  // current incarnation did not confirm.
  boost::asio::awaitable<bool> SendOperatorDrain(bool aDrain);

private:
  boost::asio::awaitable<void> ProbeLoop();
  // Sends one probe and updates the health state. True if it was answered.
  boost::asio::awaitable<bool> ProbeOnce();
  // True if the backend server has answered the probe with 200.
  boost::asio::awaitable<bool> SendProbe();
  // Returns the HTTP status of the answer, 0 without an answer.
  boost::asio::awaitable<unsigned> SendGrantRequest(std::string aBody);
  void SetHealthy(bool aHealthy);

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  HealthCallback m_healthCallback;
  std::unique_ptr<http::Client> m_client;
  std::optional<Announcement> m_announcement;
  bool m_healthy = true;
  // When the last probe was answered, or the incarnation was announced.
  TimePoint m_lastReplyAt;
  // Revision of the last full grant list.
  uint64_t m_grantRevision = 0;
  // Shards of the last full grant list, and whether the backend server has
  // confirmed it.
  std::vector<routing::NodeAgent::OwnedShard> m_sentShards;
  bool m_grantsConfirmed = false;
};

} // namespace rattanloft::node
