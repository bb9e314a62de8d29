#include "Headers.h"

namespace rattanloft::node::header {

void
RemoveHopByHopFields(boost::beast::http::fields& aFields)
{
  for (const char* name : { "Connection",
                            "Keep-Alive",
                            "Proxy-Connection",
                            "Transfer-Encoding",
                            "TE",
                            "Trailer",
                            "Upgrade",
                            "Expect" }) {
    aFields.erase(name);
  }
}

} // namespace rattanloft::node::header
