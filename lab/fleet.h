// The registry that a run's relays follow in place of discovery: its members as processes, a mirror that
// brings discovery's list into it, and a door at each member, which tells each relay the addresses of its own
// links.
#pragma once

#include <sys/types.h>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "lab/discovery_agent.h"
#include "lab/simulated_fleet.h"
#include "net/http.h"
#include "net/json_stream.h"

namespace turntally::lab {

// What discovery tells is written to the registry, one write at a time, the newest of each endpoint.
class Mirror {
 public:
  Mirror(SimulatedFleet& world,
         std::function<void()> first);  // `first`: the whole list has been written once
  ~Mirror();
  void start() { watch(); }

 private:
  void watch();
  bool told(const std::string& line);
  void write();
  void wrote(const std::set<std::string>& ids, const std::optional<net::HttpResponse>& reply);
  void after(double seconds, std::function<void()> then);

  SimulatedFleet& world_;
  std::function<void()> first_;
  std::shared_ptr<net::JsonStream> stream_;
  int64_t revision_ = -1;                       // of discovery's list
  std::map<std::string, nlohmann::json> list_;  // by id
  std::set<std::string> owed_;                  // ids that the registry does not have so yet
  bool writing_ = false;
  size_t at_ = 0;  // the member that is asked
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

class Fleet {
 public:
  // Throws where a member cannot be started.
  Fleet(SimulatedFleet& world, DiscoveryAgent& platform, const std::string& program,
        const std::string& folder, std::function<void()> ready);
  ~Fleet();

  size_t watches() const { return watches_; }  // that relays began
  void reap();                                 // notes a member that ended by itself
  void close();                                // members are ended

 private:
  class Session;

  void start_member(int member, const std::string& program, const std::string& folder);
  void await_list(size_t member);
  void accept(size_t member);
  std::string rewritten(int relay, const std::string& line, bool hears);

  SimulatedFleet& world_;
  DiscoveryAgent& platform_;
  std::vector<pid_t> processes_;
  std::vector<std::unique_ptr<tcp::acceptor>> doors_;
  std::list<std::shared_ptr<Session>> open_;
  std::vector<DiscoveryAgent::View> views_;  // what each relay was told
  std::map<std::string, size_t> places_;
  Mirror mirror_;
  size_t watches_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace turntally::lab
