#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "BackendQuarantine.h"
#include "FleetDirectory.h"
#include "LocalBackend.h"
#include "WorkQueue.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/http/Client.h"
#include "rattanloft/sidecar/Sidecar.h"

namespace rattanloft::sidecar {

// Counts the requests for each bucket of neighbouring keys between two reports.
class LoadCounter
{
public:
  void CountRequest(const std::string& aService, uint32_t aKey);
  // Adds the counts to the request and resets them.
  void MoveCountsTo(wire::FleetSyncRequest& aRequest);

private:
  std::map<std::pair<std::string, uint32_t>, uint32_t> m_counts;
};

// Keeps this sidecar synchronized with the leading coordinator by long polling:
// reports the state of the backend server, and applies leases, plans,
// configuration, ranges and endpoints from the replies. While the leader holds
// a call, a new one supersedes it if there are changes to report. Used on the
// traffic thread.
class SyncClient
{
public:
  // Options of the client that the calls are to be sent with.
  static http::ClientOptions MakeClientOptions();

  // All references must outlive the client.
  SyncClient(boost::asio::io_context& aContext,
             const Clock& aClock,
             const SidecarOptions& aOptions,
             http::Client& aControlClient,
             LocalBackend& aLocalBackend,
             FleetDirectory& aDirectory,
             const WorkQueue& aWorkQueue,
             LoadCounter& aLoadCounter,
             BackendQuarantine& aQuarantine);

  // Starts the sync loop, which runs until the io_context stops.
  void Start();
  // Starts a new call at once if there is an unreported change of the backend
  // server, or that this sidecar is stopping.
  void SyncIfChanged();
  // Reports to the leader that this sidecar is stopping.
  void Stop();
  // Replaces the addresses of the coordinators to call.
  void SetCoordinators(std::vector<std::string> aAddresses);
  // Sets the function that is called after each reply that was applied.
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
  int CountUnansweredCalls(const std::string& aAddress) const;
  // Lets the loop start the next call.
  void EndWait();
  void UpdateCoordinators(const wire::FleetSyncReply& aReply);
  // Returns the leader if it is known, otherwise the coordinators in turn;
  // empty if none is known.
  std::string NextCoordinator();

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  const SidecarOptions& m_options;
  http::Client& m_controlClient;
  LocalBackend& m_localBackend;
  FleetDirectory& m_directory;
  const WorkQueue& m_workQueue;
  LoadCounter& m_loadCounter;
  BackendQuarantine& m_quarantine;
  std::function<void()> m_onReplyApplied;
  boost::asio::steady_timer m_wakeTimer;
  // Random, identifies this process to the leader.
  uint64_t m_session;
  uint64_t m_sequence = 0;
  uint64_t m_reportedRevision = 0;
  std::string m_leaderAddress;
  std::vector<std::string> m_coordinatorAddresses;
  size_t m_nextCoordinator = 0;
  // Number of the newest call. Only its result affects the loop.
  uint64_t m_newestCallNumber = 0;
  bool m_callPending = false;
  bool m_stopping = false;
  // Value of m_stopping in the last request.
  bool m_reportedStopping = false;
  bool m_leaderReached = false;
  // When the first call was sent that the leader has not replied to; empty
  // after a reply.
  std::optional<TimePoint> m_unansweredSince;
  // Whether calls were started because earlier ones had no reply yet.
  bool m_searching = false;
  // Calls without a reply, by coordinator. Has no entries of 0.
  std::map<std::string, int> m_unansweredCalls;
  // The next call waits for kFailureRetryDelay.
  bool m_backOff = false;
};

} // namespace rattanloft::sidecar
