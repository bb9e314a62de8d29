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
using Result = tl::expected<Response, HttpError>;

inline constexpr auto kToken = asio::as_tuple(asio::use_awaitable);

// Runs a coroutine to its end on the context and fails after ten seconds.
template<typename Body>
void
RunTest(asio::io_context& aContext, Body aBody)
{
  bool done = false;
  std::exception_ptr failure;
  asio::co_spawn(aContext, aBody(), [&](std::exception_ptr aFailure) {
    failure = aFailure;
    done = true;
    aContext.stop();
  });
  aContext.restart();
  aContext.run_for(std::chrono::seconds(10));
  if (failure) {
    std::rethrow_exception(failure);
  }
  REQUIRE(done);
}

inline asio::awaitable<void>
Sleep(Duration aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           std::chrono::milliseconds(aTime.m_ms));
  co_await timer.async_wait(kToken);
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

inline std::string
PeerName(uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

// A plain socket to a server under test.
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
    co_await asio::async_write(m_socket, asio::buffer(aText), kToken);
  }
  // All bytes until the server closes.
  asio::awaitable<std::string> ReadAll()
  {
    std::string text;
    co_await asio::async_read(m_socket, asio::dynamic_buffer(text), kToken);
    co_return text;
  }
  asio::awaitable<std::string> ReadUntil(std::string aEnd)
  {
    std::string text;
    co_await asio::async_read_until(
      m_socket, asio::dynamic_buffer(text), aEnd, kToken);
    co_return text;
  }

  tcp::socket m_socket;
};

// A peer that plays a script on each connection that it accepts.
class ScriptedPeer
{
public:
  using Script = std::function<asio::awaitable<void>(tcp::socket&, int)>;

  ScriptedPeer(asio::io_context& aContext, Script aScript)
    : m_acceptor(aContext, { asio::ip::address_v4::loopback(), 0 })
    , m_script(std::move(aScript))
  {
    asio::co_spawn(aContext, AcceptLoop(), asio::detached);
  }

  uint16_t Port() const { return m_acceptor.local_endpoint().port(); }
  int Accepted() const { return m_accepted; }

private:
  asio::awaitable<void> AcceptLoop()
  {
    while (true) {
      auto [error, socket] = co_await m_acceptor.async_accept(kToken);
      if (error) {
        co_return;
      }
      asio::co_spawn(m_acceptor.get_executor(),
                     Play(std::move(socket), m_accepted++),
                     asio::detached);
    }
  }
  asio::awaitable<void> Play(tcp::socket aSocket, int aNumber)
  {
    co_await m_script(aSocket, aNumber);
  }

  tcp::acceptor m_acceptor;
  Script m_script;
  int m_accepted = 0;
};

// Reads one request without a body; false at the end of the connection.
inline asio::awaitable<bool>
ReadHead(tcp::socket& aSocket)
{
  std::string text;
  auto [error, count] = co_await asio::async_read_until(
    aSocket, asio::dynamic_buffer(text), "\r\n\r\n", kToken);
  co_return !error;
}

inline asio::awaitable<void>
SendText(tcp::socket& aSocket, std::string aText)
{
  co_await asio::async_write(aSocket, asio::buffer(aText), kToken);
}

} // namespace rattanloft::http
