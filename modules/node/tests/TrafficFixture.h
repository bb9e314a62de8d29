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

using Reply = tl::expected<http::Response, http::HttpError>;

inline http::Response
AnswerOf(unsigned aStatus, std::string aBody)
{
  http::Response response;
  response.version(11);
  response.result(aStatus);
  response.body() = std::move(aBody);
  response.prepare_payload();
  return response;
}

// Stands in for other nodes or the backend server: a function answers each
// request, after an optional delay.
class FakeClient final : public http::Client
{
public:
  using Script =
    std::function<Reply(const std::string& aPeer, const http::Request&)>;

  FakeClient(boost::asio::io_context& aContext, Script aScript)
    : m_context(aContext)
    , m_script(std::move(aScript))
  {
  }

  boost::asio::awaitable<Reply> Exchange(
    std::string aPeer,
    http::Request aRequest,
    Duration aTimeout,
    std::shared_ptr<http::CancelToken> aCancel) override
  {
    m_requests.emplace_back(aPeer, aRequest);
    m_tokens.push_back(aCancel);
    co_await Sleep(m_context, std::min(m_delay, aTimeout));
    if (m_delay >= aTimeout) {
      co_return tl::unexpected(
        http::HttpError{ http::HttpErrorCode::kTimeout, true, "timeout" });
    }
    co_return m_script(aPeer, aRequest);
  }
  void CloseIdleConnections(std::string_view) override {}
  size_t ConnectionCount() const override { return 0; }

  boost::asio::io_context& m_context;
  Script m_script;
  Duration m_delay;
  std::vector<std::pair<std::string, http::Request>> m_requests;
  std::vector<std::shared_ptr<http::CancelToken>> m_tokens;
};

inline Reply
Unreachable()
{
  return tl::unexpected(
    http::HttpError{ http::HttpErrorCode::kConnectFailed, false, "refused" });
}

inline Reply
Broken()
{
  return tl::unexpected(http::HttpError{
    http::HttpErrorCode::kConnectionBroken, true, "closed early" });
}

// The request path of one node, with fakes for everything outside it. Backend 1
// is its own; backends 2 and 3 of the same service are in other zones.
class TrafficFixture
{
public:
  static constexpr const char* kService = "shop";

  TrafficFixture()
    : m_context(m_io,
                m_clock,
                admission::Scheduler::Make("deadline"),
                MakeOptions())
    , m_shards([this](const routing::OwnShard& aShard) {
      m_released.push_back(aShard);
    })
    , m_records(m_context)
    , m_owner(m_context, m_records, m_shards)
    , m_entry(m_context, m_owner)
  {
    auto peers = std::make_unique<FakeClient>(
      m_io, [](const std::string&, const http::Request&) -> Reply {
        return AnswerOf(200, "");
      });
    auto backends = std::make_unique<FakeClient>(
      m_io, [](const std::string&, const http::Request&) -> Reply {
        return AnswerOf(201, "done");
      });
    m_peers = peers.get();
    m_backend = backends.get();
    m_context.m_peers = std::move(peers);
    m_context.m_backends = std::move(backends);
    m_context.m_backendAddress = "127.0.0.1:1";
    m_context.m_gate.SetBackend(4, false);
    std::vector<admission::EntryLimits> limits;
    for (const wire::CatalogueEntry& entry : Entries()) {
      limits.push_back({ entry.name(), admission::WorkClass::kPrompt, 0, 100 });
    }
    m_context.m_gate.SetLimits(std::move(limits));
    SetOwner(1, 10);
    // The takeover of the first grants sends requests of its own.
    Settle();
    m_peers->m_requests.clear();
  }

  // All shards to one backend, under one epoch. Backends in aGone have left.
  void SetOwner(uint32_t aOwner,
                uint64_t aEpoch,
                std::optional<TimePoint> aLeaseEnd = std::nullopt)
  {
    wire::RouteUpdate update;
    update.set_full(true);
    update.set_revision(++m_revision);
    for (uint32_t number = 1; number <= 3; ++number) {
      if (m_gone.count(number) > 0) {
        continue;
      }
      wire::Backend* backend = update.add_backends();
      backend->set_number(number);
      backend->set_node_id("n" + std::to_string(number));
      backend->set_service(kService);
      backend->set_zone("z" + std::to_string(number));
      backend->set_peer_address("10.0.0." + std::to_string(number) + ":1");
      backend->set_session(m_session);
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
    auto view = std::make_shared<routing::View>();
    view->m_routes = routing::RouteTable::MakeEmpty()->With(update);
    view->m_catalogue = routing::Catalogue::Make(1, Entries());
    view->m_backend = 1;
    view->m_confirmedAt = m_clock.Now();
    view->m_leaseEnd = aLeaseEnd.value_or(m_clock.Now() + Seconds(60));
    m_context.m_view = view;
    m_records.OnViewChanged();
    m_context.m_viewChanged.Notify();
  }

  http::Response AtOwner(http::Request aRequest)
  {
    const OwnerCall call{ "r1", m_clock.Now() + m_deadline, 0 };
    return Await(m_owner.Handle(std::move(aRequest), call, m_cancel));
  }

  http::Response AtEntry(http::Request aRequest)
  {
    return Await(m_entry.Handle(std::move(aRequest), m_cancel));
  }

  http::Response Await(boost::asio::awaitable<http::Response> aWork)
  {
    std::optional<http::Response> response;
    boost::asio::co_spawn(
      m_io,
      std::move(aWork),
      [&](std::exception_ptr aError, http::Response aResponse) {
        if (aError) {
          std::rethrow_exception(aError);
        }
        response = std::move(aResponse);
      });
    while (!response) {
      m_io.restart();
      m_io.run_one();
    }
    return std::move(*response);
  }

  // Lets takeovers and other detached work end.
  void Settle()
  {
    m_io.restart();
    m_io.run_for(std::chrono::milliseconds(30));
  }

  static http::Request Order(const char* aKey, const char* aBody = "body")
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

  static http::Request Browse()
  {
    http::Request request;
    request.version(11);
    request.method_string("GET");
    request.target("/shop/items");
    return request;
  }

  static http::Request Look()
  {
    http::Request request = Browse();
    request.method_string("HEAD");
    return request;
  }

  static std::vector<wire::CatalogueEntry> Entries()
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

  static std::string Text(const http::Response& aResponse,
                          std::string_view aName)
  {
    return std::string(aResponse[aName]);
  }

  boost::asio::io_context m_io;
  BootClock m_clock;
  TrafficContext m_context;
  std::vector<routing::OwnShard> m_released;
  ShardTracker m_shards;
  RecordService m_records;
  OwnerHandler m_owner;
  EntryHandler m_entry;
  FakeClient* m_peers = nullptr;
  FakeClient* m_backend = nullptr;
  uint64_t m_revision = 0;
  uint64_t m_session = 1;
  std::map<uint32_t, bool> m_gone;
  Duration m_deadline = Seconds(2);
  std::shared_ptr<http::CancelToken> m_cancel =
    std::make_shared<http::CancelToken>();
};

} // namespace rattanloft::node
