#include "rattanloft/http/Types.h"

#include <utility>

namespace rattanloft::http {

void
CancelToken::Cancel()
{
  if (m_cancelled) {
    return;
  }
  m_cancelled = true;
  // The callback may set another one, so it is moved out before it is called.
  const std::function<void()> callback = std::exchange(m_callback, nullptr);
  if (callback) {
    callback();
  }
}

void
CancelToken::SetCancelCallback(std::function<void()> aCallback)
{
  if (m_cancelled && aCallback) {
    aCallback();
    return;
  }
  m_callback = std::move(aCallback);
}

} // namespace rattanloft::http
