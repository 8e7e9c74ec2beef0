// Members of the registry as processes, the links between them, and what can be done to them.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "lab/link.h"
#include "lab/test_environment.h"
#include "net/random.h"

namespace turntally::lab {

struct MemberSettings {
  std::string program;  // turntally
  std::string folder;   // of the run
  std::string level = "info";
  int members = 3;
  int election_ms = 500;
  int heartbeat_ms = 50;
  double delay_s = 0;  // each way between two members
  std::string more;    // further lines of their configuration
};

struct Member {
  int number = 0;
  std::string folder;
  std::string config;
  std::string log;
  pid_t process = 0;  // 0: it does not run
  bool stopped = false;
  bool full = false;
  bool served = false;  // has answered with a list since its start
};

class Members {
 public:
  enum class Fault { kKill, kStop, kCut, kDisk, kLose };  // lose: killed, and its folder emptied
  static const std::vector<std::string>& fault_names();   // in this order

  // `broken` hears of a member that ended by itself.
  Members(TestEnvironment& stage, MemberSettings settings, net::Random& random,
          std::function<void(const std::string&)> broken);
  ~Members();  // kills what runs

  void start();  // all, and whoever leads is asked for from here on
  void over();   // nothing is started again or asked, and members may end
  // Whether it took place: nothing is done to one that is down, stopped or full already. Undone by itself.
  bool fault(Fault kind, size_t member, double for_s);
  // leader, follower, any, majority, all
  std::vector<size_t> drawn(const std::string& who);

  size_t size() const { return members_.size(); }
  Member& operator[](size_t i) { return members_[i]; }
  bool up(size_t i) const { return members_[i].process != 0 && !members_[i].stopped; }
  int leader() const { return leader_; }  // -1: none that is known
  size_t any() { return random_.below(members_.size()); }
  net::tcp::endpoint http(size_t member) const;
  double memory_mb();  // the most that one had

 private:
  std::string raft(size_t member) const;
  void write_config(const Member& member);
  void start(Member& member);
  void kill(Member& member);
  void cut(size_t member, bool apart);
  void watch_processes();
  void ask_who_leads();

  TestEnvironment& stage_;
  MemberSettings settings_;
  net::Random& random_;
  std::function<void(const std::string&)> broken_;
  std::vector<Member> members_;
  std::map<std::pair<size_t, size_t>, std::unique_ptr<Link>> links_;
  int leader_ = -1;
  bool over_ = false;
  double memory_mb_ = 0;
};

}  // namespace turntally::lab
