#include "rattanloft/storage/ScopedFd.h"

#include <unistd.h>
#include <utility>

namespace rattanloft::storage {

ScopedFd&
ScopedFd::operator=(ScopedFd&& aOther) noexcept
{
  ScopedFd previous(m_fd);
  m_fd = aOther.Release();
  return *this;
}

ScopedFd::~ScopedFd()
{
  if (m_fd >= 0) {
    close(m_fd);
  }
}

int
ScopedFd::Release()
{
  return std::exchange(m_fd, -1);
}

} // namespace rattanloft::storage
