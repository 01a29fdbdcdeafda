#include "pin_store.h"

#include <algorithm>

#include "placement.h"

namespace indigopoint {

namespace {

auto findPin(std::vector<Pin> &Pins, FlowKey Flow, ServiceId Service) {
  return std::find_if(Pins.begin(), Pins.end(), [&](const Pin &Held) {
    return Held.Flow == Flow && Held.Service == Service;
  });
}

} // namespace

void PinStore::apply(const Pin &Given) {
  Pin Previous;
  pop(Given.Flow, Given.Service, Previous);
  if (!Given.Removed)
    Buckets[bucketOf(Given.Flow)].push_back(Given);
}

bool PinStore::pop(FlowKey Flow, ServiceId Service, Pin &Out) {
  if (Buckets.empty())
    return false;
  const auto Found = Buckets.find(bucketOf(Flow));
  if (Found == Buckets.end())
    return false;
  std::vector<Pin> &Pins = Found->second;
  const auto It = findPin(Pins, Flow, Service);
  if (It == Pins.end())
    return false;
  Out = *It;
  *It = Pins.back();
  Pins.pop_back();
  if (Pins.empty())
    Buckets.erase(Found);
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
