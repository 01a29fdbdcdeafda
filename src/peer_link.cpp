#include "peer_link.h"

#include "blackboard.h"

namespace indigopoint {

bool PeerLink::send(InstanceId To, Message Body, ActionSink &Sink) {
  if (To == Board.Self.Id) {
    LocalMessages.push_back(std::move(Body));
    return true;
  }
  const Member *Other = Board.Members.find(To);
  if (Other == nullptr)
    return false;
  // A message is forwarded only once. Otherwise two members that each consider
  // the other one able to reach the target would forward it back and forth.
  const Member *ForwardingMember = Board.Members.find(Other->RelayMember);
  if (ForwardingMember == nullptr || !isAlive(ForwardingMember->State)) {
    Sink.send(Other->Address, std::move(Body));
    return true;
  }
  auto WrappedBody = std::make_shared<const ForwardedMessage>(
      ForwardedMessage{std::move(Body)});
  const Sender Origin{Board.Self.Id, Board.Self.OwnIncarnation.Boot};
  Sink.send(ForwardingMember->Address,
            Forward{To, Origin, std::move(WrappedBody)});
  return true;
}

void PeerLink::forward(const Forward &ForwardMessage, ActionSink &Sink) const {
  const Member *Target = Board.Members.find(ForwardMessage.Target);
  if (Target != nullptr && isAlive(Target->State))
    Sink.send(Target->Address, ForwardMessage);
}

bool PeerLink::popLocalMessage(Message &Out) {
  if (LocalMessages.empty())
    return false;
  Out = std::move(LocalMessages.front());
  LocalMessages.pop_front();
  return true;
}

} // namespace indigopoint
