#include <array>

#include "rattanloft/backend/Load.h"

namespace rattanloft::backend {

namespace {

// The request mixes of section 1.5 of the design. The deadlines are the daytime
// deadlines in examples/*/catalogue.json. The shares assume mostly reads and
// few long jobs.
constexpr std::array<RequestKind, 4> kAdwoaKinds = { {
  { "catalogue.browse", "catalogue", "GET", true, 0.70, Milliseconds(400) },
  { "deposits.capture", "deposits", "POST", false, 0.18, Milliseconds(1500) },
  { "dispatch.book", "dispatch", "POST", false, 0.10, Milliseconds(2000) },
  { "dispatch.multi", "dispatch", "PUT", false, 0.02, Milliseconds(20'000) },
} };

constexpr std::array<RequestKind, 4> kTidewaterKinds = { {
  { "proof-status.check",
    "proof-status",
    "GET",
    true,
    0.60,
    Milliseconds(500) },
  // Short requests to the servers that also run the long plotter jobs, so that
  // head-of-line blocking shows in their latency.
  { "plotter.check", "plotter", "GET", true, 0.10, Milliseconds(500) },
  { "orders.cut", "orders", "POST", false, 0.22, Milliseconds(2000) },
  { "plotter.release", "plotter", "POST", false, 0.08, Milliseconds(30'000) },
} };

} // namespace

std::span<const RequestKind>
ProfileRequestKinds(std::string_view aProfile)
{
  if (aProfile == "adwoa") {
    return kAdwoaKinds;
  }
  if (aProfile == "tidewater") {
    return kTidewaterKinds;
  }
  return {};
}

} // namespace rattanloft::backend
