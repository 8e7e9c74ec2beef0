#include "registry/service.h"

#include <sys/statvfs.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>

#include "net/log.h"
#include "net/random.h"

namespace turntally::registry {
namespace {

namespace fs = std::filesystem;
namespace log = net::log;
using net::HttpReply;
using net::HttpRequest;
using nlohmann::json;

constexpr uint64_t kNumbers = 1000;  // a member's id in the log: its number, and above it which try this is
constexpr size_t kMostInFlight = 4096;
constexpr int64_t kLateMs =
    3000;  // a member that has not heard from a majority for so long says so, nor a source
constexpr auto kJoinPause = std::chrono::milliseconds(200);
constexpr std::array kCommitBounds = {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0};

std::string new_identity() {
  std::random_device random;
  const uint64_t high = random();
  return net::hex((high << 32) ^ random());
}

// `more`: goes into the body as well.
HttpReply failure(const Error& error, json more = json::object()) {
  more["code"] = error.code();
  more["error"] = error.what();
  more["action"] = error.action();
  more["outcome"] = error.unknown() ? "unknown" : "none";
  HttpReply reply{error.status(), more.dump() + "\n", "application/json", {}};
  if (error.status() == 503) reply.fields["Retry-After"] = "1";
  return reply;
}

// Why the log has not taken a proposal.
Error error_of(const ProposalResult& result) {
  if (result.outcome == ProposalOutcome::kNotLeader) return NoLeader(result.reason);
  if (result.outcome == ProposalOutcome::kRefused) return ProposalRefused(result.reason);
  return WriteUnknown(result.reason);
}

std::optional<uint64_t> number_of(const std::string& text) {
  uint64_t out = 0;
  const auto end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data(), end, out);
  if (error != std::errc() || at != end) return {};
  return out;
}

// If-Match: "123" or 123; If-None-Match: * for what is not there yet. Throws on anything else.
std::optional<Revision> match_of(const HttpRequest& request) {
  if (const auto it = request.fields.find("if-none-match"); it != request.fields.end()) {
    if (it->second != "*") throw std::invalid_argument("If-None-Match: only * is known here");
    return 0;
  }
  const auto it = request.fields.find("if-match");
  if (it == request.fields.end()) return {};
  std::string text = it->second;
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') text = text.substr(1, text.size() - 2);
  const auto out = number_of(text);
  if (!out) throw std::invalid_argument("If-Match: '" + it->second + "' is no revision");
  return out;
}

template <typename T>
T field(const json& from, const char* key, const T& fallback) {
  const auto it = from.find(key);
  if (it == from.end() || it->is_null()) return fallback;
  try {
    return it->get<T>();
  } catch (const json::exception&) {
    throw std::invalid_argument(std::string(key) + ": " + it->dump() + " does not fit");
  }
}

json parsed(const std::string& body) {
  json out = json::parse(body, nullptr, false);
  if (out.is_discarded() || !out.is_object()) throw std::invalid_argument("the body is no JSON object");
  return out;
}

constexpr std::array kLeaseCalls = {"campaign", "renew", "release", "hand_over", "record"};

LeaseCommand call_of(const json& body, const std::string& name, const LeaseLimits& limits) {
  LeaseCommand out;
  const auto kind = std::find(kLeaseCalls.begin(), kLeaseCalls.end(), field<std::string>(body, "call", ""));
  if (kind == kLeaseCalls.end()) {
    throw std::invalid_argument("call must be campaign, renew, release, hand_over or record");
  }
  out.kind = static_cast<LeaseCommand::Kind>(kind - kLeaseCalls.begin());
  out.name = name;
  out.holder = field<std::string>(body, "holder", "");
  out.ttl_ms = field<Millis>(body, "ttl_ms", 0);
  out.token = field<Token>(body, "token", 0);
  out.to = field<std::string>(body, "to", "");
  out.checkpoint = field<std::string>(body, "record", "");
  if (name.size() > 200) throw std::invalid_argument("a lease's name must have 1 to 200 characters");
  if (out.kind != LeaseCommand::Kind::kHandOver && (out.holder.empty() || out.holder.size() > 200)) {
    throw std::invalid_argument("holder must have 1 to 200 characters");
  }
  if (out.kind == LeaseCommand::Kind::kCampaign &&
      (out.ttl_ms < limits.least_ttl_ms || out.ttl_ms > limits.most_ttl_ms)) {
    throw std::invalid_argument("ttl_ms must be " + std::to_string(limits.least_ttl_ms) + " to " +
                                std::to_string(limits.most_ttl_ms));
  }
  if (out.checkpoint.size() > limits.record) {
    throw std::invalid_argument("record: over " + std::to_string(limits.record) + " bytes");
  }
  return out;
}

json json_of(const Lease& lease, Millis now) {
  json waiting = json::array();
  for (const Lease::Waiter& w : lease.queue) waiting.push_back(w.holder);
  json past = json::array();
  for (const Lease::PastHolder& p : lease.past_holders) {
    past.push_back({{"holder", p.holder},
                    {"token", p.token},
                    {"from_ms", p.from_ms},
                    {"to_ms", p.to_ms},
                    {"how", p.how}});
  }
  return {{"name", lease.name},
          {"holder", lease.holder},
          {"token", lease.token},
          {"ttl_ms", lease.ttl_ms},
          {"left_ms", lease.holder.empty() ? 0 : std::max<Millis>(lease.until_ms - now, 0)},
          {"waiting", waiting},
          {"past", past},
          {"asked_for", lease.handover_target},
          {"record_bytes", lease.checkpoint.size()}};
}

std::string rest_of(const std::string& path, const std::string& prefix) {
  return path.size() > prefix.size() && path.starts_with(prefix) ? path.substr(prefix.size()) : "";
}

}  // namespace

Entry entry_of(const json& from, const std::string& id) {
  if (!from.is_object()) throw std::invalid_argument("an entry must be a JSON object");
  static const std::set<std::string> kKnown = {"id",    "host_port",    "locality",    "flavor", "cell",
                                               "phase", "size",         "up_since_ms", "ttl_ms", "revision",
                                               "owner", "source_phase", "drained"};
  for (const auto& [key, value] : from.items()) {
    if (!kKnown.contains(key)) throw std::invalid_argument("'" + key + "' is no field of an entry");
  }
  Entry out;
  out.id = field<std::string>(from, "id", id);
  if (out.id.empty() || out.id.size() > 200) throw std::invalid_argument("id must have 1 to 200 characters");
  if (!id.empty() && out.id != id) throw std::invalid_argument("id '" + out.id + "' is not '" + id + "'");
  out.host_port = field<std::string>(from, "host_port", "");
  try {
    net::parse_address(out.host_port);
  } catch (const std::invalid_argument&) {
    throw std::invalid_argument("host_port '" + out.host_port + "' is no address such as 127.0.0.1:80");
  }
  out.locality = field<std::string>(from, "locality", "");
  out.kind = field<std::string>(from, "flavor", "");
  out.group = field<int>(from, "cell", 0);
  out.state = field<std::string>(from, "phase", "active");
  out.owner = field<std::string>(from, "owner", "");
  out.source_state = field<std::string>(from, "source_phase", out.owner.empty() ? "" : out.state);
  out.drained_by_operator = field<bool>(from, "drained", false);
  for (const std::string& phase : {out.state, out.owner.empty() ? out.state : out.source_state}) {
    if (phase != "active" && phase != "leaving") {
      throw std::invalid_argument("phase '" + phase + "' must be active or leaving");
    }
  }
  out.weight = field<double>(from, "size", 1);
  if (!std::isfinite(out.weight) || out.weight < 0) throw std::invalid_argument("size must be 0 or more");
  out.up_since_ms = field<int64_t>(from, "up_since_ms", 0);
  out.ttl_ms = field<int64_t>(from, "ttl_ms", 0);
  if (out.ttl_ms < 0) throw std::invalid_argument("ttl_ms must be 0 or more");
  return out;
}

json json_of(const Entry& entry) {
  json out = State::member(entry, entry.state);
  out["ttl_ms"] = entry.ttl_ms;
  out["revision"] = entry.revision;
  if (!entry.owner.empty()) {
    out["owner"] = entry.owner;
    out["source_phase"] = entry.source_state;
    out["drained"] = entry.drained_by_operator;
  }
  return out;
}

// Brings this member into the log. It has one already; or nobody has, then it begins one with all the others;
// or they have, then what this member knew is lost, and it comes in again under a new id: one that has
// forgotten how it voted must not vote under the old one.
class Service::Join : public std::enable_shared_from_this<Join> {
 public:
  explicit Join(Service& owner) : owner_(&owner), pause_(owner.io_) {}

  void start() {
    const Config& config = owner_->config_;
    if (config.members.size() == 1) return owner_->open(config.member, true);
    asked_ = answered_ = 0;
    for (const MemberAddress& other : config.members) {
      if (other.number == config.member) continue;
      ++asked_;
      net::http_call(owner_->io_, net::parse_address(other.http),
                     {"GET", "/registry/status", {}, "", std::chrono::milliseconds(1000)},
                     [self = shared_from_this(), other](const std::optional<HttpReply>& reply) {
                       self->heard(other, reply);
                     });
    }
  }

  void stop() {
    owner_ = nullptr;
    pause_.cancel();
  }

 private:
  void heard(const MemberAddress& from, const std::optional<HttpReply>& reply) {
    if (owner_ == nullptr || opened_) return;
    ++answered_;
    const json status = reply ? json::parse(reply->body, nullptr, false) : json();
    if (status.is_object()) {
      // A log of one entry only names its members: nothing was ever written to it by a majority.
      const int64_t last = status.value("last", int64_t{-1});
      if (last >= 0) ++readable_;
      if (last > 1 || !status.value("identity", "").empty()) other_ = from;
    }
    if (answered_ < asked_) return;
    const size_t readable = std::exchange(readable_, 0);
    if (other_) return ask_to_join();
    if (readable == asked_) {
      opened_ = true;
      return owner_->open(owner_->config_.member, true);
    }
    say("waiting_to_begin", "others", asked_, "answer", readable);
    again();
  }

  template <typename... Fields>
  void say(const char* event, const Fields&... fields) {
    if (said_++ % 25 == 0) log::info(event, fields...);  // every 5 s
  }

  void again() {
    pause_.expires_after(kJoinPause);
    pause_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (!error && self->owner_ != nullptr) self->start();
    });
  }

  void ask_to_join() {
    const MemberAddress& me = owner_->config_.self();
    std::string at = std::exchange(leader_, "");
    if (at.empty()) at = other_->http;
    say("joining", "by", at, "member", me.number);
    net::http_call(owner_->io_, net::parse_address(at),
                   {"PUT",
                    "/registry/members/" + std::to_string(me.number),
                    {},
                    json({{"raft", me.raft}, {"http", me.http}}).dump(),
                    std::chrono::milliseconds(5000)},
                   [self = shared_from_this()](const std::optional<HttpReply>& reply) { self->told(reply); });
  }

  void told(const std::optional<HttpReply>& reply) {
    if (owner_ == nullptr) return;
    if (reply && reply->status == 307 && reply->fields.contains("location")) {
      const std::string& to = reply->fields.at("location");
      if (to.starts_with("http://")) leader_ = to.substr(7, to.find('/', 7) - 7);
    }
    if (reply && reply->status == 200) {
      const json body = json::parse(reply->body, nullptr, false);
      if (body.is_object() && body.value("id", uint64_t{0}) != 0) {
        opened_ = true;
        return owner_->open(body["id"].get<uint64_t>(), false);
      }
    }
    if (reply && reply->status == 404) {
      return owner_->fatal_("member " + std::to_string(owner_->config_.member) +
                            " is not one of the registry's: turntally registry add " +
                            std::to_string(owner_->config_.member));
    }
    again();
  }

  Service* owner_;
  boost::asio::steady_timer pause_;
  size_t asked_ = 0;
  size_t answered_ = 0;
  size_t readable_ = 0;
  size_t said_ = 0;
  bool opened_ = false;
  std::optional<MemberAddress> other_;  // that has a log
  std::string leader_;
};

Service::Service(boost::asio::io_context& io, Config config, std::function<void(const std::string&)> fatal)
    : io_(io), config_(std::move(config)), fatal_(std::move(fatal)), tick_(io) {
  figures_.commit_buckets.resize(kCommitBounds.size() + 1);
  fs::create_directories(config_.folder);
  hub_ = std::make_unique<WatchBroadcaster>(io_, state_, [this] {
    const int64_t heard = heard_ms();
    const bool late = heard < 0 || heard >= kLateMs;
    const Millis source = state_.source_ms();
    if (!late && source <= kLateMs) return json();
    json out = {{"revision", state_.revision()},
                {"complete", false},
                {"identity", state_.identity()},
                {"members", json::array()}};
    if (late) out["heard_ms"] = heard;
    if (source > kLateMs) out["source_ms"] = source;
    return out;
  });
  const std::string listen = config_.http_listen.empty() ? config_.self().http : config_.http_listen;
  server_ = std::make_unique<net::HttpServer>(
      io_, net::parse_address(listen), net::HttpLimits{},
      [this](const HttpRequest& request, const Answer& answer) { handle(request, answer); });
  log::info("listening", "http", listen, "member", config_.member, "folder", config_.folder);
  uint64_t id = 0;
  std::ifstream(config_.folder + "/member") >> id;
  if (id != 0) {
    open(id, false);
  } else {
    join_ = std::make_shared<Join>(*this);
    join_->start();
  }
  tick();
}

Service::~Service() {
  if (join_) join_->stop();
}

void Service::open(uint64_t id, bool found) {
  const std::string path = config_.folder + "/member";
  const auto keep = [&] {
    std::ofstream out(path + ".new");
    out << id << "\n";
    out.close();
    std::error_code error;
    fs::rename(path + ".new", path, error);
    if (!out || error) fatal_(path + ": cannot be written");
  };
  id_ = id;
  ReplicaSettings settings;
  settings.id = id;
  settings.address = config_.self().raft;
  settings.listen = config_.raft_listen;
  settings.folder = config_.folder;
  settings.dial_overrides = config_.dial;
  settings.election_ms = config_.election_ms;
  settings.heartbeat_ms = config_.heartbeat_ms;
  if (found) {
    for (const MemberAddress& m : config_.members) settings.bootstrap_members.push_back({m.number, m.raft});
  }
  keep();
  Replica::Listener listener;
  listener.applied = [this](uint64_t index, const Command& command, const registry::ApplyResult& answer) {
    applied(index, command, answer);
  };
  listener.restored = [this](uint64_t index, State state) {
    if (index <= index_) return;
    index_ = index;
    state_ = std::move(state);
    hub_->changed();
  };
  listener.status_changed = [this](const RaftStatus& now) { standing(now); };
  listener.log_closed = [this](const std::string& why) {
    ++figures_.reopened;
    trouble_ = why;
    log::error("log_closed", "why", why);
  };
  listener.diverged = [this](const std::string& what) { fatal_(what); };
  log::info("log_opens", "id", id, "begins", found ? 1 : 0);
  replica_ = std::make_unique<Replica>(io_, std::move(settings), std::move(listener));
}

void Service::applied(uint64_t index, const Command& command, const registry::ApplyResult&) {
  if (index <= index_) return;  // the log was opened again
  index_ = index;
  heard_ = net::steady_now();
  const Revision before = state_.revision();
  const Revision compacted = state_.compacted();
  const LeaseTable::Counts leases = state_.leases().counts();
  const registry::ApplyResult answer = state_.apply(index, command);
  const LeaseTable::Counts& after = state_.leases().counts();
  figures_.leases.granted += after.granted - leases.granted;
  figures_.leases.expired += after.expired - leases.expired;
  figures_.leases.renewed += after.renewed - leases.renewed;
  figures_.leases.fenced +=
      after.fenced - leases.fenced + (answer.kind == registry::ApplyResult::Kind::kFenced);
  // A member that leads soon after its start learns only now how far the log's time had come: until its own
  // clock had caught up, as long again as the log is old, no time would pass and no lease lapse.
  if (leads() && state_.now() * 1000 > clock_us_) {
    clock_us_ = state_.now() * 1000;
    read_ = net::steady_now();
  }
  if (state_.compacted() != compacted) ++figures_.compactions;
  if (state_.revision() != before) hub_->changed();
}

void Service::standing(const RaftStatus& now) {
  const RaftStatus before = std::exchange(status_, now);
  if (now.role != RaftStatus::Role::kDown) trouble_.clear();
  if (before.leader != now.leader || (before.role != now.role && leads())) {
    if (now.leader != 0) ++figures_.leader_changes;
    log::info("leader", "id", now.leader, "term", now.term, "role", role_name(now.role));
  }
  if (!leads() || (before.role == RaftStatus::Role::kLeader && before.term == now.term)) return;
  // Of the log alone: what this member read as a leader before may be ahead of what others did since.
  clock_us_ = state_.now() * 1000;
  read_ = net::steady_now();
  lead_told_ = false;
  tick();
}

// A leader that was stopped, or whose clock has jumped, must not let leases lapse in one step: while it was
// away no renewal could reach it. Slower than true time is safe, faster never.
Millis Service::now_ms() {
  const net::Time now = net::steady_now();
  clock_us_ += std::clamp<net::Time>(now - std::exchange(read_, now), 0, 2000 * config_.tick_ms);
  return clock_us_ / 1000;
}

int64_t Service::heard_ms() const { return heard_ == 0 ? -1 : (net::steady_now() - heard_) / 1000; }

// What the leader does by level, not by event: whatever is not as it should be is put right the next time.
void Service::tick() {
  tick_.expires_after(std::chrono::milliseconds(config_.tick_ms));
  tick_.async_wait([this](const boost::system::error_code& error) {
    if (!error) tick();
  });
  if (!leads() || in_flight_ >= kMostInFlight) return;
  const auto ignored = [](const ProposalResult&) {};
  if (!lead_told_) {  // before all else that this leader writes
    Command lead{Command::Kind::kLeaderElected, now_ms(), "", {}, "", 0};
    lead.number = static_cast<uint64_t>(config_.lease_most_ttl_ms);
    replica_->propose(lead, [this, term = status_.term](const ProposalResult& result) {
      lead_told_ = lead_told_ || (result.outcome == ProposalOutcome::kDone && term == status_.term);
    });
  }
  if (state_.identity().empty()) {
    Command found{Command::Kind::kBootstrap, now_ms(), "", {}, new_identity(), 0};
    found.number = static_cast<uint64_t>(net::wall_now() / 1000);
    replica_->propose(found, ignored);
  }
  replica_->propose({Command::Kind::kTick, now_ms(), "", {}, "", 0}, ignored);
  for (const Peer& peer : status_.members) {
    const uint64_t number = peer.id % kNumbers;
    const auto known = std::find_if(config_.members.begin(), config_.members.end(),
                                    [&](const MemberAddress& m) { return m.number == number; });
    if (known != config_.members.end() && !state_.members().contains(number)) {
      replica_->propose({Command::Kind::kMember, now_ms(), "", {}, known->http, number}, ignored);
    }
  }
  const auto waiting = std::find_if(status_.members.begin(), status_.members.end(),
                                    [](const Peer& peer) { return !peer.voter; });
  if (waiting != status_.members.end()) replica_->promote_member(waiting->id, ignored);
}

std::string Service::http_of(uint64_t number) const {
  const auto it = state_.members().find(number);
  if (it != state_.members().end()) return it->second;
  for (const MemberAddress& m : config_.members) {
    if (m.number == number) return m.http;
  }
  return "";
}

HttpReply Service::head() const {
  HttpReply out;
  out.fields["X-Registry-Revision"] = std::to_string(state_.revision());
  out.fields["X-Registry-Identity"] = state_.identity();
  out.fields["X-Registry-Heard-Ms"] = std::to_string(heard_ms());
  out.fields["X-Registry-Member"] = std::to_string(config_.member);
  return out;
}

std::optional<Error> Service::refusal() const {
  if (replica_ == nullptr) return NotInLog();
  if (!trouble_.empty()) return LogClosed("this member's log is closed: " + trouble_);
  struct statvfs disk {};
  if (::statvfs(config_.folder.c_str(), &disk) == 0 &&
      static_cast<double>(disk.f_bavail) * static_cast<double>(disk.f_frsize) < 1e6 * config_.free_mb) {
    return NoRoom("less than " + std::to_string(config_.free_mb) + " MB free in " + config_.folder);
  }
  return {};
}

void Service::at_leader(const HttpRequest& request, const Answer& answer, const std::function<void()>& here) {
  if (leads()) {
    if (const auto why = refusal()) return answer->reply(failure(*why));
    return here();
  }
  const std::string leader = status_.leader == 0 ? "" : http_of(status_.leader % kNumbers);
  if (leader.empty() || leader == config_.self().http) {
    const auto why = refusal();
    return answer->reply(failure(why ? *why : NoLeader("no leader is known")));
  }
  ++figures_.redirected;
  HttpReply reply = head();
  reply.status = 307;
  reply.fields["Location"] = "http://" + leader + request.target;
  answer->reply(std::move(reply));
}

// A write, once: it has been answered, or its time is up.
struct Service::Write {
  Answer answer;
  boost::asio::steady_timer late;
  net::Time begun = net::steady_now();
  bool answered = false;
  void reply(HttpReply reply) {
    if (std::exchange(answered, true)) return;
    late.cancel();
    answer->reply(std::move(reply));
  }
};

// What a lease's call has come to, for who asked.
HttpReply Service::lease_reply(const LeaseCommand& call, const LeaseResult& said, Revision revision) const {
  json body = {{"token", said.token}, {"holder", said.holder}, {"revision", revision}};
  const std::string name = "'" + call.name + "'";
  switch (said.kind) {
    case LeaseResult::Kind::kFenced:
      return failure(
          LeaseFenced(call.token == 0 ? "'" + call.holder + "' neither holds " + name + " nor waits"
                                      : "token " + std::to_string(call.token) + " of " + name +
                                            " is not the grant that stands"),
          body);
    case LeaseResult::Kind::kUnknown:
      if (said.holder.empty()) return failure(LeaseUnknown("nobody holds " + name), body);
      return failure(LeaseUnknown(call.to.empty() ? "nobody waits for " + name
                                                  : "'" + call.to + "' does not wait for " + name),
                     body);
    case LeaseResult::Kind::kRefused: {
      body["wait_ms"] = said.retry_after_ms;
      HttpReply out = failure(
          LeaseRefused(said.retry_after_ms == 0 ? "a bound of " + name + " is passed"
                       : said.holder.empty()    ? "nothing is granted yet: holders of before may still act"
                                                : "too many wait for " + name),
          body);
      out.fields["Retry-After"] = std::to_string(std::max<Millis>(1, (said.retry_after_ms + 999) / 1000));
      return out;
    }
    case LeaseResult::Kind::kGranted:
    case LeaseResult::Kind::kQueued:
      break;
  }
  HttpReply out = head();
  body["outcome"] = said.kind == LeaseResult::Kind::kGranted ? "held" : "waits";
  body["place"] = said.place;
  body["asked_back"] = said.release_requested;
  body["record"] = said.checkpoint;
  out.body = body.dump() + "\n";
  return out;
}

HttpReply Service::reply_of(const Command& command, const registry::ApplyResult& said) const {
  if (said.lease) return lease_reply(command.lease, *said.lease, said.revision);
  json body = {{"revision", said.revision}, {"identity", state_.identity()}};
  if (said.kind != registry::ApplyResult::Kind::kApplied) body["id"] = said.id;
  HttpReply out = head();
  switch (said.kind) {
    case registry::ApplyResult::Kind::kConflict:
      return failure(RevisionConflict(said.id), body);
    case registry::ApplyResult::Kind::kUnknown:
      return failure(NotRegistered(said.id), body);
    case registry::ApplyResult::Kind::kFenced:
      return failure(LeaseFenced("token " + std::to_string(command.fence_token) + " of '" + said.id +
                                 "' is not the grant that stands"),
                     {{"token", said.revision}});
    case registry::ApplyResult::Kind::kApplied:
      break;
  }
  out.body = body.dump() + "\n";
  return out;
}

void Service::write(const HttpRequest& request, const Answer& answer, Command command) {
  const auto named = [&](const char* key) {
    const auto it = request.fields.find(key);
    return it == request.fields.end() ? std::string() : it->second;
  };
  // A lease's call is safe to repeat, and its answer is that of the moment.
  if (command.kind != Command::Kind::kLease) {
    command.request = named("idempotency-key");
    if (command.request.size() > 200) throw std::invalid_argument("Idempotency-Key: over 200 characters");
    command.fence = named("x-lease");
    const auto token = number_of(named("x-lease-token"));
    if (command.fence.empty() ? request.fields.contains("x-lease-token") : !token || *token == 0) {
      throw std::invalid_argument("X-Lease: needs an X-Lease-Token that is a number, and it X-Lease");
    }
    command.fence_token = token.value_or(0);
  }
  at_leader(request, answer, [&] {
    if (in_flight_ >= kMostInFlight) return answer->reply(failure(Busy()));
    ++in_flight_;
    command.now_ms = now_ms();
    auto write = std::make_shared<Write>(Write{answer, boost::asio::steady_timer(io_)});
    write->late.expires_after(std::chrono::milliseconds(config_.write_ms));
    write->late.async_wait([this, write](const boost::system::error_code& error) {
      if (error || write->answered) return;
      ++figures_.unknown;
      write->reply(failure(WriteUnknown("no majority of the members answered in " +
                                        std::to_string(config_.write_ms) + " ms")));
    });
    replica_->propose(command, [this, write, command](const ProposalResult& result) {
      --in_flight_;
      if (result.outcome != ProposalOutcome::kDone) {
        figures_.unknown += result.outcome == ProposalOutcome::kUnknown ? 1 : 0;
        return write->reply(failure(error_of(result)));
      }
      const double took = static_cast<double>(net::steady_now() - write->begun) / 1e6;
      const auto at = std::lower_bound(kCommitBounds.begin(), kCommitBounds.end(), took);
      ++figures_.commit_buckets[static_cast<size_t>(at - kCommitBounds.begin())];
      figures_.commit_sum_s += took;
      ++figures_.writes;
      if (result.applied.kind != registry::ApplyResult::Kind::kApplied) ++figures_.refused;
      write->reply(reply_of(command, result.applied));
    });
  });
}

void Service::begin_barrier() {
  if (barrier_out_ || barrier_next_.empty()) return;
  barrier_out_ = true;
  replica_->barrier([this, waiting = std::exchange(barrier_next_, {})](const ProposalResult& result) {
    barrier_out_ = false;
    begin_barrier();
    for (const auto& then : waiting) then(result);
  });
}

// One barrier serves all that came before it went out.
void Service::barrier(std::function<void(const ProposalResult&)> then) {
  barrier_next_.push_back(std::move(then));
  begin_barrier();
}

void Service::list(const HttpRequest& request, const Answer& answer) {
  ++figures_.reads;
  const auto query = [&](const char* key) {
    const auto it = request.query.find(key);
    return it == request.query.end() ? std::string() : it->second;
  };
  if (state_.identity().empty()) return answer->reply(failure(NoList()));
  if (query("stream") == "1") {
    HttpReply reply = head();
    reply.type = "application/x-ndjson";
    const auto index = number_of(query("index"));
    return hub_->watch(answer, reply, index ? static_cast<int64_t>(*index) : -1, query("identity"));
  }
  const auto whole = [this, answer] {
    HttpReply reply = head();
    reply.body = *hub_->whole();
    answer->reply(std::move(reply));
  };
  read(request, answer, whole);
}

// At once; with consistent=1 at the leader, after all that has been written.
void Service::read(const HttpRequest& request, const Answer& answer, std::function<void()> then) {
  const auto it = request.query.find("consistent");
  if (it == request.query.end() || it->second != "1") return then();
  at_leader(request, answer, [&] {
    ++figures_.consistent;
    barrier([answer, then = std::move(then)](const ProposalResult& result) {
      if (result.outcome == ProposalOutcome::kDone) return then();
      answer->reply(failure(NoLeader(result.reason)));
    });
  });
}

void Service::leases(const HttpRequest& request, const Answer& answer) {
  const std::string name = rest_of(request.path, "/api/leases/");
  if (request.method == "POST" && !name.empty()) {
    Command command{Command::Kind::kLease, 0, "", {}, "", 0};
    command.lease = call_of(parsed(request.body), name, state_.leases().limits());
    return write(request, answer, std::move(command));
  }
  if (request.method != "GET") return answer->reply(failure(NoSuchMethod(request.method)));
  ++figures_.reads;
  read(request, answer, [this, answer, name] {
    HttpReply reply = head();
    const auto& all = state_.leases().all();
    json body = {{"leases", json::array()}};
    if (name.empty()) {
      for (const auto& [id, lease] : all) body["leases"].push_back(json_of(lease, state_.now()));
    } else if (const auto it = all.find(name); it != all.end()) {
      body = json_of(it->second, state_.now());
      body["record"] = it->second.checkpoint;
    } else {
      return answer->reply(failure(LeaseUnknown("nobody has held '" + name + "'")));
    }
    reply.body = body.dump() + "\n";
    answer->reply(std::move(reply));
  });
}

void Service::targets(const HttpRequest& request, const Answer& answer) {
  const std::string id = rest_of(request.path, "/api/targets/");
  if (id.empty() && request.method == "GET") return list(request, answer);
  Command command{Command::Kind::kWrite, 0, "", {}, "", 0};
  if (id.empty() && request.method == "POST") {
    const json body = parsed(request.body);
    const auto items = body.find("items");
    if (items == body.end() || !items->is_array()) throw std::invalid_argument("items: is no list");
    for (const json& one : *items) {
      Mutation item;
      if (!one.is_object()) throw std::invalid_argument("items: each must be an object");
      item.id = field<std::string>(one, "id", "");
      if (item.id.empty()) throw std::invalid_argument("items: each must have an id");
      if (one.contains("entry") && !one["entry"].is_null()) item.entry = entry_of(one["entry"], item.id);
      if (one.contains("if_match")) item.if_match = field<Revision>(one, "if_match", 0);
      command.mutations.push_back(std::move(item));
    }
  } else if (!id.empty() && request.method == "PUT") {
    command.mutations.push_back({id, entry_of(parsed(request.body), id), match_of(request)});
  } else if (!id.empty() && request.method == "DELETE") {
    command.mutations.push_back({id, {}, match_of(request)});
  } else if (!id.empty() && request.method == "GET") {
    const auto it = state_.entries().find(id);
    if (it == state_.entries().end()) return answer->reply(failure(NotListed(id)));
    HttpReply reply = head();
    reply.fields["ETag"] = "\"" + std::to_string(it->second.revision) + "\"";
    reply.body = json_of(it->second).dump() + "\n";
    return answer->reply(std::move(reply));
  } else {
    return answer->reply(failure(NoSuchMethod(request.method)));
  }
  write(request, answer, std::move(command));
}

// Endpoints that say themselves that they are there: PUT, then POST again and again within the TTL.
void Service::registrations(const HttpRequest& request, const Answer& answer) {
  const std::string id = rest_of(request.path, "/api/registrations/");
  if (id.empty()) return answer->reply(failure(NoSuchCall(request.path)));
  if (request.method == "POST") {
    return write(request, answer, {Command::Kind::kRenew, 0, "", {{id, {}, {}}}, "", 0});
  }
  if (request.method != "PUT") return answer->reply(failure(NoSuchMethod(request.method)));
  const Entry entry = entry_of(parsed(request.body), id);
  if (entry.ttl_ms <= 0) throw std::invalid_argument("ttl_ms: a registration needs one");
  write(request, answer, {Command::Kind::kRegister, 0, "", {{id, entry, {}}}, "", 0});
}

void Service::drop(uint64_t number, std::function<void(const ProposalResult&)> then) {
  const auto it = std::find_if(status_.members.begin(), status_.members.end(),
                               [&](const Peer& peer) { return peer.id % kNumbers == number; });
  if (it == status_.members.end()) return then({});
  log::info("member_removed", "id", it->id);
  replica_->remove_member(it->id, [this, number, id = it->id, then](const ProposalResult& result) {
    if (result.outcome != ProposalOutcome::kDone) return then(result);
    std::erase_if(status_.members, [&](const Peer& peer) { return peer.id == id; });
    drop(number, then);
  });
}

void Service::join(uint64_t number, const MemberAddress& address, const Answer& answer) {
  const bool known = state_.members().contains(number) ||
                     std::any_of(status_.members.begin(), status_.members.end(),
                                 [&](const Peer& peer) { return peer.id % kNumbers == number; });
  if (!known) return answer->reply(failure(MemberUnknown(number)));
  drop(number, [this, number, address, answer](const ProposalResult& dropped) {
    if (dropped.outcome != ProposalOutcome::kDone)
      return answer->reply(failure(MembersChange(dropped.reason)));
    // Never used before: the log only grows.
    const uint64_t id = number + kNumbers * (status_.last_index + 1);
    replica_->add_member(id, address.raft, [this, id, address, answer](const ProposalResult& added) {
      if (added.outcome != ProposalOutcome::kDone) return answer->reply(failure(MembersChange(added.reason)));
      log::info("member_added", "id", id, "raft", address.raft);
      replica_->propose({Command::Kind::kMember, now_ms(), "", {}, address.http, id % kNumbers},
                        [answer, id](const ProposalResult&) {
                          answer->reply({200, json({{"id", id}}).dump() + "\n", "application/json", {}});
                        });
    });
  });
}

void Service::members(const HttpRequest& request, const Answer& answer) {
  const auto number = number_of(rest_of(request.path, "/registry/members/"));
  if (!number || *number == 0 || *number >= kNumbers) {
    return answer->reply(failure(BadRequest("a member has a number from 1 to 999")));
  }
  if (request.method == "PUT" || request.method == "POST") {
    const json body = parsed(request.body);
    MemberAddress address{*number, field<std::string>(body, "raft", ""),
                          field<std::string>(body, "http", "")};
    net::parse_address(address.http);
    if (request.method == "POST") {  // may join, once it is started
      return write(request, answer, {Command::Kind::kMember, 0, "", {}, address.http, *number});
    }
    net::parse_address(address.raft);
    return at_leader(request, answer, [&] { join(*number, address, answer); });
  }
  if (request.method != "DELETE") return answer->reply(failure(NoSuchMethod(request.method)));
  at_leader(request, answer, [&] {
    if (status_.leader % kNumbers == *number) {
      if (status_.members.size() < 2) return answer->reply(failure(LastMember()));
      return replica_->transfer_leadership(0, [answer](const ProposalResult& result) {
        answer->reply(failure(
            LeadMoves(result.outcome == ProposalOutcome::kDone
                          ? "the member leads: it has handed the lead over, ask again"
                          : "the member leads, and its lead cannot be handed over: " + result.reason)));
      });
    }
    drop(*number, [this, number = *number, request, answer](const ProposalResult& result) {
      if (result.outcome != ProposalOutcome::kDone)
        return answer->reply(failure(MembersChange(result.reason)));
      write(request, answer, {Command::Kind::kMember, 0, "", {}, "", number});
    });
  });
}

void Service::restore(const HttpRequest& request, const Answer& answer) {
  const json backup = parsed(request.body);
  if (field<int>(backup, "format", 0) != 1) throw std::invalid_argument("format: this program reads 1");
  Command command{Command::Kind::kRestore, 0, "", {}, new_identity(), 0};
  command.number =
      std::max(field<Revision>(backup, "revision", 0) + 1, static_cast<Revision>(net::wall_now() / 1000));
  const auto entries = backup.find("entries");
  if (entries == backup.end() || !entries->is_array()) throw std::invalid_argument("entries: is no list");
  for (const json& one : *entries) {
    const Entry entry = entry_of(one, "");
    command.mutations.push_back({entry.id, entry, {}});
  }
  for (const std::string& id : field<std::vector<std::string>>(backup, "drained", {})) {
    command.mutations.push_back({id, {}, {}});
  }
  write(request, answer, std::move(command));
}

// What a source's mirror says of it, under a lease, so that one mirror at a time writes.
void Service::mirror(const HttpRequest& request, const Answer& answer) {
  if (request.method != "PUT") return answer->reply(failure(NoSuchMethod(request.method)));
  if (!request.fields.contains("x-lease"))
    throw std::invalid_argument("X-Lease: a mirror writes under a lease");
  const json body = parsed(request.body);
  Command command{Command::Kind::kMirror, 0, "", {}, field<std::string>(body, "source", ""), 0};
  if (command.text.empty() || command.text.size() > 200) {
    throw std::invalid_argument("source must have 1 to 200 characters");
  }
  command.number = field<Revision>(body, "revision", 0);
  command.whole = field<bool>(body, "complete", false);
  command.serial = field<uint64_t>(body, "serial", 0);
  const json members = field<json>(body, "members", json::array());
  if (!members.is_array()) throw std::invalid_argument("members: is no list");
  for (const json& one : members) {
    if (!one.is_object()) throw std::invalid_argument("members: each must be an object");
    if (field<std::string>(one, "phase", "") == "left") {
      command.mutations.push_back({field<std::string>(one, "id", ""), {}, {}});
      continue;
    }
    json known;  // a source may tell more than an entry has
    for (const char* key :
         {"id", "host_port", "locality", "flavor", "cell", "phase", "size", "up_since_ms"}) {
      if (one.contains(key)) known[key] = one[key];
    }
    Entry entry = entry_of(known, "");
    command.mutations.push_back({entry.id, std::move(entry), {}});
  }
  write(request, answer, std::move(command));
}

json Service::status() const {
  json members = json::array();
  for (const Peer& peer : status_.members) {
    members.push_back({{"member", peer.id % kNumbers},
                       {"id", peer.id},
                       {"raft", peer.address},
                       {"http", http_of(peer.id % kNumbers)},
                       {"voter", peer.voter},
                       {"leader", peer.id == status_.leader}});
  }
  json leases = json::array();
  for (const auto& [name, lease] : state_.leases().all()) leases.push_back(json_of(lease, state_.now()));
  json sources = json::array();
  for (const auto& [name, source] : state_.sources()) {
    sources.push_back(
        {{"source", name}, {"revision", source.revision}, {"age_ms", state_.now() - source.confirmed_ms}});
  }
  return {
      {"member", config_.member},
      {"id", id_},
      {"role", role_name(status_.role)},
      {"leader", status_.leader % kNumbers},
      {"term", status_.term},
      {"last",
       replica_ && status_.role == RaftStatus::Role::kDown ? -1 : static_cast<int64_t>(status_.last_index)},
      {"applied", index_},
      {"identity", state_.identity()},
      {"revision", state_.revision()},
      {"compacted", state_.compacted()},
      {"entries", state_.entries().size()},
      {"registrations", state_.registrations()},
      {"expiry_held", state_.expiry_paused()},
      {"heard_ms", heard_ms()},
      {"watchers", hub_->watchers()},
      {"refusal", refusal() ? refusal()->what() : ""},
      {"leases", leases},
      {"sources", sources},
      {"members", members}};
}

std::string Service::metrics() const {
  std::string out;
  const auto one = [&](const char* name, const char* kind, auto value) {
    out += std::string("# TYPE registry_") + name + " " + kind + "\nregistry_" + name + " " +
           std::to_string(value) + "\n";
  };
  one("watchers", "gauge", hub_->watchers());
  one("connections", "gauge", server_->connections());
  one("revision", "gauge", state_.revision());
  one("entries", "gauge", state_.entries().size());
  one("registrations", "gauge", state_.registrations());
  one("expiry_held", "gauge", state_.expiry_paused() ? 1 : 0);
  uint64_t held = 0;
  uint64_t waiting = 0;
  for (const auto& [name, lease] : state_.leases().all()) {
    held += lease.holder.empty() ? 0 : 1;
    waiting += lease.queue.size();
  }
  one("leases", "gauge", state_.leases().all().size());
  one("leases_held", "gauge", held);
  one("leases_waiting", "gauge", waiting);
  one("leases_granted_total", "counter", figures_.leases.granted);
  one("leases_expired_total", "counter", figures_.leases.expired);
  one("leases_fenced_total", "counter", figures_.leases.fenced);
  one("leases_renewals_total", "counter", figures_.leases.renewed);
  one("source_seconds", "gauge", static_cast<double>(state_.source_ms()) / 1000);
  one("leads", "gauge", leads() ? 1 : 0);
  one("heard_seconds", "gauge", static_cast<double>(heard_ms()) / 1000);
  one("leader_changes_total", "counter", figures_.leader_changes);
  one("compactions_total", "counter", figures_.compactions);
  one("log_reopened_total", "counter", figures_.reopened);
  one("reads_total", "counter", figures_.reads);
  one("consistent_reads_total", "counter", figures_.consistent);
  one("redirected_total", "counter", figures_.redirected);
  one("writes_refused_total", "counter", figures_.refused);
  one("writes_unknown_total", "counter", figures_.unknown);
  one("watch_lines_encoded_total", "counter", hub_->counts().encoded);
  one("watch_lines_sent_total", "counter", hub_->counts().sent);
  one("watch_whole_lists_total", "counter", hub_->counts().whole);
  one("watch_ahead_total", "counter", hub_->counts().behind);
  one("watch_drops_total", "counter", server_->unread());
  out += "# TYPE registry_commit_seconds histogram\n";
  uint64_t sum = 0;
  for (size_t i = 0; i < figures_.commit_buckets.size(); ++i) {
    sum += figures_.commit_buckets[i];
    char bound[24] = "+Inf";
    if (i < kCommitBounds.size()) std::snprintf(bound, sizeof(bound), "%g", kCommitBounds[i]);
    out += "registry_commit_seconds_bucket{le=\"" + std::string(bound) + "\"} " + std::to_string(sum) + "\n";
  }
  out += "registry_commit_seconds_sum " + std::to_string(figures_.commit_sum_s) +
         "\nregistry_commit_seconds_count " + std::to_string(sum) + "\n";
  return out;
}

void Service::handle(const HttpRequest& request, const Answer& answer) {
  try {
    const std::string& path = request.path;
    if (path == "/api/targets" || path.starts_with("/api/targets/")) return targets(request, answer);
    if (path == "/api/leases" || path.starts_with("/api/leases/")) return leases(request, answer);
    if (path == "/api/mirror") return mirror(request, answer);
    if (path.starts_with("/api/registrations/")) return registrations(request, answer);
    if (path.starts_with("/registry/members/")) return members(request, answer);
    if (path == "/registry/restore" && request.method == "POST") return restore(request, answer);
    if (request.method != "GET") return answer->reply(failure(NoSuchCall(request.path)));
    HttpReply reply = head();
    if (path == "/registry/status") {
      reply.body = status().dump() + "\n";
    } else if (path == "/registry/backup") {
      json out = {{"format", 1}, {"identity", state_.identity()}, {"revision", state_.revision()}};
      out["entries"] = json::array();
      for (const auto& [id, entry] : state_.entries()) out["entries"].push_back(json_of(entry));
      for (const auto& [id, since] : state_.drains()) out["drained"].push_back(id);
      reply.body = out.dump() + "\n";
    } else if (path == "/metrics") {
      reply.type = "text/plain; version=0.0.4";
      reply.body = metrics();
    } else {
      return answer->reply(failure(NoSuchCall(request.path)));
    }
    answer->reply(std::move(reply));
  } catch (const std::invalid_argument& error) {
    ++figures_.refused;
    answer->reply(failure(BadRequest(error.what())));
  }
}

}  // namespace turntally::registry
