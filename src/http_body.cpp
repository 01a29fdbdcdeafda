#include "http_body.h"

#include <event2/buffer.h>

namespace indigopoint {

// The buffer frees each piece that was copied, so a large body does not take
// its memory twice.
std::string takeBody(evbuffer *Buffer) {
  std::string Out;
  Out.reserve(evbuffer_get_length(Buffer));
  evbuffer_iovec Piece{};
  while (evbuffer_peek(Buffer, -1, nullptr, &Piece, 1) > 0) {
    Out.append(static_cast<const char *>(Piece.iov_base), Piece.iov_len);
    evbuffer_drain(Buffer, Piece.iov_len);
  }
  return Out;
}

} // namespace indigopoint
