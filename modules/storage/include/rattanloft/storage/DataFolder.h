#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "rattanloft/storage/StoreError.h"

namespace rattanloft::storage {

// The data folder of one replica: its lock and its durable identity. Outlives
// the stores that use it.
class DataFolder
{
public:
  // Creates the folder when it is missing, locks it against other processes,
  // and reads the replica id or, in an empty folder, makes one.
  static StoreResult<std::unique_ptr<DataFolder>> Make(std::string_view aPath);

  DataFolder(const DataFolder&) = delete;
  DataFolder& operator=(const DataFolder&) = delete;
  ~DataFolder();

  uint64_t ReplicaId() const { return m_replicaId; }
  const std::string& Path() const { return m_path; }

private:
  DataFolder(std::string aPath, int aLockFd)
    : m_path(std::move(aPath))
    , m_lockFd(aLockFd)
  {
  }

  StoreResult<void> LoadOrCreateReplicaId();

  std::string m_path;
  int m_lockFd;
  uint64_t m_replicaId = 0;
};

} // namespace rattanloft::storage
