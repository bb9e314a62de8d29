#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "rattanloft/base/Time.h"
#include "rattanloft/sidecar/BackendProtocol.h"

namespace rattanloft::sidecar {

struct SidecarOptions
{
  // The same after a restart.
  std::string m_instance;
  std::string m_zone;
  // Service of the backend server on this instance.
  std::string m_service;
  std::string m_callerAddress;
  std::string m_peerAddress;
  std::string m_readyAddress;
  // Where the backend server sends its heartbeats.
  std::string m_announceAddress;
  // Where the backend server serves.
  std::string m_backendAddress;
  std::string m_metricsAddress;
  // Internal addresses of some coordinators.
  std::vector<std::string> m_coordinators;
  // Reads m_coordinators anew after the settings changed; may be empty.
  std::function<std::vector<std::string>()> m_readCoordinators;
  // Retries of the whole fleet in the window: a share of the requests of the
  // window, plus a number.
  double m_retryRatio = 0.2;
  uint32_t m_retrySlack = 0;
  // From SIGTERM to the forced end of the process.
  Duration m_stopGrace = Seconds(6);
  // A backend server that is leaving gets no request after this time.
  Duration m_drainLimit = Seconds(2);
};

struct SidecarError
{
  std::string m_message;
};

// The process beside a backend server: entry for the requests that begin on its
// instance, and the only path to its backend server.
class Sidecar
{
public:
  static tl::expected<std::unique_ptr<Sidecar>, SidecarError> Make(
    SidecarOptions aOptions,
    const BackendProtocol& aProtocol);

  virtual ~Sidecar() = default;
  // Returns after a graceful stop.
  virtual void Run() = 0;
};

} // namespace rattanloft::sidecar
