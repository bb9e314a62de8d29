#pragma once

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

#include <fmt/format.h>

#include "rattanloft/base/Random.h"

namespace rattanloft::storage {

// The path of a temporary folder, which is removed with its content at the end
// of a test.
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
  std::string FilePath(const std::string& aFileName) const
  {
    return m_path / aFileName;
  }

  std::string ReadFile(const std::string& aFileName) const
  {
    std::ifstream file(FilePath(aFileName), std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
  }
  void WriteFile(const std::string& aFileName,
                 const std::string& aContent) const
  {
    std::ofstream(FilePath(aFileName), std::ios::binary) << aContent;
  }
  // Flips one bit of the byte at aOffset.
  void DamageByte(const std::string& aFileName, size_t aOffset) const
  {
    std::string content = ReadFile(aFileName);
    content.at(aOffset) ^= 0x20;
    WriteFile(aFileName, content);
  }

private:
  std::filesystem::path m_path;
};

} // namespace rattanloft::storage
