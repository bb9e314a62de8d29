#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "control.pb.h"
#include "rattanloft/base/Hash.h"
#include "rattanloft/base/Shard.h"

namespace rattanloft::routing {

// Lets maps with string keys be searched by string_view.
struct StringHash
{
  using is_transparent = void;
  size_t operator()(std::string_view aText) const { return Hash64(aText); }
};

struct ShardRoute
{
  // Backend number, 0 for none.
  uint32_t m_owner = 0;
  // Backend number of a planned move's target, 0 for none.
  uint32_t m_moveTarget = 0;
  uint64_t m_epoch = 0;
};

// A node's immutable copy of the routes. Shared between threads.
class RouteTable
{
public:
  static std::shared_ptr<const RouteTable> MakeEmpty();
  // A new table with the update applied. Null if the update is older than this
  // table or malformed; then the node asks for a full update. A delta must have
  // been made for this revision or an older one.
  std::shared_ptr<const RouteTable> WithUpdate(
    const wire::RouteUpdate& aUpdate) const;

  uint64_t Revision() const;
  // The shard of a key: its own if it is a hot key, else the hashed one.
  ShardNumber ShardOf(std::string_view aService, std::string_view aKey) const;
  // Null if the service has no such shard.
  const ShardRoute* Find(std::string_view aService, ShardNumber aShard) const;
  // All shards of the service, indexed by number; hot shards may have gaps with
  // owner 0.
  std::span<const ShardRoute> Shards(std::string_view aService) const;
  using BackendMap = std::unordered_map<uint32_t, wire::Backend>;
  // By number, without those that are gone.
  const BackendMap& Backends() const;
  // The same, or null without any. Equal pointers mean equal content.
  std::shared_ptr<const BackendMap> SharedBackends() const
  {
    return m_backends;
  }
  const wire::Backend* FindBackend(uint32_t aNumber) const;
  // Backends of a service that are not gone.
  std::span<const uint32_t> BackendsOf(std::string_view aService) const;

private:
  struct Service;
  class Editor;

  const Service* FindService(std::string_view aService) const;

  uint64_t m_revision = 0;
  // Copy on write: an update copies only the services that it touches.
  std::unordered_map<std::string,
                     std::shared_ptr<const Service>,
                     StringHash,
                     std::equal_to<>>
    m_services;
  // Copied only by updates that contain backends. Null while there are none.
  std::shared_ptr<const BackendMap> m_backends;
};

} // namespace rattanloft::routing
