#include "TargetPicker.h"

#include "Headers.h"
#include "rattanloft/base/Random.h"

namespace rattanloft::node {

using routing::AttemptResult;

namespace {

AttemptResult
ToAttemptResult(const http::Response& aResponse)
{
  const Outcome outcome = OutcomeOf(aResponse).value_or(Outcome::kUnknown);
  if (outcome == Outcome::kAnswered) {
    return AttemptResult::kAnswered;
  }
  const auto reason = aResponse[header::kReason];
  if (reason == "caller_gone") {
    return AttemptResult::kCancelled;
  }
  const bool unreachable =
    reason == "node_unreachable" || reason == "backend_unreachable";
  return outcome == Outcome::kUnknown || unreachable ? AttemptResult::kFailed
                                                     : AttemptResult::kRefused;
}

} // namespace

TargetPicker::AttemptScope::AttemptScope(TargetPicker& aPicker,
                                         const Target& aTarget)
  : m_picker(aPicker)
  , m_backendNumber(aTarget.m_backendNumber)
{
  m_picker.m_balancer.OnAttemptStarted(m_backendNumber,
                                       m_picker.m_context.m_clock.Now());
}

TargetPicker::AttemptScope::~AttemptScope()
{
  m_picker.m_balancer.OnAttemptFinished(
    m_backendNumber, m_result, m_picker.m_context.m_clock.Now());
}

void
TargetPicker::AttemptScope::SetResult(const http::Response& aResponse)
{
  m_result = ToAttemptResult(aResponse);
}

TargetPicker::TargetPicker(TrafficContext& aContext)
  : m_context(aContext)
  , m_balancer(aContext.m_zone)
  , m_random(RandomId())
{
}

std::optional<Target>
TargetPicker::Pick(const ClassifiedRequest& aRequest,
                   std::span<const uint32_t> aExcludedBackends)
{
  const routing::RoutingView& view = *aRequest.m_view;
  if (aRequest.m_shard) {
    const routing::ShardRoute* route =
      view.m_routes->Find(aRequest.m_service, *aRequest.m_shard);
    if (route == nullptr) {
      return std::nullopt;
    }
    return MakeTarget(view, route->m_owner, route->m_epoch);
  }
  return MakeTarget(view,
                    m_balancer.ChooseBackend(*view.m_routes,
                                             aRequest.m_service,
                                             aExcludedBackends,
                                             m_random(),
                                             m_context.m_clock.Now()),
                    0);
}

std::optional<Target>
TargetPicker::MakeTarget(const routing::RoutingView& aView,
                         uint32_t aBackendNumber,
                         uint64_t aEpoch) const
{
  const wire::Backend* backend = aView.m_routes->FindBackend(aBackendNumber);
  if (aBackendNumber == 0 || backend == nullptr) {
    return std::nullopt;
  }
  return Target{ aBackendNumber,
                 backend->node_id(),
                 backend->peer_address(),
                 aEpoch,
                 aBackendNumber == aView.m_backend };
}

} // namespace rattanloft::node
