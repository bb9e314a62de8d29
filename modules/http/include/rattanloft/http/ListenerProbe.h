#pragma once

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "rattanloft/http/Client.h"

namespace rattanloft::http {

// Tells a server that has crashed from a connection that broke for another
// reason: after a broken connection, checks whether the server still accepts
// new ones. Used on one thread.
class ListenerProbe
{
public:
  // aOnRefused is called when a connection to the server could not be made. The
  // probe must outlive the run of the io_context.
  ListenerProbe(boost::asio::io_context& aContext,
                std::function<void()> aOnRefused);

  // To be called when an exchange with the server has failed. aTarget is what a
  // probe requests; the answer does not matter. aClient must outlive the probe.
  void OnExchangeError(HttpErrorCode aError,
                       Client& aClient,
                       std::string aAddress,
                       std::string aTarget);

private:
  boost::asio::awaitable<void> Probe(Client& aClient,
                                     std::string aAddress,
                                     std::string aTarget);

  boost::asio::io_context& m_context;
  std::function<void()> m_onRefused;
  bool m_probing = false;
};

} // namespace rattanloft::http
