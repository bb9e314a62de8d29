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

// Transparent hash that lets maps with string keys be searched by string_view.
struct StringHash
{
  using is_transparent = void;
  size_t operator()(std::string_view aText) const { return Hash64(aText); }
};

struct ShardRoute
{
  // Backend number of the owner, 0 for none.
  uint32_t m_owner = 0;
  // Backend number of the target of a planned move, 0 for none.
  uint32_t m_moveTarget = 0;
  // Epoch of the owner's grant.
  uint64_t m_epoch = 0;
};

// A node's immutable copy of the routes: backends, owners of shards, and hot
// keys. Shared between threads.
class RouteTable
{
public:
  static std::shared_ptr<const RouteTable> MakeEmpty();
  // Returns a new table with the update applied, or null if the update is older
  // than this table or malformed; the node then asks for a full update. A delta
  // must start at the revision of this table or an older one.
  std::shared_ptr<const RouteTable> WithUpdate(
    const wire::RouteUpdate& aUpdate) const;

  uint64_t Revision() const;
  // Returns the shard of a key: its own one for a hot key, otherwise the one
  // that the key hashes to.
  ShardNumber ShardOf(std::string_view aService, std::string_view aKey) const;
  // Returns null if the service has no such shard.
  const ShardRoute* Find(std::string_view aService, ShardNumber aShard) const;
  // All shards of the service, indexed by shard number. Unused numbers of hot
  // shards have owner 0.
  std::span<const ShardRoute> Shards(std::string_view aService) const;
  using BackendMap = std::unordered_map<uint32_t, wire::Backend>;
  // Backends by number, without those that are gone.
  const BackendMap& Backends() const;
  // The same map, or null if there are no backends. Equal pointers mean equal
  // content.
  std::shared_ptr<const BackendMap> SharedBackends() const
  {
    return m_backends;
  }
  const wire::Backend* FindBackend(uint32_t aNumber) const;
  // Numbers of the backends of a service that are not gone, in ascending order.
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
