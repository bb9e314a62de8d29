#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "rattanloft/base/Time.h"
#include "rattanloft/base/TokenBucket.h"

namespace rattanloft::sidecar {

// This entry's part of the requests that cold backend servers take. Responds to
// requests that find cold endpoints: without it, a zone that returns cold would
// attract the requests of all entries and refuse most of them. It need not be
// exact, since the sidecar beside each backend server enforces the bound. Does
// no I/O; used on the traffic thread.
class ColdEndpointShare
{
public:
  explicit ColdEndpointShare(uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  // Requests a second that this entry may send to each cold endpoint of a
  // service. aBound is what a backend server of the service takes in a second.
  static double RateFor(double aBound, uint32_t aSidecarCount);

  bool HasRoom(const std::string& aInstance, double aRate, TimePoint aNow);
  // A request is sent to the endpoint, for which HasRoom() was true.
  void Take(const std::string& aInstance, TimePoint aNow);
  // Returns when a caller is to come back for which no endpoint has room. Each
  // is told another time: aRoomRate is the rate of all cold endpoints together.
  Duration NextReturn(double aRoomRate, TimePoint aNow);

private:
  // By instance.
  std::map<std::string, TokenBucket> m_buckets;
  // Time of which the last caller was told.
  TimePoint m_lastReturnAt;
  std::mt19937_64 m_random;
};

} // namespace rattanloft::sidecar
