#pragma once

#include <memory>

#include "key_value_store.h"
#include "types.h"

namespace indigopoint {

/// Makes blocking calls to the platform's key-value store over HTTP. Used by
/// the commands for operators; instances use PlatformClient, which does not
/// block.
class StoreClient : public KeyValueStore {
public:
  explicit StoreClient(Endpoint Platform);
  ~StoreClient() override;
  StoreClient(const StoreClient &) = delete;
  StoreClient &operator=(const StoreClient &) = delete;

  StoreReply get(const std::string &Key) override;
  StoreReply put(const std::string &Key, const std::string &Value,
                 uint64_t Revision) override;
  StoreReply remove(const std::string &Key) override;
  StoreReply list(const std::string &Prefix) override;

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
