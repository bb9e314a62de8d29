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

// Grants to be held by the backend server.
struct GrantList
{
  std::vector<routing::NodeAgent::OwnShard> m_shards;
  TimePoint m_expiresAt;
};

// Watches the health of the backend server beside this node and passes it its
// grants. Owned by the control thread.
class BackendMonitor
{
public:
  using HealthCallback = std::function<void(bool aHealthy)>;

  BackendMonitor(boost::asio::io_context& aContext,
                 const Clock& aClock,
                 HealthCallback aCallback);

  // Starts probing. Runs until the process ends.
  void Start();
  void SetAnnouncement(const Announcement& aAnnouncement);

  // Sends the whole list if the shards differ from those sent before, else only
  // their new expiry. False if the backend server did not confirm. Nothing is
  // sent to a backend server that does not verify tokens.
  boost::asio::awaitable<bool> PutGrants(GrantList aGrants);
  // Tells the backend server that an operator drains it, or has undone that.
  // False if this incarnation has not confirmed.
  boost::asio::awaitable<bool> SendOperatorDrain(bool aDrain);

private:
  boost::asio::awaitable<void> ProbeLoop();
  boost::asio::awaitable<bool> ProbeOnce();
  boost::asio::awaitable<bool> SendProbe();
  boost::asio::awaitable<unsigned> SendGrants(std::string aBody);
  void SetHealthy(bool aHealthy);

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  HealthCallback m_healthCallback;
  std::unique_ptr<http::Client> m_client;
  std::optional<Announcement> m_announcement;
  bool m_healthy = true;
  TimePoint m_lastAnswerAt;
  uint64_t m_grantRevision = 0;
  std::vector<routing::NodeAgent::OwnShard> m_sentShards;
  bool m_grantsConfirmed = false;
};

} // namespace rattanloft::node
