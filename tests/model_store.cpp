#include "model_store.h"

namespace indigopoint {

void ModelStore::put(const std::string &Key, const std::string &Value) {
  ++State.Revision;
  const auto It = State.Items.find(Key);
  const uint64_t Created =
      It == State.Items.end() ? State.Revision : It->second.CreatedRevision;
  State.Items[Key] = {Key, Value, State.Revision, Created, false};
  State.History.push_back(State.Items[Key]);
}

void ModelStore::remove(const std::string &Key) {
  if (State.Items.erase(Key) == 0)
    return;
  ++State.Revision;
  State.History.push_back({Key, "", State.Revision, 0, true});
}

void ModelStore::copy() { Copy = State; }

void ModelStore::restore() {
  State = Copy;
  State.History.clear();
  HistoryStart = State.Revision;
  ++Era;
}

StoreResult ModelStore::answer(const StoreQuery &Query) const {
  StoreResult Result;
  Result.ResultStatus = StoreResult::Status::Answered;
  Result.Position = position();
  if (Query.QueryKind == StoreQuery::Kind::Snapshot) {
    for (auto It = State.Items.upper_bound(Query.AfterKey);
         It != State.Items.end(); ++It) {
      Result.MorePages = Result.Items.size() == PageSize;
      if (Result.MorePages)
        break;
      Result.Items.push_back(It->second);
    }
    return Result;
  }
  if (Query.AfterRevision < HistoryStart ||
      Query.AfterRevision > State.Revision) {
    Result.ResultStatus = StoreResult::Status::HistoryLost;
    return Result;
  }
  for (const StoreItem &Item : State.History)
    if (Item.Revision > Query.AfterRevision)
      Result.Items.push_back(Item);
  return Result;
}

} // namespace indigopoint
