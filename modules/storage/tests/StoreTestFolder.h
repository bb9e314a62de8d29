#pragma once

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

#include <fmt/format.h>

#include "rattanloft/base/Random.h"

namespace rattanloft::storage {

// A folder that is removed with everything in it at the end of a test.
class StoreTestFolder
{
public:
  StoreTestFolder()
    : m_path(std::filesystem::temp_directory_path() /
             fmt::format("rattanloft-{:x}", RandomId()))
  {
  }
  ~StoreTestFolder() { std::filesystem::remove_all(m_path); }

  std::string Path() const { return m_path; }
  std::string File(const std::string& aName) const { return m_path / aName; }

  std::string Load(const std::string& aName) const
  {
    std::ifstream file(File(aName), std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
  }
  void Store(const std::string& aName, const std::string& aContent) const
  {
    std::ofstream(File(aName), std::ios::binary) << aContent;
  }
  // Changes one byte.
  void Damage(const std::string& aName, size_t aOffset) const
  {
    std::string content = Load(aName);
    content.at(aOffset) ^= 0x20;
    Store(aName, content);
  }

private:
  std::filesystem::path m_path;
};

} // namespace rattanloft::storage
