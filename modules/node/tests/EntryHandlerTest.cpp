#include "EntryHandler.h"

#include <catch2/catch.hpp>

#include "TrafficFixture.h"

namespace rattanloft::node {

namespace {

http::Response
MakeNodeAnswer(unsigned aStatus, const char* aOutcome, const char* aReason)
{
  auto response = MakeAnswer(aStatus, "x");
  response.set(header::kOutcome, aOutcome);
  response.set(header::kReason, aReason);
  return response;
}

std::string
StatedOutcome(const http::Response& aResponse)
{
  return TrafficFixture::HeaderText(aResponse, header::kOutcome);
}

} // namespace

// Guards against callers that pose as a node by sending internal headers.
TEST_CASE("Internal headers from callers are removed before forwarding")
{
  TrafficFixture node;
  node.SetOwner(2, 10);
  node.m_fakePeers->m_responder = [](const auto&,
                                     const auto&) -> ExchangeResult {
    return MakeNodeAnswer(200, "answered", "");
  };
  auto request = TrafficFixture::MakeOrder("k1");
  request.set("rattanloft-Epoch", "999");
  request.set("Rattanloft-Shed", "1");
  node.HandleAtEntry(request);
  const http::Request& sent = node.m_fakePeers->m_requests.at(0).second;
  REQUIRE(sent[header::kEpoch] == "10");
  REQUIRE(sent.count(header::kShed) == 0);
  REQUIRE(sent.count(header::kDeadlineMs) == 1);
}

// Guards against a request that fails because of an outdated route although it
// has not run.
TEST_CASE("After a 421 the request is sent to the new owner")
{
  TrafficFixture node;
  node.SetOwner(2, 10);
  node.m_fakePeers->m_responder = [&](const std::string& aPeer,
                                      const auto&) -> ExchangeResult {
    if (aPeer == "10.0.0.2:1") {
      node.SetOwner(3, 11);
      return MakeNodeAnswer(421, "not-run", "not_owner");
    }
    return MakeNodeAnswer(200, "answered", "");
  };
  REQUIRE(node.HandleAtEntry(TrafficFixture::MakeOrder("k1")).result_int() ==
          200);
  REQUIRE(node.m_fakePeers->m_requests.back().first == "10.0.0.3:1");
}

// Guards against a request that uses up its attempts on route changes that do
// not concern its shard. This refused requests while many shards moved.
TEST_CASE(
  "Route changes of other shards do not use up the attempts of a request")
{
  TrafficFixture node;
  node.SetOwner(2, 10);
  int misdirected = 0;
  node.m_fakePeers->m_responder = [&](const std::string& aPeer,
                                      const auto&) -> ExchangeResult {
    if (aPeer == "10.0.0.3:1") {
      return MakeNodeAnswer(200, "answered", "");
    }
    ++misdirected;
    node.SetOwner(2, 10);
    boost::asio::co_spawn(
      node.m_ioContext,
      [&node]() -> boost::asio::awaitable<void> {
        for (int change = 0; change < 20; ++change) {
          co_await Sleep(node.m_ioContext, Milliseconds(5));
          node.SetOwner(2, 10);
        }
        node.SetOwner(3, 11);
      },
      boost::asio::detached);
    return MakeNodeAnswer(421, "not-run", "not_owner");
  };
  REQUIRE(node.HandleAtEntry(TrafficFixture::MakeOrder("k1")).result_int() ==
          200);
  REQUIRE(misdirected <= 3);
}

// Guards against a request that fails because the new owner learns of the move
// later than the entry node, when no further route change follows.
TEST_CASE("A 421 from an owner that has not learned of its shard is retried")
{
  TrafficFixture node;
  node.SetOwner(2, 10);
  int refusals = 2;
  node.m_fakePeers->m_responder = [&](const auto&,
                                      const auto&) -> ExchangeResult {
    if (refusals-- > 0) {
      return MakeNodeAnswer(421, "not-run", "not_owner");
    }
    return MakeNodeAnswer(200, "answered", "");
  };
  const TimePoint start = node.m_clock.Now();
  REQUIRE(node.HandleAtEntry(TrafficFixture::MakeOrder("k1")).result_int() ==
          200);
  REQUIRE(node.m_clock.Now() - start < Milliseconds(400));
}

// Guards against route changes of other shards that use up the attempts while
// the request's own shard is still moving.
TEST_CASE("Only a new owner of the request's shard ends the wait after a 421")
{
  TrafficFixture node;
  node.SetOwner(2, 10);
  node.m_fakePeers->m_responder = [&](const auto&,
                                      const auto&) -> ExchangeResult {
    // The route revision rises, but the owner stays the same.
    node.SetOwner(2, 10);
    return MakeNodeAnswer(421, "not-run", "not_owner");
  };
  const TimePoint start = node.m_clock.Now();
  const auto response = node.HandleAtEntry(TrafficFixture::MakeOrder("k1"));
  REQUIRE(response.result_int() == 503);
  REQUIRE(StatedOutcome(response) == "not-run");
  REQUIRE(node.m_clock.Now() - start >= Milliseconds(900));
}

// Guards against work that is sent to a new owner for a caller that has left.
TEST_CASE(
  "A request whose caller leaves while it waits for an owner is not sent")
{
  TrafficFixture node;
  node.SetOwner(2, 10);
  node.m_fakePeers->m_responder = [](const auto&, const auto&) {
    return UnreachableError();
  };
  boost::asio::steady_timer timer(node.m_ioContext);
  timer.expires_after(std::chrono::milliseconds(20));
  timer.async_wait([&](auto) {
    node.m_cancelToken->Cancel();
    node.SetOwner(3, 11);
  });
  const auto response = node.HandleAtEntry(TrafficFixture::MakeOrder("k1"));
  CHECK(StatedOutcome(response) == "not-run");
  CHECK(node.m_fakePeers->m_requests.size() == 1);
}

// Guards against a node whose requests are refused as late after it was paused.
TEST_CASE("A refusal as late that the round trip contradicts starts anew")
{
  TrafficFixture node;
  node.SetOwner(2, 10);
  node.m_fakePeers->m_responder = [](const auto&,
                                     const auto&) -> ExchangeResult {
    http::Response refusal = MakeNodeAnswer(503, "not-run", "late_arrival");
    refusal.set(header::kLateMs, "5000");
    return refusal;
  };
  const auto response = node.HandleAtEntry(TrafficFixture::MakeOrder("k1"));
  CHECK(response.count(header::kLateMs) == 0);
  node.HandleAtEntry(TrafficFixture::MakeOrder("k2"));
  const auto senderOf = [&](size_t aIndex) {
    const std::string text(
      node.m_fakePeers->m_requests.at(aIndex).second[header::kSent]);
    return text.substr(0, text.find('/'));
  };
  CHECK(senderOf(0) != senderOf(1));
}

// Guards against sending non-idempotent work again that may have run.
TEST_CASE("Non-idempotent work with an unknown outcome is not sent again")
{
  TrafficFixture node;
  node.SetOwner(2, 10);
  node.m_fakePeers->m_responder = [](const auto&, const auto&) {
    return BrokenConnectionError();
  };
  const auto response = node.HandleAtEntry(TrafficFixture::MakeOrder("k1"));
  REQUIRE(response.result_int() == 502);
  REQUIRE(StatedOutcome(response) == "unknown");
  REQUIRE(node.m_fakePeers->m_requests.size() == 1);
}

// Guards against callers that are told "not run" after the request may have
// reached the owner node, and against waiting longer than the answer is of use.
TEST_CASE("A request for an unreachable owner is refused as not run in time")
{
  TrafficFixture node;
  node.SetOwner(2, 10);
  node.m_fakePeers->m_responder = [](const auto&, const auto&) {
    return UnreachableError();
  };
  const TimePoint start = node.m_clock.Now();
  const auto response = node.HandleAtEntry(TrafficFixture::MakeOrder("k1"));
  REQUIRE(response.result_int() == 503);
  REQUIRE(StatedOutcome(response) == "not-run");
  REQUIRE(response.count("Retry-After") == 1);
  REQUIRE(node.m_clock.Now() - start < Milliseconds(900));
}

// Guards against reporting a request as not run although its first attempt may
// have run before its node was lost.
TEST_CASE("A refused retry does not hide an attempt that may have run")
{
  // The choice of nodes is random, so the test runs several times.
  for (int i = 0; i < 10; ++i) {
    TrafficFixture node;
    node.SetOwner(2, 10);
    node.m_fakeBackend->m_responder = [](const auto&, const auto&) {
      return UnreachableError();
    };
    int calls = 0;
    node.m_fakePeers->m_responder = [&](const auto&,
                                        const auto&) -> ExchangeResult {
      return ++calls == 1 ? BrokenConnectionError() : UnreachableError();
    };
    const auto response = node.HandleAtEntry(TrafficFixture::MakeBrowse());
    REQUIRE(calls > 0);
    REQUIRE(response.result_int() == 502);
    REQUIRE(StatedOutcome(response) == "unknown");
  }
}

// Guards against one failing node making a service without keys unavailable.
// One request needs at most two retries, which the floor of the retry budget
// always allows. The choice of nodes is random, so the test runs several times.
TEST_CASE("Idempotent work without keys is retried on another node")
{
  for (int i = 0; i < 10; ++i) {
    TrafficFixture node;
    node.SetOwner(2, 10);
    node.m_fakeBackend->m_responder = [](const auto&, const auto&) {
      return UnreachableError();
    };
    node.m_fakePeers->m_responder = [](const std::string& aPeer,
                                       const auto&) -> ExchangeResult {
      if (aPeer == "10.0.0.2:1") {
        return UnreachableError();
      }
      return MakeNodeAnswer(200, "answered", "");
    };
    REQUIRE(node.HandleAtEntry(TrafficFixture::MakeBrowse()).result_int() ==
            200);
  }
}

// Guards against retries that multiply the load while all nodes fail.
TEST_CASE("Retries stay within the budget when every node fails")
{
  TrafficFixture node;
  node.SetOwner(2, 10);
  const auto failing = [](const auto&, const auto&) {
    return UnreachableError();
  };
  node.m_fakeBackend->m_responder = failing;
  node.m_fakePeers->m_responder = failing;
  constexpr size_t kRequests = 200;
  for (size_t i = 0; i < kRequests; ++i) {
    const auto response = node.HandleAtEntry(TrafficFixture::MakeBrowse());
    REQUIRE(response.result_int() == 503);
    REQUIRE(StatedOutcome(response) == "not-run");
  }
  const size_t sent =
    node.m_fakePeers->m_requests.size() + node.m_fakeBackend->m_requests.size();
  // The retry budget is 10 % of the requests plus a floor of 3 retries per
  // second. The run takes well under 10 s.
  REQUIRE(sent <= kRequests + kRequests / 10 + 30);
}

// Guards against a node that serves requests under a catalogue that it cannot
// confirm.
TEST_CASE("A stale node refuses every request")
{
  TrafficFixture node;
  auto view = std::make_shared<routing::RoutingView>(*node.m_context.m_view);
  view->m_confirmedAt = node.m_clock.Now() - routing::kMaxConfirmationAge;
  node.m_context.m_view = view;
  const auto response = node.HandleAtEntry(TrafficFixture::MakeBrowse());
  REQUIRE(response.result_int() == 503);
  REQUIRE(TrafficFixture::HeaderText(response, header::kReason) == "stale");
  REQUIRE(node.m_fakeBackend->m_requests.empty());
}

} // namespace rattanloft::node
