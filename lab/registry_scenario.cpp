#include "lab/registry_scenario.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <cmath>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "lab/errors.h"
#include "lab/linearizability.h"
#include "lab/members.h"
#include "lab/test_environment.h"
#include "net/json_stream.h"
#include "net/random.h"
#include "registry/list_follower.h"

namespace turntally::lab {
namespace {

namespace fs = std::filesystem;
using net::HttpResponse;
using nlohmann::json;
using Error = boost::system::error_code;
using std::chrono::milliseconds;

constexpr double kPatience = 8;  // of a client with one write
constexpr milliseconds kCall{1500};
constexpr milliseconds kFollowHold{2500};
constexpr double kReadWithin = 1.5;

RegistryScenario read(const net::Section& file, const std::string& fallback) {
  RegistryScenario out;
  out.name = file.word("name", fallback);
  out.about = file.word("about", "");
  const net::Section r = file.table("registry");
  out.members = r.integer("members", out.members, 1, 5);
  out.seconds = r.number("seconds", out.seconds, 0.5, 86400);
  out.settle_s = r.number("settle_s", out.settle_s, 0.5, 600);
  out.keys = r.integer("keys", out.keys, 1, 1000);
  out.writers = r.integer("writers", out.writers, 0, 1000);
  out.readers = r.integer("readers", out.readers, 0, 1000);
  out.followers = r.integer("followers", out.followers, 0, 1000);
  out.crowd = r.integer("crowd", out.crowd, 0, 20'000);
  out.slow = r.integer("slow", out.slow, 0, 1000);
  out.renewing = r.integer("renewing", out.renewing, 0, 10'000);
  out.ttl_s = r.number("ttl_s", out.ttl_s, 0.1, 3600);
  out.pause_ms = r.number("pause_ms", out.pause_ms, 0, 60'000);
  out.entries = r.integer("entries", out.entries, 0, 100'000);
  out.election_ms = r.integer("election_ms", out.election_ms, 50, 60'000);
  out.heartbeat_ms = r.integer("heartbeat_ms", out.heartbeat_ms, 10, 10'000);
  out.restore = r.flag("restore", out.restore);
  r.refuse_unknown_keys();
  for (const net::Section& one : file.tables("fault")) {
    RegistryFault f;
    const auto& names = Members::fault_names();
    const std::string kind = one.word("kind", {}, {names.begin(), names.end()});
    f.kind = static_cast<Members::Fault>(std::find(names.begin(), names.end(), kind) - names.begin());
    f.who = one.word("who", f.who, {"leader", "follower", "any", "majority", "all"});
    f.at_s = one.number("at_s", {}, 0, 86400);
    f.for_s = one.number("for_s", 0, 0, 86400);
    f.every_s = one.number("every_s", 0, 0, 86400);
    f.times = one.integer("times", 1, 1, 100'000);
    if (f.times > 1 && f.every_s <= 0) one.reject("every_s", "must say how often");
    one.refuse_unknown_keys();
    out.faults.push_back(f);
  }
  file.refuse_unknown_keys();
  return out;
}

struct Ack {
  int64_t revision = 0;
  uint64_t value = 0;
};

struct Seen {
  double at = 0;
  int64_t revision = 0;
  std::string identity;
  std::map<std::string, uint64_t> values;  // of the shared keys
  size_t renewing = 0;                     // active
};

class Play {
 public:
  Play(const RegistryScenario& scenario, const RegistryScenarioOptions& options);
  RegistryScenarioResult run();

 private:
  struct Writer;
  struct Reader;
  struct Watching;

  double now() const { return stage_.now(); }
  net::tcp::endpoint http(size_t member) const { return members_.http(member); }
  void after(double seconds, std::function<void()> what) { stage_.after(seconds, std::move(what)); }
  double pause() { return random_.exponential(scenario_.pause_ms / 1000); }
  size_t any_member() { return members_.any(); }

  void probe();
  void schedule(const RegistryFault& fault);
  void fault(const RegistryFault& what);
  void renew(int endpoint, bool anew);
  void crowd_watch(size_t index);
  void backup_and_restore();
  bool settled();
  std::optional<HttpResponse> wait_for(size_t member, net::HttpCall call);
  void finish(RegistryScenarioResult& out);
  Verdict linear() const;
  Verdict watches() const;
  Verdict agree();

  const RegistryScenario& scenario_;
  const RegistryScenarioOptions& options_;
  net::Random random_;
  TestEnvironment stage_;
  boost::asio::io_context& io_ = stage_.io();
  Members members_;
  bool writing_ = true;
  bool over_ = false;

  uint64_t values_ = 0;
  std::map<std::string, std::vector<Operation>> operations_;
  std::map<std::string, std::vector<Ack>> acks_;
  std::map<std::string, std::set<uint64_t>> uncertain_;
  std::vector<std::pair<double, double>> written_;     // begin and end, of those that are done
  std::vector<std::pair<int64_t, double>> revisions_;  // of writes, and their begin
  std::vector<std::unique_ptr<Writer>> writers_;
  std::vector<std::unique_ptr<Reader>> readers_;
  std::vector<std::unique_ptr<Watching>> followers_;
  struct Crowd {
    std::shared_ptr<net::JsonStream> stream;
    int64_t revision = -1;
    std::vector<std::pair<double, int64_t>> heard;
  };
  std::vector<Crowd> crowd_;
  std::vector<std::shared_ptr<net::tcp::socket>> slow_;
  Verdict serving_{"serving", 0, {}};
  Verdict alive_{"alive", 0, {}};
  Verdict bulk_{"bulk", 0, {}};
  size_t expired_ = 0;
  RegistryScenarioResult out_;
  std::string backup_;
};

// One write after the other: its fate is found out by asking again under the same name.
struct Play::Writer {
  Play& play;
  std::string id;
  Operation op;
  net::HttpCall call;
  size_t at = 0;
  std::optional<net::tcp::endpoint> redirected;
  bool maybe = false;  // an attempt may have been applied

  explicit Writer(Play& owner) : play(owner) {}

  void next() {
    if (!play.writing_) return;
    play.after(play.pause(), [this] { play.writing_ ? begin() : void(); });
  }

  void begin() {
    id = "k" + std::to_string(play.random_.below(static_cast<size_t>(play.scenario_.keys)));
    op = {};
    op.value = ++play.values_;
    call = {};
    call.timeout = kCall;
    call.fields["Idempotency-Key"] = net::hex(play.random_.bits());
    call.target = "/api/targets/" + id;
    at = play.any_member();
    const double kind = play.random_.unit();
    if (kind < 0.15) {
      call.method = "DELETE";
      op.kind = Operation::Kind::kWrite;
      op.value = 0;
      return send_first();
    }
    call.method = "PUT";
    call.body = json({{"host_port", "127.0.0.1:80"}, {"cell", 1}, {"up_since_ms", op.value}}).dump();
    if (kind < 0.55) {
      op.kind = Operation::Kind::kWrite;
      return send_first();
    }
    op.kind = Operation::Kind::kSwap;
    net::http_call(play.io_, play.http(at), {"GET", call.target, {}, "", kCall},
                   [this](const std::optional<HttpResponse>& reply) {
                     if (!reply || (reply->status != 200 && reply->status != 404)) return next();
                     const json entry = json::parse(reply->body, nullptr, false);
                     op.expect = reply->status == 404 ? 0 : entry.value("up_since_ms", uint64_t{0});
                     if (reply->status == 404) {
                       call.fields["If-None-Match"] = "*";
                     } else {
                       call.fields["If-Match"] = entry["revision"].dump();
                     }
                     send_first();
                   });
  }

  void send_first() {
    op.begin = play.now();
    maybe = false;
    redirected.reset();
    send();
  }

  void send() {
    const net::tcp::endpoint to = redirected.value_or(play.http(at));
    redirected.reset();
    net::http_call(play.io_, to, call, [this](const std::optional<HttpResponse>& reply) { heard(reply); });
  }

  void heard(const std::optional<HttpResponse>& reply) {
    if (play.over_) return;
    if (!reply) maybe = true;
    if (reply && reply->status == 307 && reply->fields.contains("location")) {
      const std::string& to = reply->fields.at("location");
      redirected = net::parse_address(to.substr(7, to.find('/', 7) - 7));
      return play.after(0.001, [this] { send(); });
    }
    const json body = reply ? json::parse(reply->body, nullptr, false) : json();
    if (reply && (reply->status == 200 || reply->status == 412)) {
      op.end = play.now();
      const bool done = reply->status == 200;
      if (!done) op.kind = Operation::Kind::kNotSwap;
      play.operations_[id].push_back(op);
      play.stage_.record("write", {{"id", id},
                                   {"value", op.value},
                                   {"begin", op.begin},
                                   {"status", reply->status},
                                   {"revision", body.value("revision", int64_t{0})}});
      if (done) {
        play.acks_[id].push_back({body.value("revision", int64_t{0}), op.value});
        play.written_.emplace_back(op.begin, op.end);
        play.revisions_.emplace_back(body.value("revision", int64_t{0}), op.begin);
      } else {
        ++play.out_.refused;
      }
      return next();
    }
    if (reply && reply->status == 507) ++play.out_.refused_with_reason;
    if (body.is_object() && body.value("outcome", "") == "unknown") maybe = true;
    if (play.now() - op.begin > kPatience) {
      if (maybe) {
        ++play.out_.unknown;
        op.end = Operation::kNever;
        play.operations_[id].push_back(op);
        play.uncertain_[id].insert(op.value);
        play.stage_.record("write",
                           {{"id", id}, {"value", op.value}, {"begin", op.begin}, {"status", "unknown"}});
      }
      return next();
    }
    at = (at + 1) % play.members_.size();
    play.after(play.random_.between(0.01, 0.1), [this] { send(); });
  }
};

struct Play::Reader {
  Play& play;
  std::string id;
  double begun = 0;

  explicit Reader(Play& owner) : play(owner) {}

  void next() {
    if (!play.writing_) return;
    play.after(play.pause(), [this] {
      id = "k" + std::to_string(play.random_.below(static_cast<size_t>(play.scenario_.keys)));
      begun = play.now();
      ask(play.http(play.any_member()), 2);
    });
  }

  void ask(const net::tcp::endpoint& at, int redirects) {
    net::http_call(
        play.io_, at, {"GET", "/api/targets?consistent=1", {}, "", kCall},
        [this, redirects](const std::optional<HttpResponse>& reply) {
          if (play.over_) return;
          if (reply && reply->status == 307 && redirects > 0 && reply->fields.contains("location")) {
            const std::string& to = reply->fields.at("location");
            return ask(net::parse_address(to.substr(7, to.find('/', 7) - 7)), redirects - 1);
          }
          if (reply && reply->status == 200) took(json::parse(reply->body));
          next();
        });
  }

  void took(const json& list) {
    Operation op;
    op.begin = begun;
    op.end = play.now();
    for (const json& member : list["members"]) {
      if (member["id"] == id) op.value = member["up_since_ms"];
    }
    ++play.out_.reads;
    play.operations_[id].push_back(op);
  }
};

// A client as a relay has it, and what it was told.
struct Play::Watching {
  std::map<std::string, json> view;
  std::vector<Seen> seen;
  std::unique_ptr<registry::ListFollower> follower;

  Watching(Play& play, uint64_t seed) {
    registry::ListFollowerSettings settings;
    for (size_t i = 0; i < play.members_.size(); ++i) settings.members.push_back(play.http(i));
    settings.guard.hold_ms = kFollowHold.count();
    settings.follower_count = 2;
    settings.seed = seed;
    follower = std::make_unique<registry::ListFollower>(
        play.io_, settings, json(),
        registry::ListFollower::Listener{[this, &play](const json& line) { told(play, line); }, [] {},
                                         nullptr});
  }

  void told(Play& play, const json& line) {
    if (line["complete"].get<bool>()) view.clear();
    for (const json& member : line["members"]) {
      if (member["phase"] == "left") {
        view.erase(member["id"]);
      } else {
        view[member["id"]] = member;
      }
    }
    Seen now{play.now(), line["revision"], line.value("identity", ""), {}, 0};
    for (const auto& [id, member] : view) {
      if (id[0] == 'k') now.values[id] = member["up_since_ms"];
      if (id[0] == 'r' && member["phase"] == "active") ++now.renewing;
    }
    seen.push_back(std::move(now));
    ++play.out_.lines;
  }
};

Play::Play(const RegistryScenario& scenario, const RegistryScenarioOptions& options)
    : scenario_(scenario),
      options_(options),
      random_(options.seed, 31),
      stage_(options.folder),
      members_(stage_,
               {options.program, options.folder, options.level, scenario.members, scenario.election_ms,
                scenario.heartbeat_ms, 0, ""},
               random_, [this](const std::string& what) {
                 alive_.broken.push_back({what, {}});
               }) {}

// Whatever happens among the members, one that runs and has a list gives it.
void Play::probe() {
  for (size_t i = 0; i < members_.size(); ++i) {
    Member& member = members_[i];
    if (!members_.up(i)) continue;
    net::http_call(
        io_, http(i), {"GET", "/api/targets", {}, "", milliseconds(static_cast<int>(kReadWithin * 1000))},
        [this, &member, process = member.process](const std::optional<HttpResponse>& reply) {
          if (over_ || member.process != process || member.stopped) return;
          const bool well = reply && reply->status == 200;
          if (well) member.served = true;
          ++serving_.checked;
          if (well || !member.served) return;
          serving_.broken.push_back({"member " + std::to_string(member.number) + " gave no list at " +
                                         std::to_string(now()) + " s: " + (reply ? reply->body : "no answer"),
                                     {}});
        });
  }
  if (!over_) after(0.2, [this] { probe(); });
}

void Play::schedule(const RegistryFault& what) {
  for (int i = 0; i < what.times; ++i) {
    after(what.at_s + i * what.every_s, [this, &what] {
      if (writing_) fault(what);
    });
  }
}

void Play::fault(const RegistryFault& what) {
  for (const size_t i : members_.drawn(what.who)) {
    if (members_.fault(what.kind, i, what.for_s)) ++out_.faults;
  }
}

// An endpoint that says that it is there, to whichever member it comes.
void Play::renew(int endpoint, bool anew) {
  if (over_) return;
  const std::string target = "/api/registrations/r" + std::to_string(endpoint);
  net::HttpCall call{anew ? "PUT" : "POST", target, {}, "", milliseconds(800)};
  if (anew) {
    call.body =
        json({{"host_port", "127.0.0.1:81"}, {"ttl_ms", static_cast<int>(scenario_.ttl_s * 1000)}}).dump();
  }
  const auto heard = std::make_shared<std::function<void(const std::optional<HttpResponse>&, int)>>();
  *heard = [this, endpoint, call, weak = std::weak_ptr(heard)](const std::optional<HttpResponse>& reply,
                                                               int redirects) {
    if (reply && reply->status == 307 && redirects > 0 && reply->fields.contains("location")) {
      const std::string& to = reply->fields.at("location");
      return net::http_call(io_, net::parse_address(to.substr(7, to.find('/', 7) - 7)), call,
                            [self = weak.lock(), redirects](const std::optional<HttpResponse>& more) {
                              (*self)(more, redirects - 1);
                            });
    }
    const bool unknown = reply && reply->status == 404;
    const bool done = reply && reply->status == 200;
    expired_ += unknown ? 1 : 0;
    const bool register_anew = unknown || (!done && call.method == "PUT");
    after(done ? scenario_.ttl_s / 3 * random_.between(0.8, 1.2) : random_.between(0.05, 0.2),
          [this, endpoint, register_anew] { renew(endpoint, register_anew); });
  };
  net::http_call(io_, http(any_member()), call,
                 [heard](const std::optional<HttpResponse>& reply) { (*heard)(reply, 2); });
}

void Play::crowd_watch(size_t index) {
  if (over_) return;
  Crowd& one = crowd_[index];
  const auto heard = [this, index](const std::string& line) {
    Crowd& self = crowd_[index];
    const size_t at = line.rfind("\"revision\":");
    if (at == std::string::npos) return true;
    const int64_t revision = std::stoll(line.substr(at + 11));
    if (revision > self.revision) self.heard.emplace_back(now(), revision);
    self.revision = std::max(self.revision, revision);
    return true;
  };
  one.stream = std::make_shared<net::JsonStream>(
      io_, http(any_member()), milliseconds(6000), heard, [this, index](net::JsonStream::EndReason) {
        crowd_[index].stream->close();
        after(random_.between(0.05, 0.5), [this, index] { crowd_watch(index); });
      });
  one.stream->start("/api/targets?stream=1" +
                    (one.revision >= 0 ? "&index=" + std::to_string(one.revision) : std::string()));
}

std::optional<HttpResponse> Play::wait_for(size_t member, net::HttpCall call) {
  return stage_.wait_for(http(member), std::move(call));
}

void Play::backup_and_restore() {
  after(scenario_.seconds / 3, [this] {
    net::http_call(io_, http(0), {"GET", "/registry/backup", {}, "", milliseconds(3000)},
                   [this](const std::optional<HttpResponse>& reply) {
                     if (reply && reply->status == 200) backup_ = reply->body;
                   });
  });
  after(scenario_.seconds * 2 / 3, [this] {
    stage_.record("restore");
    const size_t at = members_.leader() >= 0 ? static_cast<size_t>(members_.leader()) : 0;
    net::http_call(io_, http(at), {"POST", "/registry/restore", {}, backup_, milliseconds(3000)},
                   [this](const std::optional<HttpResponse>& reply) {
                     if (!reply || reply->status != 200) alive_.broken.push_back({"the restore failed", {}});
                   });
  });
}

Verdict Play::linear() const {
  Verdict out{"linear", 0, {}};
  if (scenario_.restore) return out;  // it takes writes back, on purpose
  for (const auto& [id, history] : operations_) {
    out.checked += history.size();
    const std::string stuck = not_linearizable(history);
    if (!stuck.empty()) out.broken.push_back({id + ": " + stuck + " fits in no order", {}});
  }
  return out;
}

// What a follower was told is the list as it was at that revision, and never goes back.
Verdict Play::watches() const {
  Verdict out{"watches", 0, {}};
  for (size_t f = 0; f < followers_.size(); ++f) {
    const std::vector<Seen>& seen = followers_[f]->seen;
    const std::string who = "follower " + std::to_string(f);
    if (seen.empty()) out.broken.push_back({who + " was told nothing", {}});
    for (size_t i = 0; i < seen.size(); ++i) {
      ++out.checked;
      const Seen& one = seen[i];
      const std::string when = who + " at " + std::to_string(one.at) + " s";
      if (i > 0 && one.revision <= seen[i - 1].revision) {
        out.broken.push_back({when + ": revision " + std::to_string(one.revision) + " after " +
                                  std::to_string(seen[i - 1].revision),
                              {}});
      }
      if (scenario_.restore) continue;
      for (const auto& [id, acks] : acks_) {
        const Ack* newest = nullptr;
        for (const Ack& ack : acks) {
          if (ack.revision <= one.revision && (newest == nullptr || ack.revision > newest->revision))
            newest = &ack;
        }
        const auto it = one.values.find(id);
        const uint64_t has = it == one.values.end() ? 0 : it->second;
        if (has == (newest == nullptr ? 0 : newest->value)) continue;
        const auto unsure = uncertain_.find(id);
        if (unsure != uncertain_.end() && unsure->second.contains(has)) continue;
        out.broken.push_back({when + ": " + id + " is " + std::to_string(has) + " at revision " +
                                  std::to_string(one.revision) + ", written was " +
                                  std::to_string(newest == nullptr ? 0 : newest->value),
                              {}});
      }
    }
  }
  return out;
}

// Once the faults are over all members, followers and watches come to the same list.
Verdict Play::agree() {
  Verdict out{"agree", 0, {}};
  std::string list;
  for (size_t i = 0; i < members_.size(); ++i) {
    const auto reply = wait_for(i, {"GET", "/api/targets", {}, "", milliseconds(5000)});
    ++out.checked;
    const std::string text = reply && reply->status == 200 ? reply->body : "nothing";
    if (i == 0) list = text;
    if (text != list)
      out.broken.push_back({"members 1 and " + std::to_string(i + 1) + " have different lists", {}});
  }
  const json all = json::parse(list, nullptr, false);
  if (!all.is_object()) {
    out.broken.push_back({"member 1 has no list", {}});
    return out;
  }
  std::map<std::string, json> wanted;
  for (const json& member : all["members"]) wanted[member["id"]] = member;
  for (size_t f = 0; f < followers_.size(); ++f) {
    ++out.checked;
    if (followers_[f]->view != wanted) {
      out.broken.push_back({"follower " + std::to_string(f) + " is left with another list", {}});
    }
  }
  size_t behind = 0;
  for (const Crowd& one : crowd_) behind += one.revision < all["revision"].get<int64_t>() ? 1 : 0;
  out.checked += crowd_.size();
  if (behind > 0)
    out.broken.push_back({std::to_string(behind) + " watches did not hear the last change", {}});
  return out;
}

bool Play::settled() {
  std::optional<int64_t> revision;
  bool same = true;
  for (size_t i = 0; i < members_.size(); ++i) {
    const auto reply = wait_for(i, {"GET", "/registry/status", {}, "", milliseconds(1000)});
    const json status = reply ? json::parse(reply->body, nullptr, false) : json();
    if (!status.is_object()) return false;
    const int64_t has = status["revision"];
    same = same && !status["identity"].get<std::string>().empty() && has == revision.value_or(has);
    revision = has;
  }
  for (const auto& f : followers_) {
    same =
        same && !f->follower->guard().has_unconfirmed_list() && f->follower->guard().revision() == *revision;
  }
  for (const Crowd& one : crowd_) same = same && one.revision >= *revision;
  return same;
}

RegistryScenarioResult Play::run() {
  members_.start();
  stage_.await([this] { return members_.leader() >= 0; }, 20, "the registry");
  const auto put = [&](const json& items) {
    std::optional<HttpResponse> reply;
    stage_.await(
        [&] {
          if (members_.leader() < 0) return false;
          reply = wait_for(static_cast<size_t>(members_.leader()),
                           {"POST", "/api/targets", {}, json({{"items", items}}).dump(), milliseconds(5000)});
          return reply && reply->status == 200;
        },
        20, "the registry");
  };
  json items = json::array();
  for (int i = 0; i < scenario_.entries; ++i) {
    const std::string id = "e" + std::to_string(i);
    items.push_back(
        {{"id", id},
         {"entry", {{"host_port", "127.0.0.1:82"}, {"cell", i % 50}, {"locality", "a"}, {"flavor", "std"}}}});
    if (items.size() == 2000) put(std::exchange(items, json::array()));
  }
  if (!items.empty()) put(items);
  stage_.await([this] { return members_.leader() >= 0; }, 10, "the registry");

  stage_.begin();
  for (const RegistryFault& f : scenario_.faults) schedule(f);
  for (int i = 0; i < scenario_.followers; ++i) {
    followers_.push_back(std::make_unique<Watching>(*this, random_.bits()));
  }
  for (int i = 0; i < scenario_.writers; ++i) {
    writers_.push_back(std::make_unique<Writer>(*this));
    writers_.back()->next();
  }
  for (int i = 0; i < scenario_.readers; ++i) {
    readers_.push_back(std::make_unique<Reader>(*this));
    readers_.back()->next();
  }
  for (int i = 0; i < scenario_.renewing; ++i) {
    after(random_.between(0, 0.3), [this, i] { renew(i, true); });
  }
  crowd_.resize(static_cast<size_t>(scenario_.crowd));
  for (size_t i = 0; i < crowd_.size(); ++i) crowd_watch(i);
  for (int i = 0; i < scenario_.slow; ++i) {
    auto socket = std::make_shared<net::tcp::socket>(io_);
    slow_.push_back(socket);
    socket->async_connect(http(any_member()), [socket](const Error& error) {
      static const std::string kAsk = "GET /api/targets?stream=1 HTTP/1.1\r\nHost: registry\r\n\r\n";
      Error ignored;
      socket->set_option(boost::asio::socket_base::receive_buffer_size(4096), ignored);
      if (!error)
        boost::asio::async_write(*socket, boost::asio::buffer(kAsk), [socket](const Error&, size_t) {});
    });
  }
  if (scenario_.restore) backup_and_restore();
  probe();
  for (double second = 0; now() < scenario_.seconds;) {
    io_.run_for(milliseconds(100));
    if (options_.progress && now() >= second) {
      second += 1;
      char line[160];
      std::snprintf(line, sizeof(line), "%5.0f s: %zu writes, %zu reads, %zu lines told, %zu faults", now(),
                    written_.size(), out_.reads, out_.lines, out_.faults);
      options_.progress(line, now() >= scenario_.seconds);
    }
  }
  writing_ = false;
  const double settle = now() + scenario_.settle_s + kPatience;
  io_.run_for(milliseconds(static_cast<int>(scenario_.settle_s * 1000)));
  while (now() < settle && !settled()) io_.run_for(milliseconds(100));
  RegistryScenarioResult& out = out_;
  out.verdicts = {linear(), watches(), agree()};
  finish(out);
  return out;
}

void Play::finish(RegistryScenarioResult& out) {
  for (const auto& follower : followers_) {
    size_t most = 0;
    const auto all = static_cast<size_t>(scenario_.renewing);
    for (const Seen& one : follower->seen) {
      ++bulk_.checked;
      most = std::max(most, one.renewing);
      const size_t may_be_gone = std::max<size_t>(2, static_cast<size_t>(0.3 * static_cast<double>(all)));
      if (most == all && one.renewing + may_be_gone < all) {
        bulk_.broken.push_back({std::to_string(all - one.renewing) + " of " + std::to_string(all) +
                                    " endpoints that renew are gone at " + std::to_string(one.at) + " s",
                                {}});
        break;
      }
    }
    if (most < all) bulk_.broken.push_back({"a follower never saw all that renew", {}});
  }
  alive_.checked = members_.size();
  over_ = true;
  members_.over();
  out.memory_mb = members_.memory_mb();
  out.verdicts.insert(out.verdicts.end(), {bulk_, serving_, alive_});
  out.writes = written_.size();
  std::vector<double> took;
  std::vector<double> ends;
  for (const auto& [begin, end] : written_) {
    took.push_back((end - begin) * 1000);
    ends.push_back(end);
  }
  std::sort(ends.begin(), ends.end());
  for (size_t i = 1; i < ends.size(); ++i) out.no_writes_s = std::max(out.no_writes_s, ends[i] - ends[i - 1]);
  out.write_p50_ms = quantile(took, 0.5);
  out.write_p99_ms = quantile(took, 0.99);
  out.writes_a_second = static_cast<double>(written_.size()) / scenario_.seconds;
  std::vector<double> last;
  if (!crowd_.empty()) {
    for (const auto& [revision, begin] : revisions_) {
      double latest = 0;
      for (const Crowd& one : crowd_) {
        const auto it = std::find_if(one.heard.begin(), one.heard.end(),
                                     [r = revision](const auto& heard) { return heard.second >= r; });
        if (it != one.heard.end()) latest = std::max(latest, it->first - begin);
      }
      last.push_back(latest * 1000);
    }
  }
  out.crowd_p50_ms = quantile(last, 0.5);
  out.crowd_p99_ms = quantile(last, 0.99);
}

}  // namespace

nlohmann::ordered_json RegistryScenarioResult::figures() const {
  return {{"writes", writes},
          {"refused", refused},
          {"unknown", unknown},
          {"refused_with_reason", refused_with_reason},
          {"reads", reads},
          {"lines", lines},
          {"faults", faults},
          {"write_p50_ms", write_p50_ms},
          {"write_p99_ms", write_p99_ms},
          {"writes_a_second", writes_a_second},
          {"no_writes_s", no_writes_s},
          {"crowd_p50_ms", crowd_p50_ms},
          {"crowd_p99_ms", crowd_p99_ms},
          {"memory_mb", memory_mb}};
}

bool is_registry_scenario(const std::string& path) {
  const net::Section file = net::Section::from_file(path);
  return file.has("registry") && !file.table("registry").has("relays_follow");
}

RegistryScenario read_registry_scenario(const std::string& path) {
  return read(net::Section::from_file(path), fs::path(path).stem());
}

RegistryScenario parse_registry_scenario(const std::string& name, const std::string& toml) {
  return read(net::Section::from_text(name, toml), name);
}

RegistryScenarioResult run_registry_scenario(const RegistryScenario& scenario,
                                             const RegistryScenarioOptions& options) {
  Play play(scenario, options);
  return play.run();
}

}  // namespace turntally::lab
