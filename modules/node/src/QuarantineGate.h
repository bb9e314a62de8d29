#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

#include "Outcome.h"
#include "TrafficContext.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/http/Types.h"

namespace rattanloft::node {

// Lets requests wait for the rules of the quarantine: a suspect of a crash runs
// alone, a blocked request not at all. Owned by the traffic thread.
class QuarantineGate
{
public:
  explicit QuarantineGate(TrafficContext& aContext);

  // Refuses a blocked request before it takes a place in the queue.
  tl::expected<void, Refusal> CheckBlocked(uint64_t aFingerprint) const;

  // Completes when the request may run. The id must be passed to End once. Does
  // nothing while the quarantine is switched off.
  boost::asio::awaitable<tl::expected<quarantine::RunId, Refusal>>
  Start(uint64_t aFingerprint, std::string aService, TimePoint aDeadline);
  void End(quarantine::RunId aRun, Outcome aOutcome);

  // An exchange with the backend server has failed, perhaps since it crashed.
  void OnExchangeError(http::HttpErrorCode aError);

private:
  // Tells a crash from a connection that only broke.
  boost::asio::awaitable<void> CheckForCrash();

  TrafficContext& m_context;
  bool m_crashCheckRunning = false;
};

} // namespace rattanloft::node
