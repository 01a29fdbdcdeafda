#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include "types.h"

namespace indigopoint {

/// Converts an address to the form of the socket API, in network byte order.
inline sockaddr_in toSocketAddress(Endpoint Address) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_addr.s_addr = htonl(Address.Address);
  Out.sin_port = htons(Address.Port);
  return Out;
}

inline Endpoint toEndpoint(const sockaddr_in &Address) {
  return {ntohl(Address.sin_addr.s_addr), ntohs(Address.sin_port)};
}

} // namespace indigopoint
