#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <tl/expected.hpp>

#include "Outcome.h"
#include "rattanloft/base/Shard.h"
#include "rattanloft/http/Types.h"
#include "rattanloft/routing/NodeAgent.h"

namespace rattanloft::node {

// What the catalogue and the routes of a view say about a request. Keeps the
// view alive, because m_entry points into it.
struct ClassifiedRequest
{
  std::shared_ptr<const routing::RoutingView> m_view;
  const wire::CatalogueEntry* m_entry = nullptr;
  std::string m_service;
  // Key of the service that the request concerns. Empty for services without
  // keys.
  std::string m_key;
  // Empty for requests of idempotent catalogue entries.
  std::string m_idempotencyKey;
  // The shard whose owner must run the request, determined by the key or,
  // without one, by the idempotency key. Empty for idempotent requests of
  // services without keys.
  std::optional<ShardNumber> m_shard;

  // True if the request must not run more than once.
  bool IsAtMostOnce() const { return !m_entry->idempotent(); }
};

// Determines the service, catalogue entry, key and shard of a request. The
// target has the form /service/key/... for services that are partitioned by
// key, else /service/....
tl::expected<ClassifiedRequest, Refusal>
Classify(const http::Request& aRequest,
         std::shared_ptr<const routing::RoutingView> aView);

} // namespace rattanloft::node
