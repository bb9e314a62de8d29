#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "control.pb.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/base/Time.h"

namespace boost::asio {
class io_context;
}

namespace rattanloft::node {

// Calls Sync on one of the control instances and can switch to the next. Owned
// by the control thread, on which the callbacks run.
class ControlClient
{
public:
  // Outcome of one Sync call.
  struct SyncResult
  {
    // Whether a reply has arrived; it may report an error status of its own.
    bool m_ok = false;
    wire::SyncReply m_reply;
    // When the request was sent.
    TimePoint m_sentAt;
    // Message of the error if m_ok is false.
    std::string m_error;
  };
  using SyncCallback = std::function<void(SyncResult)>;

  // aAddresses are gRPC addresses as host:port, at least one.
  static std::unique_ptr<ControlClient> Make(
    boost::asio::io_context& aContext,
    const Clock& aClock,
    std::vector<std::string> aAddresses);
  virtual ~ControlClient() = default;

  // Sends a Sync. aCallback is called exactly once, with the reply or an error.
  virtual void Sync(wire::SyncRequest aRequest, SyncCallback aCallback) = 0;
  // Sends further Syncs to the next control instance in the list.
  virtual void UseNextInstance() = 0;
  // Address of the control instance in use.
  virtual const std::string& CurrentAddress() const = 0;
};

} // namespace rattanloft::node
