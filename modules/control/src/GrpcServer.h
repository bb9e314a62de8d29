#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "control.pb.h"

namespace rattanloft::control {

// Sends the reply to a Sync call.
using SyncResponder = std::function<void(wire::SyncReply aReply)>;

// Handles the calls that the gRPC server receives. Called on the control thread
// only.
class GrpcCallHandler
{
public:
  virtual ~GrpcCallHandler() = default;
  virtual void OnRaftBatch(const wire::RaftBatch& aBatch) = 0;
  // aCallId is unique within the process. The responder must be called once,
  // unless the call is cancelled.
  virtual void OnSync(uint64_t aCallId,
                      const wire::SyncRequest& aRequest,
                      SyncResponder aResponder) = 0;
  virtual void OnSyncCancelled(uint64_t aCallId) = 0;
};

// The gRPC services of a control instance: Sync calls of nodes, and Raft
// messages and relayed Sync calls of other control instances. Their callbacks
// run on the threads of gRPC and only post to aContext, the io_context of the
// control thread, which must run until Shutdown() has returned.
class GrpcServer
{
public:
  // Starts to listen. aAddress is host:port with an IP address; port 0 takes a
  // free port. The references must outlive the server.
  static tl::expected<std::unique_ptr<GrpcServer>, std::string> Make(
    const std::string& aAddress,
    boost::asio::io_context& aContext,
    GrpcCallHandler& aHandler);

  virtual ~GrpcServer() = default;
  virtual uint16_t Port() const = 0;
  // Refuses new calls, cancels those still in progress after 500 ms, and waits
  // for them to end. Must not be called on the control thread, which they need.
  virtual void Shutdown() = 0;
};

} // namespace rattanloft::control
