#include "BackendHandler.h"

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

namespace rattanloft::sidecar {

namespace {

namespace asio = boost::asio;

class ProtocolStub final : public BackendProtocol
{
public:
  ProtocolStub() { m_headers.m_requestId = "Id"; }

  const HeaderNames& Headers() const override { return m_headers; }
  BackendCall Classify(std::string_view /*aMethod*/,
                       std::string_view /*aTarget*/) const override
  {
    return {};
  }
  tl::expected<Heartbeat, std::string> ParseHeartbeat(
    std::string_view /*aBackendId*/,
    std::string_view /*aBody*/) const override
  {
    return Heartbeat();
  }
  std::string FormatHeartbeatResponse(
    const HeartbeatResponse& /*aResponse*/) const override
  {
    return {};
  }
  size_t MaxHeartbeatResponseBytes() const override { return 0; }
  int64_t ParseLifetimeStartUnixMs(std::string_view /*aBody*/) const override
  {
    return 0;
  }
  http::Request FormatRangeCall(const RangeCall& /*aCall*/) const override
  {
    return {};
  }
  RangeCallResult ParseRangeCallResponse(
    const http::Response& /*aResponse*/) const override
  {
    return {};
  }

private:
  HeaderNames m_headers;
};

// A handler beside a backend server with one slot, to which nothing can be
// sent.
class HandlerFixture
{
public:
  HandlerFixture()
  {
    Heartbeat heartbeat;
    heartbeat.m_backendId = "i-1";
    heartbeat.m_service = "s";
    heartbeat.m_address = "10.0.0.1:80";
    heartbeat.m_sequence = 1;
    heartbeat.m_startedAtUnixMs = 500;
    m_localBackend.OnHeartbeat(heartbeat, m_clock.Now());
    m_workQueue.SetSlots(1);
    TellEvacuations({});
  }

  // Applies a reply of the leader.
  void TellEvacuations(const std::set<std::string>& aZones)
  {
    wire::FleetSyncReply reply;
    reply.set_term(1);
    reply.set_has_evacuated_zones(true);
    for (const std::string& zone : aZones) {
      reply.add_evacuated_zones(zone);
    }
    m_directory.ApplyReply(reply, m_clock.Now());
  }

  AttemptResult Run(const RequestAttributes& aAttributes)
  {
    AttemptResult result;
    asio::co_spawn(
      m_context,
      m_handler.RunRequest({}, aAttributes, nullptr),
      [&](const std::exception_ptr& aError, AttemptResult aResult) {
        REQUIRE(aError == nullptr);
        result = std::move(aResult);
      });
    m_context.run();
    return result;
  }

  ManualClock m_clock;
  ProtocolStub m_protocol;
  asio::io_context m_context;
  std::unique_ptr<http::Client> m_client = http::Client::Make(m_context, {});
  // Runs for longer than late heartbeats may be on their way.
  LocalBackend m_localBackend{ "n1", Seconds(2), m_clock.Now() - Seconds(60) };
  WorkQueue m_workQueue;
  BackendQuarantine m_quarantine{ m_context,
                                  m_clock,
                                  *m_client,
                                  "10.0.0.1:80",
                                  [] { return "/h"; } };
  FleetDirectory m_directory;
  BackendHandler m_handler{ m_context,    m_clock,        m_protocol,
                            *m_client,    m_localBackend, m_workQueue,
                            m_quarantine, m_directory,    "z1",
                            "10.0.0.1:80" };
};

} // namespace

// Guards against a caller that gives up while the next owner takes over.
TEST_CASE("a refusal for a key of another owner has the kind of a move")
{
  HandlerFixture fixture;
  RequestAttributes attributes;
  attributes.m_service = "s";
  attributes.m_keyed = true;
  attributes.m_key = 7;
  const AttemptResult result = fixture.Run(attributes);
  CHECK(result.m_outcome == AttemptOutcome::kNotRun);
  CHECK(result.m_kind == ResultKind::kOwnerMoved);
  CHECK(result.m_reason == "not-owner");
}

// Guards against requests that wait for an owner that is only full.
TEST_CASE("a refusal by the queue has the kind of an overload")
{
  HandlerFixture fixture;
  fixture.m_workQueue.Submit(
    { 1, "k", 0, fixture.m_clock.Now(), fixture.m_clock.Now() },
    fixture.m_clock.Now());
  RequestAttributes attributes;
  attributes.m_service = "s";
  attributes.m_kind = "k";
  const AttemptResult result = fixture.Run(attributes);
  CHECK(result.m_outcome == AttemptOutcome::kNotRun);
  CHECK(result.m_kind == ResultKind::kOverloaded);
  CHECK(result.m_reason == "overloaded");
}

// Guards against other refusals that are taken for a move or an overload.
TEST_CASE("a refusal for another service has no special kind")
{
  HandlerFixture fixture;
  RequestAttributes attributes;
  attributes.m_service = "other";
  const AttemptResult result = fixture.Run(attributes);
  CHECK(result.m_outcome == AttemptOutcome::kNotRun);
  CHECK(result.m_kind == ResultKind::kOther);
}

// Guards against a request that reaches a backend server in an evacuated zone,
// and against callers that give up although others can serve them.
TEST_CASE("requests for a backend server in an evacuated zone are refused")
{
  HandlerFixture fixture;
  fixture.TellEvacuations({ "z1" });
  RequestAttributes attributes;
  attributes.m_service = "s";
  AttemptResult result = fixture.Run(attributes);
  CHECK(result.m_outcome == AttemptOutcome::kNotRun);
  CHECK(result.m_kind == ResultKind::kOther);
  CHECK(result.m_reason == "zone-evacuated");
  CHECK(result.m_retryAfter > Milliseconds(0));
  attributes.m_keyed = true;
  attributes.m_key = 7;
  fixture.m_context.restart();
  result = fixture.Run(attributes);
  CHECK(result.m_outcome == AttemptOutcome::kNotRun);
  CHECK(result.m_kind == ResultKind::kOwnerMoved);
  CHECK(result.m_reason == "zone-evacuated");
}

// Guards against requests that were accepted before the evacuation and are sent
// when a slot is free, and against a refusal only at that time.
TEST_CASE("requests that wait when an evacuation starts are refused at once")
{
  HandlerFixture fixture;
  const TimePoint now = fixture.m_clock.Now();
  fixture.m_workQueue.Submit({ 1, "k", 0, now + Seconds(9), now + Seconds(9) },
                             now);
  RequestAttributes attributes;
  attributes.m_service = "s";
  attributes.m_kind = "k";
  attributes.m_timeToTarget = attributes.m_timeToDeadline = Seconds(9);
  // Runs again until the request waits.
  const std::function<void()> evacuate = [&] {
    if (fixture.m_workQueue.WaitingCount() == 0) {
      asio::post(fixture.m_context, evacuate);
      return;
    }
    fixture.TellEvacuations({ "z1" });
    fixture.m_handler.OnEvacuationStarted();
  };
  asio::post(fixture.m_context, evacuate);
  const AttemptResult result = fixture.Run(attributes);
  CHECK(result.m_outcome == AttemptOutcome::kNotRun);
  CHECK(result.m_reason == "zone-evacuated");
  CHECK(fixture.m_workQueue.WaitingCount() == 0);
  CHECK(fixture.m_workQueue.RunningCount() == 1);
}

// Guards against a sidecar that has just started and serves its backend server
// although the zone has been under evacuation since before.
TEST_CASE("nothing is served before the evacuated zones are known")
{
  HandlerFixture fixture;
  fixture.m_directory = {};
  RequestAttributes attributes;
  attributes.m_service = "s";
  const AttemptResult result = fixture.Run(attributes);
  CHECK(result.m_outcome == AttemptOutcome::kNotRun);
  CHECK(result.m_reason == "awaits-leader");
  // A reply that brings a configuration and the zones changes both at once.
  wire::FleetSyncReply reply;
  reply.set_term(1);
  reply.mutable_configuration()->set_version(1);
  reply.set_has_evacuated_zones(true);
  reply.add_evacuated_zones("z1");
  fixture.m_directory.ApplyReply(reply, fixture.m_clock.Now());
  fixture.m_context.restart();
  CHECK(fixture.Run(attributes).m_reason == "zone-evacuated");
}

} // namespace rattanloft::sidecar
