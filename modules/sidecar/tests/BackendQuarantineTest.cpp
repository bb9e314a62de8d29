#include "BackendQuarantine.h"

#include <catch2/catch.hpp>

namespace rattanloft::sidecar {

namespace {

constexpr uint64_t kHarmful = 7;

class QuarantineFixture
{
public:
  // Runs the request, which crashes the backend server.
  void RunAndCrash()
  {
    const auto run = m_quarantine.Start(kHarmful, "s");
    REQUIRE(run);
    m_quarantine.End(*run, quarantine::RunOutcome::kNoAnswer);
    m_quarantine.OnExchangeError(http::HttpErrorCode::kConnectFailed);
    m_quarantine.OnNewLifetime();
  }
  wire::FleetSyncRequest MakeRequest()
  {
    wire::FleetSyncRequest request;
    request.set_sequence(++m_sequence);
    m_quarantine.FillRequest(request);
    return request;
  }

  ManualClock m_clock;
  boost::asio::io_context m_context;
  std::unique_ptr<http::Client> m_client = http::Client::Make(m_context, {});
  BackendQuarantine m_quarantine{ m_context,
                                  m_clock,
                                  *m_client,
                                  "10.0.0.1:80",
                                  [] { return "/h"; } };
  uint64_t m_sequence = 0;
};

} // namespace

// Guards against a request that crashes one backend server after the other.
TEST_CASE("a request that crashes the backend server twice is refused")
{
  QuarantineFixture fixture;
  fixture.RunAndCrash();
  CHECK_FALSE(fixture.m_quarantine.RefuseIfBlocked(kHarmful));
  fixture.RunAndCrash();
  const auto refusal = fixture.m_quarantine.RefuseIfBlocked(kHarmful);
  REQUIRE(refusal);
  CHECK(refusal->m_outcome == AttemptOutcome::kNotRun);
  CHECK(refusal->m_kind == ResultKind::kQuarantined);
  CHECK(refusal->m_retryAfter > Duration{});
  CHECK_FALSE(fixture.m_quarantine.Start(kHarmful, "s"));
}

// Guards against suspects that are lost with a sync or with the leader.
TEST_CASE("quarantine entries are reported until each leader has them")
{
  QuarantineFixture fixture;
  fixture.RunAndCrash();
  CHECK(fixture.m_quarantine.HasUnreportedChanges());
  CHECK(fixture.MakeRequest().quarantine_size() == 1);
  CHECK_FALSE(fixture.m_quarantine.HasUnreportedChanges());
  CHECK(fixture.MakeRequest().quarantine_size() == 1);
  wire::FleetSyncReply reply;
  reply.set_sequence(fixture.m_sequence);
  reply.mutable_quarantine()->set_term(4);
  fixture.m_quarantine.OnLeaderReply(reply);
  // The leader of term 4 is new to this sidecar.
  CHECK(fixture.MakeRequest().quarantine_size() == 1);
  reply.set_sequence(fixture.m_sequence);
  fixture.m_quarantine.OnLeaderReply(reply);
  CHECK(fixture.MakeRequest().quarantine_size() == 0);
  reply.mutable_quarantine()->set_term(5);
  fixture.m_quarantine.OnLeaderReply(reply);
  CHECK(fixture.MakeRequest().quarantine_size() == 1);
}

// Guards against a new leader that gets the entries of all sidecars from each
// of them.
TEST_CASE("a new leader is sent the entries of this sidecar only")
{
  QuarantineFixture fixture;
  fixture.RunAndCrash();
  fixture.MakeRequest();
  quarantine::QuarantineTable others;
  wire::FleetSyncReply reply;
  reply.set_sequence(fixture.m_sequence);
  reply.mutable_quarantine()->set_term(4);
  for (uint64_t i = 100; i < 150; ++i) {
    others.SetState(
      i, "s", wire::QUARANTINE_STATE_BLOCKED, fixture.m_clock.Now());
    *reply.mutable_quarantine()->add_entries() =
      others.MakeWireEntry(i, fixture.m_clock.Now());
  }
  fixture.m_quarantine.OnLeaderReply(reply);
  CHECK(fixture.m_quarantine.RefuseIfBlocked(120));
  const wire::FleetSyncRequest request = fixture.MakeRequest();
  REQUIRE(request.quarantine_size() == 1);
  CHECK(request.quarantine(0).fingerprint() == kHarmful);
}

} // namespace rattanloft::sidecar
