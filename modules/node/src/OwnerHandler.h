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

// What the entry node says about a request.
struct RequestTerms
{
  std::string m_requestId;
  TimePoint m_deadline;
  // Epoch that the entry node knows for the shard, 0 for none.
  uint64_t m_epoch = 0;
};

// Runs requests on the backend server beside this node. The answer always
// states its outcome. Owned by the traffic thread.
class OwnerHandler
{
public:
  OwnerHandler(TrafficContext& aContext,
               RecordService& aRecordService,
               ShardTracker& aShardTracker);

  boost::asio::awaitable<http::Response> Handle(
    http::Request aRequest,
    RequestTerms aTerms,
    std::shared_ptr<http::CancelToken> aCancelToken);

private:
  struct BackendRun;
  struct AtMostOnceRun;

  tl::expected<ClassifiedRequest, Refusal> CheckOwnership(
    const http::Request& aRequest,
    const RequestTerms& aTerms) const;
  bool IsStillOwner(const ClassifiedRequest& aRequest) const;
  bool IsBehindEntryNode(const http::Request& aRequest,
                         const RequestTerms& aTerms) const;
  boost::asio::awaitable<void> WaitForEpoch(const http::Request& aRequest,
                                            const RequestTerms& aTerms);
  boost::asio::awaitable<http::Response> HandleAtMostOnce(
    std::shared_ptr<BackendRun> aRun);
  boost::asio::awaitable<void> RunAtMostOnce(
    std::shared_ptr<AtMostOnceRun> aRun);
  boost::asio::awaitable<http::Response> RunOnBackend(
    std::shared_ptr<BackendRun> aRun,
    std::shared_ptr<http::CancelToken> aCancelToken);
  boost::asio::awaitable<http::Response> SendToBackend(
    std::shared_ptr<BackendRun> aRun,
    std::shared_ptr<http::CancelToken> aCancelToken,
    admission::JobResult& aResult);
  // Keeps the run, and with it its hold of the shard.
  boost::asio::awaitable<void> HoldShardUntil(std::shared_ptr<BackendRun> aRun,
                                              TimePoint aLeaseEnd);
  boost::asio::awaitable<bool> CopyRecord(std::shared_ptr<BackendRun> aRun,
                                          bool aAbort);
  void SetBackendHeaders(BackendRun& aRun, Duration aTimeLeft) const;
  Duration ExchangeTimeLeft(const BackendRun& aRun) const;

  TrafficContext& m_context;
  RecordService& m_recordService;
  ShardTracker& m_shardTracker;
  QuarantineGate m_quarantineGate;
};

} // namespace rattanloft::node
