#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "fleet.pb.h"
#include "rattanloft/base/Time.h"
#include "rattanloft/http/Types.h"

namespace rattanloft::sidecar {

// Names of the HTTP header fields that callers and backend servers use.
struct HeaderNames
{
  // Id of one attempt of a caller. Backend servers echo it in the response.
  std::string m_requestId;
  // Milliseconds left until the deadline of the request.
  std::string m_deadlineMs;
  // Id of the backend server that the request is addressed to.
  std::string m_expectedBackend;
  // Service of the instance on which the request originated.
  std::string m_callerService;
  // Key that selects the owning backend server of a keyed service.
  std::string m_key;
  // Present on every response that a backend server produced itself.
  std::string m_signature;
  // Present on responses of a backend server that did not run the request.
  std::string m_notRun;
  // Id of the backend server, on responses to requests that are addressed to
  // another one.
  std::string m_respondingBackend;
  // Requests a second, from all callers, that the backend server takes for as
  // long as its responses carry the field.
  std::string m_requestLimit;
  // "1" in the responses of a backend server that is about to stop.
  std::string m_leaving;
  // Milliseconds for which the backend server stays cold.
  std::string m_coldRemainingMs;
};

// A range of keys that a backend server holds.
struct HeldRange
{
  // Both ends are inclusive.
  uint32_t m_first = 0;
  uint32_t m_last = 0;
  // Fencing token of the grant under which the range is held.
  uint64_t m_fence = 0;
};

// State that a backend server reports about itself at regular intervals.
struct Heartbeat
{
  std::string m_backendId;
  std::string m_service;
  // IP address and port on which the backend server accepts requests.
  std::string m_address;
  // Number of requests that the backend server can run concurrently.
  uint32_t m_slots = 1;
  bool m_draining = false;
  // Time for which the backend server expects to be slow after its start.
  Duration m_coldRemaining;
  // Increases with each heartbeat of one lifetime.
  uint64_t m_sequence = 0;
  // Start of the lifetime, that is, of the backend process, in Unix
  // milliseconds.
  int64_t m_startedAtUnixMs = 0;
  // Ranges that the backend server holds or still runs requests for. If it
  // does not list them, they are not known.
  bool m_listsHolds = true;
  std::vector<HeldRange> m_heldRanges;
  // Ranges that the backend server gave up since its last confirmed heartbeat.
  std::vector<wire::HandedOver> m_releasedRanges;
};

// Whether a handover token may be passed on, in messages that hold text only.
bool
IsUsableHandover(std::string_view aToken);

// Reply of the sidecar to a heartbeat.
struct HeartbeatResponse
{
  // If false, the response neither renews nor revokes any grant.
  bool m_hasGrants = false;
  // All ranges that the backend server is to hold; ranges that are not listed
  // are revoked.
  std::vector<wire::OwnedRange> m_grantedRanges;
  // Validity of the grants, counted from the time at which the heartbeat was
  // sent.
  Duration m_grantDuration;
};

enum class RangeCallKind
{
  // Assigns the range for a time, or renews the assignment.
  kGrant,
  // Takes the range back. The backend server starts no further request for it
  // and answers once those that run have ended.
  kRelease,
};

// A call of the sidecar that assigns a key range to the backend server or takes
// it back.
struct RangeCall
{
  RangeCallKind m_kind = RangeCallKind::kGrant;
  // Both ends are inclusive.
  uint32_t m_first = 0;
  uint32_t m_last = 0;
  uint64_t m_fence = 0;
  // Only for grants: their validity, counted from the arrival of the call, and
  // the handover token of the previous holder, or an empty text.
  Duration m_grantDuration;
  std::string m_handover;
};

enum class RangeCallOutcome
{
  kDone,
  // The backend server has seen a higher fencing token for one of the keys.
  kHigherFenceSeen,
  // The call had no effect and will have none.
  kNotApplied,
  // The call may have taken effect, or may do so later.
  kUnknown,
};

struct RangeCallResult
{
  RangeCallOutcome m_outcome = RangeCallOutcome::kUnknown;
  // Token with which the next holder of a released range starts warm; empty if
  // there is none.
  std::string m_handover;
};

// Kinds of calls that a backend server makes to its sidecar.
enum class BackendCallKind
{
  kHeartbeat,
  // The backend server announces that it is shutting down.
  kDeregistration,
  // Not a call of this protocol.
  kOther,
};

struct BackendCall
{
  BackendCallKind m_kind = BackendCallKind::kOther;
  std::string m_backendId;
};

// Translates between the sidecar and the HTTP conventions of one platform's
// backend servers. Implemented by an adapter for each platform. Stateless.
class BackendProtocol
{
public:
  virtual ~BackendProtocol() = default;

  virtual const HeaderNames& Headers() const = 0;
  virtual BackendCall Classify(std::string_view aMethod,
                               std::string_view aTarget) const = 0;
  // On error, returns a message that names the missing or invalid field.
  virtual tl::expected<Heartbeat, std::string> ParseHeartbeat(
    std::string_view aBackendId,
    std::string_view aBody) const = 0;
  virtual std::string FormatHeartbeatResponse(
    const HeartbeatResponse& aResponse) const = 0;
  // Backend servers do not accept larger heartbeat responses.
  virtual size_t MaxHeartbeatResponseBytes() const = 0;
  // Returns the start of the lifetime, in Unix milliseconds, from the body of a
  // deregistration; 0 if the body does not give it.
  virtual int64_t ParseLifetimeStartUnixMs(std::string_view aBody) const = 0;
  virtual http::Request FormatRangeCall(const RangeCall& aCall) const = 0;
  // A response that the protocol does not define has the outcome kUnknown, and
  // an unusable handover token counts as none.
  virtual RangeCallResult ParseRangeCallResponse(
    const http::Response& aResponse) const = 0;
};

} // namespace rattanloft::sidecar
