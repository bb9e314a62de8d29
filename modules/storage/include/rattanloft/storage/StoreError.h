#pragma once

#include <string>

#include <tl/expected.hpp>

namespace rattanloft::storage {

enum class StoreErrorCode
{
  // A system call failed, for example on a full disk. If it was a write to a
  // log store, the store refuses further writes until it recovers, and stays
  // readable.
  kIo,
  // Synced data is damaged or missing.
  kCorrupt,
  // Another process uses the data folder.
  kLocked,
  // The arguments do not fit the content of the store, such as entries that
  // would leave a gap between indexes.
  kInvalidArgument,
};

struct StoreError
{
  StoreErrorCode m_code;
  std::string m_message;
};

template<typename T>
using StoreResult = tl::expected<T, StoreError>;

} // namespace rattanloft::storage
