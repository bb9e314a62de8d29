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

// Guards against callers that speak for a node.
TEST_CASE("Internal headers of callers are dropped")
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

// Guards against a stale route that ends in an error although nothing ran.
TEST_CASE("After a 421 the request follows the new route")
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
// not concern its shard, which refused requests while many shards moved.
TEST_CASE("Changes of other shards do not count as a new owner")
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

// Guards against a request that fails since the new owner learnt of the move
// later than the entry node, with no further change of routes to come.
TEST_CASE("An owner that does not know of its shard yet is tried again")
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

// Guards against changes of other shards that use up the attempts while the
// own shard still moves.
TEST_CASE("Only a new owner of the own shard ends the wait after a 421")
{
  TrafficFixture node;
  node.SetOwner(2, 10);
  node.m_fakePeers->m_responder = [&](const auto&,
                                      const auto&) -> ExchangeResult {
    // The revision rises, the owner stays.
    node.SetOwner(2, 10);
    return MakeNodeAnswer(421, "not-run", "not_owner");
  };
  const TimePoint start = node.m_clock.Now();
  const auto response = node.HandleAtEntry(TrafficFixture::MakeOrder("k1"));
  REQUIRE(response.result_int() == 503);
  REQUIRE(StatedOutcome(response) == "not-run");
  REQUIRE(node.m_clock.Now() - start >= Milliseconds(900));
}

// Guards against work that may have run being sent a second time.
TEST_CASE("Unknown outcomes of non-idempotent work are not sent again")
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
// reached the node, and against a wait that outlives the use of an answer.
TEST_CASE("An unreachable owner is reported as not run, within the limit")
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

// Guards against reporting a request as not run whose first attempt may have
// run before its node was lost.
TEST_CASE("A refused retry does not hide an attempt that may have run")
{
  // The choice of nodes is random, so it is repeated.
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

// Guards against one failing node taking down a service without keys.
// One request needs at most two retries, which the floor of the retry budget
// always allows; the choice of nodes is random, so it is repeated.
TEST_CASE("Idempotent work without keys goes to another node")
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

// Guards against retries that multiply load while everything fails.
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
  // 10 % and the floor of 3 a second; the run takes well under 10 s.
  REQUIRE(sent <= kRequests + kRequests / 10 + 30);
}

// Guards against a node that serves under a catalogue it cannot confirm.
TEST_CASE("A stale node refuses every request")
{
  TrafficFixture node;
  auto view = std::make_shared<routing::View>(*node.m_context.m_view);
  view->m_confirmedAt = node.m_clock.Now() - routing::kStaleAfter;
  node.m_context.m_view = view;
  const auto response = node.HandleAtEntry(TrafficFixture::MakeBrowse());
  REQUIRE(response.result_int() == 503);
  REQUIRE(TrafficFixture::HeaderText(response, header::kReason) == "stale");
  REQUIRE(node.m_fakeBackend->m_requests.empty());
}

} // namespace rattanloft::node
