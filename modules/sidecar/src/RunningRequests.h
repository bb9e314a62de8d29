#pragma once

#include <memory>
#include <set>

#include "rattanloft/http/Types.h"

namespace rattanloft::sidecar {

// The requests that a sidecar serves, so that a stop can end those that would
// otherwise be cut off without an answer. Used on the traffic thread.
class RunningRequests
{
public:
  using Token = std::shared_ptr<http::CancelToken>;

  // Counts a request as running until it is destroyed.
  class Guard
  {
  public:
    Guard(RunningRequests& aRequests, Token aToken)
      : m_requests(aRequests)
      , m_token(std::move(aToken))
    {
      m_requests.m_tokens.insert(m_token);
    }
    ~Guard() { m_requests.m_tokens.erase(m_token); }
    Guard(const Guard&) = delete;
    Guard& operator=(const Guard&) = delete;

  private:
    RunningRequests& m_requests;
    Token m_token;
  };

  // Ends the wait of all running requests for a slot, an owner or an answer.
  // Their handlers return what is known of each.
  void CancelAll()
  {
    const std::set<Token> tokens = m_tokens;
    for (const Token& token : tokens) {
      token->Cancel();
    }
  }
  size_t Count() const { return m_tokens.size(); }

private:
  std::set<Token> m_tokens;
};

} // namespace rattanloft::sidecar
