#include "registry/replica.h"

#include <uv.h>

// Its headers are plain C. What they include comes first, outside of the braces.
extern "C" {
#include <raft.h>
#include <raft/uv.h>
}

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

#include "net/random.h"
#include "registry/command_codec.h"

namespace turntally::registry {
namespace {

constexpr uint64_t kPollMs = 20;  // how often the standing is looked at
constexpr unsigned kConnectRetryMs = 200;
constexpr auto kReopenPause = std::chrono::milliseconds(500);
constexpr uint64_t kLastWritesMs = 5000;  // what the disk has at the end is waited for so long
constexpr size_t kKeptHashes = 8;

// libraft's functions have the names of their requests.
using ApplyRequest = struct raft_apply;
using BarrierRequest = struct raft_barrier;
using TransferRequest = struct raft_transfer;

// libraft reads back what it wrote in steps of 8 bytes; CBOR says itself where it ends. `base` is null where
// there is no memory.
raft_buffer buffer_of(const std::string& bytes) {
  const size_t size = (bytes.size() + 7) / 8 * 8;
  raft_buffer out{raft_calloc(1, size), size};
  if (out.base != nullptr) std::memcpy(out.base, bytes.data(), bytes.size());
  return out;
}

std::string text_of(int code, const char* more) {
  std::string out = raft_strerror(code);
  if (more != nullptr && *more != 0) out += std::string(": ") + more;
  return out;
}

}  // namespace

const char* role_name(RaftStatus::Role role) {
  switch (role) {
    case RaftStatus::Role::kFollower:
      return "follower";
    case RaftStatus::Role::kCandidate:
      return "candidate";
    case RaftStatus::Role::kLeader:
      return "leader";
    case RaftStatus::Role::kDown:
      break;
  }
  return "down";
}

// What the two threads share: the queue in, guarded; the way out is the caller's io_context.
class Replica::Loop : public std::enable_shared_from_this<Loop> {
 public:
  struct Task {
    enum class Kind { kPropose, kBarrier, kAdd, kPromote, kRemove, kTransfer };
    Kind kind = Kind::kPropose;
    uint64_t ticket = 0;
    Command command;
    uint64_t id = 0;
    std::string address;
  };

  Loop(boost::asio::io_context& io, ReplicaSettings settings, Listener listener)
      : io_(io), settings_(std::move(settings)), listener_(std::move(listener)) {}

  void start() { thread_ = std::thread(&Loop::run, this); }
  void stop();
  void add(Task task, Done done);  // in the caller's thread

 private:
  class Log;

  // In the loop's thread from here on.
  void run();
  void say(std::function<void(Loop&)> what) {
    boost::asio::post(io_, [weak = weak_from_this(), what = std::move(what)] {
      const auto self = weak.lock();
      if (self && !self->stopped_) what(*self);
    });
  }
  void answer(uint64_t ticket, ProposalResult result) {
    say([ticket, result = std::move(result)](Loop& self) {
      const auto it = self.waiting_.find(ticket);
      if (it == self.waiting_.end()) return;
      const Done done = std::move(it->second);
      self.waiting_.erase(it);
      done(result);
    });
  }

  boost::asio::io_context& io_;
  const ReplicaSettings settings_;
  const Listener listener_;
  std::thread thread_;

  // The caller's thread.
  bool stopped_ = false;
  uint64_t tickets_ = 0;
  std::map<uint64_t, Done> waiting_;

  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Task> tasks_;
  bool stopping_ = false;
  Log* log_ = nullptr;  // while one is open

  RaftStatus told_;
};

// The log while it is open: libraft's objects on a loop of their own.
class Replica::Loop::Log {
 public:
  explicit Log(Loop& owner) : owner_(owner), state_(owner.settings_.limits) {}
  // Runs until it is stopped or fails; returns why, or nothing.
  std::string run();
  void wake() { uv_async_send(&async_); }  // any thread

 private:
  int open();
  void poll();
  void close(const std::string& why);
  template <typename Request>
  int send(uint64_t ticket, const std::function<int(Request*)>& call);
  template <typename Request>
  static void ended(Request* request, int status);
  ProposalResult result_of(int status);
  void carry_out(Task& task);
  void change(Task& task, const std::function<int(raft_change*, raft_change_cb)>& what);
  int apply(const raft_buffer& buffer);
  void tell_restored();

  Loop& owner_;
  State state_;
  ApplyResult answer_;  // of the entry applied last
  bool restored_ = false;
  std::map<uint64_t, uint64_t> hashes_;  // of the state, by index
  bool changing_ = false;                // one change of the members at a time

  uv_loop_t loop_{};
  uv_async_t async_{};
  uv_timer_t timer_{};
  raft_uv_transport transport_{};
  raft_io io_{};
  raft_fsm fsm_{};
  raft raft_{};
  bool ready_ = false;  // raft_init has been called
  bool closing_ = false;
  uint64_t close_by_ = 0;  // the loop's time
  std::string why_;

  // libraft does not say when its disk has failed: what it calls is looked at on the way.
  static thread_local Log* here_;
  int (*append_)(raft_io*, raft_io_append*, const raft_entry[], unsigned, raft_io_append_cb) = nullptr;
  int (*connect_)(raft_uv_transport*, raft_uv_connect*, raft_id, const char*, raft_uv_connect_cb) = nullptr;
  std::unordered_map<raft_io_append*, std::pair<raft_io_append_cb, bool>> appends_;  // bool: as the leader
};

thread_local Replica::Loop::Log* Replica::Loop::Log::here_ = nullptr;

int Replica::Loop::Log::open() {
  const ReplicaSettings& s = owner_.settings_;
  int rv = raft_uv_tcp_init(&transport_, &loop_);
  if (rv != 0) return rv;
  if (!s.listen.empty()) rv = raft_uv_tcp_set_bind_address(&transport_, s.listen.c_str());
  if (rv != 0) return rv;
  connect_ = transport_.connect;
  transport_.connect = [](raft_uv_transport* t, raft_uv_connect* request, raft_id id, const char* address,
                          raft_uv_connect_cb cb) {
    const auto& dial = here_->owner_.settings_.dial_overrides;
    const auto it = dial.find(address);
    return here_->connect_(t, request, id, it == dial.end() ? address : it->second.c_str(), cb);
  };
  rv = raft_uv_init(&io_, &loop_, s.folder.c_str(), &transport_);
  if (rv != 0) return rv;
  raft_uv_set_connect_retry_delay(&io_, kConnectRetryMs);
  append_ = io_.append;
  io_.append = [](raft_io* io, raft_io_append* request, const raft_entry entries[], unsigned n,
                  raft_io_append_cb cb) {
    here_->appends_[request] = {cb, raft_state(&here_->raft_) == RAFT_LEADER};
    const int failed = here_->append_(io, request, entries, n, [](raft_io_append* done, int status) {
      const auto [then, leads] = here_->appends_.extract(done).mapped();
      if (status != 0 && status != RAFT_CANCELED) here_->close(text_of(status, here_->io_.errmsg));
      // A leader of libraft 0.15 that hears of a write that failed may look for its requests where there are
      // none any more, and ends in a segmentation fault. It does not hear of it: the log is closed, which
      // ends those requests too. What it held for the write, a few kilobytes, is lost until the process ends.
      if (status == 0 || !leads) then(done, status);
    });
    if (failed != 0) {
      here_->appends_.erase(request);
      here_->close(text_of(failed, io->errmsg));
    }
    return failed;
  };
  fsm_.version = 1;
  fsm_.data = this;
  fsm_.apply = [](raft_fsm* fsm, const raft_buffer* buffer, void** result) {
    *result = nullptr;
    return static_cast<Log*>(fsm->data)->apply(*buffer);
  };
  fsm_.snapshot = [](raft_fsm* fsm, raft_buffer* buffers[], unsigned* n) {
    *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    if (*buffers == nullptr) return RAFT_NOMEM;
    **buffers = buffer_of(static_cast<Log*>(fsm->data)->state_.snapshot());
    if ((*buffers)->base == nullptr) return RAFT_NOMEM;
    *n = 1;
    return 0;
  };
  fsm_.restore = [](raft_fsm* fsm, raft_buffer* buffer) {
    Log& self = *static_cast<Log*>(fsm->data);
    try {
      self.state_ = State::restore(std::string(static_cast<const char*>(buffer->base), buffer->len));
    } catch (const std::exception& error) {
      self.owner_.say([text = std::string("a snapshot cannot be read: ") + error.what()](Loop& loop) {
        loop.listener_.diverged(text);
      });
      return RAFT_MALFORMED;
    }
    raft_free(buffer->base);
    self.restored_ = true;
    return 0;
  };
  rv = raft_init(&raft_, &io_, &fsm_, s.id, s.address.c_str());
  if (rv != 0) return rv;
  ready_ = true;
  raft_set_election_timeout(&raft_, s.election_ms);
  raft_set_heartbeat_timeout(&raft_, s.heartbeat_ms);
  raft_set_snapshot_threshold(&raft_, s.snapshot_threshold);
  raft_set_snapshot_trailing(&raft_, s.snapshot_trailing);
  raft_set_pre_vote(&raft_, true);
  if (!s.bootstrap_members.empty()) {
    raft_configuration members;
    raft_configuration_init(&members);
    for (const Peer& peer : s.bootstrap_members) {
      rv = rv != 0 ? rv : raft_configuration_add(&members, peer.id, peer.address.c_str(), RAFT_VOTER);
    }
    if (rv == 0) rv = raft_bootstrap(&raft_, &members);
    raft_configuration_close(&members);
    if (rv != 0 && rv != RAFT_CANTBOOTSTRAP) return rv;  // there is a log already
  }
  return raft_start(&raft_);
}

std::string Replica::Loop::Log::run() {
  here_ = this;
  uv_loop_init(&loop_);
  async_.data = timer_.data = this;
  uv_async_init(&loop_, &async_, [](uv_async_t* async) { static_cast<Log*>(async->data)->poll(); });
  uv_timer_init(&loop_, &timer_);
  const int failed = open();
  if (failed != 0) {
    close(text_of(failed, ready_               ? raft_errmsg(&raft_)
                          : io_.errmsg[0] != 0 ? io_.errmsg
                                               : transport_.errmsg));
  } else {
    {
      const std::lock_guard lock(owner_.mutex_);
      owner_.log_ = this;
    }
    uv_timer_start(
        &timer_, [](uv_timer_t* timer) { static_cast<Log*>(timer->data)->poll(); }, 0, kPollMs);
  }
  uv_run(&loop_, UV_RUN_DEFAULT);
  if (ready_) raft_uv_close(&io_);
  raft_uv_tcp_close(&transport_);
  uv_loop_close(&loop_);
  here_ = nullptr;
  return why_;
}

void Replica::Loop::Log::close(const std::string& why) {
  if (closing_) return;
  closing_ = true;
  why_ = why;
  {
    const std::lock_guard lock(owner_.mutex_);
    owner_.log_ = nullptr;
  }
  uv_close(reinterpret_cast<uv_handle_t*>(&async_), nullptr);
  uv_timer_stop(&timer_);
  // Not from within a callback of libraft's own: closing frees what it stands on. At an orderly end the disk
  // first gets through what it has: a leader's write that closing cancels is lost as one that failed is.
  close_by_ = uv_now(&loop_) + (why.empty() ? kLastWritesMs : 0);
  uv_timer_start(
      &timer_,
      [](uv_timer_t* timer) {
        Log& self = *static_cast<Log*>(timer->data);
        if (!self.appends_.empty() && uv_now(&self.loop_) < self.close_by_) return;  // called again
        uv_close(reinterpret_cast<uv_handle_t*>(timer), nullptr);
        if (self.ready_) raft_close(&self.raft_, nullptr);
      },
      0, 1);
}

void Replica::Loop::Log::poll() {
  if (closing_) return;
  tell_restored();
  std::deque<Task> tasks;
  bool stopping = false;
  {
    const std::lock_guard lock(owner_.mutex_);
    tasks.swap(owner_.tasks_);
    stopping = owner_.stopping_;
  }
  for (Task& task : tasks) carry_out(task);
  if (stopping) return close("");
  RaftStatus now;
  const int role = raft_state(&raft_);
  if (role == RAFT_UNAVAILABLE) return close(text_of(RAFT_IOERR, raft_errmsg(&raft_)));
  now.role = role == RAFT_LEADER     ? RaftStatus::Role::kLeader
             : role == RAFT_FOLLOWER ? RaftStatus::Role::kFollower
                                     : RaftStatus::Role::kCandidate;
  raft_id leader = 0;
  const char* address = nullptr;
  raft_leader(&raft_, &leader, &address);
  now.leader = leader;
  now.term = raft_.current_term;
  now.last_index = raft_last_index(&raft_);
  now.applied_index = raft_last_applied(&raft_);
  for (unsigned i = 0; i < raft_.configuration.n; ++i) {
    const raft_server& server = raft_.configuration.servers[i];
    now.members.push_back({server.id, server.address, server.role == RAFT_VOTER});
  }
  if (now == owner_.told_) return;
  owner_.told_ = now;
  owner_.say([now](Loop& loop) { loop.listener_.status_changed(now); });
}

void Replica::Loop::Log::tell_restored() {
  if (!std::exchange(restored_, false)) return;
  owner_.say([index = raft_last_applied(&raft_), state = state_](Loop& loop) {
    loop.listener_.restored(index, state);
  });
}

int Replica::Loop::Log::apply(const raft_buffer& buffer) {
  tell_restored();
  const uint64_t index = raft_last_applied(&raft_) + 1;
  Command command;
  try {
    command = decode(std::string(static_cast<const char*>(buffer.base), buffer.len));
  } catch (const std::exception& error) {
    owner_.say([text = "entry " + std::to_string(index) + " of the log cannot be read: " + error.what()](
                   Loop& loop) { loop.listener_.diverged(text); });
    return RAFT_MALFORMED;
  }
  if (command.kind == Command::Kind::kTick && !command.text.empty()) {
    const auto mine = hashes_.find(command.number);
    if (mine != hashes_.end() && net::hex(mine->second) != command.text) {
      owner_.say([text = "the state at entry " + std::to_string(command.number) + " has hash " +
                         net::hex(mine->second) + ", the leader's has " +
                         command.text](Loop& loop) { loop.listener_.diverged(text); });
    }
  }
  answer_ = state_.apply(index, command);
  if (index % owner_.settings_.hash_interval == 0) {
    hashes_[index] = state_.hash();
    if (hashes_.size() > kKeptHashes) hashes_.erase(hashes_.begin());
  }
  owner_.say([index, command = std::move(command), answer = answer_](Loop& loop) {
    loop.listener_.applied(index, command, answer);
  });
  return 0;
}

ProposalResult Replica::Loop::Log::result_of(int status) {
  switch (status) {
    case 0:
      return {ProposalOutcome::kDone, answer_, ""};
    case RAFT_NOTLEADER:
      return {ProposalOutcome::kNotLeader, {}, "this member does not lead"};
    case RAFT_CANTCHANGE:
    case RAFT_DUPLICATEID:
    case RAFT_DUPLICATEADDRESS:
    case RAFT_BADID:
    case RAFT_BADROLE:
    case RAFT_NOTFOUND:
      return {ProposalOutcome::kRefused, {}, raft_strerror(status)};
    default:
      return {ProposalOutcome::kUnknown, {}, raft_strerror(status)};
  }
}

// Makes a request to libraft, which either refuses it at once or calls ended() for it, once.
template <typename Request>
int Replica::Loop::Log::send(uint64_t ticket, const std::function<int(Request*)>& call) {
  auto* request = new Request{};
  request->data = new uint64_t(ticket);
  const int failed = call(request);
  if (failed != 0) ended(request, failed);
  return failed;
}

template <typename Request>
void Replica::Loop::Log::ended(Request* request, int status) {
  const std::unique_ptr<Request> owned(request);
  const std::unique_ptr<uint64_t> ticket(static_cast<uint64_t*>(request->data));
  here_->owner_.answer(*ticket, here_->result_of(status));
}

void Replica::Loop::Log::change(Task& task, const std::function<int(raft_change*, raft_change_cb)>& what) {
  if (changing_) {
    return owner_.answer(task.ticket,
                         {ProposalOutcome::kRefused, {}, "another change of the members is under way"});
  }
  changing_ = true;
  const int failed = send<raft_change>(task.ticket, [&](raft_change* request) {
    return what(request, [](raft_change* done, int status) {
      here_->changing_ = false;
      ended(done, status);
    });
  });
  if (failed != 0) changing_ = false;
}

void Replica::Loop::Log::carry_out(Task& task) {
  switch (task.kind) {
    case Task::Kind::kPropose: {
      if (task.command.kind == Command::Kind::kTick && task.command.text.empty() && !hashes_.empty()) {
        task.command.number = hashes_.rbegin()->first;
        task.command.text = net::hex(hashes_.rbegin()->second);
      }
      raft_buffer buffer = buffer_of(encode(task.command));
      if (buffer.base == nullptr)
        return owner_.answer(task.ticket, {ProposalOutcome::kRefused, {}, "no memory"});
      const int failed = send<ApplyRequest>(task.ticket, [&](ApplyRequest* request) {
        return ::raft_apply(&raft_, request, &buffer, 1,
                            [](ApplyRequest* done, int status, void*) { ended(done, status); });
      });
      if (failed != 0) raft_free(buffer.base);
      return;
    }
    case Task::Kind::kBarrier:
      send<BarrierRequest>(task.ticket, [&](BarrierRequest* request) {
        return ::raft_barrier(&raft_, request, [](BarrierRequest* done, int status) { ended(done, status); });
      });
      return;
    case Task::Kind::kAdd:
      return change(task, [&](raft_change* request, raft_change_cb cb) {
        return raft_add(&raft_, request, task.id, task.address.c_str(), cb);
      });
    case Task::Kind::kPromote:
      return change(task, [&](raft_change* request, raft_change_cb cb) {
        return raft_assign(&raft_, request, task.id, RAFT_VOTER, cb);
      });
    case Task::Kind::kRemove:
      return change(task, [&](raft_change* request, raft_change_cb cb) {
        return raft_remove(&raft_, request, task.id, cb);
      });
    case Task::Kind::kTransfer:
      send<TransferRequest>(task.ticket, [&](TransferRequest* request) {
        return ::raft_transfer(&raft_, request, task.id, [](TransferRequest* done) { ended(done, 0); });
      });
      return;
  }
}

void Replica::Loop::run() {
  for (;;) {
    std::string why;
    {
      Log log(*this);
      why = log.run();
    }
    told_ = {};
    std::unique_lock lock(mutex_);
    for (const Task& task : std::exchange(tasks_, {})) {
      answer(task.ticket, {ProposalOutcome::kRefused, {}, "the log is closed: " + why});
    }
    if (stopping_) return;
    say([why](Loop& loop) {
      for (const auto& [ticket, done] : std::exchange(loop.waiting_, {}))
        done({ProposalOutcome::kUnknown, {}, why});
      loop.listener_.status_changed({});
      loop.listener_.log_closed(why);
    });
    wake_.wait_for(lock, kReopenPause, [this] { return stopping_; });
    if (stopping_) return;
  }
}

void Replica::Loop::stop() {
  stopped_ = true;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    if (log_ != nullptr) log_->wake();
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
  waiting_.clear();
}

void Replica::Loop::add(Task task, Done done) {
  task.ticket = ++tickets_;
  waiting_[task.ticket] = std::move(done);
  const std::lock_guard lock(mutex_);
  if (log_ == nullptr) {
    answer(task.ticket, {ProposalOutcome::kRefused, {}, "the log is closed"});
    return;
  }
  tasks_.push_back(std::move(task));
  if (tasks_.size() == 1) log_->wake();
}

Replica::Replica(boost::asio::io_context& io, ReplicaSettings settings, Listener listener)
    : loop_(std::make_shared<Loop>(io, std::move(settings), std::move(listener))) {
  loop_->start();
}

Replica::~Replica() { loop_->stop(); }

void Replica::propose(const Command& command, Done done) {
  loop_->add({Loop::Task::Kind::kPropose, 0, command, 0, ""}, std::move(done));
}
void Replica::barrier(Done done) { loop_->add({Loop::Task::Kind::kBarrier, 0, {}, 0, ""}, std::move(done)); }
void Replica::add_member(uint64_t id, const std::string& address, Done done) {
  loop_->add({Loop::Task::Kind::kAdd, 0, {}, id, address}, std::move(done));
}
void Replica::promote_member(uint64_t id, Done done) {
  loop_->add({Loop::Task::Kind::kPromote, 0, {}, id, ""}, std::move(done));
}
void Replica::remove_member(uint64_t id, Done done) {
  loop_->add({Loop::Task::Kind::kRemove, 0, {}, id, ""}, std::move(done));
}
void Replica::transfer_leadership(uint64_t id, Done done) {
  loop_->add({Loop::Task::Kind::kTransfer, 0, {}, id, ""}, std::move(done));
}

}  // namespace turntally::registry
