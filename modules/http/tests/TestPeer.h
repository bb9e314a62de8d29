#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "rattanloft/http/Client.h"
#include "rattanloft/http/Server.h"

namespace rattanloft::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::beast::http::field;
using boost::beast::http::status;
using boost::beast::http::verb;
using ExchangeResult = tl::expected<Response, HttpError>;

// Makes operations return their error code instead of throwing.
inline constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);

// Runs a coroutine on the context until it ends. Fails the test if it takes
// more than ten seconds.
template<typename Body>
void
RunTest(asio::io_context& aContext, Body aBody)
{
  bool done = false;
  std::exception_ptr exception;
  asio::co_spawn(aContext, aBody(), [&](std::exception_ptr aException) {
    exception = aException;
    done = true;
    aContext.stop();
  });
  aContext.restart();
  aContext.run_for(std::chrono::seconds(10));
  if (exception) {
    std::rethrow_exception(exception);
  }
  REQUIRE(done);
}

inline asio::awaitable<void>
Sleep(Duration aDuration)
{
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           std::chrono::milliseconds(aDuration.m_ms));
  co_await timer.async_wait(kUseAwaitableTuple);
}

inline Request
MakeRequest(std::string aTarget, std::string aBody = {})
{
  Request request;
  request.method(aBody.empty() ? verb::get : verb::post);
  request.target(aTarget);
  request.body() = std::move(aBody);
  return request;
}

// Returns the unit repeated until it has at least so many bytes.
inline std::string
Repeat(const std::string& aUnit, size_t aMinBytes)
{
  std::string text;
  while (text.size() < aMinBytes) {
    text += aUnit;
  }
  return text;
}

inline std::string
LoopbackAddress(uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

// A client that sends and receives raw bytes, to test a server with requests
// that Client would not send.
class RawClient
{
public:
  RawClient(asio::io_context& aContext, uint16_t aPort)
    : m_socket(aContext)
  {
    m_socket.connect({ asio::ip::address_v4::loopback(), aPort });
  }

  asio::awaitable<void> Send(std::string aText)
  {
    co_await asio::async_write(
      m_socket, asio::buffer(aText), kUseAwaitableTuple);
  }
  // Reads until the server closes the connection.
  asio::awaitable<std::string> ReadAll()
  {
    std::string text;
    co_await asio::async_read(
      m_socket, asio::dynamic_buffer(text), kUseAwaitableTuple);
    co_return text;
  }
  // Reads at least up to the delimiter; the result may hold more.
  asio::awaitable<std::string> ReadUntil(std::string aDelimiter)
  {
    std::string text;
    co_await asio::async_read_until(
      m_socket, asio::dynamic_buffer(text), aDelimiter, kUseAwaitableTuple);
    co_return text;
  }

  tcp::socket m_socket;
};

// A server that runs the script on each connection that it accepts, to test a
// client with responses that Server would not send.
class ScriptedPeer
{
public:
  // Called with the socket and the number of connections accepted before it.
  // The connection is closed when the script ends.
  using Script = std::function<asio::awaitable<void>(tcp::socket&, int)>;

  ScriptedPeer(asio::io_context& aContext, Script aScript)
    : m_acceptor(aContext, { asio::ip::address_v4::loopback(), 0 })
    , m_script(std::move(aScript))
  {
    asio::co_spawn(aContext, AcceptLoop(), asio::detached);
  }

  uint16_t Port() const { return m_acceptor.local_endpoint().port(); }
  int AcceptedCount() const { return m_acceptedCount; }

private:
  asio::awaitable<void> AcceptLoop()
  {
    while (true) {
      auto [error, socket] =
        co_await m_acceptor.async_accept(kUseAwaitableTuple);
      if (error) {
        co_return;
      }
      asio::co_spawn(m_acceptor.get_executor(),
                     RunScript(std::move(socket), m_acceptedCount++),
                     asio::detached);
    }
  }
  asio::awaitable<void> RunScript(tcp::socket aSocket, int aConnectionIndex)
  {
    co_await m_script(aSocket, aConnectionIndex);
  }

  tcp::acceptor m_acceptor;
  Script m_script;
  int m_acceptedCount = 0;
};

// Reads the header of one request; false if the connection ended.
inline asio::awaitable<bool>
ReadRequestHeader(tcp::socket& aSocket)
{
  std::string text;
  auto [error, count] = co_await asio::async_read_until(
    aSocket, asio::dynamic_buffer(text), "\r\n\r\n", kUseAwaitableTuple);
  co_return !error;
}

inline asio::awaitable<void>
SendText(tcp::socket& aSocket, std::string aText)
{
  co_await asio::async_write(aSocket, asio::buffer(aText), kUseAwaitableTuple);
}

} // namespace rattanloft::http
