#pragma once

#include <string>
#include <string_view>

#include "rattanloft/http/Types.h"

// Responses to the calls of operators, with JSON bodies.
namespace rattanloft::coordinator {

http::Response
MakeJsonResponse(boost::beast::http::status aStatus, std::string aBody);

http::Response
MakeErrorResponse(boost::beast::http::status aStatus,
                  std::string_view aField,
                  std::string_view aReason);

// No leader can confirm the call now; the operator may ask again.
http::Response
MakeUnavailableResponse();

} // namespace rattanloft::coordinator
