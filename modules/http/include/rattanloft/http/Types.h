#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/beast/http/message.hpp>

#include "rattanloft/http/Body.h"

namespace rattanloft::http {

using Request = boost::beast::http::request<BodyType>;
using Response = boost::beast::http::response<BodyType>;

enum class HttpErrorCode
{
  // The address of the peer or of the server is malformed.
  kInvalidAddress,
  // The server cannot listen on its address.
  kListenFailed,
  // No connection to the peer could be made, or not within the connect timeout.
  kConnectFailed,
  // The exchange did not complete within its timeout.
  kTimeout,
  // The connection failed or was closed early, or the response is malformed,
  // too large or truncated.
  kConnectionBroken,
  // The caller cancelled the exchange through its CancelToken.
  kCancelled,
  // All connections of the pool are in use and too many exchanges wait.
  kPoolFull,
};

struct HttpError
{
  HttpErrorCode m_code;
  // False only if it is certain that no byte of the request was written to a
  // socket, so that the peer cannot have executed the request.
  bool m_maybeSent = true;
  std::string m_message;
};

// Tells an operation that its result is no longer needed. Not thread-safe: used
// on one thread.
class CancelToken
{
public:
  bool IsCancelled() const { return m_cancelled; }
  void Cancel();
  // Sets the function that Cancel() calls, in place of an earlier one; an empty
  // function clears it. Calls it at once if the token is already cancelled.
  void SetCancelCallback(std::function<void()> aCallback);

private:
  bool m_cancelled = false;
  std::function<void()> m_callback;
};

} // namespace rattanloft::http
