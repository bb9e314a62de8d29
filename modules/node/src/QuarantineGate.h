#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

#include "Outcome.h"
#include "TrafficContext.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/http/ListenerProbe.h"
#include "rattanloft/http/Types.h"

namespace rattanloft::node {

// Applies the quarantine rules to requests for the backend server: a request
// that is suspected of a crash runs alone, and a blocked one does not run.
// Owned by the traffic thread.
class QuarantineGate
{
public:
  explicit QuarantineGate(TrafficContext& aContext);

  // Refuses a blocked request before it is queued.
  tl::expected<void, Refusal> CheckBlocked(uint64_t aFingerprint) const;

  // Completes with a run id when the request may run, or with a refusal. The id
  // must be passed to End exactly once. While the quarantine is switched off,
  // every request may run at once.
  boost::asio::awaitable<tl::expected<quarantine::RunId, Refusal>>
  Start(uint64_t aFingerprint, std::string aService, TimePoint aDeadline);
  // Ends a run; aOutcome says whether the request was answered.
  void End(quarantine::RunId aRun, Outcome aOutcome);

  // Reports that an exchange with the backend server has failed, perhaps
  // because it crashed.
  void OnExchangeError(http::HttpErrorCode aError);

private:
  TrafficContext& m_context;
  http::ListenerProbe m_probe;
};

} // namespace rattanloft::node
