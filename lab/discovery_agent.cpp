#include "lab/discovery_agent.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <sstream>

namespace turntally::lab {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;
using nlohmann::json;

constexpr double kQuiet = 2;       // an empty line while nothing changes
constexpr double kMostSilent = 6;  // what a silent watch misses counts as told so long after it fell silent
const std::string kBlank = "\n \r\n";  // what stands between two lines where they are spaced
constexpr size_t kPiece = 7;           // bytes; no list's names are as short

int index_of(std::string_view target) {
  const size_t at = target.find("index=");
  int out = 0;
  if (at == std::string_view::npos) return -1;
  std::from_chars(target.data() + at + 6, target.data() + target.size(), out);
  return out;
}

}  // namespace

class DiscoveryAgent::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(DiscoveryAgent& owner, tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), timer_(owner.world_.io), late_(owner.world_.io) {
    Error ignored;
    peer_ = socket_.remote_endpoint(ignored);
    relay_ = owner.world_.relay_of(peer_);
    socket_.set_option(tcp::no_delay(true), ignored);
  }

  void read() {
    parser_.emplace();
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](const Error& error, size_t) {
      error ? self->end() : self->call();
    });
  }

  bool watching() const { return watching_; }

  // A change is listed: heard after a while.
  void changed(const Change& change, double late) {
    if (silent_) return;
    pending_.push_back({owner_->world_.now() + late, change});
    if (pending_.size() == 1) wait_for_change();
  }

  void end() {
    if (owner_ == nullptr) return;
    const auto self = shared_from_this();
    DiscoveryAgent& owner = *std::exchange(owner_, nullptr);
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
    late_.cancel();
    owner.open_.remove(self);
  }

  void disown() { owner_ = nullptr; }

  int relay() const { return relay_; }
  std::vector<Change> silence() {
    silent_ = true;
    timer_.cancel();
    late_.cancel();
    std::vector<Change> out;
    for (const auto& [at, change] : std::exchange(pending_, {})) out.push_back(change);
    return out;
  }

 private:
  void call() {
    if (owner_ == nullptr) return;
    const auto& request = parser_->get();
    const std::string_view target(request.target().data(), request.target().size());
    if (request.method() == http::verb::post && target == "/v2/finals") return finals(request.body());
    if (request.method() != http::verb::get || !target.starts_with("/api/targets")) return answer(404, "");
    ++owner_->calls_.all;
    const double at = owner_->turn();
    const double latest = owner_->world_.now() + owner_->world_.scenario.discovery_give_up_s;
    timer_.expires_at(owner_->world_.point(std::min(at, latest)));
    const bool stream = target.find("stream=1") != std::string_view::npos;
    timer_.async_wait([self = shared_from_this(), stream, given_up = at > latest,
                       index = index_of(target)](const Error& error) {
      if (error || self->owner_ == nullptr) return;
      const bool fails = given_up || self->owner_->down_;
      self->owner_->calls_.failed += fails ? 1 : 0;
      if (fails) return self->answer(503, "");
      stream ? self->watch(index) : self->whole();
    });
  }

  void whole() {
    tell_all();
    note_heard(owner_->revision_);
    answer(200, text(owner_->list(relay_)));
  }

  void tell_all() {
    for (size_t p = 0; p < owner_->entries_.size(); ++p) note_told(p, owner_->entries_[p].phase);
  }

  // What is written to a process that has gone is told to nobody.
  void note_told(size_t place, const std::string& phase) {
    if (relay_ < 0 || !owner_->world_.to_discovery(relay_).open_at_caller(peer_)) return;
    const auto& where = owner_->world_.places()[place];
    owner_->world_.note({0, What::kTold, relay_, where.receiver, where.endpoint, -1, 0, 0, phase});
  }

  void note_heard(int revision) {
    if (relay_ < 0 || !owner_->world_.to_discovery(relay_).open_at_caller(peer_)) return;
    owner_->world_.note({0, What::kHeard, relay_, -1, -1, -1, static_cast<double>(revision), 0, ""});
  }

  void finals(const std::string& body) {
    std::vector<std::pair<int, json>> told;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
      const json notice = json::parse(line, nullptr, false);
      if (notice.is_discarded() || !notice.contains("id") || !notice.contains("state"))
        return answer(400, "");
      told.emplace_back(owner_->world_.find(notice["id"].get<std::string>()), notice);
    }
    for (const auto& [message, notice] : told) {
      if (message < 0) continue;
      owner_->world_.note({0, What::kNotice, relay_, -1, -1, message, notice.value("after_ms", 0.0) / 1000, 0,
                           notice["state"].get<std::string>()});
    }
    answer(204, "");
  }

  void answer(unsigned status, const std::string& body) {
    http::response<http::string_body> response;
    response.version(11);
    response.result(status);
    response.body() = body;
    response.prepare_payload();
    std::ostringstream text;
    text << response;
    response_ = status < 300 ? owner_->world_.extra_bytes.with_extra(text.str()) : text.str();
    boost::asio::async_write(
        socket_, boost::asio::buffer(response_),
        [self = shared_from_this()](const Error& error, size_t) { error ? self->end() : self->read(); });
  }

  // As the scenario wants it written. All forms are the same JSON.
  std::string text(const json& list) const {
    const std::string& form = owner_->world_.scenario.discovery_form;
    if (form == "line") return list.dump();
    std::string out = list.dump(1);
    if (form != "spaced") return out;
    for (size_t at = 0; (at = out.find('\n', at)) != std::string::npos; at += kBlank.size() + 1)
      out.insert(at, kBlank);
    return out;
  }

  std::string chunks(const json& list) const {
    const std::string all = text(list) + "\n";
    if (owner_->world_.scenario.discovery_form != "pieces") return chunk(all);
    std::string out;
    for (size_t at = 0; at < all.size(); at += kPiece) out += chunk(all.substr(at, kPiece));
    return out;
  }

  void watch(int index) {
    watching_ = true;
    owner_->silent_.erase(relay_);
    std::string head =
        "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n";
    json line = {{"revision", owner_->revision_}, {"complete", false}, {"members", json::array()}};
    const bool known = index >= 1 && index <= owner_->revision_;
    if (known) {
      for (const Change& change : owner_->changes_) {
        if (change.revision <= index) continue;
        line["members"].push_back(owner_->member(relay_, change.place, change.phase, change.up_since_ms));
        note_told(change.place, change.phase);
      }
    } else {
      line = owner_->list(relay_);
      tell_all();
    }
    note_heard(owner_->revision_);
    write(head + chunks(line));
    quiet();
  }

  static std::string chunk(const std::string& text) {
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
  }

  void quiet() {
    timer_.expires_after(std::chrono::milliseconds(static_cast<int>(kQuiet * 1000)));
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (error || self->owner_ == nullptr || self->silent_) return;
      self->write(chunk("\n"));
      self->quiet();
    });
  }

  void wait_for_change() {
    late_.expires_at(owner_->world_.point(pending_.front().first));
    late_.async_wait([self = shared_from_this()](const Error& error) {
      if (error || self->owner_ == nullptr || self->silent_) return;
      const Change change = self->pending_.front().second;
      self->pending_.erase(self->pending_.begin());
      json line = {{"revision", change.revision}, {"complete", false}, {"members", json::array()}};
      line["members"].push_back(
          self->owner_->member(self->relay_, change.place, change.phase, change.up_since_ms));
      self->note_told(change.place, change.phase);
      self->note_heard(change.revision);
      const bool twice = self->owner_->world_.extra_bytes.tells_twice();
      self->write(self->chunks(line) + (twice ? self->chunks(line) : ""));
      if (!self->pending_.empty()) self->wait_for_change();
    });
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

  DiscoveryAgent* owner_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer late_;
  tcp::endpoint peer_;
  int relay_ = -1;
  bool watching_ = false;
  bool silent_ = false;
  std::vector<std::pair<double, Change>> pending_;
  std::string queue_;
  std::string writing_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string response_;
};

DiscoveryAgent::DiscoveryAgent(SimulatedFleet& world)
    : world_(world),
      acceptor_(world.io, world.discovery_address()),
      entries_(world.places().size()),
      random_(world.plan.seed, 77) {
  accept();
}

DiscoveryAgent::~DiscoveryAgent() {
  for (const auto& session : open_) session->disown();
}

void DiscoveryAgent::accept() {
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (!error) {
      open_.push_back(std::make_shared<Session>(*this, std::move(socket)));
      open_.back()->read();
    }
    accept();
  });
}

double DiscoveryAgent::turn() {
  busy_until_ = std::max(busy_until_, world_.now()) + world_.scenario.discovery_call_ms / 1000;
  return busy_until_;
}

json DiscoveryAgent::member(int relay, size_t place, const std::string& phase, int64_t up_since_ms) const {
  const auto& where = world_.places()[place];
  const ReceiverPlan& receiver = world_.plan.receivers[static_cast<size_t>(where.receiver)];
  const EndpointPlan& endpoint = receiver.endpoints[static_cast<size_t>(where.endpoint)];
  const double weight = receiver.limit > 0 ? receiver.limit : receiver.capacity;
  // The registry's mirror is no relay: it has no links of its own.
  const auto& address = relay < 0 ? world_.endpoint_address(place) : world_.to_endpoint_address(relay, place);
  return {{"id", endpoint.id},
          {"host_port", net::text_of(address)},
          {"locality", world_.scenario.zones[static_cast<size_t>(endpoint.zone)]},
          {"flavor", world_.scenario.kinds[static_cast<size_t>(receiver.kind)].name},
          {"cell", receiver.number},
          {"phase", phase},
          {"size", weight},
          {"up_since_ms", up_since_ms}};
}

json DiscoveryAgent::list(int relay) const {
  json out = {{"revision", revision_}, {"complete", true}, {"members", json::array()}};
  for (size_t p = 0; p < entries_.size(); ++p) {
    if (entries_[p].phase == "left") continue;
    out["members"].push_back(member(relay, p, entries_[p].phase, entries_[p].up_since_ms));
  }
  return out;
}

void DiscoveryAgent::told_at_start(int relay) {
  for (size_t p = 0; p < entries_.size(); ++p) {
    const auto& where = world_.places()[p];
    world_.note({0, What::kTold, relay, where.receiver, where.endpoint, -1, 0, 0, entries_[p].phase});
  }
}

void DiscoveryAgent::set(size_t place, const std::string& phase) {
  Entry& entry = entries_[place];
  if (entry.phase == phase) return;
  if (entry.phase == "left") entry.up_since_ms = net::wall_now() / 1000;
  entry.phase = phase;
  entry.revision = ++revision_;
  changes_.push_back({revision_, place, phase, entry.up_since_ms});
  world_.note({0, What::kListed, -1, -1, -1, -1, static_cast<double>(revision_), 0, ""});
  const net::Range& late = world_.scenario.discovery_late_s;
  const double after = random_.between(late.low, late.high);
  for (const auto& session : open_) {
    if (session->watching()) session->changed(changes_.back(), after);
  }
  for (const auto& [relay, since] : silent_) {
    count_as_told(relay, changes_.back(), std::max(world_.now() + after, since + kMostSilent));
  }
}

void DiscoveryAgent::count_as_told(int relay, const Change& change, double at) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(world_.io);
  timer->expires_at(world_.point(at));
  timer->async_wait([this, timer, relay, change](const Error& error) {
    if (error || !silent_.contains(relay)) return;  // else a new watch has told it
    const auto& where = world_.places()[change.place];
    world_.note({0, What::kTold, relay, where.receiver, where.endpoint, -1, 0, 0, change.phase});
  });
}

void DiscoveryAgent::silence(int relay) {
  bool any = false;
  for (const auto& session : open_) {
    if (!session->watching() || session->relay() != relay) continue;
    any = true;
    for (const Change& missed : session->silence()) {
      count_as_told(relay, missed, world_.now() + kMostSilent);
    }
  }
  if (any) silent_.try_emplace(relay, world_.now());
}

int DiscoveryAgent::reached(const View& view) const {
  int out = revision_;
  for (size_t p = 0; p < entries_.size(); ++p) {
    const Entry& entry = entries_[p];
    const auto it = view.find(p);
    const bool same =
        it == view.end() ? entry.phase == "left" : it->second == std::pair(entry.phase, entry.up_since_ms);
    if (!same) out = std::min(out, entry.revision - 1);
  }
  return out;
}

void DiscoveryAgent::down(bool out) {
  down_ = out;
  if (!out) return;
  for (const auto& session : std::list(open_)) {
    if (session->watching()) session->end();
  }
}

}  // namespace turntally::lab
