#include "RecordService.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Outcome.h"
#include "RecordCodec.h"
#include "rattanloft/base/Hash.h"
#include "rattanloft/base/Log.h"

namespace rattanloft::node {

namespace {

constexpr Duration kRecordPutTimeout = Milliseconds(300);
constexpr Duration kRecordFetchTimeout = Milliseconds(1000);
// Delay before a failed fetch is repeated.
constexpr Duration kFetchRetryDelay = Milliseconds(100);
// Copies of a record besides the owner's own, so that one is left if two nodes
// are lost at once.
constexpr size_t kRecordCopies = 2;
// Nodes to which a copy is sent before the request is refused as not run.
constexpr size_t kMaxCopyAttempts = 4;
constexpr size_t kMaxRecordsPerPut = 200;

http::Request
MakePostRequest(std::string_view aTarget, std::string aBody)
{
  http::Request request;
  request.version(11);
  request.method_string("POST");
  request.target({ aTarget.data(), aTarget.size() });
  request.set("Content-Type", "application/x-protobuf");
  request.body() = std::move(aBody);
  request.prepare_payload();
  return request;
}

http::Response
MakePlainResponse(unsigned aStatus, std::string aBody)
{
  http::Response response;
  response.version(11);
  response.result(aStatus);
  response.body() = std::move(aBody);
  response.prepare_payload();
  return response;
}

bool
HasAtMostOnceEntry(const routing::Catalogue& aCatalogue,
                   std::string_view aService)
{
  return std::any_of(aCatalogue.Entries().begin(),
                     aCatalogue.Entries().end(),
                     [&](const wire::CatalogueEntry& aEntry) {
                       return aEntry.service() == aService &&
                              !aEntry.idempotent();
                     });
}

} // namespace

RecordService::RecordService(TrafficContext& aContext)
  : m_context(aContext)
{
}

void
RecordService::OnViewChanged()
{
  const routing::RoutingView& view = *m_context.m_view;
  const wire::Backend* ownBackend = view.m_routes->FindBackend(view.m_backend);
  if (ownBackend == nullptr ||
      !HasAtMostOnceEntry(*view.m_catalogue, ownBackend->service())) {
    return;
  }
  if (view.m_routes->Revision() == m_seenRouteRevision &&
      view.m_backend == m_seenBackendNumber) {
    return;
  }
  m_seenRouteRevision = view.m_routes->Revision();
  m_seenBackendNumber = view.m_backend;
  CopyAfterHolderLoss(ownBackend->service());
  ShardEpochs shards = NewlyOwnedShards(ownBackend->service());
  if (shards.empty()) {
    return;
  }
  for (const auto& [shard, epoch] : shards) {
    m_takeoverStartedEpochs[{ ownBackend->service(), shard }] = epoch;
  }
  boost::asio::co_spawn(
    m_context.m_ioContext,
    TakeOverShards(ownBackend->service(), std::move(shards)),
    boost::asio::detached);
}

bool
RecordService::IsReady(std::string_view aService,
                       ShardNumber aShard,
                       uint64_t aEpoch) const
{
  const auto found =
    m_takeoverDoneEpochs.find({ std::string(aService), aShard });
  return found != m_takeoverDoneEpochs.end() && found->second == aEpoch;
}

bool
RecordService::IsFenced(std::string_view aService,
                        ShardNumber aShard,
                        uint64_t aEpoch) const
{
  const auto found = m_fenceEpochs.find({ std::string(aService), aShard });
  return found != m_fenceEpochs.end() && aEpoch < found->second;
}

boost::asio::awaitable<bool>
RecordService::CopyToHolders(wire::RecordPut aPut)
{
  const std::string service = aPut.records(0).service();
  const std::string key = aPut.records(0).key();
  const std::string body = aPut.SerializeAsString();
  std::vector<uint32_t> holders = PreferredHolders(service, key);
  // A service with only two nodes has just one other node for a copy.
  const size_t wantedCopies = std::min(holders.size(), kRecordCopies);
  size_t storedCopies = 0;
  holders.resize(std::min(holders.size(), kMaxCopyAttempts));
  for (const uint32_t holder : holders) {
    const wire::Backend* backend =
      m_context.m_view->m_routes->FindBackend(holder);
    if (backend == nullptr) {
      continue;
    }
    const auto reply = co_await m_context.m_peerClient->Exchange(
      backend->peer_address(),
      MakePostRequest(kRecordPutTarget, body),
      kRecordPutTimeout);
    if (reply && reply->result_int() == 200) {
      ++m_context.m_counters.m_recordsCopied;
      ++storedCopies;
    }
    if (reply && reply->result_int() == kStatusMisdirected) {
      co_return false;
    }
    if (storedCopies == wantedCopies) {
      break;
    }
  }
  co_return storedCopies > 0 && storedCopies == wantedCopies;
}

http::Response
RecordService::HandleRecordPut(const http::Request& aRequest)
{
  wire::RecordPut put;
  if (!http::ParseMessage(aRequest.body(), put)) {
    return MakePlainResponse(400, "malformed record put");
  }
  const TimePoint now = m_context.m_clock.Now();
  for (const wire::IdempotencyRecord& record : put.records()) {
    if (IsFenced(record.service(), record.shard(), put.epoch())) {
      LogInfo("record",
              "Refused a record copy under an epoch that was taken over. "
              "service={} shard={} epoch={}",
              record.service(),
              record.shard(),
              put.epoch());
      return MakePlainResponse(kStatusMisdirected, "fenced");
    }
    if (put.abort()) {
      m_context.m_recordTable.Abort(record.service(), record.key());
    } else if (!m_context.m_recordTable.Import(FromWire(record), now)) {
      return MakePlainResponse(503, "record table full");
    }
  }
  return MakePlainResponse(200, "");
}

http::Response
RecordService::HandleRecordFetch(const http::Request& aRequest)
{
  wire::RecordFetch fetch;
  if (!http::ParseMessage(aRequest.body(), fetch) ||
      fetch.shards_size() != fetch.epochs_size()) {
    return MakePlainResponse(400, "malformed record fetch");
  }
  const TimePoint now = m_context.m_clock.Now();
  wire::RecordFetchReply reply;
  for (int i = 0; i < fetch.shards_size(); ++i) {
    uint64_t& fenceEpoch = m_fenceEpochs[{ fetch.service(), fetch.shards(i) }];
    fenceEpoch = std::max<uint64_t>(fenceEpoch, fetch.epochs(i));
    for (const idempotency::Record& record : m_context.m_recordTable.Export(
           fetch.service(), fetch.shards(i), now)) {
      *reply.add_records() = ToWire(record);
    }
  }
  return MakePlainResponse(200, reply.SerializeAsString());
}

RecordService::ShardEpochs
RecordService::NewlyOwnedShards(const std::string& aService) const
{
  const routing::RoutingView& view = *m_context.m_view;
  ShardEpochs shards;
  const auto routes = view.m_routes->Shards(aService);
  for (ShardNumber shard = 0; shard < routes.size(); ++shard) {
    if (routes[shard].m_owner != view.m_backend) {
      continue;
    }
    const auto started = m_takeoverStartedEpochs.find({ aService, shard });
    if (started == m_takeoverStartedEpochs.end() ||
        started->second != routes[shard].m_epoch) {
      shards.emplace_back(shard, routes[shard].m_epoch);
    }
  }
  return shards;
}

boost::asio::awaitable<void>
RecordService::TakeOverShards(std::string aService, ShardEpochs aShards)
{
  wire::RecordFetch fetch;
  fetch.set_service(aService);
  for (const auto& [shard, epoch] : aShards) {
    fetch.add_shards(shard);
    fetch.add_epochs(epoch);
  }
  for (const uint32_t holder : OtherHolders(aService)) {
    // A holder that does not answer may have the only copy of a record. The
    // takeover waits until it answers or the cluster has declared it gone.
    bool fetched = false;
    while (!fetched && IsRegistered(aService, holder)) {
      fetched = co_await FetchFrom(holder, fetch);
      if (!fetched) {
        co_await Sleep(m_context.m_ioContext, kFetchRetryDelay);
      }
    }
  }
  for (const auto& [shard, epoch] : aShards) {
    m_context.m_recordTable.TakeOver(aService, shard);
    m_takeoverDoneEpochs[{ aService, shard }] = epoch;
  }
  LogInfo("record",
          "Collected the at-most-once records of newly owned shards. "
          "service={} shards={}",
          aService,
          aShards.size());
  co_await CopyShardRecords(std::move(aService), std::move(aShards));
}

boost::asio::awaitable<bool>
RecordService::FetchFrom(uint32_t aBackendNumber, wire::RecordFetch aFetch)
{
  const wire::Backend* backend =
    m_context.m_view->m_routes->FindBackend(aBackendNumber);
  if (backend == nullptr) {
    co_return true;
  }
  const auto reply = co_await m_context.m_peerClient->Exchange(
    backend->peer_address(),
    MakePostRequest(kRecordFetchTarget, aFetch.SerializeAsString()),
    kRecordFetchTimeout);
  wire::RecordFetchReply records;
  if (!reply || reply->result_int() != 200 ||
      !http::ParseMessage(reply->body(), records)) {
    co_return false;
  }
  for (const wire::IdempotencyRecord& record : records.records()) {
    if (!m_context.m_recordTable.Import(FromWire(record),
                                        m_context.m_clock.Now())) {
      LogWarning(
        "record",
        "The record table is too full to take over the records of a shard.");
      co_return false;
    }
  }
  co_return true;
}

// The former owner or another holder may be lost, so this node may be the only
// one with these records.
boost::asio::awaitable<void>
RecordService::CopyShardRecords(std::string aService, ShardEpochs aShards)
{
  for (const auto& [shard, epoch] : aShards) {
    const auto records =
      m_context.m_recordTable.Export(aService, shard, m_context.m_clock.Now());
    for (size_t first = 0; first < records.size(); first += kMaxRecordsPerPut) {
      wire::RecordPut put;
      put.set_epoch(epoch);
      const size_t last = std::min(records.size(), first + kMaxRecordsPerPut);
      for (size_t i = first; i < last; ++i) {
        *put.add_records() = ToWire(records[i]);
      }
      co_await CopyToHolders(std::move(put));
    }
  }
}

void
RecordService::CopyAfterHolderLoss(const std::string& aService)
{
  const routing::RoutingView& view = *m_context.m_view;
  std::map<uint32_t, uint64_t> holders;
  for (const uint32_t number : OtherHolders(aService)) {
    holders[number] = view.m_routes->FindBackend(number)->session();
  }
  const bool holderLost = std::any_of(
    m_holderSessions.begin(), m_holderSessions.end(), [&](const auto& aHolder) {
      const auto found = holders.find(aHolder.first);
      return found == holders.end() || found->second != aHolder.second;
    });
  m_holderSessions = std::move(holders);
  if (!holderLost) {
    return;
  }
  // Skips shards whose takeover has not ended, because a takeover ends with
  // copying its records.
  ShardEpochs shards;
  const auto routes = view.m_routes->Shards(aService);
  for (ShardNumber shard = 0; shard < routes.size(); ++shard) {
    if (routes[shard].m_owner == view.m_backend &&
        IsReady(aService, shard, routes[shard].m_epoch)) {
      shards.emplace_back(shard, routes[shard].m_epoch);
    }
  }
  boost::asio::co_spawn(m_context.m_ioContext,
                        CopyShardRecords(aService, std::move(shards)),
                        boost::asio::detached);
}

std::vector<uint32_t>
RecordService::OtherHolders(std::string_view aService) const
{
  const routing::RoutingView& view = *m_context.m_view;
  std::vector<uint32_t> holders;
  for (const uint32_t number : view.m_routes->BackendsOf(aService)) {
    if (number != view.m_backend) {
      holders.push_back(number);
    }
  }
  return holders;
}

std::vector<uint32_t>
RecordService::PreferredHolders(std::string_view aService,
                                std::string_view aKey) const
{
  const routing::RouteTable& routes = *m_context.m_view->m_routes;
  std::vector<uint32_t> holders = OtherHolders(aService);
  const auto placementRank = [&](uint32_t aNumber) {
    const wire::Backend* backend = routes.FindBackend(aNumber);
    const bool sameZone =
      backend != nullptr && backend->zone() == m_context.m_zone;
    return std::make_pair(sameZone, Hash64(aKey, aNumber));
  };
  std::sort(
    holders.begin(), holders.end(), [&](uint32_t aLeft, uint32_t aRight) {
      return placementRank(aLeft) < placementRank(aRight);
    });
  return holders;
}

bool
RecordService::IsRegistered(std::string_view aService,
                            uint32_t aBackendNumber) const
{
  const auto registered = m_context.m_view->m_routes->BackendsOf(aService);
  return std::find(registered.begin(), registered.end(), aBackendNumber) !=
         registered.end();
}

} // namespace rattanloft::node
