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
struct OwnerCall
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
               RecordService& aRecords,
               ShardTracker& aShards);

  boost::asio::awaitable<http::Response> Handle(
    http::Request aRequest,
    OwnerCall aCall,
    std::shared_ptr<http::CancelToken> aCancel);

private:
  struct Run;
  struct OnceRun;

  tl::expected<ClassifiedRequest, Refusal> CheckOwnership(
    const http::Request& aRequest,
    const OwnerCall& aCall) const;
  bool StillOwner(const ClassifiedRequest& aRequest) const;
  bool IsBehind(const http::Request& aRequest, const OwnerCall& aCall) const;
  boost::asio::awaitable<void> WaitForEpoch(const http::Request& aRequest,
                                            const OwnerCall& aCall);
  boost::asio::awaitable<http::Response> HandleOnce(std::shared_ptr<Run> aRun);
  boost::asio::awaitable<void> RunOnce(std::shared_ptr<OnceRun> aRun);
  boost::asio::awaitable<http::Response> RunOnBackend(
    std::shared_ptr<Run> aRun,
    std::shared_ptr<http::CancelToken> aCancel);
  boost::asio::awaitable<http::Response> Send(
    std::shared_ptr<Run> aRun,
    std::shared_ptr<http::CancelToken> aCancel,
    admission::JobResult& aResult);
  // Keeps the run, and with it its hold of the shard.
  boost::asio::awaitable<void> HoldUntil(std::shared_ptr<Run> aRun,
                                         TimePoint aExpires);
  boost::asio::awaitable<bool> CopyRecord(std::shared_ptr<Run> aRun,
                                          bool aAbort);
  void PrepareHeaders(Run& aRun, Duration aLeft) const;
  Duration TimeToSend(const Run& aRun) const;

  TrafficContext& m_context;
  RecordService& m_records;
  ShardTracker& m_shards;
  QuarantineGate m_quarantine;
};

} // namespace rattanloft::node
