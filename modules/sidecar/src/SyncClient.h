#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "FleetDirectory.h"
#include "LocalBackend.h"
#include "WorkQueue.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/http/Client.h"
#include "rattanloft/sidecar/Sidecar.h"

namespace rattanloft::sidecar {

// Counts requests for ranges of neighbouring keys between two reports.
class LoadCounter
{
public:
  void CountRequest(const std::string& aService, uint32_t aKey);
  void MoveCountsTo(wire::FleetSyncRequest& aRequest);

private:
  std::map<std::pair<std::string, uint32_t>, uint32_t> m_counts;
};

// Keeps this sidecar in step with the leading coordinator: reports the backend
// server, and adopts leases, plans, configuration, ranges and endpoints. A call
// that is held by the leader is overtaken by a new one when there is news to
// report. Traffic thread.
class SyncClient
{
public:
  // The arguments outlive the client.
  SyncClient(boost::asio::io_context& aContext,
             const Clock& aClock,
             const SidecarOptions& aOptions,
             http::Client& aControlClient,
             LocalBackend& aLocalBackend,
             FleetDirectory& aDirectory,
             const WorkQueue& aWorkQueue,
             LoadCounter& aLoadCounter);

  void Start();
  // Something should be reported at once.
  void SyncIfChanged();
  // Tells the leader that this sidecar stops.
  void Stop();
  void SetCoordinators(std::vector<std::string> aAddresses);
  // Called after a reply was adopted.
  void SetReplyCallback(std::function<void()> aCallback)
  {
    m_onReplyApplied = std::move(aCallback);
  }

private:
  boost::asio::awaitable<void> RunLoop();
  boost::asio::awaitable<void> RunCall(std::string aAddress,
                                       uint64_t aCallNumber);
  wire::FleetSyncRequest MakeRequest();
  void OnLeaderReply(const wire::FleetSyncReply& aReply,
                     const wire::FleetSyncRequest& aRequest,
                     TimePoint aSentAt);
  void OnCallFailed(const std::string& aAddress, std::string_view aReason);
  void UpdateCoordinators(const wire::FleetSyncReply& aReply);
  std::string NextCoordinator();

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  const SidecarOptions& m_options;
  http::Client& m_controlClient;
  LocalBackend& m_localBackend;
  FleetDirectory& m_directory;
  const WorkQueue& m_workQueue;
  LoadCounter& m_loadCounter;
  std::function<void()> m_onReplyApplied;
  boost::asio::steady_timer m_wakeTimer;
  uint64_t m_session;
  uint64_t m_sequence = 0;
  uint64_t m_reportedRevision = 0;
  std::string m_leader;
  std::vector<std::string> m_coordinatorAddresses;
  size_t m_nextCoordinator = 0;
  // The newest call; an earlier one no longer drives the loop.
  uint64_t m_newestCall = 0;
  bool m_callPending = false;
  bool m_stopping = false;
  bool m_leaderReached = false;
  bool m_backOff = false;
};

} // namespace rattanloft::sidecar
