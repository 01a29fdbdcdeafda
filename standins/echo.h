#pragma once

#include <string>
#include <string_view>

#include "types.h"

namespace indigopoint::standin {

/// The head of an upstream's answer; the payload of the request follows it.
struct EchoHead {
  FlowKey Flow;
  RequestId Request;
  ServiceId Service;
  /// The name of the upstream that ran the request.
  std::string Upstream;
};

std::string encodeEcho(const EchoHead &Head, std::string_view Payload);

/// Splits an answer; returns false if it is not of the expected form.
bool decodeEcho(std::string_view Answer, EchoHead &Head,
                std::string_view &Payload);

/// "FLOW:REQUEST", the name of a request in reports.
std::string requestName(FlowKey Flow, RequestId Request);

} // namespace indigopoint::standin
