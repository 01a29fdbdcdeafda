#pragma once

#include <list>
#include <map>
#include <string>

#include "fault_plan.h"
#include "http_service.h"
#include "instance_list.h"
#include "kv_store.h"
#include "timer_loop.h"

namespace indigopoint::standin {

/// The platform's HTTP interface: key-value store, leases, instance list and
/// the faults that tests inject.
class PlatformApi {
public:
  explicit PlatformApi(TimerLoop &Loop);

  InstanceList &instances() { return Instances; }
  void handle(const HttpRequest &Request, const HttpReplyPtr &Reply);

private:
  struct Watch {
    std::string Prefix;
    uint64_t AfterRevision;
    TimePoint Deadline;
    HttpReplyPtr Reply;
  };

  void handleControl(const HttpRequest &Request, const HttpReplyPtr &Reply);
  void serve(const HttpRequest &Request, const HttpReplyPtr &Reply);
  void serveKey(const std::string &Key, const HttpRequest &Request,
                const HttpReplyPtr &Reply);
  void read(const std::string &Key, const HttpReplyPtr &Reply);
  void readRange(const HttpRequest &Request, const HttpReplyPtr &Reply);
  void startWatch(const HttpRequest &Request, const HttpReplyPtr &Reply);
  void write(const std::string &Key, const HttpRequest &Request,
             const HttpReplyPtr &Reply);
  void serveLease(const std::string &Subpath, const HttpRequest &Request,
                  const HttpReplyPtr &Reply);
  void serveInstances(const HttpRequest &Request, const HttpReplyPtr &Reply);
  bool answerWatch(const Watch &PendingWatch);
  void onChange(const std::string &Key);
  void endWatches();

  TimerLoop &Loop;
  KvStore Store;
  FaultPlan Faults;
  InstanceList Instances;
  std::list<Watch> Watches;
  std::map<std::string, uint64_t> Calls;
};

} // namespace indigopoint::standin
