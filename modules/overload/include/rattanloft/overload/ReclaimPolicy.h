#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "rattanloft/base/Time.h"

namespace rattanloft::overload {

class ReclaimSource;

// A connection whose memory can be taken back by closing it.
struct ReclaimCandidate
{
  ReclaimSource* m_source = nullptr;
  // Identifies the connection to m_source.
  void* m_connection = nullptr;
  // Bytes that become free.
  size_t m_bytes = 0;
  // Time since the last byte was received or sent.
  Duration m_stalledFor;
  // The request has run and its response is being sent.
  bool m_isSendingResponse = false;
};

// Decides which connections are closed to make room for a charge. Responds to
// the memory that is charged, not to the rate of requests.
class ReclaimPolicy
{
public:
  // A client that sends a request makes progress more often than this: the
  // longest pause that the loss of a packet causes on a path of 100 ms is 200
  // to 400 ms.
  static constexpr Duration kMinRequestStall = Milliseconds(500);
  // Callers may read slowly for some seconds, and a response cannot be repeated
  // by a refusal.
  static constexpr Duration kMinResponseStall = Seconds(3);

  // Returns the connections to close, in this order: requests before responses,
  // the largest first, until aMissingBytes are free. Empty if all connections
  // that may be closed hold less than that.
  static std::vector<ReclaimCandidate> Choose(
    std::span<const ReclaimCandidate> aCandidates,
    size_t aMissingBytes);
};

} // namespace rattanloft::overload
