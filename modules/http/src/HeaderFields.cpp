#include "HeaderFields.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace rattanloft::http {

namespace {

namespace beast = boost::beast;
using beast::http::field;

// A longer value cannot be a real length and might overflow a 64-bit integer.
constexpr size_t kMaxContentLengthDigits = 18;

// Whether the text is a valid Content-Length: digits only.
bool
IsContentLength(beast::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxContentLengthDigits &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return aCharacter >= '0' && aCharacter <= '9';
         });
}

} // namespace

std::string_view
FindFramingError(const beast::http::fields& aFields, unsigned aHttpVersion)
{
  const size_t lengthFieldCount = aFields.count(field::content_length);
  const size_t codingFieldCount = aFields.count(field::transfer_encoding);
  if (lengthFieldCount > 1 || codingFieldCount > 1) {
    return "repeated length field";
  }
  if (lengthFieldCount == 1 && codingFieldCount == 1) {
    return "both Content-Length and Transfer-Encoding";
  }
  if (lengthFieldCount == 1 &&
      !IsContentLength(aFields[field::content_length])) {
    return "malformed Content-Length";
  }
  if (codingFieldCount == 1 &&
      (aHttpVersion < 11 ||
       !beast::iequals(aFields[field::transfer_encoding], "chunked"))) {
    return "unsupported Transfer-Encoding";
  }
  return {};
}

void
RemoveHopByHopFields(beast::http::fields& aFields)
{
  std::vector<std::string> connectionOptions;
  for (const auto& entry : aFields) {
    if (entry.name() == field::connection) {
      for (const auto& token : beast::http::token_list(entry.value())) {
        connectionOptions.emplace_back(token);
      }
    }
  }
  for (const std::string& name : connectionOptions) {
    // A peer must not be able to remove the length of the message or its Host.
    if (!beast::iequals(name, "content-length") &&
        !beast::iequals(name, "host")) {
      aFields.erase(name);
    }
  }
  for (const field name : { field::connection,
                            field::keep_alive,
                            field::proxy_connection,
                            field::te,
                            field::trailer,
                            field::transfer_encoding,
                            field::upgrade,
                            field::expect }) {
    aFields.erase(name);
  }
}

size_t
CountFields(const beast::http::fields& aFields)
{
  return static_cast<size_t>(std::distance(aFields.begin(), aFields.end()));
}

} // namespace rattanloft::http
