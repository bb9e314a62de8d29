#include "OwnerHandler.h"

#include <catch2/catch.hpp>

#include "RecordCodec.h"
#include "TrafficFixture.h"
#include "rattanloft/http/Fingerprint.h"

namespace rattanloft::node {

namespace {

std::string
StatedOutcome(const http::Response& aResponse)
{
  return TrafficFixture::HeaderText(aResponse, header::kOutcome);
}

std::string
StatedReason(const http::Response& aResponse)
{
  return TrafficFixture::HeaderText(aResponse, header::kReason);
}

} // namespace

// Guards against at-most-once work that runs twice because its answer was lost.
TEST_CASE("A repeated request gets the stored answer and does not run again")
{
  TrafficFixture node;
  node.RunPendingWork();
  const auto first = node.HandleAtOwner(TrafficFixture::MakeOrder("k1"));
  REQUIRE(StatedOutcome(first) == "answered");
  REQUIRE(first.result_int() == 201);
  const auto second = node.HandleAtOwner(TrafficFixture::MakeOrder("k1"));
  REQUIRE(second.result_int() == 201);
  REQUIRE(second.body() == "done");
  REQUIRE(node.m_fakeBackend->m_requests.size() == 1);
}

// Guards against a repeated request that runs while the first attempt still
// does.
TEST_CASE("A repeated request is refused while the first attempt runs")
{
  TrafficFixture node;
  node.RunPendingWork();
  node.m_fakeBackend->m_delay = Milliseconds(100);
  node.m_requestTimeout = Milliseconds(50);
  const auto first = node.HandleAtOwner(TrafficFixture::MakeOrder("k1"));
  REQUIRE(first.result_int() == 504);
  REQUIRE(StatedOutcome(first) == "unknown");
  const auto repeat = node.HandleAtOwner(TrafficFixture::MakeOrder("k1"));
  REQUIRE(repeat.result_int() == 409);
  REQUIRE(StatedOutcome(repeat) == "unknown");
  // The first attempt goes on after its caller's deadline, so that a later
  // repeated request gets its answer.
  node.m_ioContext.restart();
  node.m_ioContext.run_for(std::chrono::milliseconds(150));
  REQUIRE(node.HandleAtOwner(TrafficFixture::MakeOrder("k1")).result_int() ==
          201);
  REQUIRE(node.m_fakeBackend->m_requests.size() == 1);
}

// Guards against running work again after a connection broke during its first
// run.
TEST_CASE(
  "Work with an unknown outcome is reported as unknown and never run again")
{
  TrafficFixture node;
  node.RunPendingWork();
  node.m_fakeBackend->m_responder = [](const auto&, const auto&) {
    return BrokenConnectionError();
  };
  REQUIRE(node.HandleAtOwner(TrafficFixture::MakeOrder("k1")).result_int() ==
          502);
  const auto repeat = node.HandleAtOwner(TrafficFixture::MakeOrder("k1"));
  REQUIRE(repeat.result_int() == 504);
  REQUIRE(StatedOutcome(repeat) == "unknown");
  REQUIRE(node.m_fakeBackend->m_requests.size() == 1);
}

// Guards against sending a request to the backend server while only one node
// has its record.
TEST_CASE("At-most-once work does not run without a second record holder")
{
  TrafficFixture node;
  node.RunPendingWork();
  node.m_fakePeers->m_responder = [](const auto&, const auto&) {
    return UnreachableError();
  };
  const auto refused = node.HandleAtOwner(TrafficFixture::MakeOrder("k1"));
  REQUIRE(refused.result_int() == 503);
  REQUIRE(StatedOutcome(refused) == "not-run");
  REQUIRE(StatedReason(refused) == "no_second_record_holder");
  REQUIRE(node.m_fakeBackend->m_requests.empty());
  node.m_fakePeers->m_responder = [](const auto&,
                                     const auto&) -> ExchangeResult {
    return MakeAnswer(200, "");
  };
  REQUIRE(node.HandleAtOwner(TrafficFixture::MakeOrder("k1")).result_int() ==
          201);
}

// Guards against work that runs with one copy of its record although two other
// nodes could hold one: after the loss of two nodes it could run again.
TEST_CASE(
  "At-most-once work needs two record copies if there are two other nodes")
{
  TrafficFixture node;
  node.RunPendingWork();
  node.m_fakePeers->m_responder = [](const std::string& aPeer,
                                     const auto&) -> ExchangeResult {
    return aPeer == "10.0.0.2:1" ? UnreachableError()
                                 : ExchangeResult(MakeAnswer(200, ""));
  };
  const auto refused = node.HandleAtOwner(TrafficFixture::MakeOrder("k1"));
  REQUIRE(StatedReason(refused) == "no_second_record_holder");
  REQUIRE(node.m_fakeBackend->m_requests.empty());
  node.m_goneBackends[2] = true;
  node.SetOwner(1, 10);
  REQUIRE(node.HandleAtOwner(TrafficFixture::MakeOrder("k1")).result_int() ==
          201);
}

// Guards against sending a request after its lease has ended during the wait
// between the check of the lease and the send.
TEST_CASE("A request is not sent if its lease ends while its record is copied")
{
  TrafficFixture node;
  node.RunPendingWork();
  node.m_fakePeers->m_responder = [&](const auto&,
                                      const auto&) -> ExchangeResult {
    node.SetOwner(1, 10, node.m_clock.Now() - Milliseconds(1));
    return MakeAnswer(200, "");
  };
  const auto refused = node.HandleAtOwner(TrafficFixture::MakeOrder("k1"));
  REQUIRE(refused.result_int() == kStatusMisdirected);
  REQUIRE(StatedOutcome(refused) == "not-run");
  REQUIRE(node.m_fakeBackend->m_requests.empty());
}

// Guards against a new owner that runs a request again because it does not know
// the records of the former owner yet.
TEST_CASE(
  "At-most-once work is refused until the records of its shard are there")
{
  TrafficFixture node;
  node.m_fakePeers->m_responder = [](const auto&, const auto&) {
    return UnreachableError();
  };
  node.SetOwner(1, 20);
  node.RunPendingWork();
  const auto refused = node.HandleAtOwner(TrafficFixture::MakeOrder("k1"));
  REQUIRE(StatedReason(refused) == "records_not_ready");
  REQUIRE(StatedOutcome(refused) == "not-run");
  REQUIRE(node.m_fakeBackend->m_requests.empty());
}

// Guards against a former owner that resumes and records work after its
// successor has collected the records.
TEST_CASE("A record copy under an epoch that was taken over is refused")
{
  TrafficFixture node;
  node.RunPendingWork();
  wire::RecordFetch fetch;
  fetch.set_service(TrafficFixture::kService);
  fetch.add_shards(5);
  fetch.add_epochs(30);
  http::Request request;
  request.body() = fetch.SerializeAsString();
  REQUIRE(node.m_recordService.HandleRecordFetch(request).result_int() == 200);

  wire::RecordPut put;
  put.set_epoch(29);
  wire::IdempotencyRecord* record = put.add_records();
  record->set_service(TrafficFixture::kService);
  record->set_shard(5);
  record->set_key("late");
  record->set_retention_left_ms(1000);
  request.body() = put.SerializeAsString();
  REQUIRE(node.m_recordService.HandleRecordPut(request).result_int() ==
          kStatusMisdirected);
  put.set_epoch(30);
  request.body() = put.SerializeAsString();
  REQUIRE(node.m_recordService.HandleRecordPut(request).result_int() == 200);
}

// Guards against treating work that a lost owner had started as work that never
// ran.
TEST_CASE("Work that a lost owner had started has an unknown outcome")
{
  TrafficFixture node;
  node.RunPendingWork();
  const ShardNumber shard = HashedShard("k1");
  wire::RecordPut put;
  put.set_epoch(10);
  wire::IdempotencyRecord* record = put.add_records();
  record->set_service(TrafficFixture::kService);
  record->set_shard(shard);
  record->set_key("k1");
  record->set_fingerprint(
    http::ComputeFingerprint(TrafficFixture::MakeOrder("k1")));
  record->set_retention_left_ms(60'000);
  http::Request request;
  request.body() = put.SerializeAsString();
  node.SetOwner(2, 10);
  REQUIRE(node.m_recordService.HandleRecordPut(request).result_int() == 200);
  node.m_goneBackends[2] = true;
  node.SetOwner(1, 40);
  node.RunPendingWork();
  const auto repeat = node.HandleAtOwner(TrafficFixture::MakeOrder("k1"));
  REQUIRE(repeat.result_int() == 504);
  REQUIRE(StatedOutcome(repeat) == "unknown");
  REQUIRE(node.m_fakeBackend->m_requests.empty());
}

// Guards against running work again after first the other holder of its record
// and later the owner were lost.
TEST_CASE("Records are copied again when a holder is lost")
{
  TrafficFixture node;
  node.RunPendingWork();
  REQUIRE(node.HandleAtOwner(TrafficFixture::MakeOrder("k1")).result_int() ==
          201);
  const auto copies = [&] {
    size_t count = 0;
    for (const auto& request : node.m_fakePeers->m_requests) {
      count += request.second.target() == kRecordPutTarget ? 1 : 0;
    }
    return count;
  };
  const size_t before = copies();
  // Each remaining node gets a copy.
  size_t holders = 2;
  SECTION("because it has left the cluster")
  {
    node.m_goneBackends[2] = true;
    holders = 1;
  }
  SECTION("because its process was replaced")
  {
    node.m_backendSession = 2;
  }
  node.SetOwner(1, 10);
  node.RunPendingWork();
  REQUIRE(copies() == before + holders);
  // No record is copied while the holders stay the same.
  node.SetOwner(1, 10);
  node.RunPendingWork();
  REQUIRE(copies() == before + holders);
}

// Guards against two owners at a time: a frozen backend server that resumes may
// start a request that its node has given up on, while another one owns the
// shard.
TEST_CASE(
  "A shard is not released while an unanswered request could still start")
{
  TrafficFixture node;
  const TimePoint leaseEnd = node.m_clock.Now() + Milliseconds(300);
  node.SetOwner(1, 10, leaseEnd);
  node.RunPendingWork();
  node.m_fakeBackend->m_delay = Seconds(5);
  node.m_requestTimeout = Milliseconds(50);
  const auto look = TrafficFixture::MakeLook();
  REQUIRE(node.HandleAtOwner(look).result_int() == 504);
  const auto classified = Classify(look, node.m_context.m_view);
  node.m_shardTracker.RequestRelease(
    { { TrafficFixture::kService, *classified->m_shard, 10 } });
  REQUIRE(node.m_releasedShards.empty());
  while (node.m_clock.Now() < leaseEnd + Milliseconds(20)) {
    node.RunPendingWork();
  }
  REQUIRE(node.m_releasedShards.size() == 1);
}

// Guards against callers that wait until their deadline for a backend server
// that is known not to answer.
TEST_CASE("A node refuses at once while its backend server answers no probes")
{
  TrafficFixture node;
  node.RunPendingWork();
  node.m_context.m_backendHealthy = false;
  const auto refused = node.HandleAtOwner(TrafficFixture::MakeLook());
  REQUIRE(StatedReason(refused) == "backend_unhealthy");
  REQUIRE(StatedOutcome(refused) == "not-run");
  REQUIRE(node.m_fakeBackend->m_requests.empty());
  node.m_context.m_backendHealthy = true;
  REQUIRE(StatedOutcome(node.HandleAtOwner(TrafficFixture::MakeLook())) ==
          "answered");
}

// Guards against cancelling non-idempotent work that has begun.
TEST_CASE("At-most-once work is not cancelled when its caller goes away")
{
  TrafficFixture node;
  node.RunPendingWork();
  node.HandleAtOwner(TrafficFixture::MakeOrder("k1"));
  REQUIRE(node.m_fakeBackend->m_cancelTokens.at(0) == nullptr);
  node.HandleAtOwner(TrafficFixture::MakeBrowse());
  REQUIRE(node.m_fakeBackend->m_cancelTokens.at(1) == node.m_cancelToken);
}

// Guards against work that begins for a caller that has left the queue.
TEST_CASE("Queued work does not begin after its caller has left")
{
  TrafficFixture node;
  node.RunPendingWork();
  node.m_context.m_admissionGate.SetBackend(1, false);
  node.m_fakeBackend->m_delay = Milliseconds(60);
  const RequestTerms terms{ "r1", node.m_clock.Now() + Milliseconds(800), 0 };
  const auto token = std::make_shared<http::CancelToken>();
  std::optional<http::Response> queuedResponse;
  const auto request = GENERATE(0, 1) == 0 ? TrafficFixture::MakeOrder("k2")
                                           : TrafficFixture::MakeBrowse();
  boost::asio::steady_timer timer(node.m_ioContext);
  timer.expires_after(std::chrono::milliseconds(10));
  timer.async_wait([&](auto) {
    boost::asio::co_spawn(node.m_ioContext,
                          node.m_ownerHandler.Handle(request, terms, token),
                          [&](std::exception_ptr, http::Response aResponse) {
                            queuedResponse = std::move(aResponse);
                          });
    timer.expires_after(std::chrono::milliseconds(10));
    timer.async_wait([&](auto) { token->Cancel(); });
  });
  node.HandleAtOwner(TrafficFixture::MakeOrder("k1"));
  node.m_ioContext.restart();
  node.m_ioContext.run_for(std::chrono::milliseconds(200));
  REQUIRE(queuedResponse);
  CHECK(StatedOutcome(*queuedResponse) == "not-run");
  CHECK(node.m_fakeBackend->m_requests.size() == 1);
}

// Guards against passing a refusal of the token by the backend server on to the
// caller as its answer.
TEST_CASE("Refusals of the backend server are reported as not run")
{
  TrafficFixture node;
  node.RunPendingWork();
  node.m_fakeBackend->m_responder = [](const auto&,
                                       const auto&) -> ExchangeResult {
    auto response = MakeAnswer(409, "");
    response.set(header::kRefused, "token");
    return response;
  };
  REQUIRE(node.HandleAtOwner(TrafficFixture::MakeBrowse()).result_int() ==
          kStatusMisdirected);
  node.m_fakeBackend->m_responder = [](const auto&,
                                       const auto&) -> ExchangeResult {
    auto response = MakeAnswer(503, "");
    response.set(header::kShed, "1");
    return response;
  };
  const auto shed = node.HandleAtOwner(TrafficFixture::MakeBrowse());
  REQUIRE(StatedReason(shed) == "backend_shed");
  REQUIRE(StatedOutcome(shed) == "not-run");
}

// Guards against new work for a backend server that an operator drains, sent by
// an entry node that does not know of the drain yet.
TEST_CASE("A node refuses new work while an operator drains it")
{
  TrafficFixture node;
  node.RunPendingWork();
  auto view = std::make_shared<routing::RoutingView>(*node.m_context.m_view);
  view->m_operatorDrain = true;
  node.m_context.m_view = view;
  const auto refused = node.HandleAtOwner(TrafficFixture::MakeBrowse());
  REQUIRE(refused.result_int() == kStatusMisdirected);
  REQUIRE(StatedOutcome(refused) == "not-run");
  REQUIRE(node.m_fakeBackend->m_requests.empty());
}

// Guards against a new owner that refuses a request because the entry node has
// learned of the move first. Without a later route change, the entry node would
// not send it again.
TEST_CASE("A node waits for the routes that its entry node already has")
{
  TrafficFixture node;
  node.SetOwner(2, 10);
  const RequestTerms terms{ "r1", node.m_clock.Now() + Milliseconds(400), 20 };
  boost::asio::steady_timer timer(node.m_ioContext);
  timer.expires_after(std::chrono::milliseconds(20));
  SECTION("and then runs the request if it owns the shard")
  {
    timer.async_wait([&](auto) { node.SetOwner(1, 20); });
    const auto answer = node.Await(node.m_ownerHandler.Handle(
      TrafficFixture::MakeLook(), terms, node.m_cancelToken));
    REQUIRE(StatedOutcome(answer) == "answered");
  }
  SECTION("and refuses the request if they name another owner")
  {
    timer.async_wait([&](auto) { node.SetOwner(3, 20); });
    const auto answer = node.Await(node.m_ownerHandler.Handle(
      TrafficFixture::MakeLook(), terms, node.m_cancelToken));
    REQUIRE(answer.result_int() == kStatusMisdirected);
  }
  SECTION("but only for a limited time")
  {
    const auto answer = node.Await(node.m_ownerHandler.Handle(
      TrafficFixture::MakeLook(), terms, node.m_cancelToken));
    REQUIRE(answer.result_int() == kStatusMisdirected);
    REQUIRE(node.m_fakeBackend->m_requests.empty());
  }
}

// Guards against a harmful request that keeps crashing backend servers, and
// against reporting an unknown outcome as not run.
TEST_CASE("A request that crashes the backend server on its own is blocked")
{
  TrafficFixture node;
  node.RunPendingWork();
  bool backendDown = false;
  node.m_fakeBackend->m_responder =
    [&](const auto&, const http::Request& aRequest) -> ExchangeResult {
    if (aRequest.target() == "/rattanloft/health" && backendDown) {
      return UnreachableError();
    }
    backendDown = true;
    return BrokenConnectionError();
  };
  for (int i = 0; i < 2; ++i) {
    backendDown = false;
    REQUIRE(StatedOutcome(node.HandleAtOwner(TrafficFixture::MakeBrowse())) ==
            "unknown");
    node.RunPendingWork();
    node.m_context.m_runTracker.OnNewIncarnation(node.m_clock.Now());
  }
  const size_t sent = node.m_fakeBackend->m_requests.size();
  const auto refused = node.HandleAtOwner(TrafficFixture::MakeBrowse());
  REQUIRE(refused.result_int() == 403);
  REQUIRE(StatedOutcome(refused) == "not-run");
  REQUIRE(StatedReason(refused) == "quarantined");
  REQUIRE(TrafficFixture::HeaderText(refused, "Retry-After") == "600");
  REQUIRE(node.m_fakeBackend->m_requests.size() == sent);
}

// Guards against reporting work as not run, because of its quarantine, although
// its record says that it may have run.
TEST_CASE(
  "A blocked request with a record of unknown outcome is reported unknown")
{
  TrafficFixture node;
  node.RunPendingWork();
  node.m_fakeBackend->m_responder =
    [&](const auto&, const http::Request& aRequest) -> ExchangeResult {
    return aRequest.target() == "/rattanloft/health" ? UnreachableError()
                                                     : BrokenConnectionError();
  };
  REQUIRE(StatedOutcome(node.HandleAtOwner(TrafficFixture::MakeOrder("k1"))) ==
          "unknown");
  node.RunPendingWork();
  node.m_context.m_runTracker.OnNewIncarnation(node.m_clock.Now());
  REQUIRE(StatedOutcome(node.HandleAtOwner(TrafficFixture::MakeOrder("k2"))) ==
          "unknown");
  node.RunPendingWork();
  node.m_context.m_runTracker.OnNewIncarnation(node.m_clock.Now());
  REQUIRE(StatedReason(node.HandleAtOwner(TrafficFixture::MakeOrder("k3"))) ==
          "quarantined");
  const auto repeat = node.HandleAtOwner(TrafficFixture::MakeOrder("k1"));
  REQUIRE(repeat.result_int() == 504);
  REQUIRE(StatedOutcome(repeat) == "unknown");
}

// Guards against a planned move that cuts off running work or runs new work on
// the former owner.
TEST_CASE("A shard is released once, after its last request has ended")
{
  TrafficFixture node;
  node.RunPendingWork();
  const ShardNumber shard = HashedShard("k1");
  {
    const ShardTracker::Hold hold(
      node.m_shardTracker, TrafficFixture::kService, shard);
    node.m_shardTracker.RequestRelease(
      { { TrafficFixture::kService, shard, 10 } });
    REQUIRE(node.m_releasedShards.empty());
  }
  REQUIRE(node.m_releasedShards.size() == 1);
  node.m_shardTracker.RequestRelease(
    { { TrafficFixture::kService, shard, 10 } });
  REQUIRE(node.m_releasedShards.size() == 1);
}

} // namespace rattanloft::node
