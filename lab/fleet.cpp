#include "lab/fleet.h"

#include <sys/wait.h>

#include <boost/asio/write.hpp>
#include <csignal>
#include <fstream>

#include "lab/process.h"

namespace turntally::lab {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kSilence{6000};  // a line is due every 2 s
constexpr milliseconds kCall{1500};
constexpr double kAgain = 0.05;

}  // namespace

Mirror::Mirror(SimulatedFleet& world, std::function<void()> first)
    : world_(world), first_(std::move(first)) {}

Mirror::~Mirror() {
  *alive_ = false;
  if (stream_) stream_->close();
}

void Mirror::after(double seconds, std::function<void()> then) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(world_.io);
  timer->expires_after(std::chrono::microseconds(static_cast<int64_t>(seconds * 1e6)));
  timer->async_wait([timer, alive = alive_, then = std::move(then)](const Error& error) {
    if (!error && *alive) then();
  });
}

void Mirror::watch() {
  stream_ = std::make_shared<net::JsonStream>(
      world_.io, world_.discovery_address(), kSilence, [this](const std::string& line) { return told(line); },
      [this](net::JsonStream::EndReason) {
        stream_->close();
        after(kAgain, [this] { watch(); });
      });
  stream_->start("/api/targets?stream=1" +
                 (revision_ >= 0 ? "&index=" + std::to_string(revision_) : std::string()));
}

bool Mirror::told(const std::string& text) {
  const json line = json::parse(text, nullptr, false);
  if (!line.is_object()) return true;
  revision_ = line.at("revision");
  if (line.at("complete").get<bool>()) {
    for (const auto& [id, member] : list_) owed_.insert(id);
    list_.clear();
  }
  for (const json& member : line.at("members")) {
    const std::string id = member.at("id");
    owed_.insert(id);
    if (member.at("phase") == "left") {
      list_.erase(id);
    } else {
      list_[id] = member;
    }
  }
  write();
  return true;
}

void Mirror::write() {
  if (writing_ || owed_.empty()) return;
  writing_ = true;
  json items = json::array();
  for (const std::string& id : owed_) {
    const auto it = list_.find(id);
    items.push_back({{"id", id}, {"entry", it == list_.end() ? json() : it->second}});
    if (it != list_.end()) items.back()["entry"].erase("id");
  }
  const net::HttpCall call{"POST", "/api/targets", {}, json{{"items", items}}.dump(), kCall};
  const auto done = [this, alive = alive_, ids = owed_](const std::optional<net::HttpResponse>& reply) {
    if (*alive) wrote(ids, reply);
  };
  owed_.clear();
  net::http_call(world_.io, world_.member_http(at_), call,
                 [this, alive = alive_, call, done](const std::optional<net::HttpResponse>& reply) {
                   if (!*alive) return;
                   if (!reply || reply->status != 307 || !reply->fields.contains("location"))
                     return done(reply);
                   const std::string& to = reply->fields.at("location");
                   net::http_call(world_.io, net::parse_address(to.substr(7, to.find('/', 7) - 7)), call,
                                  done);
                 });
}

// Writing the same again does no harm: whatever was told in between is owed beside it.
void Mirror::wrote(const std::set<std::string>& ids, const std::optional<net::HttpResponse>& reply) {
  writing_ = false;
  if (reply && reply->status == 200) {
    if (const auto first = std::exchange(first_, nullptr)) first();
    return write();
  }
  owed_.insert(ids.begin(), ids.end());
  at_ = (at_ + 1) % static_cast<size_t>(world_.scenario.registry_members);
  after(kAgain, [this] { write(); });
}

// A relay's watch at a member: the request goes on as it came, and each line comes back in the relay's terms.
class Fleet::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Fleet& owner, size_t member, tcp::socket socket)
      : owner_(&owner), member_(member), socket_(std::move(socket)) {
    Error ignored;
    peer_ = socket_.remote_endpoint(ignored);
    relay_ = owner.world_.relay_of(peer_);
    socket_.set_option(tcp::no_delay(true), ignored);
  }

  void read() {
    http::async_read(socket_, buffer_, request_, [self = shared_from_this()](const Error& error, size_t) {
      if (self->owner_ == nullptr) return;
      const bool watch = !error && self->relay_ >= 0 && self->request_.method() == http::verb::get &&
                         self->request_.target().find("stream=1") != boost::beast::string_view::npos;
      watch ? self->follow() : self->end();
    });
  }

  void end() {
    if (owner_ == nullptr) return;
    const auto self = shared_from_this();
    Fleet& owner = *std::exchange(owner_, nullptr);
    if (stream_) stream_->close();
    Error ignored;
    socket_.close(ignored);
    owner.open_.remove(self);
  }

  void disown() {
    owner_ = nullptr;
    if (stream_) stream_->close();
  }

 private:
  void follow() {
    ++owner_->watches_;
    stream_ = std::make_shared<net::JsonStream>(
        owner_->world_.io, owner_->world_.member_http(member_), kSilence,
        [self = weak_from_this()](const std::string& line) {
          if (const auto here = self.lock()) here->line(line);
          return true;
        },
        [self = weak_from_this()](net::JsonStream::EndReason) {
          if (const auto here = self.lock()) here->end();
        });
    stream_->start({request_.target().data(), request_.target().size()});
    await_close();
  }

  // The relay says nothing more: what can be read is its end.
  void await_close() {
    socket_.async_read_some(boost::asio::buffer(rest_),
                            [self = shared_from_this()](const Error& error, size_t) {
                              if (self->owner_ == nullptr) return;
                              error ? self->end() : self->await_close();
                            });
  }

  void line(const std::string& text) {
    if (owner_ == nullptr) return;
    std::string bytes;
    if (!std::exchange(begun_, true)) {
      bytes = "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n";
    }
    const bool hears = owner_->world_.to_registry(relay_, member_).open_at_caller(peer_);
    write(bytes + net::http_chunk(owner_->rewritten(relay_, text, hears) + "\n"));
  }

  void write(const std::string& bytes) {
    queue_ += bytes;
    if (!writing_.empty()) return;
    writing_.swap(queue_);
    boost::asio::async_write(socket_, boost::asio::buffer(writing_),
                             [self = shared_from_this()](const Error& error, size_t) {
                               if (error) return self->end();
                               self->writing_.clear();
                               if (!self->queue_.empty()) self->write("");
                             });
  }

  Fleet* owner_;
  size_t member_;
  tcp::socket socket_;
  tcp::endpoint peer_;
  int relay_ = -1;
  bool begun_ = false;
  std::shared_ptr<net::JsonStream> stream_;
  std::string queue_;
  std::string writing_;
  char rest_[64];
  boost::beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
};

Fleet::Fleet(SimulatedFleet& world, DiscoveryAgent& platform, const std::string& program,
             const std::string& folder, std::function<void()> ready)
    : world_(world), platform_(platform), views_(world.plan.relays.size()), mirror_(world, std::move(ready)) {
  for (size_t p = 0; p < world_.places().size(); ++p) places_[world_.endpoint_id(p)] = p;
  const int members = world_.scenario.registry_members;
  for (int m = 0; m < members; ++m) {
    doors_.push_back(std::make_unique<tcp::acceptor>(world_.io, world_.door_address(static_cast<size_t>(m))));
    accept(static_cast<size_t>(m));
    start_member(m, program, folder);
  }
  await_list(0);
}

Fleet::~Fleet() {
  *alive_ = false;
  for (const auto& session : open_) session->disown();
  close();
}

void Fleet::start_member(int member, const std::string& program, const std::string& folder) {
  const std::string name = "registry-" + std::to_string(member + 1);
  const std::string config = folder + "/" + name + ".toml";
  std::ofstream out(config);
  out << "member = " << member + 1 << "\nfolder = \"" << folder << "/state/" << name << "\"\nfree_mb = 0\n";
  for (int m = 0; m < world_.scenario.registry_members; ++m) {
    const auto at = static_cast<size_t>(m);
    out << "\n[[members]]\nmember = " << m + 1 << "\nraft = \"" << net::text_of(world_.member_raft(at))
        << "\"\nhttp = \"" << net::text_of(world_.member_http(at)) << "\"\n";
  }
  out.close();
  Spawn what;
  what.command = {program, "registry", "run", config};
  what.log = folder + "/log/" + name + ".log";
  processes_.push_back(spawn(what));
}

// Until each member has a list; then the mirror begins.
void Fleet::await_list(size_t member) {
  net::http_call(world_.io, world_.member_http(member), {"GET", "/api/targets", {}, "", kCall},
                 [this, alive = alive_, member](const std::optional<net::HttpResponse>& reply) {
                   if (!*alive) return;
                   if (reply && reply->status == 200) {
                     return member + 1 < doors_.size() ? await_list(member + 1) : mirror_.start();
                   }
                   const auto timer =
                       std::make_shared<boost::asio::steady_timer>(world_.io, milliseconds(50));
                   timer->async_wait([this, alive, timer, member](const Error& error) {
                     if (!error && *alive) await_list(member);
                   });
                 });
}

void Fleet::accept(size_t member) {
  doors_[member]->async_accept([this, member](const Error& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (!error) {
      open_.push_back(std::make_shared<Session>(*this, member, std::move(socket)));
      open_.back()->read();
    }
    accept(member);
  });
}

// Notes what the relay is told, unless it does not hear it.
std::string Fleet::rewritten(int relay, const std::string& text, bool hears) {
  json line = json::parse(text, nullptr, false);
  if (!line.is_object() || !line.contains("members")) return text;
  DiscoveryAgent::View& view = views_[static_cast<size_t>(relay)];
  if (hears && line.value("complete", false)) view.clear();
  for (json& member : line["members"]) {
    const auto it = places_.find(member.at("id").get<std::string>());
    if (it == places_.end()) continue;
    member["host_port"] = net::text_of(world_.to_endpoint_address(relay, it->second));
    if (!hears) continue;
    const std::string phase = member.at("phase");
    if (phase == "left") {
      view.erase(it->second);
    } else {
      view[it->second] = {phase, member.at("up_since_ms").get<int64_t>()};
    }
    const auto& where = world_.places()[it->second];
    world_.note({0, What::kTold, relay, where.receiver, where.endpoint, -1, 0, 0, phase});
  }
  if (hears) {
    world_.note({0, What::kHeard, relay, -1, -1, -1, static_cast<double>(platform_.reached(view)), 0, ""});
  }
  return line.dump();
}

void Fleet::reap() {
  for (pid_t& process : processes_) {
    int status = 0;
    if (process <= 0 || ::waitpid(process, &status, WNOHANG) != process) continue;
    process = -1;
    world_.note({0, What::kProcess, -1, -1, -1, -1, static_cast<double>(status), 0, "member_exit"});
  }
}

void Fleet::close() {
  for (pid_t& process : processes_) {
    if (process <= 0) continue;
    ::kill(process, SIGKILL);
    ::waitpid(process, nullptr, 0);
    process = -1;
  }
}

}  // namespace turntally::lab
