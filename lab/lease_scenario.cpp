#include "lab/lease_scenario.h"

#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

#include "lab/fenced_resource.h"
#include "lab/members.h"
#include "lab/process.h"
#include "lab/test_environment.h"

namespace turntally::lab {
namespace {

namespace fs = std::filesystem;
using net::HttpResponse;
using nlohmann::json;
using std::chrono::milliseconds;
using Kind = LeaseFault::Kind;
using Sort = LeaseRecord::Sort;

constexpr double kLook = 0.05;  // between two looks at a member's list of leases
constexpr double kEnd = 3;      // that a controller has after SIGTERM
constexpr double kServes = 5;   // somebody must act within it, in the end
constexpr milliseconds kCall{500};
const std::string kTarget = "/api/leases/task/call";

const std::vector<std::string> kKinds = {"kill", "term",  "stop", "cut",       "slow",
                                         "lose", "clock", "disk", "hand_over", "restore"};
const std::set<std::string> kControllers = {"holder", "waiting", "controller", "controllers"};
const std::set<std::string> kMembers = {"leader", "follower", "member", "majority", "all"};
const std::set<std::string> kThings = {"thing", "things"};

// Who may meet a fault of a kind.
std::set<std::string> meets(Kind kind) {
  std::set<std::string> out;
  const bool both = kind == Kind::kKill || kind == Kind::kStop || kind == Kind::kCut;
  if (both || kind == Kind::kTerm || kind == Kind::kSlow || kind == Kind::kClock)
    out.insert(kControllers.begin(), kControllers.end());
  if (both || kind == Kind::kLose || kind == Kind::kDisk) out.insert(kMembers.begin(), kMembers.end());
  if (both) out.insert("any");
  if (kind == Kind::kKill) out.insert(kThings.begin(), kThings.end());
  if (out.empty()) out.insert("holder");
  return out;
}

LeaseFault read_fault(const net::Section& one, double seconds) {
  LeaseFault f;
  const std::string kind = one.word("kind", {}, {kKinds.begin(), kKinds.end()});
  f.kind = static_cast<Kind>(std::find(kKinds.begin(), kKinds.end(), kind) - kKinds.begin());
  const std::set<std::string> allowed = meets(f.kind);
  f.who = one.word("who", allowed.contains("holder") ? "holder" : "leader", allowed);
  f.at_s = one.number("at_s", {}, 0, 86400);
  f.for_s = one.number("for_s", 0, 0, 86400);
  f.every_s = one.number("every_s", 0, 0, 86400);
  f.times = one.integer("times", 1, 1, 100'000);
  f.on_grant = one.word("on", "time", {"time", "grant"}) == "grant";
  f.links = one.word("links", f.links, {"registry", "things", "both"});
  f.way = one.word("way", f.kind == Kind::kSlow ? "from" : "both", {"to", "from", "both"});
  f.late_ms = one.number("late_ms", 0, 0, 60'000);
  f.rate = one.number("rate", 1, 0.9, 1.1);
  f.then_kill = one.word("then", "nothing", {"nothing", "kill"}) == "kill";
  if (f.times > 1 && f.every_s <= 0) one.reject("every_s", "must say how often");
  if (f.kind == Kind::kSlow && f.late_ms <= 0) one.reject("late_ms", "must say how late");
  if (f.then_kill && f.kind != Kind::kHandOver) one.reject("then", "is for hand_over only");
  if (f.at_s + (f.times - 1) * f.every_s + f.for_s > seconds)
    one.reject("at_s", "is too late for the fault to be over in 'seconds'");
  one.refuse_unknown_keys();
  return f;
}

LeaseScenario read(const net::Section& file, const std::string& fallback) {
  LeaseScenario out;
  out.name = file.word("name", fallback);
  out.about = file.word("about", "");
  const net::Section l = file.table("lease");
  out.members = l.integer("members", out.members, 1, 5);
  out.controllers = l.integer("controllers", out.controllers, 1, 5);
  out.things = l.integer("things", out.things, 1, 5);
  out.ttl_ms = l.integer("ttl_ms", out.ttl_ms, 200, 30'000);
  out.every_ms = l.integer("every_ms", out.every_ms, 10, 60'000);
  out.seconds = l.number("seconds", out.seconds, 0.5, 86400);
  out.settle_s = l.number("settle_s", out.settle_s, 0.5, 600);
  out.most_ttl_ms = l.integer("most_ttl_ms", std::max(out.most_ttl_ms, out.ttl_ms), out.ttl_ms, 30'000);
  out.election_ms = l.integer("election_ms", out.election_ms, 50, 60'000);
  out.heartbeat_ms = l.integer("heartbeat_ms", out.heartbeat_ms, 10, 10'000);
  out.raft_ms = l.number("raft_ms", out.raft_ms, 0, 10'000);
  l.refuse_unknown_keys();
  const net::Section drawn = file.table("drawn");
  out.drawn = drawn.integer("faults", 0, 0, 10'000);
  drawn.refuse_unknown_keys();
  for (const net::Section& one : file.tables("fault")) out.faults.push_back(read_fault(one, out.seconds));
  file.refuse_unknown_keys();
  return out;
}

struct Controller {
  int number = 0;
  std::string config;
  std::string log;
  pid_t process = 0;  // 0: it does not run
  bool stopped = false;
  bool ends = false;    // it was asked to
  bool linked = false;  // its links are under a fault
  double rate = 1;      // of its clock
  double back_s = 0;    // started again so long after its end
  std::string holder;   // as it names itself; empty: not heard of yet
};

class Play {
 public:
  Play(const LeaseScenario& scenario, const LeaseScenarioOptions& options);
  ~Play();
  LeaseScenarioResult run();

 private:
  double now() const { return stage_.now(); }
  void record(LeaseRecord record);

  void write_config(const Controller& one);
  void start(Controller& one);
  void kill(Controller& one);
  void ended(Controller& one);
  void watch_controllers();
  void look();
  void looked(const json& lease);
  void tick();

  Controller* holding();
  std::vector<size_t> controllers_drawn(const std::string& who);
  void schedule(const LeaseFault& fault);
  void begin(const LeaseFault& fault);
  bool controller_fault(const LeaseFault& fault, Controller& one);
  void set_links(const Controller& one, const LeaseFault& fault, const LinkState& state);
  void thing_fault(const LeaseFault& fault);
  void hand_over(const LeaseFault& fault);
  void backup_and_restore(const LeaseFault& fault);
  void restore(const std::string& backup, int tries);
  void call(const net::tcp::endpoint& to, const net::HttpCall& call, int redirects,
            std::function<void(const std::optional<HttpResponse>&)> done);
  void count_renewals();

  const LeaseScenario& scenario_;
  const LeaseScenarioOptions& options_;
  net::Random random_;
  TestEnvironment stage_;
  Members members_;
  std::vector<std::unique_ptr<FencedResource>> things_;
  std::vector<Controller> controllers_;
  std::vector<std::vector<std::unique_ptr<Link>>> to_members_;  // of each controller
  std::vector<std::vector<std::unique_ptr<Link>>> to_things_;
  std::vector<LeaseFault> faults_;
  std::deque<std::function<void()>> on_grant_;  // what waits for the next one
  double faults_until_ = 0;                     // none begins later
  bool over_ = false;

  uint64_t newest_ = 0;  // the highest token, and whose
  std::string newest_holder_;
  std::set<std::pair<uint64_t, std::string>> listed_;
  std::set<uint64_t> past_;
  uint64_t kept_ = 0;
  std::vector<std::string> waiting_;
  std::vector<double> late_ms_;
  std::map<size_t, double> renewed_;  // at each member
  double renewals_ = 0;
  LeaseScenarioResult out_;
};

Play::Play(const LeaseScenario& scenario, const LeaseScenarioOptions& options)
    : scenario_(scenario),
      options_(options),
      random_(options.seed, 37),
      stage_(options.folder),
      members_(stage_,
               {options.program, options.folder, options.level, scenario.members, scenario.election_ms,
                scenario.heartbeat_ms, scenario.raft_ms / 1000,
                "lease_most_ttl_ms = " + std::to_string(scenario.most_ttl_ms) + "\n"},
               random_, [this](const std::string& what) {
                 record({Sort::kEnded, 0, 0, 0, "", false, 0, what});
               }) {
  faults_ = faults_of(scenario_, options_.seed);
  for (int t = 0; t < scenario_.things; ++t) {
    const net::tcp::endpoint at(stage_.address(80 + t), 7301);
    things_.push_back(
        std::make_unique<FencedResource>(stage_.io(), at, t, [this](const LeaseRecord& r) { record(r); }));
  }
  for (int c = 0; c < scenario_.controllers; ++c) {
    Controller one;
    one.number = c + 1;
    const std::string base = options_.folder + "/controller-" + std::to_string(c + 1);
    one.config = base + ".toml";
    one.log = base + ".log";
    controllers_.push_back(one);
    const auto source = stage_.address(90 + c);
    auto& to_members = to_members_.emplace_back();
    auto& to_things = to_things_.emplace_back();
    for (int m = 0; m < scenario_.members; ++m) {
      const net::tcp::endpoint listen(stage_.address(20 + 5 * c + m), 7101);
      to_members.push_back(std::make_unique<Link>(stage_.io(), listen, members_.http(static_cast<size_t>(m)),
                                                  source, random_.bits()));
    }
    // Hosts 10 to 44: all addresses are as long.
    for (const auto& link : to_members) {
      for (size_t m = 0; m < to_members.size(); ++m)
        link->rewrite(net::text_of(members_.http(m)), net::text_of(to_members[m]->address()));
    }
    for (int t = 0; t < scenario_.things; ++t) {
      const net::tcp::endpoint listen(stage_.address(50 + 5 * c + t), 7301);
      to_things.push_back(std::make_unique<Link>(
          stage_.io(), listen, things_[static_cast<size_t>(t)]->address(), source, random_.bits()));
    }
  }
}

Play::~Play() {
  for (Controller& one : controllers_) kill(one);
}

void Play::record(LeaseRecord r) {
  r.at = now();
  json line = {{"token", r.token}, {"holder", r.holder}};
  if (r.what == Sort::kAct || r.what == Sort::kFence)
    line.update({{"thing", r.thing + 1}, {"accepted", r.accepted}});
  if (r.what == Sort::kAct || r.what == Sort::kKept) line["number"] = r.number;
  if (!r.text.empty()) line["text"] = r.text;
  stage_.record(name_of(r.what), line);
  const bool names = r.what == Sort::kGrant || r.what == Sort::kFence || r.what == Sort::kAct;
  if (names) {
    for (Controller& one : controllers_) {
      if (one.process != 0 &&
          r.holder.starts_with("c" + std::to_string(one.number) + "-" + std::to_string(one.process) + "-"))
        one.holder = r.holder;
    }
  }
  const bool granted = names && r.token > newest_;
  if (granted) {
    newest_ = r.token;
    newest_holder_ = r.holder;
  }
  out_.history.push_back(std::move(r));
  if (granted) {
    for (const auto& then : std::exchange(on_grant_, {})) then();
  }
}

void Play::write_config(const Controller& one) {
  const auto list = [](const auto& links) {
    std::string out;
    for (const auto& link : links)
      out += (out.empty() ? "\"" : ", \"") + net::text_of(link->address()) + "\"";
    return "[" + out + "]";
  };
  const auto self = static_cast<size_t>(one.number - 1);
  std::ofstream out(one.config);
  out << "holder = \"c" << one.number << "\"\nclock_rate = " << one.rate
      << "\n\n[registry]\nmembers = " << list(to_members_[self])
      << "\n\n[lease]\nttl_ms = " << scenario_.ttl_ms
      << "\nanswer_ms = " << std::max(50, scenario_.ttl_ms / 4)
      << "\nmost_pause_ms = " << std::max(100, scenario_.ttl_ms / 2)
      << "\n\n[[task]]\nkind = \"call\"\npath = \"/act\"\naddresses = " << list(to_things_[self])
      << "\nevery_ms = " << scenario_.every_ms << "\ntimeout_ms = " << std::max(100, scenario_.ttl_ms / 2)
      << "\n";
}

void Play::start(Controller& one) {
  write_config(one);
  Spawn what;
  what.command = {options_.program, "controller", "run", one.config, "--log-level", options_.level};
  what.log = one.log;
  one.process = spawn(what);
  one.stopped = one.ends = false;
  one.holder.clear();
  stage_.record("start", {{"controller", one.number}, {"process", one.process}, {"rate", one.rate}});
}

void Play::kill(Controller& one) {
  if (one.process == 0) return;
  ::kill(one.process, SIGKILL);
  ::waitpid(one.process, nullptr, 0);
  one.process = 0;
  if (!one.holder.empty() && !over_) record({Sort::kDeath, 0, 0, 0, one.holder, false, 0, ""});
}

void Play::ended(Controller& one) {
  stage_.after(one.back_s, [this, &one] {
    if (!over_ && one.process == 0) start(one);
  });
}

void Play::watch_controllers() {
  for (Controller& one : controllers_) {
    int status = 0;
    if (one.process == 0 || ::waitpid(one.process, &status, WNOHANG) != one.process) continue;
    one.process = 0;
    stage_.record("ended", {{"controller", one.number}, {"status", status}, {"asked", one.ends}});
    if (!one.ends || status != 0) {
      record({Sort::kEnded, 0, 0, 0, "", false, 0,
              "controller " + std::to_string(one.number) + " ended at " + std::to_string(now()) +
                  " s, status " + std::to_string(status)});
    }
    ended(one);
  }
  if (!over_) stage_.after(0.02, [this] { watch_controllers(); });
}

// What the members list, so that acts can be held against it.
void Play::look() {
  for (size_t m = 0; m < members_.size(); ++m) {
    if (!members_.up(m)) continue;
    net::http_call(stage_.io(), members_.http(m), {"GET", kTarget, {}, "", kCall},
                   [this](const std::optional<HttpResponse>& reply) {
                     const json lease =
                         reply && reply->status == 200 ? json::parse(reply->body, nullptr, false) : json();
                     if (!over_ && lease.is_object()) looked(lease);
                   });
  }
  if (!over_) stage_.after(kLook, [this] { look(); });
}

void Play::looked(const json& lease) {
  const auto seen = [&](uint64_t token, const std::string& holder) {
    if (token != 0 && !holder.empty() && listed_.emplace(token, holder).second)
      record({Sort::kGrant, 0, 0, token, holder, false, 0, ""});
  };
  for (const json& one : lease["past"]) {  // oldest first
    const uint64_t token = one["token"];
    seen(token, one["holder"]);
    if (past_.insert(token).second) record({Sort::kOver, 0, 0, token, one["holder"], false, 0, one["how"]});
  }
  seen(lease["token"], lease["holder"]);
  waiting_ = lease["waiting"].get<std::vector<std::string>>();
  const json text = json::parse(lease.value("record", ""), nullptr, false);
  const uint64_t number = text.is_object() ? text.value("number", uint64_t{0}) : 0;
  if (number > kept_) {
    kept_ = number;
    record({Sort::kKept, 0, 0, lease["token"], lease["holder"], false, number, ""});
  }
}

void Play::tick() {
  const double due = now() + 0.01;
  stage_.after(0.01, [this, due] {
    late_ms_.push_back((now() - due) * 1000);
    if (!over_) tick();
  });
}

Controller* Play::holding() {
  for (Controller& one : controllers_) {
    if (one.process != 0 && !one.holder.empty() && one.holder == newest_holder_) return &one;
  }
  return nullptr;
}

std::vector<size_t> Play::controllers_drawn(const std::string& who) {
  std::vector<size_t> out;
  const Controller* holder = holding();
  for (size_t c = 0; c < controllers_.size(); ++c) {
    if (controllers_[c].process == 0) continue;
    const bool holds = &controllers_[c] == holder;
    if (who == "holder" ? holds : who == "waiting" ? !holds : true) out.push_back(c);
  }
  if (who != "controllers" && out.size() > 1) out = {out[random_.below(out.size())]};
  return out;
}

void Play::schedule(const LeaseFault& fault) {
  for (int i = 0; i < fault.times; ++i) {
    stage_.after(fault.at_s + i * fault.every_s, [this, &fault] {
      if (!fault.on_grant) return begin(fault);
      on_grant_.push_back([this, &fault] { begin(fault); });
    });
  }
}

void Play::begin(const LeaseFault& fault) {
  if (over_ || now() + fault.for_s > faults_until_) return;
  if (fault.kind == Kind::kHandOver) return hand_over(fault);
  if (fault.kind == Kind::kRestore) return backup_and_restore(fault);
  if (kThings.contains(fault.who)) return thing_fault(fault);
  std::string who = fault.who;
  if (who == "any") {
    const size_t all = members_.size() + controllers_.size();
    who = random_.below(all) < members_.size() ? "member" : "controller";
  }
  if (kControllers.contains(who)) {
    for (const size_t c : controllers_drawn(who))
      out_.faults += controller_fault(fault, controllers_[c]) ? 1 : 0;
    return;
  }
  static const std::map<Kind, Members::Fault> kOfMembers = {{Kind::kKill, Members::Fault::kKill},
                                                            {Kind::kStop, Members::Fault::kStop},
                                                            {Kind::kCut, Members::Fault::kCut},
                                                            {Kind::kDisk, Members::Fault::kDisk},
                                                            {Kind::kLose, Members::Fault::kLose}};
  for (const size_t m : members_.drawn(who == "member" ? "any" : who))
    out_.faults += members_.fault(kOfMembers.at(fault.kind), m, fault.for_s) ? 1 : 0;
}

// Nothing is done to one that is down or stopped already, nor to links that are under a fault.
bool Play::controller_fault(const LeaseFault& fault, Controller& one) {
  const bool links = fault.kind == Kind::kCut || fault.kind == Kind::kSlow;
  if (one.process == 0 || one.stopped || one.ends || (links && one.linked)) return false;
  stage_.record("fault", {{"kind", kKinds[static_cast<size_t>(fault.kind)]},
                          {"controller", one.number},
                          {"holds", &one == holding()},
                          {"for", fault.for_s}});
  switch (fault.kind) {
    case Kind::kKill:
      kill(one);
      one.back_s = fault.for_s;
      ended(one);
      break;
    case Kind::kTerm:
      ::kill(one.process, SIGTERM);
      one.ends = true;
      one.back_s = fault.for_s;
      stage_.after(kEnd, [this, &one, process = one.process] {
        if (one.process != process || over_) return;
        record({Sort::kEnded, 0, 0, 0, "", false, 0,
                "controller " + std::to_string(one.number) + " did not end in time after SIGTERM"});
        kill(one);
        ended(one);
      });
      break;
    case Kind::kStop:
      ::kill(one.process, SIGSTOP);
      one.stopped = true;
      stage_.after(fault.for_s, [this, &one, process = one.process] {
        if (one.process != process) return;
        ::kill(process, SIGCONT);
        one.stopped = false;
        stage_.record("continue", {{"controller", one.number}});
      });
      break;
    case Kind::kClock:
      kill(one);
      one.rate = fault.rate;
      start(one);
      if (fault.for_s <= 0) break;
      stage_.after(fault.for_s, [this, &one] {
        one.rate = 1;
        if (over_ || one.process == 0) return;  // its next start has the true clock
        kill(one);
        start(one);
      });
      break;
    case Kind::kCut:
    case Kind::kSlow: {
      LinkState state;
      if (fault.way != "from") state.late_to_s = fault.late_ms / 1000;
      if (fault.way != "to") state.late_from_s = fault.late_ms / 1000;
      state.cut_to = fault.kind == Kind::kCut && fault.way != "from";
      state.cut_from = fault.kind == Kind::kCut && fault.way != "to";
      set_links(one, fault, state);
      one.linked = true;
      stage_.after(fault.for_s, [this, &one, &fault] {
        set_links(one, fault, {});
        one.linked = false;
        stage_.record("linked", {{"controller", one.number}});
      });
      break;
    }
    default:
      return false;
  }
  return true;
}

void Play::set_links(const Controller& one, const LeaseFault& fault, const LinkState& state) {
  const auto self = static_cast<size_t>(one.number - 1);
  if (fault.links != "things") {
    for (const auto& link : to_members_[self]) link->set(state);
  }
  if (fault.links != "registry") {
    for (const auto& link : to_things_[self]) link->set(state);
  }
}

void Play::thing_fault(const LeaseFault& fault) {
  const size_t drawn = random_.below(things_.size());
  for (size_t t = 0; t < things_.size(); ++t) {
    if ((fault.who == "thing" && t != drawn) || !things_[t]->runs()) continue;
    stage_.record("fault", {{"kind", "kill"}, {"thing", t + 1}, {"for", fault.for_s}});
    ++out_.faults;
    things_[t]->stop();
    stage_.after(fault.for_s, [this, t] { things_[t]->start(); });
  }
}

// As an operator's program does: redirects lead to the leader.
void Play::call(const net::tcp::endpoint& to, const net::HttpCall& what, int redirects,
                std::function<void(const std::optional<HttpResponse>&)> done) {
  net::http_call(
      stage_.io(), to, what,
      [this, what, redirects, done = std::move(done)](const std::optional<HttpResponse>& reply) {
        if (!reply || reply->status != 307 || redirects == 0 || !reply->fields.contains("location"))
          return done(reply);
        const std::string& at = reply->fields.at("location");
        call(net::parse_address(at.substr(7, at.find('/', 7) - 7)), what, redirects - 1, done);
      });
}

void Play::hand_over(const LeaseFault& fault) {
  const std::string to =
      waiting_.empty() || random_.chance(0.5) ? "" : waiting_[random_.below(waiting_.size())];
  const json body = {{"call", "hand_over"}, {"holder", "lab"}, {"to", to}};
  stage_.record("fault", {{"kind", "hand_over"}, {"from", newest_holder_}, {"to", to}});
  ++out_.faults;
  call(members_.http(members_.any()), {"POST", kTarget, {}, body.dump(), milliseconds(2000)}, 2,
       [this, &fault](const std::optional<HttpResponse>& reply) {
         if (over_) return;
         const bool well = reply && reply->status == 200;
         stage_.record("answered",
                       {{"status", reply ? reply->status : 0}, {"body", reply ? reply->body : ""}});
         if (!well) return;
         ++out_.hand_overs;
         record({Sort::kHandOver, 0, 0, 0, newest_holder_, false, 0, ""});
         if (!fault.then_kill) return;
         on_grant_.push_back([this] {
           Controller* receiver = holding();
           LeaseFault kill_it;
           kill_it.for_s = 0.5;
           if (receiver != nullptr && controller_fault(kill_it, *receiver)) ++out_.faults;
         });
       });
}

void Play::backup_and_restore(const LeaseFault& fault) {
  const size_t at = members_.leader() >= 0 ? static_cast<size_t>(members_.leader()) : 0;
  net::http_call(stage_.io(), members_.http(at), {"GET", "/registry/backup", {}, "", milliseconds(3000)},
                 [this, &fault](const std::optional<HttpResponse>& reply) {
                   if (over_) return;
                   if (!reply || reply->status != 200) return stage_.record("no_backup");
                   stage_.record("backup", {{"holder", newest_holder_}});
                   LeaseFault kill_it;
                   kill_it.for_s = 0.5;
                   if (Controller* one = holding()) controller_fault(kill_it, *one);
                   stage_.after(fault.for_s, [this, backup = reply->body] { restore(backup, 5); });
                 });
}

void Play::restore(const std::string& backup, int tries) {
  if (over_) return;
  const size_t at = members_.leader() >= 0 ? static_cast<size_t>(members_.leader()) : 0;
  // Before and after: until all have it a member may show what was kept before.
  record({Sort::kRestored, 0, 0, 0, "", false, 0, ""});
  net::http_call(stage_.io(), members_.http(at),
                 {"POST", "/registry/restore", {}, backup, milliseconds(3000)},
                 [this, backup, tries](const std::optional<HttpResponse>& reply) {
                   if (over_) return;
                   if (reply && reply->status == 200) {
                     ++out_.faults;
                     kept_ = 0;
                     return stage_.after(0.5, [this] {
                       kept_ = 0;
                       record({Sort::kRestored, 0, 0, 0, "", false, 0, ""});
                     });
                   }
                   if (tries > 1)
                     return stage_.after(0.3, [this, backup, tries] { restore(backup, tries - 1); });
                   record({Sort::kEnded, 0, 0, 0, "", false, 0,
                           "the restore failed: " + (reply ? reply->body : "no answer")});
                 });
}

// Each member counts what it applies, anew with each start: the most that one has counted since the last
// look.
void Play::count_renewals() {
  static const std::string kName = "\nregistry_leases_renewals_total ";
  const auto most = std::make_shared<double>(0);
  for (size_t m = 0; m < members_.size(); ++m) {
    if (!members_.up(m)) continue;
    net::http_call(stage_.io(), members_.http(m), {"GET", "/metrics", {}, "", kCall},
                   [this, m, most](const std::optional<HttpResponse>& reply) {
                     const size_t at = reply ? reply->body.find(kName) : std::string::npos;
                     if (over_ || at == std::string::npos) return;
                     const double count = std::strtod(reply->body.c_str() + at + kName.size(), nullptr);
                     const double before = std::exchange(renewed_[m], count);
                     const double more = count < before ? count : count - before;
                     renewals_ += std::max(more - *most, 0.0);
                     *most = std::max(*most, more);
                   });
  }
  if (!over_) stage_.after(1, [this] { count_renewals(); });
}

LeaseScenarioResult Play::run() {
  members_.start();
  stage_.await([this] { return members_.leader() >= 0; }, 20, "the registry");
  stage_.begin();
  for (Controller& one : controllers_) start(one);
  watch_controllers();
  look();
  count_renewals();
  const auto acts = [this] {
    return std::any_of(out_.history.begin(), out_.history.end(),
                       [](const LeaseRecord& r) { return r.what == Sort::kAct && r.accepted; });
  };
  stage_.await(acts, 20 + scenario_.most_ttl_ms / 1000.0, "a controller");
  tick();
  const double from = now();
  const double until = from + scenario_.seconds;
  faults_until_ = until;
  stage_.record("begins");
  for (const LeaseFault& fault : faults_) schedule(fault);
  LeaseRules rules;
  rules.serves_from = until + scenario_.settle_s;
  rules.until = rules.serves_from + std::max(kServes, 2 * scenario_.every_ms / 1000.0);
  rules.processes = scenario_.members + scenario_.controllers;
  const auto serves = [&] {
    for (auto it = out_.history.rbegin(); it != out_.history.rend() && it->at >= rules.serves_from; ++it) {
      if (it->what == Sort::kAct && it->accepted) return true;
    }
    return false;
  };
  for (double second = from; now() < rules.until && !serves();) {
    stage_.io().run_for(milliseconds(50));
    if (now() >= until) on_grant_.clear();
    if (!options_.progress || now() < second) continue;
    second += 1;
    const LeaseFigures f = figures_of(out_.history);
    char line[160];
    std::snprintf(line, sizeof(line), "%5.0f s: %zu acts, %zu grants, %zu refused, %zu faults", now() - from,
                  f.acts, f.grants, f.refused, out_.faults);
    options_.progress(line, false);
  }
  // The last grant may be known by its acts only so far.
  for (const double most = now() + kServes; !listed_.contains({newest_, newest_holder_}) && now() < most;)
    stage_.io().run_for(milliseconds(10));
  out_.renewals = renewals_ / now();
  over_ = true;
  members_.over();
  out_.verdicts = check(out_.history, rules);
  for (Verdict& v : out_.verdicts) {
    for (Broken& one : v.broken) one.events.clear();  // places in another history than a report shows
  }
  out_.figures = figures_of(out_.history);
  out_.lab_p99_ms = quantile(late_ms_, 0.99);
  return std::move(out_);
}

}  // namespace

std::vector<LeaseFault> faults_of(const LeaseScenario& scenario, uint64_t seed) {
  std::vector<LeaseFault> out = scenario.faults;
  net::Random random(seed, 41);
  bool lost = false;
  bool restored = false;
  for (int i = 0; i < scenario.drawn; ++i) {
    LeaseFault f;
    f.kind = static_cast<Kind>(random.below(kKinds.size()));
    // Twice would be more than a registry can take: two of three folders gone; and a second wait for its
    // table.
    if ((f.kind == Kind::kLose && std::exchange(lost, true)) ||
        (f.kind == Kind::kRestore && std::exchange(restored, true)))
      f.kind = Kind::kKill;
    const std::set<std::string> all = meets(f.kind);
    std::vector<std::string> who(all.begin(), all.end());
    if (f.kind == Kind::kLose) who = {"leader", "follower"};
    f.who = who[random.below(who.size())];
    f.for_s = std::min(random.between(0.2, 3), scenario.seconds / 3);
    f.at_s = random.between(0, scenario.seconds - f.for_s);
    f.on_grant = random.chance(0.2);
    f.links = std::vector<std::string>{"registry", "things", "both"}[random.below(3)];
    f.way = std::vector<std::string>{"to", "from", "both"}[random.below(3)];
    f.late_ms = random.between(0.05, 1.2) * scenario.ttl_ms;
    f.rate = random.chance(0.5) ? 0.9 : 1.1;
    f.then_kill = f.kind == Kind::kHandOver && random.chance(0.5);
    out.push_back(f);
  }
  return out;
}

nlohmann::ordered_json LeaseScenarioResult::to_json() const {
  const auto& fail = figures.failovers_s;
  const auto& hand = figures.hand_overs_s;
  return {{"acts", figures.acts},
          {"refused", figures.refused},
          {"late", figures.late},
          {"repeated", figures.repeated},
          {"grants", figures.grants},
          {"faults", faults},
          {"hand_overs", hand_overs},
          {"failovers", fail.size()},
          {"failover_p50_s", quantile(fail, 0.5)},
          {"failover_p99_s", quantile(fail, 0.99)},
          {"hand_over_gaps", hand.size()},
          {"hand_over_p50_s", quantile(hand, 0.5)},
          {"hand_over_most_s", quantile(hand, 1)},
          {"renewals_a_second", renewals},
          {"lab_late_p99_ms", lab_p99_ms}};
}

bool is_lease_scenario(const std::string& path) { return net::Section::from_file(path).has("lease"); }

LeaseScenario read_lease_scenario(const std::string& path) {
  return read(net::Section::from_file(path), fs::path(path).stem());
}

LeaseScenario parse_lease_scenario(const std::string& name, const std::string& toml) {
  return read(net::Section::from_text(name, toml), name);
}

LeaseScenarioResult run_lease_scenario(const LeaseScenario& scenario, const LeaseScenarioOptions& options) {
  Play play(scenario, options);
  return play.run();
}

}  // namespace turntally::lab
