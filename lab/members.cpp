#include "lab/members.h"

#include <sys/resource.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "lab/process.h"

namespace turntally::lab {

using nlohmann::json;
using std::chrono::milliseconds;

const std::vector<std::string>& Members::fault_names() {
  static const std::vector<std::string> kNames = {"kill", "stop", "cut", "disk", "lose"};
  return kNames;
}

Members::Members(TestEnvironment& stage, MemberSettings settings, net::Random& random,
                 std::function<void(const std::string&)> broken)
    : stage_(stage), settings_(std::move(settings)), random_(random), broken_(std::move(broken)) {
  for (int i = 0; i < settings_.members; ++i) {
    Member member;
    member.number = i + 1;
    const std::string base = settings_.folder + "/member-" + std::to_string(i + 1);
    member.folder = base;
    member.config = base + ".toml";
    member.log = base + ".log";
    members_.push_back(member);
  }
  for (size_t a = 0; a < members_.size(); ++a) {
    for (size_t b = 0; b < members_.size(); ++b) {
      if (a == b) continue;
      const net::tcp::endpoint listen(stage_.address(100 + static_cast<int>(10 * a + b)), 7201);
      links_[{a, b}] = std::make_unique<Link>(stage_.io(), listen, net::parse_address(raft(b)),
                                              stage_.address(10 + static_cast<int>(a)), random_.bits());
    }
  }
  for (size_t i = 0; i < members_.size(); ++i) cut(i, false);
  for (const Member& member : members_) write_config(member);
}

Members::~Members() {
  for (Member& member : members_) kill(member);
}

net::tcp::endpoint Members::http(size_t member) const {
  return {stage_.address(10 + static_cast<int>(member)), 7101};
}

std::string Members::raft(size_t member) const {
  return net::text_of(net::tcp::endpoint(stage_.address(10 + static_cast<int>(member)), 7201));
}

void Members::write_config(const Member& member) {
  std::ofstream out(member.config);
  out << "member = " << member.number << "\nfolder = \"" << member.folder
      << "\"\nelection_ms = " << settings_.election_ms << "\nheartbeat_ms = " << settings_.heartbeat_ms
      << "\nfree_mb = 0\nwrite_ms = 1000\n"
      << settings_.more;
  const auto self = static_cast<size_t>(member.number - 1);
  for (size_t i = 0; i < members_.size(); ++i) {
    out << "\n[[members]]\nmember = " << i + 1 << "\nraft = \"" << raft(i) << "\"\nhttp = \""
        << net::text_of(http(i)) << "\"\n";
  }
  for (size_t i = 0; i < members_.size(); ++i) {
    if (i == self) continue;
    out << "\n[[dial]]\nraft = \"" << raft(i) << "\"\nat = \""
        << net::text_of(links_.at({self, i})->address()) << "\"\n";
  }
}

void Members::start() {
  for (Member& member : members_) start(member);
  watch_processes();
  ask_who_leads();
}

void Members::over() { over_ = true; }

void Members::start(Member& member) {
  Spawn what;
  what.command = {settings_.program, "registry", "run", member.config, "--log-level", settings_.level};
  what.log = member.log;
  member.process = spawn(what);
  member.stopped = member.full = member.served = false;
  stage_.record("start", {{"member", member.number}});
}

void Members::kill(Member& member) {
  if (member.process == 0) return;
  memory_mb_ = std::max(memory_mb_, usage_of(member.process).memory_mb);
  ::kill(member.process, SIGKILL);
  ::waitpid(member.process, nullptr, 0);
  member.process = 0;
}

double Members::memory_mb() {
  for (const Member& member : members_) {
    if (member.process != 0) memory_mb_ = std::max(memory_mb_, usage_of(member.process).memory_mb);
  }
  return memory_mb_;
}

void Members::watch_processes() {
  for (Member& member : members_) {
    int status = 0;
    if (member.process == 0 || ::waitpid(member.process, &status, WNOHANG) != member.process) continue;
    member.process = 0;
    if (over_) continue;
    stage_.record("ended", {{"member", member.number}, {"status", status}});
    broken_("member " + std::to_string(member.number) + " ended by itself at " +
            std::to_string(stage_.now()) + " s, status " + std::to_string(status));
  }
  if (!over_) stage_.after(0.02, [this] { watch_processes(); });
}

void Members::ask_who_leads() {
  for (size_t i = 0; i < members_.size(); ++i) {
    if (!up(i)) {
      if (leader_ == static_cast<int>(i)) leader_ = -1;
      continue;
    }
    net::http_call(stage_.io(), http(i), {"GET", "/registry/status", {}, "", milliseconds(300)},
                   [this, i](const std::optional<net::HttpResponse>& reply) {
                     const json status = reply ? json::parse(reply->body, nullptr, false) : json();
                     if (!status.is_object()) return;
                     if (status["role"] == "leader") leader_ = static_cast<int>(i);
                     if (status["role"] != "leader" && leader_ == static_cast<int>(i)) leader_ = -1;
                   });
  }
  if (!over_) stage_.after(0.1, [this] { ask_who_leads(); });
}

void Members::cut(size_t member, bool apart) {
  for (const auto& [ends, link] : links_) {
    if (ends.first != member && ends.second != member) continue;
    LinkState state;
    state.cut_to = state.cut_from = apart;
    state.delay_s = settings_.delay_s;
    link->set(state);
  }
}

std::vector<size_t> Members::drawn(const std::string& who) {
  std::vector<size_t> out;
  const auto lead = leader_ >= 0 ? static_cast<size_t>(leader_) : any();
  if (who == "leader") out = {lead};
  if (who == "any") out = {any()};
  if (who == "follower" && members_.size() > 1) {
    out = {(lead + 1 + random_.below(members_.size() - 1)) % members_.size()};
  }
  if (who == "all" || who == "majority") {
    for (size_t i = 0; i < members_.size(); ++i) out.push_back(i);
    random_.shuffle(out);
    if (who == "majority") out.resize(members_.size() / 2 + 1);
  }
  return out;
}

bool Members::fault(Fault kind, size_t i, double for_s) {
  Member& member = members_[i];
  if (member.process == 0 || member.stopped || member.full) return false;
  stage_.record("fault", {{"kind", fault_names()[static_cast<size_t>(kind)]},
                          {"member", member.number},
                          {"leads", static_cast<int>(i) == leader_},
                          {"for", for_s}});
  switch (kind) {
    case Fault::kKill:
    case Fault::kLose:
      kill(member);
      if (kind == Fault::kLose) std::filesystem::remove_all(member.folder);
      stage_.after(for_s, [this, &member] {
        if (!over_) start(member);
      });
      break;
    case Fault::kStop:
      ::kill(member.process, SIGSTOP);
      member.stopped = true;
      stage_.after(for_s, [&member, process = member.process] {
        if (member.process != process) return;
        ::kill(process, SIGCONT);
        member.stopped = false;
      });
      break;
    case Fault::kCut:
      cut(i, true);
      stage_.after(for_s, [this, i] { cut(i, false); });
      break;
    case Fault::kDisk: {
      const rlimit none{4096, RLIM_INFINITY};
      ::prlimit(member.process, RLIMIT_FSIZE, &none, nullptr);
      member.full = true;
      stage_.after(for_s, [this, &member, process = member.process] {
        if (member.process != process) return;
        const rlimit all{RLIM_INFINITY, RLIM_INFINITY};
        ::prlimit(process, RLIMIT_FSIZE, &all, nullptr);
        member.full = false;
        stage_.record("room", {{"member", member.number}});
      });
      break;
    }
  }
  return true;
}

}  // namespace turntally::lab
