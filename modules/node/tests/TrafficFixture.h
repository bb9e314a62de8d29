#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "EntryHandler.h"
#include "Headers.h"
#include "OwnerHandler.h"
#include "RecordService.h"
#include "ShardTracker.h"
#include "TrafficContext.h"

namespace rattanloft::node {

using ExchangeResult = tl::expected<http::Response, http::HttpError>;

inline http::Response
MakeAnswer(unsigned aStatus, std::string aBody)
{
  http::Response response;
  response.version(11);
  response.result(aStatus);
  response.body() = std::move(aBody);
  response.prepare_payload();
  return response;
}

// A fake for the connections to other nodes or to the backend server. A
// function answers each request, after an optional delay.
class FakeClient final : public http::Client
{
public:
  using Responder = std::function<ExchangeResult(const std::string& aPeer,
                                                 const http::Request&)>;

  FakeClient(boost::asio::io_context& aContext, Responder aResponder)
    : m_context(aContext)
    , m_responder(std::move(aResponder))
  {
  }

  boost::asio::awaitable<ExchangeResult> Exchange(
    std::string aPeer,
    http::Request aRequest,
    Duration aTimeout,
    std::shared_ptr<http::CancelToken> aCancelToken) override
  {
    m_requests.emplace_back(aPeer, aRequest);
    m_cancelTokens.push_back(aCancelToken);
    co_await Sleep(m_context, std::min(m_delay, aTimeout));
    if (m_delay >= aTimeout) {
      co_return tl::unexpected(
        http::HttpError{ http::HttpErrorCode::kTimeout, true, "timeout" });
    }
    co_return m_responder(aPeer, aRequest);
  }
  void CloseIdleConnections(std::string_view) override {}
  size_t ConnectionCount() const override { return 0; }

  boost::asio::io_context& m_context;
  Responder m_responder;
  Duration m_delay;
  std::vector<std::pair<std::string, http::Request>> m_requests;
  std::vector<std::shared_ptr<http::CancelToken>> m_cancelTokens;
};

inline ExchangeResult
UnreachableError()
{
  return tl::unexpected(
    http::HttpError{ http::HttpErrorCode::kConnectFailed, false, "refused" });
}

inline ExchangeResult
BrokenConnectionError()
{
  return tl::unexpected(http::HttpError{
    http::HttpErrorCode::kConnectionBroken, true, "closed early" });
}

// The request path of one node, with fakes for other nodes and backend servers.
// Backend server 1 belongs to the node; 2 and 3 of the same service are in
// other zones.
class TrafficFixture
{
public:
  static constexpr const char* kService = "shop";

  TrafficFixture()
    : m_context(m_ioContext,
                m_clock,
                admission::Scheduler::Make("deadline"),
                MakeOptions())
    , m_shardTracker([this](const routing::OwnedShard& aShard) {
      m_releasedShards.push_back(aShard);
    })
    , m_recordService(m_context)
    , m_ownerHandler(m_context, m_recordService, m_shardTracker)
    , m_entryHandler(m_context, m_ownerHandler)
  {
    auto fakePeers = std::make_unique<FakeClient>(
      m_ioContext,
      [](const std::string&, const http::Request&) -> ExchangeResult {
        return MakeAnswer(200, "");
      });
    auto fakeBackend = std::make_unique<FakeClient>(
      m_ioContext,
      [](const std::string&, const http::Request&) -> ExchangeResult {
        return MakeAnswer(201, "done");
      });
    m_fakePeers = fakePeers.get();
    m_fakeBackend = fakeBackend.get();
    m_context.m_peerClient = std::move(fakePeers);
    m_context.m_backendClient = std::move(fakeBackend);
    m_context.m_backendAddress = "127.0.0.1:1";
    m_context.m_admissionGate.SetBackend(4, false);
    std::vector<admission::EntryLimits> limits;
    for (const wire::CatalogueEntry& entry : CatalogueEntries()) {
      limits.push_back({ entry.name(), admission::WorkClass::kPrompt, 0, 100 });
    }
    m_context.m_admissionGate.SetLimits(std::move(limits));
    SetOwner(1, 10);
    // The takeover of the first shards sends record requests, which are of no
    // interest to the tests.
    RunPendingWork();
    m_fakePeers->m_requests.clear();
  }

  // Publishes a view in which aOwner owns all shards under aEpoch. Backend
  // servers in m_goneBackends have left the cluster. The lease ends in 60 s by
  // default.
  void SetOwner(uint32_t aOwner,
                uint64_t aEpoch,
                std::optional<TimePoint> aLeaseEnd = std::nullopt)
  {
    wire::RouteUpdate update;
    update.set_full(true);
    update.set_revision(++m_routeRevision);
    for (uint32_t number = 1; number <= 3; ++number) {
      if (m_goneBackends.count(number) > 0) {
        continue;
      }
      wire::Backend* backend = update.add_backends();
      backend->set_number(number);
      backend->set_node_id("n" + std::to_string(number));
      backend->set_service(kService);
      backend->set_zone("z" + std::to_string(number));
      backend->set_peer_address("10.0.0." + std::to_string(number) + ":1");
      backend->set_session(m_backendSession);
      backend->set_slots(4);
      backend->set_verifies_tokens(true);
    }
    wire::ServiceRoutes* routes = update.add_services();
    routes->set_service(kService);
    for (ShardNumber shard = 0; shard < kHashedShards; ++shard) {
      routes->add_owners(aOwner);
      routes->add_epochs(aEpoch);
      routes->add_move_targets(0);
    }
    auto view = std::make_shared<routing::RoutingView>();
    view->m_routes = routing::RouteTable::MakeEmpty()->WithUpdate(update);
    view->m_catalogue = routing::Catalogue::Make(1, CatalogueEntries());
    view->m_backend = 1;
    view->m_confirmedAt = m_clock.Now();
    view->m_leaseEnd = aLeaseEnd.value_or(m_clock.Now() + Seconds(60));
    m_context.m_view = view;
    m_recordService.OnViewChanged();
    m_context.m_viewChanged.NotifyAll();
  }

  // Runs a request as the owner node, as if an entry node had sent it.
  http::Response HandleAtOwner(http::Request aRequest)
  {
    const RequestTerms terms{ "r1", m_clock.Now() + m_requestTimeout, 0 };
    return Await(
      m_ownerHandler.Handle(std::move(aRequest), terms, m_cancelToken));
  }

  // Runs a request as the entry node.
  http::Response HandleAtEntry(http::Request aRequest)
  {
    return Await(m_entryHandler.Handle(std::move(aRequest), m_cancelToken));
  }

  // Runs the io_context until the response is there.
  http::Response Await(boost::asio::awaitable<http::Response> aWork)
  {
    std::optional<http::Response> response;
    boost::asio::co_spawn(
      m_ioContext,
      std::move(aWork),
      [&](std::exception_ptr aError, http::Response aResponse) {
        if (aError) {
          std::rethrow_exception(aError);
        }
        response = std::move(aResponse);
      });
    while (!response) {
      m_ioContext.restart();
      m_ioContext.run_one();
    }
    return std::move(*response);
  }

  // Runs takeovers and other detached work for 30 ms.
  void RunPendingWork()
  {
    m_ioContext.restart();
    m_ioContext.run_for(std::chrono::milliseconds(30));
  }

  // A non-idempotent request; aKey is its idempotency key.
  static http::Request MakeOrder(const char* aKey, const char* aBody = "body")
  {
    http::Request request;
    request.version(11);
    request.method_string("POST");
    request.target("/shop/orders");
    request.set(header::kIdempotencyKey, aKey);
    request.body() = aBody;
    request.prepare_payload();
    return request;
  }

  // An idempotent request without a key.
  static http::Request MakeBrowse()
  {
    http::Request request;
    request.version(11);
    request.method_string("GET");
    request.target("/shop/items");
    return request;
  }

  // An idempotent request for a key, which only the owner of its shard may run.
  static http::Request MakeLook()
  {
    http::Request request = MakeBrowse();
    request.method_string("HEAD");
    return request;
  }

  static std::vector<wire::CatalogueEntry> CatalogueEntries()
  {
    wire::CatalogueEntry order;
    order.set_name("shop.order");
    order.set_service(kService);
    order.add_methods("POST");
    order.set_idempotent(false);
    order.mutable_limits()->set_deadline_ms(1000);
    wire::CatalogueEntry browse = order;
    browse.set_name("shop.browse");
    browse.set_methods(0, "GET");
    browse.set_idempotent(true);
    wire::CatalogueEntry look = browse;
    look.set_name("shop.look");
    look.set_methods(0, "HEAD");
    look.set_keyed(true);
    return { browse, order, look };
  }

  static NodeOptions MakeOptions()
  {
    NodeOptions options;
    options.m_nodeId = "n1";
    options.m_zone = "z1";
    return options;
  }

  // Value of a header field, empty if it is missing.
  static std::string HeaderText(const http::Response& aResponse,
                                std::string_view aName)
  {
    return std::string(aResponse[aName]);
  }

  boost::asio::io_context m_ioContext;
  BootClock m_clock;
  TrafficContext m_context;
  std::vector<routing::OwnedShard> m_releasedShards;
  ShardTracker m_shardTracker;
  RecordService m_recordService;
  OwnerHandler m_ownerHandler;
  EntryHandler m_entryHandler;
  FakeClient* m_fakePeers = nullptr;
  FakeClient* m_fakeBackend = nullptr;
  uint64_t m_routeRevision = 0;
  uint64_t m_backendSession = 1;
  // Numbers of the backend servers that have left the cluster.
  std::map<uint32_t, bool> m_goneBackends;
  // Time from the call of HandleAtOwner to the deadline of the request.
  Duration m_requestTimeout = Seconds(2);
  std::shared_ptr<http::CancelToken> m_cancelToken =
    std::make_shared<http::CancelToken>();
};

} // namespace rattanloft::node
