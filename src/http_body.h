#pragma once

#include <string>

struct evbuffer;

namespace indigopoint {

/// Moves the bytes out of \p Buffer.
std::string takeBody(evbuffer *Buffer);

} // namespace indigopoint
