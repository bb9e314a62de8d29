#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace rattanloft::http {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;

enum class HttpErrorCode
{
  kInvalidAddress,
  kListenFailed,
  // No connection could be made.
  kConnectFailed,
  kTimeout,
  // The peer closed early or the message is malformed or cut short.
  kConnectionBroken,
  kCancelled,
  // No connection was free within the pool's bounds.
  kPoolFull,
};

struct HttpError
{
  HttpErrorCode m_code;
  // False only if certainly no byte of the request reached the socket.
  bool m_maybeSent = true;
  std::string m_message;
};

// Tells an operation that nobody waits for its result any more. Single thread.
class CancelToken
{
public:
  bool IsCancelled() const { return m_cancelled; }
  void Cancel();
  // Runs at once if already cancelled. One callback at a time; an empty one
  // clears it.
  void SetCancelCallback(std::function<void()> aCallback);

private:
  bool m_cancelled = false;
  std::function<void()> m_callback;
};

} // namespace rattanloft::http
