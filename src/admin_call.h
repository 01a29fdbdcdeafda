#pragma once

#include <string>

#include "http_client.h"

namespace indigopoint {

/// Calls the admin interface of a running instance and waits for the answer.
/// Returns an exit code of sysexits.h. On failure, an error message with the
/// prefix \p Program has been written to standard error.
int callAdmin(const std::string &Program, const std::string &Address,
              const std::string &Method, const std::string &Target,
              std::string &Body);

} // namespace indigopoint
