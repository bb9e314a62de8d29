#include "Compression.h"

#include <zlib.h>

#include "rattanloft/base/Assert.h"

namespace rattanloft::coordinator {

std::string
Compress(std::string_view aText)
{
  uLongf size = compressBound(aText.size());
  std::string bytes(size, '\0');
  const int result = compress2(reinterpret_cast<Bytef*>(bytes.data()),
                               &size,
                               reinterpret_cast<const Bytef*>(aText.data()),
                               aText.size(),
                               Z_BEST_SPEED);
  // The buffer has the size that zlib requires, so only a lack of memory can
  // make the call fail.
  RATTANLOFT_ASSERT(result == Z_OK);
  bytes.resize(size);
  return bytes;
}

std::optional<std::string>
Decompress(std::string_view aBytes, size_t aMaxBytes)
{
  // The format does not store the size of the text, so the buffer grows until
  // the text fits.
  for (size_t capacity = aBytes.size() * 8 + 1024;; capacity *= 4) {
    const bool atLimit = capacity >= aMaxBytes;
    uLongf size = atLimit ? aMaxBytes : capacity;
    std::string text(size, '\0');
    const int result = uncompress(reinterpret_cast<Bytef*>(text.data()),
                                  &size,
                                  reinterpret_cast<const Bytef*>(aBytes.data()),
                                  aBytes.size());
    if (result == Z_OK) {
      text.resize(size);
      return text;
    }
    if (result != Z_BUF_ERROR || atLimit) {
      return std::nullopt;
    }
  }
}

} // namespace rattanloft::coordinator
