#include "peer_link.h"

#include "blackboard.h"

namespace indigopoint {

bool PeerLink::send(InstanceId To, Message Body, ActionSink &Sink) {
  if (To == Board.Self.Id) {
    Local.push_back(std::move(Body));
    return true;
  }
  const Member *Other = Board.Members.find(To);
  if (Other == nullptr)
    return false;
  // One hop only, so that two members that each think the other one reaches
  // the target do not pass a message back and forth.
  const Member *Between = Board.Members.find(Other->RelayMember);
  if (Between == nullptr || !isAlive(Between->State)) {
    Sink.send(Other->Address, std::move(Body));
    return true;
  }
  auto Wrapped = std::make_shared<const ForwardedMessage>(
      ForwardedMessage{std::move(Body)});
  const Sender Origin{Board.Self.Id, Board.Self.OwnIncarnation.Boot};
  Sink.send(Between->Address, Forward{To, Origin, std::move(Wrapped)});
  return true;
}

void PeerLink::passOn(const Forward &Wrapped, ActionSink &Sink) const {
  const Member *Target = Board.Members.find(Wrapped.Target);
  if (Target != nullptr && isAlive(Target->State))
    Sink.send(Target->Address, Wrapped);
}

bool PeerLink::takeLocal(Message &Out) {
  if (Local.empty())
    return false;
  Out = std::move(Local.front());
  Local.pop_front();
  return true;
}

} // namespace indigopoint
