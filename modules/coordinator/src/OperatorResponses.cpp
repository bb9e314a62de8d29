#include "OperatorResponses.h"

#include <nlohmann/json.hpp>

#include "InternalCalls.h"

namespace rattanloft::coordinator {

using boost::beast::http::field;
using boost::beast::http::status;

http::Response
MakeJsonResponse(status aStatus, std::string aBody)
{
  http::Response response = MakeResponse(aStatus, std::move(aBody));
  response.set(field::content_type, "application/json");
  return response;
}

http::Response
MakeErrorResponse(status aStatus,
                  std::string_view aField,
                  std::string_view aReason)
{
  const nlohmann::json body = { { "error", aReason }, { "field", aField } };
  return MakeJsonResponse(
    aStatus,
    body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

http::Response
MakeUnavailableResponse()
{
  return MakeErrorResponse(status::service_unavailable,
                           "",
                           "no leader can confirm this now; ask again");
}

} // namespace rattanloft::coordinator
