#pragma once

#include <chrono>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "rattanloft/base/Time.h"

namespace rattanloft::coordinator {

// Lets a coroutine wait for a notification from the same thread. Serves one
// waiter at a time: a new Wait() ends the previous one.
class AsyncCondition
{
public:
  explicit AsyncCondition(boost::asio::io_context& aContext)
    : m_timer(aContext)
  {
  }

  // Returns when NotifyAll() is called or after the timeout.
  boost::asio::awaitable<void> Wait(Duration aTimeout)
  {
    m_timer.expires_after(std::chrono::milliseconds(aTimeout.m_ms));
    co_await m_timer.async_wait(
      boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  void NotifyAll() { m_timer.cancel(); }

private:
  boost::asio::steady_timer m_timer;
};

} // namespace rattanloft::coordinator
