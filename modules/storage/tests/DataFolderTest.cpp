#include "rattanloft/storage/DataFolder.h"

#include <catch2/catch.hpp>

#include "StoreTestFolder.h"
#include "rattanloft/storage/FileSnapshotStore.h"

namespace rattanloft::storage {

// Guards against two processes writing to the same log.
TEST_CASE("DataFolder refuses a folder that is in use")
{
  StoreTestFolder folder;
  auto first = DataFolder::Make(folder.Path());
  REQUIRE(first);
  REQUIRE(DataFolder::Make(folder.Path()).error().m_code ==
          StoreErrorCode::kLocked);
  first->reset();
  REQUIRE(DataFolder::Make(folder.Path()));
}

// Guards against a replica that votes twice in a term under one id: the id must
// stay with the folder, and a new folder must get a new id.
TEST_CASE("A data folder keeps its replica id and a new one gets a new id")
{
  StoreTestFolder folder;
  const uint64_t id = (*DataFolder::Make(folder.Path()))->ReplicaId();
  REQUIRE(id != 0);
  REQUIRE((*DataFolder::Make(folder.Path()))->ReplicaId() == id);
  std::filesystem::remove_all(folder.Path());
  REQUIRE((*DataFolder::Make(folder.Path()))->ReplicaId() != id);
}

// Guards against data that is used under a new replica id, and against a
// damaged replica id that is accepted.
TEST_CASE("DataFolder refuses data with a damaged or missing replica id")
{
  StoreTestFolder folder;
  REQUIRE(DataFolder::Make(folder.Path()));
  folder.DamageByte("replica-id", 3);
  REQUIRE(DataFolder::Make(folder.Path()).error().m_code ==
          StoreErrorCode::kCorrupt);
  std::filesystem::remove(folder.FilePath("replica-id"));
  folder.WriteFile("log-0000000000000001", "x");
  REQUIRE(DataFolder::Make(folder.Path()).error().m_code ==
          StoreErrorCode::kCorrupt);
}

// Guards against a start from a damaged snapshot, and against the loss of the
// previous snapshot if the process crashes while it writes the next one.
TEST_CASE("A snapshot is replaced atomically and its checksum is verified")
{
  StoreTestFolder folder;
  const auto data = DataFolder::Make(folder.Path());
  FileSnapshotStore store(**data);
  REQUIRE_FALSE(store.Load()->has_value());
  Snapshot snapshot;
  snapshot.m_meta.set_index(7);
  snapshot.m_meta.mutable_config()->add_members()->set_replica_id(3);
  snapshot.m_data = std::string(100'000, 'x');
  REQUIRE(store.Save(snapshot));
  folder.WriteFile("snapshot.tmp", "half written");
  const auto loaded = store.Load();
  REQUIRE((*loaded)->m_data == snapshot.m_data);
  REQUIRE((*loaded)->m_meta.config().members(0).replica_id() == 3);
  snapshot.m_meta.set_index(8);
  REQUIRE(store.Save(snapshot));
  REQUIRE((*store.Load())->m_meta.index() == 8);
  for (const size_t at : { 0, 9, 20, 5'000 }) {
    folder.DamageByte("snapshot", at);
    REQUIRE(store.Load().error().m_code == StoreErrorCode::kCorrupt);
    folder.DamageByte("snapshot", at);
  }
}

} // namespace rattanloft::storage
