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

// What a view says about a request. Keeps the view alive that it points into.
struct ClassifiedRequest
{
  std::shared_ptr<const routing::View> m_view;
  const wire::CatalogueEntry* m_entry = nullptr;
  std::string m_service;
  // Empty for services without keys.
  std::string m_key;
  // Empty for idempotent entries.
  std::string m_idempotencyKey;
  // The shard whose owner must handle the request: by key, else by idempotency
  // key. None for idempotent work of services without keys.
  std::optional<ShardNumber> m_shard;

  bool IsAtMostOnce() const { return !m_entry->idempotent(); }
};

// Finds service, entry, key and shard of a request. The target has the form
// /service/key/... for services partitioned by key, else /service/....
tl::expected<ClassifiedRequest, Refusal>
Classify(const http::Request& aRequest,
         std::shared_ptr<const routing::View> aView);

// Hash of what must be equal when an idempotency key is used again.
uint64_t
ComputeFingerprint(const http::Request& aRequest);

} // namespace rattanloft::node
