#include "RangeCaller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "rattanloft/base/Log.h"

namespace rattanloft::sidecar {

namespace {

namespace asio = boost::asio;

constexpr Duration kConnectTimeout = Milliseconds(100);
// Shorter than the idle timeout of backend servers, which is at least 10 s.
constexpr Duration kIdleTimeout = Seconds(5);
// Answers to range calls have no body of note.
constexpr uint64_t kMaxAnswerBytes = 64 * 1024;

http::ClientOptions
MakeClientOptions(http::ClientOptions aOptions)
{
  aOptions.m_connectTimeout = kConnectTimeout;
  aOptions.m_maxSendDelay = CallDelivery::kMaxSendDelay;
  aOptions.m_idleTimeout = kIdleTimeout;
  aOptions.m_maxBodyBytes = kMaxAnswerBytes;
  return aOptions;
}

std::unique_ptr<http::Client>
MakeReleaseClient(asio::io_context& aContext,
                  const http::ClientOptions& aOptions)
{
  http::ClientOptions options = MakeClientOptions(aOptions);
  options.m_maxConnectionAge = {};
  return http::Client::Make(aContext, options);
}

std::string_view
OutcomeName(RangeCallOutcome aOutcome)
{
  switch (aOutcome) {
    case RangeCallOutcome::kDone:
      return "done";
    case RangeCallOutcome::kHigherFenceSeen:
      return "higher-fence-seen";
    case RangeCallOutcome::kNotApplied:
      return "not-applied";
    case RangeCallOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

} // namespace

RangeCaller::RangeCaller(asio::io_context& aContext,
                         const Clock& aClock,
                         const BackendProtocol& aProtocol,
                         LocalBackend& aLocalBackend,
                         std::string aBackendAddress,
                         const http::ClientOptions& aGrantClientOptions,
                         const http::ClientOptions& aReleaseClientOptions,
                         std::function<void()> aOnEnded)
  : m_context(aContext)
  , m_clock(aClock)
  , m_protocol(aProtocol)
  , m_localBackend(aLocalBackend)
  , m_backendAddress(std::move(aBackendAddress))
  , m_onEnded(std::move(aOnEnded))
  , m_grantClient(
      http::Client::Make(aContext, MakeClientOptions(aGrantClientOptions)))
  , m_releaseClient(MakeReleaseClient(aContext, aReleaseClientOptions))
{
}

void
RangeCaller::SendDueCalls()
{
  for (OutgoingRangeCall& call : m_localBackend.TakeRangeCalls(m_clock.Now())) {
    asio::co_spawn(m_context, RunCall(std::move(call)), asio::detached);
  }
}

void
RangeCaller::OnNewLifetime()
{
  m_grantClient->CloseIdleConnections(m_backendAddress);
}

asio::awaitable<void>
RangeCaller::RunCall(OutgoingRangeCall aCall)
{
  const TimePoint startedAt = m_clock.Now();
  http::Request request = m_protocol.FormatRangeCall(aCall.m_call);
  request.set(m_protocol.Headers().m_expectedBackend,
              m_localBackend.View().backend_id());
  http::Client& client = aCall.m_call.m_kind == RangeCallKind::kGrant
                           ? *m_grantClient
                           : *m_releaseClient;
  const tl::expected<http::Response, http::HttpError> response =
    co_await client.Exchange(
      m_backendAddress, std::move(request), aCall.m_timeout);
  const TimePoint now = m_clock.Now();
  RangeCallResult result;
  std::string_view reason;
  if (response) {
    result = m_protocol.ParseRangeCallResponse(*response);
  } else {
    reason = response.error().m_message;
    result.m_outcome = response.error().m_maybeSent
                         ? RangeCallOutcome::kUnknown
                         : RangeCallOutcome::kNotApplied;
    if (response.error().m_code == http::HttpErrorCode::kConnectFailed) {
      m_localBackend.OnContactResult(false, now);
    }
  }
  LogResult(aCall, result, now - startedAt, reason);
  m_localBackend.OnRangeCallEnded(aCall.m_id, result, now);
  m_onEnded();
}

// Logs grants that succeed only if they pass a handover token on; the others
// are frequent renewals.
void
RangeCaller::LogResult(const OutgoingRangeCall& aCall,
                       const RangeCallResult& aResult,
                       Duration aCallTime,
                       std::string_view aReason) const
{
  const bool isGrant = aCall.m_call.m_kind == RangeCallKind::kGrant;
  const bool isWarmGrant = !aCall.m_call.m_handover.empty();
  if (isGrant && aResult.m_outcome == RangeCallOutcome::kDone && !isWarmGrant) {
    return;
  }
  LogInfo("ranges",
          "event={} holder={} service={} first={} last={} fence={} grant_ms={} "
          "warm={} "
          "outcome={} ms={} reason=\"{}\"",
          isGrant ? "grant" : "release",
          m_localBackend.View().holder(),
          m_localBackend.View().service(),
          aCall.m_call.m_first,
          aCall.m_call.m_last,
          aCall.m_call.m_fence,
          aCall.m_call.m_grantDuration.m_ms,
          isGrant ? isWarmGrant : !aResult.m_handover.empty(),
          OutcomeName(aResult.m_outcome),
          aCallTime.m_ms,
          aReason);
}

} // namespace rattanloft::sidecar
