#pragma once

#include <chrono>
#include <list>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "rattanloft/base/Time.h"

namespace rattanloft::node {

// A condition variable for the coroutines of one io_context thread. Must
// outlive every wait.
class AsyncCondition
{
public:
  explicit AsyncCondition(boost::asio::io_context& aContext)
    : m_context(aContext)
  {
  }

  // Completes at the next NotifyAll or after the timeout, whichever comes
  // first.
  boost::asio::awaitable<void> Wait(Duration aTimeout)
  {
    boost::asio::steady_timer timer(m_context);
    timer.expires_after(std::chrono::milliseconds(aTimeout.m_ms));
    const auto position = m_waiterTimers.insert(m_waiterTimers.end(), &timer);
    boost::system::error_code error;
    co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
    m_waiterTimers.erase(position);
  }

  void NotifyAll()
  {
    for (boost::asio::steady_timer* timer : m_waiterTimers) {
      timer->cancel();
    }
  }

  // Number of coroutines that wait now.
  size_t WaiterCount() const { return m_waiterTimers.size(); }

private:
  boost::asio::io_context& m_context;
  // Timers of the waiting coroutines, each on the frame of its Wait.
  std::list<boost::asio::steady_timer*> m_waiterTimers;
};

// Suspends the calling coroutine for the given time.
inline boost::asio::awaitable<void>
Sleep(boost::asio::io_context& aContext, Duration aDuration)
{
  boost::asio::steady_timer timer(aContext);
  timer.expires_after(std::chrono::milliseconds(aDuration.m_ms));
  boost::system::error_code error;
  co_await timer.async_wait(
    boost::asio::redirect_error(boost::asio::use_awaitable, error));
}

} // namespace rattanloft::node
