#include "Message.h"

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

// Larger values cannot be a real length and may overflow elsewhere.
constexpr size_t kMaxLengthDigits = 18;

bool
IsLength(beast::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxLengthDigits &&
         std::all_of(aText.begin(), aText.end(), [](char aLetter) {
           return aLetter >= '0' && aLetter <= '9';
         });
}

} // namespace

std::string_view
FramingFault(const beast::http::fields& aFields, unsigned aVersion)
{
  const size_t lengths = aFields.count(field::content_length);
  const size_t codings = aFields.count(field::transfer_encoding);
  if (lengths > 1 || codings > 1) {
    return "repeated length field";
  }
  if (lengths == 1 && codings == 1) {
    return "both Content-Length and Transfer-Encoding";
  }
  if (lengths == 1 && !IsLength(aFields[field::content_length])) {
    return "malformed Content-Length";
  }
  if (codings == 1 &&
      (aVersion < 11 ||
       !beast::iequals(aFields[field::transfer_encoding], "chunked"))) {
    return "unsupported Transfer-Encoding";
  }
  return {};
}

void
RemoveConnectionFields(beast::http::fields& aFields)
{
  std::vector<std::string> named;
  for (const auto& entry : aFields) {
    if (entry.name() == field::connection) {
      for (const auto& token : beast::http::token_list(entry.value())) {
        named.emplace_back(token);
      }
    }
  }
  for (const std::string& name : named) {
    // A peer must not remove the fields that frame the message.
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
FieldCount(const beast::http::fields& aFields)
{
  return static_cast<size_t>(std::distance(aFields.begin(), aFields.end()));
}

} // namespace rattanloft::http
