#include "lab/scenario_runner.h"

#include <sys/resource.h>
#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <boost/asio/read_until.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/write.hpp>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

#include "lab/clients.h"
#include "lab/discovery_agent.h"
#include "lab/endpoints.h"
#include "lab/errors.h"
#include "lab/fleet.h"
#include "lab/process.h"

namespace turntally::lab {
namespace {

namespace fs = std::filesystem;
using Error = boost::system::error_code;
using nlohmann::json;

constexpr double kReadyPoll = 0.02;
constexpr double kSigkillAfter = 3.7;
constexpr double kBackAfter = 0.6;   // at the soonest, after SIGKILL
constexpr double kFrontHears = 0.3;  // of a planned end
constexpr double kUsagePoll = 0.25;
constexpr double kLagPoll = 0.005;
constexpr double kUpgradeWithin = 6;
constexpr double kRejoin = 1;  // an endpoint that has left is replaced after so long

struct Relay {
  pid_t process = -1;
  pid_t before = -1;  // during an upgrade: the old process
  int generation = 0;
  bool ready = false;
  bool stopped = false;
  bool ending = false;  // it was asked to
  bool lost = false;    // its folder goes with it
  double back_at = -1;  // when it starts again; under 0: not
  std::string folder;
  std::vector<LinkState> states;  // link faults that are on, by the sort of links
  std::vector<std::string> sorts;
};

class Play {
 public:
  Play(const Scenario& scenario, const Plan& plan, const ScenarioOptions& options)
      : scenario_(scenario),
        plan_(plan),
        options_(options),
        world_(io_, scenario, plan),
        platform_(world_),
        endpoints_(world_),
        clients_(world_),
        children_(io_, SIGCHLD),
        arrival_timer_(io_),
        relays_(plan.relays.size()) {}

  ~Play() {
    for (const Relay& relay : relays_) {
      for (const pid_t process : {relay.process, relay.before}) {
        if (process <= 0) continue;
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
      }
    }
  }

  ScenarioResult run() {
    const net::Time began = net::steady_now();
    world_.begin(began);
    await_children();
    fs::create_directories(options_.folder + "/log");
    fs::create_directories(options_.folder + "/state");
    if (scenario_.registry_members > 0) {
      fleet_.emplace(world_, platform_, options_.turntally, options_.folder, [this] { start_all(); });
      after(scenario_.ready_within_s, [this] {
        if (!started_) throw NotReady("the registry", scenario_.ready_within_s);
      });
    } else {
      start_all();
    }
    io_.run();
    ScenarioResult out;
    out.history = std::move(world_.history);
    // What came before the first arrival has negative times, in the arrivals' clock.
    for (Event& event : out.history.events) event.at -= first_;
    for (HandIn& message : out.history.messages) message.due -= first_;
    out.late = lateness();
    out.seconds = static_cast<double>(net::steady_now() - began) / 1e6;
    rusage use{};
    ::getrusage(RUSAGE_SELF, &use);
    out.lab_cpu_s = static_cast<double>(use.ru_utime.tv_sec + use.ru_stime.tv_sec);
    ::getrusage(RUSAGE_CHILDREN, &use);
    out.relays_cpu_s = static_cast<double>(use.ru_utime.tv_sec + use.ru_stime.tv_sec);
    for (int i = 0; i < count(); ++i) {
      for (size_t p = 0; p < world_.places().size(); ++p)
        out.connections += world_.to_endpoint(i, p).connections();
    }
    out.fallen = endpoints_.fallen();
    out.list_calls = platform_.calls().all;
    out.list_failed = platform_.calls().failed;
    out.extra_answers = world_.extra_bytes.count();
    out.registry_watches = fleet_ ? fleet_->watches() : 0;
    out.unfinished = unfinished_;
    return out;
  }

 private:
  int count() const { return static_cast<int>(relays_.size()); }
  Relay& relay(int i) { return relays_[static_cast<size_t>(i)]; }

  void after(double seconds, std::function<void()> then) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(io_);
    timer->expires_after(std::chrono::microseconds(static_cast<int64_t>(seconds * 1e6)));
    timer->async_wait([this, timer, then = std::move(then)](const Error& error) {
      if (!error && !over_) then();
    });
  }
  // In the arrivals' clock.
  void at(double seconds, std::function<void()> then) {
    after(first_ + seconds - world_.now(), std::move(then));
  }

  void note(int i, const std::string& text, double value = 0) {
    world_.note({0, What::kProcess, i, -1, -1, -1, value, 0, text});
  }

  json settings(int i) const {
    const RelayPlan& r = plan_.relays[static_cast<size_t>(i)];
    json classes = json::array();
    double target = 0;
    for (const MessageClass& c : scenario_.classes) {
      json item = {{"name", c.name},         {"semantics", c.semantics},
                   {"target_s", c.target_s}, {"give_up_s", c.give_up_s},
                   {"worth", 1.0},           {"late_worth", c.late_worth}};
      if (c.semantics == "keyed") item.update({{"key_scope", c.key_scope}, {"key_ttl_s", c.key_ttl_s}});
      classes.push_back(item);
      target = std::max(target, c.target_s);
    }
    json kinds = json::array();
    json batch = json::array();
    json apart = json::array();
    for (const ReceiverKind& k : scenario_.kinds) {
      kinds.push_back(k.name);
      batch.push_back(k.batch);
      apart.push_back(false);
    }
    json tenants = json::array();
    for (const std::string& name : scenario_.tenants) {
      const double share = 1.0 / static_cast<double>(scenario_.tenants.size());
      tenants.push_back({{"name", name}, {"share", share}, {"quota_per_s", 1.5 * share * scenario_.rate}});
    }
    return {{"azs", scenario_.zones},
            {"zone", r.zone},
            {"kinds", kinds},
            {"categories", classes},
            {"realms", tenants},
            {"siblings", count()},
            {"me", i},
            {"discovery", "ask"},
            {"weights", "rough"},
            {"resolution_s", 0.005},
            {"over_share_worth", 0.05},
            {"family_info",
             {{"calls_out", r.slots},
              {"kind_apart", apart},
              {"kind_batch", batch},
              {"late", "halves"},
              {"refused_price", 0.05}}},
            {"telemetry", {{"fields", {"x0", "x1"}}, {"how", "piggyback"}}},
            {"prices", {{"handshake", 0.06}, {"waste", 0.05}, {"late_fail", 0.03}}},
            {"bounds",
             {{"open_cap", r.hold},
              {"max_attempts", scenario_.max_attempts},
              {"streams_per_conn", 1},
              {"may_probe", false},
              {"cancel", true},
              {"peers", false},
              {"conn_idle_s", 10.0},
              {"connect_timeout_s", 1.5},
              {"retry_after", true},
              {"max_retry_after_s", 3.0}}},
            {"obligations",
             {{"answer_slack_s", 0.02},
              {"ask_every_s", 10.0},
              {"cold_s", scenario_.cold_s},
              {"fall_multiple", scenario_.fall_multiple},
              {"fall_s", scenario_.fall_s},
              {"start_capacity", scenario_.start_capacity},
              {"stop_sending_within_s", 1.0}}}};
  }

  void start_all() {
    started_ = true;
    for (int i = 0; i < count(); ++i) start(i);
    after(scenario_.ready_within_s, [this] {
      if (!begun_) begin();
    });
  }

  void start(int i) {
    Relay& r = relay(i);
    const std::string& name = plan_.relays[static_cast<size_t>(i)].name;
    r.folder = options_.folder + "/state/" + name;
    fs::create_directories(r.folder);
    const std::string seed = net::hex(net::mix(plan_.seed + static_cast<uint64_t>(1000 * i + r.generation)));
    json config = {{"name", name},
                   {"listen", net::text_of(world_.relay_address(i))},
                   {"discovery", net::text_of(world_.to_discovery(i).address())},
                   {"seed", seed},
                   {"limits",
                    {{"cores", 1.0},
                     {"memory_mb", scenario_.memory_mb},
                     {"sockets", scenario_.sockets},
                     {"disk_mb", scenario_.disk_mb}}},
                   {"known", platform_.list(i)},
                   {"settings", settings(i)}};
    json members = json::array();
    for (int m = 0; m < scenario_.registry_members; ++m) {
      members.push_back(net::text_of(world_.to_registry(i, static_cast<size_t>(m)).address()));
    }
    if (!members.empty()) config["fleet"] = {{"registry", members}};
    const std::string path = options_.folder + "/" + name + ".json";
    std::ofstream(path) << config.dump(1) << "\n";
    Spawn what;
    what.command = {options_.relay, "--log-level", options_.level};
    what.environment = {{"PROXY_NAME", name},
                        {"PROXY_CONFIG", path},
                        {"PROXY_STATE", r.folder},
                        {"PROXY_CONTROL", net::text_of(world_.control_address(i, r.generation))}};
    what.log = options_.folder + "/log/" + name + ".log";
    what.descriptors = scenario_.sockets;
    r.process = spawn(what);
    platform_.told_at_start(i);
    r.ready = false;
    r.ending = false;
    r.stopped = false;
    note(i, r.before > 0 ? "upgrade" : "start");
    const double until = world_.now() + scenario_.ready_within_s;
    r.before > 0 ? await_successor(i, r.process, world_.now() + kUpgradeWithin)
                 : await_ready(i, r.process, until);
  }

  // One question on a connection of its own; `yes` says whether the answer begins as it should.
  void ask(const tcp::endpoint& address, const std::string& question, const std::string& answer,
           const std::function<void(bool yes)>& then) {
    struct Asked {
      explicit Asked(boost::asio::io_context& io) : socket(io), timer(io) {}
      tcp::socket socket;
      boost::asio::steady_timer timer;
      std::string question;
      std::string heard;
    };
    const auto asked = std::make_shared<Asked>(io_);
    asked->question = question;
    asked->timer.expires_after(std::chrono::seconds(1));
    asked->timer.async_wait([asked](const Error& error) {
      Error ignored;
      if (!error) asked->socket.close(ignored);
    });
    asked->socket.async_connect(address, [asked, answer, then](const Error& error) {
      if (error) return then(false);
      boost::asio::async_write(asked->socket, boost::asio::buffer(asked->question),
                               [asked, answer, then](const Error& failed, size_t) {
                                 if (failed) return then(false);
                                 boost::asio::async_read_until(
                                     asked->socket, boost::asio::dynamic_buffer(asked->heard), "\r\n",
                                     [asked, answer, then](const Error& none, size_t) {
                                       asked->timer.cancel();
                                       then(!none && asked->heard.starts_with(answer));
                                     });
                               });
    });
  }

  void await_ready(int i, pid_t process, double until) {
    ask(world_.relay_address(i), "*1\r\n$4\r\nPING\r\n", "+PONG", [this, i, process, until](bool yes) {
      if (over_ || relay(i).process != process) return;
      if (yes) return now_ready(i);
      if (world_.now() > until) return note(i, "late");
      after(kReadyPoll, [this, i, process, until] { await_ready(i, process, until); });
    });
  }

  void await_successor(int i, pid_t process, double until) {
    ask(world_.control_address(i, relay(i).generation), "GET /v1/readyz HTTP/1.1\r\nHost: lab\r\n\r\n",
        "HTTP/1.1 200", [this, i, process, until](bool yes) {
          Relay& r = relay(i);
          if (over_ || r.process != process) return;
          if (yes) {
            r.ready = true;
            note(i, "upgraded");
            if (r.before > 0) end_by_term(r.before);
            return;
          }
          if (world_.now() > until) return note(i, "late");
          after(kReadyPoll, [this, i, process, until] { await_successor(i, process, until); });
        });
  }

  void now_ready(int i) {
    relay(i).ready = true;
    note(i, "ready");
    after(begun_ ? scenario_.notice_s : 0, [this, i] {
      if (relay(i).ready) clients_.use(i, true);
    });
    if (begun_) return;
    const bool all = std::all_of(relays_.begin(), relays_.end(), [](const Relay& r) { return r.ready; });
    if (all) after(0.2, [this] { begun_ ? void() : begin(); });
  }

  void end_by_term(pid_t process) {
    ::kill(process, SIGTERM);
    alive_.insert(process);
    after(kSigkillAfter, [this, process] {
      if (alive_.contains(process)) ::kill(process, SIGKILL);
    });
  }

  void await_children() {
    children_.async_wait([this](const Error& error, int) {
      if (error) return;
      reap();
      await_children();
    });
  }

  void reap() {
    if (fleet_) fleet_->reap();
    for (int i = 0; i < count(); ++i) {
      Relay& r = relay(i);
      int status = 0;
      if (r.before > 0 && ::waitpid(r.before, &status, WNOHANG) == r.before) {
        alive_.erase(r.before);
        r.before = -1;
        note(i, "handed_over", status);
      }
      if (r.process > 0 && ::waitpid(r.process, &status, WNOHANG) == r.process) ended(i, status);
    }
  }

  void ended(int i, int status) {
    Relay& r = relay(i);
    alive_.erase(r.process);
    r.process = -1;
    const bool was_used = r.ready;
    r.ready = false;
    if (!r.ending) note(i, "exit", status);
    r.ending = false;
    if (was_used) {
      after(scenario_.notice_s, [this, i] {
        if (!relay(i).ready) clients_.use(i, false);
      });
    }
    if (r.lost) lose_folder(i);
    if (r.back_at < 0) return;
    const double back = std::max(r.back_at - world_.now(), kBackAfter);
    r.back_at = -1;
    after(back, [this, i] {
      if (relay(i).process < 0) start(i);
    });
  }

  void lose_folder(int i) {
    relay(i).lost = false;
    std::error_code ignored;
    fs::remove_all(relay(i).folder, ignored);
    note(i, "lost");
    look();
    std::vector<int> held;
    for (const int message : open_) {
      if (clients_.taken_by()[static_cast<size_t>(message)] == i) held.push_back(message);
    }
    for (const int message : held) open_.erase(message);
    clients_.lost(held);
  }

  void begin() {
    begun_ = true;
    first_ = world_.now() + 0.05;
    lags_.reserve(plan_.arrivals.size() + static_cast<size_t>(plan_.end_s / kLagPoll));
    next_arrival();
    for (const FaultPlan& fault : plan_.faults) {
      if (target_of(fault.fault.kind) == Target::kDiscovery) {
        at(fault.fault.at_s, [this] { discovery(+1); });
        at(fault.fault.at_s + fault.fault.for_s, [this] { discovery(-1); });
      }
      for (size_t k = 0; k < fault.who.size(); ++k) {
        const double from = fault.fault.at_s + static_cast<double>(k) * fault.fault.each_s;
        at(from, [this, &fault, who = fault.who[k]] { meet(fault.fault, who, true); });
        at(from + fault.fault.for_s, [this, &fault, who = fault.who[k]] { meet(fault.fault, who, false); });
      }
    }
    watch_usage();
    watch_lag(world_.now() + kLagPoll);
    watch_end();
    watch_progress();
  }

  void next_arrival() {
    while (arrived_ < plan_.arrivals.size()) {
      const ArrivalPlan& arrival = plan_.arrivals[arrived_];
      const double due = first_ + arrival.at_s;
      if (due > world_.now()) {
        arrival_timer_.expires_at(world_.point(due));
        return arrival_timer_.async_wait([this](const Error& error) {
          if (!error) next_arrival();
        });
      }
      lags_.push_back(world_.now() - due);
      ++arrived_;
      clients_.arrive(arrival);
    }
  }

  // A timer beside the arrivals: what holds the lab up between two of them shows too.
  void watch_lag(double due) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(io_);
    timer->expires_at(world_.point(due));
    timer->async_wait([this, timer, due](const Error& error) {
      if (error || over_) return;
      const double now = world_.now();
      lags_.push_back(now - due);
      watch_lag(std::max(now, due + kLagPoll));
    });
  }

  Lateness lateness() {
    if (lags_.empty()) return {};
    std::sort(lags_.begin(), lags_.end());
    const auto quantile = [&](double q) {
      return lags_[static_cast<size_t>(q * static_cast<double>(lags_.size() - 1))];
    };
    return {quantile(0.5), quantile(0.99), lags_.back()};
  }

  // One relay's at a time, so that a large fleet's measures do not come at once.
  void watch_usage() {
    after(kUsagePoll / count(), [this] {
      const int i = usage_turn_++ % count();
      for (const pid_t process : {relay(i).process, relay(i).before}) {
        if (process <= 0) continue;
        const Usage usage = usage_of(process);
        if (usage.descriptors == 0) continue;
        const auto tell = [&](const char* what, double value, double limit) {
          world_.note({0, What::kUsage, i, -1, -1, -1, value, limit, what});
        };
        tell("memory_mb", usage.memory_mb, scenario_.memory_mb);
        tell("descriptors", usage.descriptors, scenario_.sockets);
        tell("disk_mb", disk_mb(relay(i).folder), scenario_.disk_mb);
      }
      watch_usage();
    });
  }

  void watch_progress() {
    after(1, [this] {
      progress(false);
      watch_progress();
    });
  }

  void progress(bool last) {
    if (!options_.progress) return;
    const auto up = std::count_if(relays_.begin(), relays_.end(), [](const Relay& r) { return r.ready; });
    char line[160];
    std::snprintf(line, sizeof(line), "%5.0f/%.0f s  arrived %zu/%zu  open %zu  relays %zd/%d",
                  world_.now() - first_, plan_.end_s, arrived_, plan_.arrivals.size(), open_.size(),
                  static_cast<ssize_t>(up), count());
    options_.progress(line, last);
  }

  // Brings what is open up to now: what was taken on and what ended since the last look.
  void look() {
    const auto& taken = clients_.taken_by();
    for (; looked_ < world_.history.events.size(); ++looked_) {
      const Event& e = world_.history.events[looked_];
      if (e.what == What::kTaken && taken[static_cast<size_t>(e.message)] >= 0) open_.insert(e.message);
      const bool end = e.what == What::kNotice || (e.what == What::kAnswer && e.text == "done");
      if (end) done_.insert(e.message);
    }
    std::erase_if(open_, [&](int message) { return done_.contains(message); });
  }

  // The run is over when all has ended, or when nothing that is open can still end in time.
  void watch_end() {
    after(0.05, [this] {
      look();
      const double now = world_.now();
      const bool quiet =
          arrived_ == plan_.arrivals.size() && clients_.waiting() == 0 && now > first_ + plan_.end_s;
      double latest = first_ + plan_.end_s;
      for (const int message : open_)
        latest = std::max(latest, world_.history.messages[static_cast<size_t>(message)].due);
      if (quiet && (open_.empty() || now > latest + 4)) return finish();
      watch_end();
    });
  }

  void finish() {
    progress(true);
    unfinished_ = open_.size();
    over_ = true;
    for (Relay& r : relays_) {
      for (const pid_t process : {r.process, r.before}) {
        if (process <= 0) continue;
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
      }
      r.process = r.before = -1;
    }
    if (fleet_) fleet_->close();
    io_.stop();
  }

  // --- faults

  void meet(const Fault& fault, int who, bool begins) {
    switch (fault.kind) {
      case FaultKind::kKill:
      case FaultKind::kTerm:
        return begins ? end_relay(fault, who) : void();
      case FaultKind::kStop:
        return stop(who, begins);
      case FaultKind::kUpgrade:
        return begins ? upgrade(who) : void();
      case FaultKind::kWatchSilent:
        return begins ? platform_.silence(who) : void();
      case FaultKind::kDisk:
        if (relay(who).process > 0) fill_disk(relay(who).process, relay(who).folder, begins);
        return note(who, begins ? "disk_full" : "disk_free");
      case FaultKind::kCut:
      case FaultKind::kLoss:
      case FaultKind::kDelay:
      case FaultKind::kReset:
        return wound_links(fault, who, begins);
      default:
        return wound_receiver(fault, who, begins);
    }
  }

  void end_relay(const Fault& fault, int i) {
    Relay& r = relay(i);
    if (r.process <= 0 || r.ending) return;
    r.ending = true;
    r.back_at = world_.now() + fault.for_s;
    r.lost = fault.folder_lost;
    note(i, fault.kind == FaultKind::kTerm ? "term" : "killed");
    if (r.stopped) ::kill(r.process, SIGCONT);
    if (r.stopped) note(i, "continue");
    r.stopped = false;
    if (fault.kind == FaultKind::kTerm) {
      after(kFrontHears, [this, i, process = r.process] {
        if (relay(i).process == process) clients_.use(i, false);
      });
      return end_by_term(r.process);
    }
    ::kill(r.process, SIGKILL);
    if (r.before > 0) ::kill(r.before, SIGKILL);
  }

  void stop(int i, bool begins) {
    Relay& r = relay(i);
    if (r.process <= 0 || begins == r.stopped || r.ending) return;
    r.stopped = begins;
    ::kill(r.process, begins ? SIGSTOP : SIGCONT);
    note(i, begins ? "stop" : "continue");
  }

  void upgrade(int i) {
    Relay& r = relay(i);
    if (r.process <= 0 || r.before > 0 || !r.ready || r.ending || r.stopped) return;
    r.before = r.process;
    ++r.generation;
    start(i);
  }

  void wound_links(const Fault& fault, int i, bool begins) {
    Relay& r = relay(i);
    LinkState state;
    if (fault.kind == FaultKind::kCut) {
      state.cut_to = fault.way != "from";
      state.cut_from = fault.way != "to";
    }
    if (fault.kind == FaultKind::kLoss) state.loss = fault.size;
    if (fault.kind == FaultKind::kDelay) state.delay_s = fault.size / 1000;
    if (fault.kind == FaultKind::kReset) state.reset = fault.size;
    for (const std::string sort : {"receivers", "discovery", "clients"}) {
      if (fault.links != "all" && fault.links != sort) continue;
      // Seen from the relay, its clients' links run the other way round.
      LinkState here = state;
      if (sort == "clients") std::swap(here.cut_to, here.cut_from);
      const bool was_bad = std::find(r.sorts.begin(), r.sorts.end(), sort) != r.sorts.end();
      if (begins) {
        r.states.push_back(here);
        r.sorts.push_back(sort);
      } else {
        for (size_t k = 0; k < r.states.size(); ++k) {
          if (r.sorts[k] != sort || !(r.states[k] == here)) continue;
          r.states.erase(r.states.begin() + static_cast<ptrdiff_t>(k));
          r.sorts.erase(r.sorts.begin() + static_cast<ptrdiff_t>(k));
          break;
        }
      }
      const bool bad = std::find(r.sorts.begin(), r.sorts.end(), sort) != r.sorts.end();
      if (was_bad != bad) world_.note({0, What::kLink, i, -1, -1, -1, bad ? 1.0 : 0.0, 0, sort});
      set_links(i, sort);
    }
  }

  void set_links(int i, const std::string& sort) {
    const Relay& r = relay(i);
    LinkState all;
    for (size_t k = 0; k < r.states.size(); ++k) {
      if (r.sorts[k] != sort) continue;
      all.cut_to = all.cut_to || r.states[k].cut_to;
      all.cut_from = all.cut_from || r.states[k].cut_from;
      all.loss = std::max(all.loss, r.states[k].loss);
      all.delay_s += r.states[k].delay_s;
      all.reset = std::max(all.reset, r.states[k].reset);
    }
    if (sort == "clients") return world_.to_relay(i).set(all);
    if (sort == "discovery") {
      for (int m = 0; m < scenario_.registry_members; ++m) {
        world_.to_registry(i, static_cast<size_t>(m)).set(all);
      }
      return world_.to_discovery(i).set(all);
    }
    for (size_t p = 0; p < world_.places().size(); ++p) world_.to_endpoint(i, p).set(all);
  }

  void wound_receiver(const Fault& fault, int receiver, bool begins) {
    Receiver& core = endpoints_.receiver(receiver);
    switch (fault.kind) {
      case FaultKind::kDown:
        endpoints_.shut(receiver, begins);
        break;
      case FaultKind::kSilent:
        endpoints_.hush(receiver, begins);
        break;
      case FaultKind::kFailing:
        core.fail(begins ? fault.size : 0);
        break;
      case FaultKind::kSlow:
        core.slow(begins ? fault.size : 1);
        break;
      case FaultKind::kLower:
        core.lower(begins ? fault.size : 1);
        break;
      case FaultKind::kDrain:
        return drain(receiver, begins);
      default:
        return;
    }
    world_.note({0, What::kDoor, -1, receiver, -1, -1, begins ? 1.0 : 0.0, 0,
                 fault_names()[static_cast<size_t>(fault.kind)]});
    endpoints_.changed(receiver);
  }

  // The first endpoint of a receiver that has others: it is listed as leaving, then as gone, and replaced.
  void drain(int receiver, bool begins) {
    if (plan_.receivers[static_cast<size_t>(receiver)].endpoints.size() < 2) return;
    const size_t place = world_.flat(receiver, 0);
    platform_.set(place, begins ? "leaving" : "left");
    if (begins) return;
    endpoints_.close(place, true);
    after(kRejoin, [this, place] {
      endpoints_.close(place, false);
      platform_.set(place, "active");
    });
  }

  void discovery(int change) {
    discovery_down_ += change;
    platform_.down(discovery_down_ > 0);
    world_.note({0, What::kDoor, -1, -1, -1, -1, discovery_down_ > 0 ? 1.0 : 0.0, 0, "discovery"});
  }

  const Scenario& scenario_;
  const Plan& plan_;
  const ScenarioOptions& options_;
  boost::asio::io_context io_{1};
  SimulatedFleet world_;
  DiscoveryAgent platform_;
  std::optional<Fleet> fleet_;
  Endpoints endpoints_;
  Clients clients_;
  boost::asio::signal_set children_;
  boost::asio::steady_timer arrival_timer_;
  std::vector<Relay> relays_;
  std::set<pid_t> alive_;  // processes that were asked to end and have not
  std::set<int> open_;     // messages taken on, without an end so far
  std::set<int> done_;
  size_t looked_ = 0;  // events
  size_t arrived_ = 0;
  size_t unfinished_ = 0;
  std::vector<double> lags_;
  int usage_turn_ = 0;
  int discovery_down_ = 0;
  double first_ = 0;      // when the first arrival's second begins
  bool started_ = false;  // the relays, once the registry has the list
  bool begun_ = false;
  bool over_ = false;
};

}  // namespace

ScenarioResult run_scenario(const Scenario& scenario, const Plan& plan, const ScenarioOptions& options) {
  return Play(scenario, plan, options).run();
}

}  // namespace turntally::lab
