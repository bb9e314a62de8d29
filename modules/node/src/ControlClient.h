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

// Calls Sync at one control instance after the other. Owned by the control
// thread; callbacks run there.
class ControlClient
{
public:
  struct SyncResult
  {
    bool m_ok = false;
    wire::SyncReply m_reply;
    TimePoint m_sentAt;
    // What went wrong if not ok.
    std::string m_error;
  };
  using SyncCallback = std::function<void(SyncResult)>;

  static std::unique_ptr<ControlClient> Make(
    boost::asio::io_context& aContext,
    const Clock& aClock,
    std::vector<std::string> aAddresses);
  virtual ~ControlClient() = default;

  virtual void Sync(wire::SyncRequest aRequest, SyncCallback aCallback) = 0;
  // Uses the next control instance from now on.
  virtual void UseNextInstance() = 0;
  virtual const std::string& CurrentAddress() const = 0;
};

} // namespace rattanloft::node
