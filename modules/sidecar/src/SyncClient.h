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

#include "BackendAgent.h"
#include "Directory.h"
#include "WorkQueue.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/http/Client.h"
#include "rattanloft/sidecar/Sidecar.h"

namespace rattanloft::sidecar {

// Counts requests for ranges of neighbouring keys between two reports.
class LoadCounter
{
public:
  void Count(const std::string& aService, uint32_t aKey);
  void MoveTo(wire::FleetSyncRequest& aRequest);

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
             http::Client& aClient,
             BackendAgent& aAgent,
             Directory& aDirectory,
             const WorkQueue& aQueue,
             LoadCounter& aLoads);

  void Start();
  // Something should be reported at once.
  void Wake();
  // Tells the leader that this sidecar stops.
  void Stop();
  void SetCoordinators(std::vector<std::string> aAddresses);
  // Called after a reply was adopted.
  void OnAdopted(std::function<void()> aCallback)
  {
    m_adopted = std::move(aCallback);
  }

private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> Call(std::string aAddress, uint64_t aTurn);
  wire::FleetSyncRequest MakeRequest();
  void OnReply(const wire::FleetSyncReply& aReply,
               const wire::FleetSyncRequest& aRequest,
               TimePoint aSent);
  void OnFailure(const std::string& aAddress, std::string_view aReason);
  void AddContacts(const wire::FleetSyncReply& aReply);
  std::string NextAddress();

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  const SidecarOptions& m_options;
  http::Client& m_client;
  BackendAgent& m_agent;
  Directory& m_directory;
  const WorkQueue& m_queue;
  LoadCounter& m_loads;
  std::function<void()> m_adopted;
  boost::asio::steady_timer m_pause;
  uint64_t m_session;
  uint64_t m_sequence = 0;
  uint64_t m_reportedRevision = 0;
  std::string m_leader;
  std::vector<std::string> m_contacts;
  size_t m_turn = 0;
  // The newest call; an earlier one no longer drives the loop.
  uint64_t m_currentCall = 0;
  bool m_callOut = false;
  bool m_stopping = false;
  bool m_connected = false;
  bool m_paused = false;
};

} // namespace rattanloft::sidecar
