#include "pin_store.h"

#include <algorithm>

#include "placement.h"

namespace indigopoint {

namespace {

auto findPin(std::vector<Pin> &Pins, FlowKey Flow, ServiceId Service) {
  return std::find_if(Pins.begin(), Pins.end(), [&](const Pin &Candidate) {
    return Candidate.Flow == Flow && Candidate.Service == Service;
  });
}

} // namespace

void PinStore::addOrRemove(const Pin &NewPin) {
  Pin Previous;
  pop(NewPin.Flow, NewPin.Service, Previous);
  if (!NewPin.Removed)
    Buckets[bucketOf(NewPin.Flow)].push_back(NewPin);
}

bool PinStore::pop(FlowKey Flow, ServiceId Service, Pin &Out) {
  if (Buckets.empty())
    return false;
  const auto BucketIt = Buckets.find(bucketOf(Flow));
  if (BucketIt == Buckets.end())
    return false;
  std::vector<Pin> &Pins = BucketIt->second;
  const auto It = findPin(Pins, Flow, Service);
  if (It == Pins.end())
    return false;
  Out = *It;
  *It = Pins.back();
  Pins.pop_back();
  if (Pins.empty())
    Buckets.erase(BucketIt);
  return true;
}

std::vector<Pin> PinStore::popBucket(uint32_t Bucket) {
  std::vector<Pin> Pins;
  const auto It = Buckets.find(Bucket);
  if (It != Buckets.end()) {
    Pins = std::move(It->second);
    Buckets.erase(It);
  }
  return Pins;
}

const std::vector<Pin> *PinStore::bucket(uint32_t Bucket) const {
  const auto It = Buckets.find(Bucket);
  return It == Buckets.end() ? nullptr : &It->second;
}

std::vector<uint32_t> PinStore::buckets() const {
  std::vector<uint32_t> List;
  for (const auto &[Bucket, Pins] : Buckets)
    List.push_back(Bucket);
  std::sort(List.begin(), List.end());
  return List;
}

} // namespace indigopoint
