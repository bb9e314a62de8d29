#include "OwnerHandler.h"

#include <catch2/catch.hpp>

#include "RecordCodec.h"
#include "TrafficFixture.h"

namespace rattanloft::node {

namespace {

std::string
OutcomeText(const http::Response& aResponse)
{
  return TrafficFixture::Text(aResponse, header::kOutcome);
}

std::string
ReasonText(const http::Response& aResponse)
{
  return TrafficFixture::Text(aResponse, header::kReason);
}

} // namespace

// Guards against a deposit that runs twice because its answer was lost.
TEST_CASE("A repeat gets the stored answer and does not run")
{
  TrafficFixture node;
  node.Settle();
  const auto first = node.AtOwner(TrafficFixture::Order("k1"));
  REQUIRE(OutcomeText(first) == "answered");
  REQUIRE(first.result_int() == 201);
  const auto second = node.AtOwner(TrafficFixture::Order("k1"));
  REQUIRE(second.result_int() == 201);
  REQUIRE(second.body() == "done");
  REQUIRE(node.m_backend->m_requests.size() == 1);
}

// Guards against a repeat that overtakes the running first attempt.
TEST_CASE("A repeat while the first attempt runs is told so")
{
  TrafficFixture node;
  node.Settle();
  node.m_backend->m_delay = Milliseconds(100);
  node.m_deadline = Milliseconds(50);
  const auto first = node.AtOwner(TrafficFixture::Order("k1"));
  REQUIRE(first.result_int() == 504);
  REQUIRE(OutcomeText(first) == "unknown");
  const auto repeat = node.AtOwner(TrafficFixture::Order("k1"));
  REQUIRE(repeat.result_int() == 409);
  REQUIRE(OutcomeText(repeat) == "unknown");
  // The first attempt goes on after its caller's deadline, so that a later
  // repeat learns the answer.
  node.m_io.restart();
  node.m_io.run_for(std::chrono::milliseconds(150));
  REQUIRE(node.AtOwner(TrafficFixture::Order("k1")).result_int() == 201);
  REQUIRE(node.m_backend->m_requests.size() == 1);
}

// Guards against a second run after a connection that broke in the middle.
TEST_CASE("An unknown outcome stays unknown and is never run again")
{
  TrafficFixture node;
  node.Settle();
  node.m_backend->m_script = [](const auto&, const auto&) { return Broken(); };
  REQUIRE(node.AtOwner(TrafficFixture::Order("k1")).result_int() == 502);
  const auto repeat = node.AtOwner(TrafficFixture::Order("k1"));
  REQUIRE(repeat.result_int() == 504);
  REQUIRE(OutcomeText(repeat) == "unknown");
  REQUIRE(node.m_backend->m_requests.size() == 1);
}

// Guards against a record that exists on one node only when the backend server
// sees the request.
TEST_CASE("Without a second record holder nothing runs")
{
  TrafficFixture node;
  node.Settle();
  node.m_peers->m_script = [](const auto&, const auto&) {
    return Unreachable();
  };
  const auto refused = node.AtOwner(TrafficFixture::Order("k1"));
  REQUIRE(refused.result_int() == 503);
  REQUIRE(OutcomeText(refused) == "not-run");
  REQUIRE(ReasonText(refused) == "no_second_record_holder");
  REQUIRE(node.m_backend->m_requests.empty());
  node.m_peers->m_script = [](const auto&, const auto&) -> Reply {
    return AnswerOf(200, "");
  };
  REQUIRE(node.AtOwner(TrafficFixture::Order("k1")).result_int() == 201);
}

// Guards against work that runs with one copy of its record while two other
// nodes could hold one: the loss of two nodes would allow a second run.
TEST_CASE("One copy is not enough while two other nodes are known")
{
  TrafficFixture node;
  node.Settle();
  node.m_peers->m_script = [](const std::string& aPeer, const auto&) -> Reply {
    return aPeer == "10.0.0.2:1" ? Unreachable() : Reply(AnswerOf(200, ""));
  };
  const auto refused = node.AtOwner(TrafficFixture::Order("k1"));
  REQUIRE(ReasonText(refused) == "no_second_record_holder");
  REQUIRE(node.m_backend->m_requests.empty());
  node.m_gone[2] = true;
  node.SetOwner(1, 10);
  REQUIRE(node.AtOwner(TrafficFixture::Order("k1")).result_int() == 201);
}

// Guards against the pause between the check of the lease and the write.
TEST_CASE("A lease that ends while the record is copied stops the request")
{
  TrafficFixture node;
  node.Settle();
  node.m_peers->m_script = [&](const auto&, const auto&) -> Reply {
    node.SetOwner(1, 10, node.m_clock.Now() - Milliseconds(1));
    return AnswerOf(200, "");
  };
  const auto refused = node.AtOwner(TrafficFixture::Order("k1"));
  REQUIRE(refused.result_int() == kStatusMisdirected);
  REQUIRE(OutcomeText(refused) == "not-run");
  REQUIRE(node.m_backend->m_requests.empty());
}

// Guards against a new owner that runs a request again because it does not yet
// know the records of the former one.
TEST_CASE("A shard is served only after its records were collected")
{
  TrafficFixture node;
  node.m_peers->m_script = [](const auto&, const auto&) {
    return Unreachable();
  };
  node.SetOwner(1, 20);
  node.Settle();
  const auto refused = node.AtOwner(TrafficFixture::Order("k1"));
  REQUIRE(ReasonText(refused) == "records_not_ready");
  REQUIRE(OutcomeText(refused) == "not-run");
  REQUIRE(node.m_backend->m_requests.empty());
}

// Guards against a former owner that wakes up and records work after its
// successor has collected the records.
TEST_CASE("A copy under an epoch that was taken over is refused")
{
  TrafficFixture node;
  node.Settle();
  wire::RecordFetch fetch;
  fetch.set_service(TrafficFixture::kService);
  fetch.add_shards(5);
  fetch.add_epochs(30);
  http::Request request;
  request.body() = fetch.SerializeAsString();
  REQUIRE(node.m_records.HandleFetch(request).result_int() == 200);

  wire::RecordPut put;
  put.set_epoch(29);
  wire::IdempotencyRecord* record = put.add_records();
  record->set_service(TrafficFixture::kService);
  record->set_shard(5);
  record->set_key("late");
  record->set_retention_left_ms(1000);
  request.body() = put.SerializeAsString();
  REQUIRE(node.m_records.HandlePut(request).result_int() == kStatusMisdirected);
  put.set_epoch(30);
  request.body() = put.SerializeAsString();
  REQUIRE(node.m_records.HandlePut(request).result_int() == 200);
}

// Guards against a started record of a lost owner being taken for work that
// never ran.
TEST_CASE("Records that a lost owner had started are unknown to its successor")
{
  TrafficFixture node;
  node.Settle();
  const ShardNumber shard = HashedShard("k1");
  wire::RecordPut put;
  put.set_epoch(10);
  wire::IdempotencyRecord* record = put.add_records();
  record->set_service(TrafficFixture::kService);
  record->set_shard(shard);
  record->set_key("k1");
  record->set_fingerprint(Fingerprint(TrafficFixture::Order("k1")));
  record->set_retention_left_ms(60'000);
  http::Request request;
  request.body() = put.SerializeAsString();
  node.SetOwner(2, 10);
  REQUIRE(node.m_records.HandlePut(request).result_int() == 200);
  node.m_gone[2] = true;
  node.SetOwner(1, 40);
  node.Settle();
  const auto repeat = node.AtOwner(TrafficFixture::Order("k1"));
  REQUIRE(repeat.result_int() == 504);
  REQUIRE(OutcomeText(repeat) == "unknown");
  REQUIRE(node.m_backend->m_requests.empty());
}

// Guards against a second run after the loss of first the other holder of a
// record and later the owner.
TEST_CASE("Records are copied again when a holder is lost")
{
  TrafficFixture node;
  node.Settle();
  REQUIRE(node.AtOwner(TrafficFixture::Order("k1")).result_int() == 201);
  const auto copies = [&] {
    size_t count = 0;
    for (const auto& request : node.m_peers->m_requests) {
      count += request.second.target() == kRecordPutTarget ? 1 : 0;
    }
    return count;
  };
  const size_t before = copies();
  // Each node that is left gets a copy.
  size_t holders = 2;
  SECTION("it has left")
  {
    node.m_gone[2] = true;
    holders = 1;
  }
  SECTION("its process was replaced")
  {
    node.m_session = 2;
  }
  node.SetOwner(1, 10);
  node.Settle();
  REQUIRE(copies() == before + holders);
  // Nothing is copied while the holders stay.
  node.SetOwner(1, 10);
  node.Settle();
  REQUIRE(copies() == before + holders);
}

// Guards against two owners: a frozen backend server that returns may start a
// request that its node has given up on, while another one owns the shard.
TEST_CASE(
  "A shard is not released while an unanswered request could still start")
{
  TrafficFixture node;
  const TimePoint leaseEnd = node.m_clock.Now() + Milliseconds(300);
  node.SetOwner(1, 10, leaseEnd);
  node.Settle();
  node.m_backend->m_delay = Seconds(5);
  node.m_deadline = Milliseconds(50);
  const auto look = TrafficFixture::Look();
  REQUIRE(node.AtOwner(look).result_int() == 504);
  const auto classified = Classify(look, node.m_context.m_view);
  node.m_shards.Release(
    { { TrafficFixture::kService, *classified->m_shard, 10 } });
  REQUIRE(node.m_released.empty());
  while (node.m_clock.Now() < leaseEnd + Milliseconds(20)) {
    node.Settle();
  }
  REQUIRE(node.m_released.size() == 1);
}

// Guards against callers that wait for their whole deadline on a backend server
// that is known not to answer.
TEST_CASE("A node refuses at once while its backend server answers no probes")
{
  TrafficFixture node;
  node.Settle();
  node.m_context.m_backendHealthy = false;
  const auto refused = node.AtOwner(TrafficFixture::Look());
  REQUIRE(ReasonText(refused) == "backend_unhealthy");
  REQUIRE(OutcomeText(refused) == "not-run");
  REQUIRE(node.m_backend->m_requests.empty());
  node.m_context.m_backendHealthy = true;
  REQUIRE(OutcomeText(node.AtOwner(TrafficFixture::Look())) == "answered");
}

// Guards against cancelling non-idempotent work halfway.
TEST_CASE("At-most-once work is not cancelled when its caller goes away")
{
  TrafficFixture node;
  node.Settle();
  node.AtOwner(TrafficFixture::Order("k1"));
  REQUIRE(node.m_backend->m_tokens.at(0) == nullptr);
  node.AtOwner(TrafficFixture::Browse());
  REQUIRE(node.m_backend->m_tokens.at(1) == node.m_cancel);
}

// Guards against a token refusal being passed on as the caller's answer.
TEST_CASE("Refusals of the backend server are reported as not run")
{
  TrafficFixture node;
  node.Settle();
  node.m_backend->m_script = [](const auto&, const auto&) -> Reply {
    auto response = AnswerOf(409, "");
    response.set(header::kRefused, "token");
    return response;
  };
  REQUIRE(node.AtOwner(TrafficFixture::Browse()).result_int() ==
          kStatusMisdirected);
  node.m_backend->m_script = [](const auto&, const auto&) -> Reply {
    auto response = AnswerOf(503, "");
    response.set(header::kShed, "1");
    return response;
  };
  const auto shed = node.AtOwner(TrafficFixture::Browse());
  REQUIRE(ReasonText(shed) == "backend_shed");
  REQUIRE(OutcomeText(shed) == "not-run");
}

// Guards against new work for a backend server that an operator drains, from an
// entry node that has not heard of it yet.
TEST_CASE("A node refuses new work while an operator drains it")
{
  TrafficFixture node;
  node.Settle();
  auto view = std::make_shared<routing::View>(*node.m_context.m_view);
  view->m_operatorDrain = true;
  node.m_context.m_view = view;
  const auto refused = node.AtOwner(TrafficFixture::Browse());
  REQUIRE(refused.result_int() == kStatusMisdirected);
  REQUIRE(OutcomeText(refused) == "not-run");
  REQUIRE(node.m_backend->m_requests.empty());
}

// Guards against a new owner that refuses a request because the entry node has
// learnt of the move first: without a later change of the routes, the entry
// node would not try again.
TEST_CASE("A node waits for the routes that its entry node already has")
{
  TrafficFixture node;
  node.SetOwner(2, 10);
  const OwnerCall call{ "r1", node.m_clock.Now() + Milliseconds(400), 20 };
  boost::asio::steady_timer timer(node.m_io);
  timer.expires_after(std::chrono::milliseconds(20));
  SECTION("and then answers")
  {
    timer.async_wait([&](auto) { node.SetOwner(1, 20); });
    const auto answer = node.Await(
      node.m_owner.Handle(TrafficFixture::Look(), call, node.m_cancel));
    REQUIRE(OutcomeText(answer) == "answered");
  }
  SECTION("and refuses if they name another owner")
  {
    timer.async_wait([&](auto) { node.SetOwner(3, 20); });
    const auto answer = node.Await(
      node.m_owner.Handle(TrafficFixture::Look(), call, node.m_cancel));
    REQUIRE(answer.result_int() == kStatusMisdirected);
  }
  SECTION("but not for ever")
  {
    const auto answer = node.Await(
      node.m_owner.Handle(TrafficFixture::Look(), call, node.m_cancel));
    REQUIRE(answer.result_int() == kStatusMisdirected);
    REQUIRE(node.m_backend->m_requests.empty());
  }
}

// Guards against a harmful request that goes on crashing backend servers, and
// against an unknown outcome that is reported as not run.
TEST_CASE("A request that crashes the backend server alone is refused after")
{
  TrafficFixture node;
  node.Settle();
  bool down = false;
  node.m_backend->m_script = [&](const auto&,
                                 const http::Request& aRequest) -> Reply {
    if (aRequest.target() == "/rattanloft/health" && down) {
      return Unreachable();
    }
    down = true;
    return Broken();
  };
  for (int i = 0; i < 2; ++i) {
    down = false;
    REQUIRE(OutcomeText(node.AtOwner(TrafficFixture::Browse())) == "unknown");
    node.Settle();
    node.m_context.m_runs.OnNewIncarnation(node.m_clock.Now());
  }
  const size_t sent = node.m_backend->m_requests.size();
  const auto refused = node.AtOwner(TrafficFixture::Browse());
  REQUIRE(refused.result_int() == 403);
  REQUIRE(OutcomeText(refused) == "not-run");
  REQUIRE(ReasonText(refused) == "quarantined");
  REQUIRE(TrafficFixture::Text(refused, "Retry-After") == "600");
  REQUIRE(node.m_backend->m_requests.size() == sent);
}

// Guards against a record of work that may have run being replaced by the claim
// that it did not.
TEST_CASE("A blocked request whose record is unknown stays unknown")
{
  TrafficFixture node;
  node.Settle();
  node.m_backend->m_script = [&](const auto&,
                                 const http::Request& aRequest) -> Reply {
    return aRequest.target() == "/rattanloft/health" ? Unreachable() : Broken();
  };
  REQUIRE(OutcomeText(node.AtOwner(TrafficFixture::Order("k1"))) == "unknown");
  node.Settle();
  node.m_context.m_runs.OnNewIncarnation(node.m_clock.Now());
  REQUIRE(OutcomeText(node.AtOwner(TrafficFixture::Order("k2"))) == "unknown");
  node.Settle();
  node.m_context.m_runs.OnNewIncarnation(node.m_clock.Now());
  REQUIRE(ReasonText(node.AtOwner(TrafficFixture::Order("k3"))) ==
          "quarantined");
  const auto repeat = node.AtOwner(TrafficFixture::Order("k1"));
  REQUIRE(repeat.result_int() == 504);
  REQUIRE(OutcomeText(repeat) == "unknown");
}

// Guards against a planned move that cuts off running work or starts new work.
TEST_CASE("A shard is released after its last request")
{
  TrafficFixture node;
  node.Settle();
  const ShardNumber shard = HashedShard("k1");
  {
    const ShardTracker::Hold hold(
      node.m_shards, TrafficFixture::kService, shard);
    node.m_shards.Release({ { TrafficFixture::kService, shard, 10 } });
    REQUIRE(node.m_released.empty());
  }
  REQUIRE(node.m_released.size() == 1);
  node.m_shards.Release({ { TrafficFixture::kService, shard, 10 } });
  REQUIRE(node.m_released.size() == 1);
}

} // namespace rattanloft::node
