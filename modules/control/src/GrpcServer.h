#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "control.pb.h"

namespace rattanloft::control {

using SyncResponder = std::function<void(wire::SyncReply aReply)>;

// What the gRPC server hands over. Called on the control thread only.
class GrpcCallHandler
{
public:
  virtual ~GrpcCallHandler() = default;
  virtual void OnRaftBatch(const wire::RaftBatch& aBatch) = 0;
  // The responder is to be called once, unless the call is cancelled.
  virtual void OnSync(uint64_t aCallId,
                      const wire::SyncRequest& aRequest,
                      SyncResponder aResponder) = 0;
  virtual void OnSyncCancelled(uint64_t aCallId) = 0;
};

// The gRPC services of a control instance. Its callbacks run on gRPC's threads
// and only post to the control thread's context, which must run until
// Shutdown() has returned.
class GrpcServer
{
public:
  // aAddress is host:port with an IP address; port 0 takes a free one.
  static tl::expected<std::unique_ptr<GrpcServer>, std::string> Make(
    const std::string& aAddress,
    boost::asio::io_context& aContext,
    GrpcCallHandler& aHandler);

  virtual ~GrpcServer() = default;
  virtual uint16_t Port() const = 0;
  // Refuses new calls, cancels those in progress and waits for them. Not to be
  // called on the control thread.
  virtual void Shutdown() = 0;
};

} // namespace rattanloft::control
