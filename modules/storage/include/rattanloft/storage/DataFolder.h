#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "rattanloft/storage/StoreError.h"

namespace rattanloft::storage {

// The data folder of one replica. Holds a lock on the folder and the durable
// replica id. Must outlive the stores that use it.
class DataFolder
{
public:
  // Creates the folder if it is missing, locks it against other processes, and
  // reads the replica id or generates one if the folder is empty. Fails with
  // kLocked if another process holds the lock, and with kCorrupt if the replica
  // id is damaged, or missing beside other data.
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
