#include "rattanloft/http/Fingerprint.h"

#include <string_view>

#include "rattanloft/base/Hash.h"

namespace rattanloft::http {

namespace {

std::string_view
ToStdView(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

uint64_t
ComputeFingerprint(const Request& aRequest)
{
  const uint64_t target = Hash64(ToStdView(aRequest.target()));
  const uint64_t method = Hash64(ToStdView(aRequest.method_string()), target);
  return Hash64(aRequest.body(), method);
}

uint64_t
ComputeHostFingerprint(const Request& aRequest)
{
  const auto host = aRequest[boost::beast::http::field::host];
  return Hash64(ToStdView(host), ComputeFingerprint(aRequest));
}

} // namespace rattanloft::http
