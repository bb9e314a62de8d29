#include "RequestClassifier.h"

#include <string_view>
#include <utility>

#include "Headers.h"

namespace rattanloft::node {

namespace {

// Longer keys are refused with status 400.
constexpr size_t kMaxKeyBytes = 512;
constexpr size_t kMaxIdempotencyKeyBytes = 256;

Refusal
BadRequestRefusal(unsigned aStatus, std::string aReason)
{
  return { aStatus, Outcome::kNotRun, std::move(aReason), std::nullopt };
}

// Returns the path segment after the leading slash of aPath and removes both
// from aPath.
std::string_view
TakePathSegment(std::string_view& aPath)
{
  if (!aPath.empty() && aPath.front() == '/') {
    aPath.remove_prefix(1);
  }
  const std::string_view segment = aPath.substr(0, aPath.find('/'));
  aPath.remove_prefix(segment.size());
  return segment;
}

// Removes the quotes around a header value. They are part of the header syntax,
// not of the key.
std::string_view
Unquote(std::string_view aValue)
{
  if (aValue.size() >= 2 && aValue.front() == '"' && aValue.back() == '"') {
    return aValue.substr(1, aValue.size() - 2);
  }
  return aValue;
}

std::string_view
HeaderValue(const http::Request& aRequest, std::string_view aName)
{
  const auto found = aRequest.find(aName);
  if (found == aRequest.end()) {
    return {};
  }
  return { found->value().data(), found->value().size() };
}

tl::expected<void, Refusal>
SetKey(ClassifiedRequest& aRequest, std::string_view aKey)
{
  if (aKey.empty()) {
    return tl::unexpected(BadRequestRefusal(400, "missing_key"));
  }
  if (aKey.size() > kMaxKeyBytes) {
    return tl::unexpected(BadRequestRefusal(400, "key_too_long"));
  }
  aRequest.m_key = aKey;
  aRequest.m_shard =
    aRequest.m_view->m_routes->ShardOf(aRequest.m_service, aRequest.m_key);
  return {};
}

tl::expected<void, Refusal>
SetIdempotencyKey(ClassifiedRequest& aRequest, std::string_view aValue)
{
  const std::string_view key = Unquote(aValue);
  if (key.empty()) {
    return tl::unexpected(BadRequestRefusal(400, "missing_idempotency_key"));
  }
  if (key.size() > kMaxIdempotencyKeyBytes) {
    return tl::unexpected(BadRequestRefusal(400, "idempotency_key_too_long"));
  }
  aRequest.m_idempotencyKey = key;
  if (!aRequest.m_shard) {
    aRequest.m_shard = HashedShard(key);
  }
  return {};
}

} // namespace

tl::expected<ClassifiedRequest, Refusal>
Classify(const http::Request& aRequest,
         std::shared_ptr<const routing::RoutingView> aView)
{
  ClassifiedRequest result;
  result.m_view = std::move(aView);
  std::string_view path(aRequest.target().data(), aRequest.target().size());
  path = path.substr(0, path.find('?'));
  result.m_service = TakePathSegment(path);

  const routing::Catalogue& catalogue = *result.m_view->m_catalogue;
  if (!catalogue.HasService(result.m_service)) {
    return tl::unexpected(BadRequestRefusal(404, "unknown_service"));
  }
  const std::string_view method(aRequest.method_string().data(),
                                aRequest.method_string().size());
  result.m_entry = catalogue.Find(result.m_service, method);
  if (result.m_entry == nullptr) {
    return tl::unexpected(BadRequestRefusal(405, "method_not_in_catalogue"));
  }
  const uint64_t maxBodyBytes = result.m_entry->limits().max_body_bytes();
  if (maxBodyBytes > 0 && aRequest.body().size() > maxBodyBytes) {
    return tl::unexpected(BadRequestRefusal(413, "body_too_large"));
  }
  if (result.m_entry->keyed()) {
    const auto keySet = SetKey(result, TakePathSegment(path));
    if (!keySet) {
      return tl::unexpected(keySet.error());
    }
  }
  if (result.IsAtMostOnce()) {
    const auto idempotencyKeySet =
      SetIdempotencyKey(result, HeaderValue(aRequest, header::kIdempotencyKey));
    if (!idempotencyKeySet) {
      return tl::unexpected(idempotencyKeySet.error());
    }
  }
  return result;
}

} // namespace rattanloft::node
