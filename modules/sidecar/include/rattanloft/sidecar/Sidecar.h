#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "rattanloft/base/Time.h"
#include "rattanloft/overload/MemoryBudget.h"
#include "rattanloft/sidecar/BackendProtocol.h"
#include "rattanloft/sidecar/ZoneRouting.h"

namespace rattanloft::sidecar {

// Addresses are an IP address and a port. The listener of an empty address is
// not started.
struct SidecarOptions
{
  // Name of this instance. Must be the same after a restart.
  std::string m_instance;
  std::string m_zone;
  // Service of the backend server on this instance.
  std::string m_service;
  // Accepts the requests that originate on this instance.
  std::string m_callerAddress;
  // Accepts requests that other sidecars forward.
  std::string m_peerAddress;
  // Answers readiness checks.
  std::string m_readyAddress;
  // Receives the heartbeats and deregistrations of the backend server.
  std::string m_announceAddress;
  // Address on which the backend server accepts requests.
  std::string m_backendAddress;
  std::string m_metricsAddress;
  // Internal addresses of some of the coordinators.
  std::vector<std::string> m_coordinators;
  // Returns the current value of m_coordinators after the settings have
  // changed. May be an empty function.
  std::function<std::vector<std::string>()> m_readCoordinators;
  // Retry budget of the whole fleet for one time window: this share of the
  // requests in the window, plus a constant number of retries.
  double m_retryRatio = 0.2;
  uint32_t m_retrySlack = 0;
  // Requests that a cold backend server may get in any second: this multiple of
  // the rate that its service states, plus a fixed number.
  double m_coldRateFactor = 1;
  double m_coldExtraRequests = 0;
  // Time from SIGTERM to the end of the process, after which requests that
  // still run are cut off.
  Duration m_stopGrace = Seconds(6);
  // A backend server gets no requests any more once it has been draining for
  // this time.
  Duration m_drainTimeout = Seconds(2);
  ZoneRoutingOptions m_zoneRouting;
  // Memory that requests, responses and connections may take in all.
  size_t m_memoryBudgetBytes = overload::MemoryBudget::kDefaultLimitBytes;
  // File descriptors that the process may use.
  size_t m_maxOpenFiles = 4096;
};

// Requests that a cold backend server of the service may get in any second; 0
// for no bound. aService may be null.
double
FindColdBound(const SidecarOptions& aOptions,
              const wire::ServiceSpec* aService);

struct SidecarError
{
  std::string m_message;
};

// The proxy process that runs next to a backend server. It routes the requests
// that originate on its instance, and all requests for the backend server pass
// through it.
class Sidecar
{
public:
  // Opens the listeners; fails if an address is invalid or cannot be bound.
  // aProtocol must outlive the sidecar.
  static tl::expected<std::unique_ptr<Sidecar>, SidecarError> Make(
    SidecarOptions aOptions,
    const BackendProtocol& aProtocol);

  virtual ~Sidecar() = default;
  // Serves until SIGTERM or SIGINT; returns after the graceful shutdown.
  virtual void Run() = 0;
};

} // namespace rattanloft::sidecar
