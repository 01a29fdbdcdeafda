#include "echo.h"

#include <charconv>

namespace indigopoint::standin {

namespace {

// Takes the decimal number and the blank behind it off the front of Text.
template <typename Id> bool takeNumber(std::string_view &Text, Id &Out) {
  typename Id::RepType Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Number);
  if (Result.ec != std::errc() || Result.ptr == End || *Result.ptr != ' ')
    return false;
  Text.remove_prefix(static_cast<size_t>(Result.ptr - Text.data()) + 1);
  Out = Id(Number);
  return true;
}

} // namespace

std::string encodeEcho(const EchoHead &Head, std::string_view Payload) {
  std::string Answer = std::to_string(Head.Flow.value()) + ' ' +
                       std::to_string(Head.Request.value()) + ' ' +
                       std::to_string(Head.Service.value()) + ' ' +
                       Head.Upstream + '\n';
  return Answer.append(Payload);
}

bool decodeEcho(std::string_view Answer, EchoHead &Head,
                std::string_view &Payload) {
  if (!takeNumber(Answer, Head.Flow) || !takeNumber(Answer, Head.Request) ||
      !takeNumber(Answer, Head.Service))
    return false;
  const size_t End = Answer.find('\n');
  if (End == std::string_view::npos)
    return false;
  Head.Upstream = Answer.substr(0, End);
  Payload = Answer.substr(End + 1);
  return true;
}

std::string requestName(FlowKey Flow, RequestId Request) {
  return std::to_string(Flow.value()) + ':' + std::to_string(Request.value());
}

} // namespace indigopoint::standin
