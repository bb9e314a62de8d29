#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "fleet.pb.h"
#include "rattanloft/base/Time.h"

namespace rattanloft::sidecar {

// Names of the header fields that callers and backend servers use.
struct HeaderNames
{
  // Id of one attempt of a caller; echoed by backend servers.
  std::string m_requestId;
  // Milliseconds that the caller or the backend server may still take.
  std::string m_deadlineMs;
  // Backend id for which a request is meant.
  std::string m_expectedBackend;
  // Service on the instance at which the request began.
  std::string m_callerService;
  std::string m_key;
  // On every answer that a backend server made.
  std::string m_signature;
  // On answers that say that the backend server did not run the request.
  std::string m_notRun;
};

struct HeldRange
{
  uint32_t m_first = 0;
  uint32_t m_last = 0;
  uint64_t m_fence = 0;
};

// What a backend server tells of itself.
struct Heartbeat
{
  std::string m_backendId;
  std::string m_service;
  // IP address and port at which it serves.
  std::string m_address;
  uint32_t m_slots = 1;
  bool m_draining = false;
  Duration m_coldRemaining;
  // Grows within one lifetime.
  uint64_t m_sequence = 0;
  // Start of the lifetime, Unix milliseconds.
  int64_t m_startedAtUnixMs = 0;
  // Ranges that it holds or still works on.
  std::vector<HeldRange> m_heldRanges;
  // Ranges that it gave up since its last confirmed heartbeat.
  std::vector<wire::HandedOver> m_releasedRanges;
};

struct HeartbeatResponse
{
  // Without grants, the answer renews and takes away nothing.
  bool m_hasGrants = false;
  // Everything that the backend server is to hold.
  std::vector<wire::OwnedRange> m_grantedRanges;
  // Counted from the moment at which the heartbeat was sent.
  Duration m_grantDuration;
};

enum class BackendCallKind
{
  kHeartbeat,
  // The backend server leaves.
  kDeregistration,
  kOther,
};

struct BackendCall
{
  BackendCallKind m_kind = BackendCallKind::kOther;
  std::string m_backendId;
};

// How one platform's backend servers and readiness checks speak. Implemented by
// an adapter; stateless.
class BackendProtocol
{
public:
  virtual ~BackendProtocol() = default;

  virtual const HeaderNames& Headers() const = 0;
  virtual BackendCall Classify(std::string_view aMethod,
                               std::string_view aTarget) const = 0;
  // The error names the field that cannot be used.
  virtual tl::expected<Heartbeat, std::string> ParseHeartbeat(
    std::string_view aBackendId,
    std::string_view aBody) const = 0;
  virtual std::string FormatHeartbeatResponse(
    const HeartbeatResponse& aResponse) const = 0;
  // The body of a leaving call tells the start of the lifetime; 0 if it does
  // not.
  virtual int64_t ParseLifetimeStartUnixMs(std::string_view aBody) const = 0;
};

} // namespace rattanloft::sidecar
