#pragma once

namespace rattanloft::storage {

// Owns a file descriptor and closes it at the end of its scope. A negative
// descriptor stands for none.
class ScopedFd
{
public:
  ScopedFd() = default;
  explicit ScopedFd(int aFd)
    : m_fd(aFd)
  {
  }
  ScopedFd(ScopedFd&& aOther) noexcept
    : m_fd(aOther.Release())
  {
  }
  ScopedFd& operator=(ScopedFd&& aOther) noexcept;
  ~ScopedFd();

  int Get() const { return m_fd; }
  // Returns the descriptor without closing it.
  int Release();

private:
  int m_fd = -1;
};

} // namespace rattanloft::storage
