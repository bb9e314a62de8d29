#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "LocalBackend.h"
#include "rattanloft/base/Clock.h"
#include "rattanloft/http/Client.h"
#include "rattanloft/sidecar/BackendProtocol.h"

namespace rattanloft::sidecar {

// Sends the calls that CallDelivery asks for to the backend server. Holds no
// policy. Used on the traffic thread.
class RangeCaller
{
public:
  // All references must outlive the caller. The options limit the connections
  // and the memory of the clients. aOnEnded is called after each call.
  RangeCaller(boost::asio::io_context& aContext,
              const Clock& aClock,
              const BackendProtocol& aProtocol,
              LocalBackend& aLocalBackend,
              std::string aBackendAddress,
              const http::ClientOptions& aGrantClientOptions,
              const http::ClientOptions& aReleaseClientOptions,
              std::function<void()> aOnEnded);

  // Starts the calls that are due. Must be called after each change of the
  // local backend and at least every 100 ms.
  void SendDueCalls();
  // Connections to the earlier lifetime are not used again.
  void OnNewLifetime();

private:
  boost::asio::awaitable<void> RunCall(OutgoingRangeCall aCall);
  void LogResult(const OutgoingRangeCall& aCall,
                 const RangeCallResult& aResult,
                 Duration aCallTime,
                 std::string_view aReason) const;

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  const BackendProtocol& m_protocol;
  LocalBackend& m_localBackend;
  std::string m_backendAddress;
  std::function<void()> m_onEnded;
  std::unique_ptr<http::Client> m_grantClient;
  // Never uses a connection twice, so that a late copy of another answer cannot
  // be mistaken for the end of the requests that run.
  std::unique_ptr<http::Client> m_releaseClient;
};

} // namespace rattanloft::sidecar
