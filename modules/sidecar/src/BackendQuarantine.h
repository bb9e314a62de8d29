#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "PeerHeaders.h"
#include "fleet.pb.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/http/Client.h"
#include "rattanloft/http/ListenerProbe.h"
#include "rattanloft/quarantine/QuarantineReport.h"
#include "rattanloft/quarantine/RunTracker.h"

namespace rattanloft::sidecar {

// Keeps requests that crash backend servers from the one next to this sidecar.
// Detects its crashes, and exchanges suspects and blocks with the other
// sidecars through the sync requests to the leader. Requests are identified by
// http::ComputeHostFingerprint. Used on the traffic thread.
class BackendQuarantine
{
public:
  // aHealthCheckTarget returns the target of a request that does no work. All
  // references must outlive the object.
  BackendQuarantine(boost::asio::io_context& aContext,
                    const Clock& aClock,
                    http::Client& aBackendClient,
                    std::string aBackendAddress,
                    std::function<std::string()> aHealthCheckTarget);

  // Returns the refusal if the request is blocked.
  std::optional<AttemptResult> RefuseIfBlocked(uint64_t aFingerprint) const;
  // Returns the id of a run, which must be passed to End() once, or the refusal
  // if the request must not run now.
  tl::expected<quarantine::RunId, AttemptResult> Start(
    uint64_t aFingerprint,
    std::string_view aService);
  void End(quarantine::RunId aRun, quarantine::RunOutcome aOutcome);
  // An exchange with the backend server has failed.
  void OnExchangeError(http::HttpErrorCode aError);
  // Another lifetime of the backend server runs.
  void OnNewLifetime();

  // Suspected and blocked requests.
  size_t CountLiveEntries() const
  {
    return m_runs.Entries().CountLiveEntries();
  }
  // Whether there are changes that no sync request carries yet.
  bool HasUnreportedChanges() const { return m_runs.HasChanges(); }
  // Adds what the leader has not confirmed. The sequence must be set.
  void FillRequest(wire::FleetSyncRequest& aRequest);
  void OnLeaderReply(const wire::FleetSyncReply& aReply);

private:
  const Clock& m_clock;
  http::Client& m_backendClient;
  std::string m_backendAddress;
  std::function<std::string()> m_healthCheckTarget;
  quarantine::RunTracker m_runs{ quarantine::IsolationMode::kNoOtherSuspect };
  quarantine::QuarantineReport m_report;
  uint64_t m_lastSequence = 0;
  http::ListenerProbe m_probe;
};

// What a result tells about the harm of the request.
quarantine::RunOutcome
ToRunOutcome(const AttemptResult& aResult);

} // namespace rattanloft::sidecar
