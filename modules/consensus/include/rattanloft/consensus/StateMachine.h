#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "raft.pb.h"

namespace rattanloft::consensus {

// The application state that the replicated log drives. Called on the control
// thread only.
class StateMachine
{
public:
  virtual ~StateMachine() = default;

  // Called once for each committed command, in index order.
  virtual void Apply(uint64_t aIndex, std::string_view aCommand) = 0;

  // Returns the serialized state after the last applied command.
  virtual std::string TakeSnapshot() const = 0;

  // Replaces the state. Returns an error text if the snapshot cannot be read.
  virtual tl::expected<void, std::string> RestoreSnapshot(
    std::string_view aSnapshot) = 0;
};

// Sends messages to other replicas. Messages may be lost, duplicated or
// reordered. Implementations must not block or call back into the log.
class Transport
{
public:
  virtual ~Transport() = default;
  virtual void Send(const wire::RaftMessage& aMessage) = 0;
  // Supplies the member addresses. Called at the start and whenever the group
  // configuration changes.
  virtual void SetMembers(const wire::GroupConfig& aConfig) = 0;
};

} // namespace rattanloft::consensus
