#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "QuarantineGate.h"
#include "RecordService.h"
#include "RequestClassifier.h"
#include "ShardTracker.h"
#include "TrafficContext.h"

namespace rattanloft::node {

// What the entry node states about a request besides the request itself.
struct RequestTerms
{
  std::string m_requestId;
  TimePoint m_deadline;
  // Epoch of the shard in the routes of the entry node, 0 if it sent none.
  uint64_t m_epoch = 0;
};

// Runs requests on the backend server beside this node, provided that this node
// owns their shard. Each response states its outcome. Owned by the traffic
// thread.
class OwnerHandler
{
public:
  // The arguments outlive the handler.
  OwnerHandler(TrafficContext& aContext,
               RecordService& aRecordService,
               ShardTracker& aShardTracker);

  boost::asio::awaitable<http::Response> Handle(
    http::Request aRequest,
    RequestTerms aTerms,
    std::shared_ptr<http::CancelToken> aCancelToken);

private:
  // One request on its way to the backend server.
  struct BackendRun;
  // A BackendRun that goes on after its caller has stopped waiting.
  struct AtMostOnceRun;

  // Classifies the request and refuses it if this node may not run it now.
  tl::expected<ClassifiedRequest, Refusal> CheckOwnership(
    const http::Request& aRequest,
    const RequestTerms& aTerms) const;
  // True if this node still owns the shard under the epoch with which aRequest
  // was classified, and its lease has not ended.
  bool IsStillOwner(const ClassifiedRequest& aRequest) const;
  // True if the entry node has routes with a later epoch of the shard.
  bool IsBehindEntryNode(const http::Request& aRequest,
                         const RequestTerms& aTerms) const;
  // Waits until this node has the routes of the entry node, or for a limited
  // time.
  boost::asio::awaitable<void> WaitForEpoch(const http::Request& aRequest,
                                            const RequestTerms& aTerms);
  // Answers a repeated request from its record, else runs the request.
  boost::asio::awaitable<http::Response> HandleAtMostOnce(
    std::shared_ptr<BackendRun> aRun,
    std::shared_ptr<http::CancelToken> aCancelToken);
  // Runs the request and records its outcome. Once begun, it runs to its end
  // whether or not the caller still waits.
  boost::asio::awaitable<void> RunAtMostOnce(
    std::shared_ptr<AtMostOnceRun> aRun,
    std::shared_ptr<http::CancelToken> aCancelToken);
  // Runs the request after the quarantine and the scheduler have admitted it.
  boost::asio::awaitable<http::Response> RunOnBackend(
    std::shared_ptr<BackendRun> aRun,
    std::shared_ptr<http::CancelToken> aCancelToken);
  // Checks the ownership once more and sends the request to the backend server.
  // aResult is what the scheduler is told.
  boost::asio::awaitable<http::Response> SendToBackend(
    std::shared_ptr<BackendRun> aRun,
    std::shared_ptr<http::CancelToken> aCancelToken,
    admission::JobResult& aResult);
  // Keeps the run alive, and with it the hold on its shard, until the lease has
  // ended.
  boost::asio::awaitable<void> HoldShardUntil(std::shared_ptr<BackendRun> aRun,
                                              TimePoint aLeaseEnd);
  // Copies the record of the request to other nodes, or aborts those copies.
  // False if too few nodes have confirmed.
  boost::asio::awaitable<bool> CopyRecord(std::shared_ptr<BackendRun> aRun,
                                          bool aAbort);
  void SetBackendHeaders(BackendRun& aRun, Duration aTimeLeft) const;
  // Time for the exchange with the backend server, without the grace time.
  Duration ExchangeTimeLeft(const BackendRun& aRun) const;

  TrafficContext& m_context;
  RecordService& m_recordService;
  ShardTracker& m_shardTracker;
  QuarantineGate m_quarantineGate;
};

} // namespace rattanloft::node
