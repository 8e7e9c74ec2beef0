#include "registry/raft_log.h"

#include <cstring>
#include <memory>
#include <utility>

#include "registry/command_codec.h"

namespace turntally::registry {
namespace {

constexpr uint64_t kPollMs = 20;  // interval of reading the status
constexpr unsigned kConnectRetryMs = 200;
constexpr uint64_t kFinalWritesMs = 5000;  // maximum wait for writes in flight at an orderly stop

// Names for libraft's request types, which have the names of its functions.
using ApplyRequest = struct raft_apply;
using BarrierRequest = struct raft_barrier;
using TransferRequest = struct raft_transfer;

// Copies `bytes` into a buffer padded to a multiple of 8 bytes, as libraft reads its data back in steps of 8;
// CBOR marks its own end. `base` is null if memory is exhausted.
raft_buffer to_buffer(const std::string& bytes) {
  const size_t size = (bytes.size() + 7) / 8 * 8;
  raft_buffer buffer{raft_calloc(1, size), size};
  if (buffer.base != nullptr) std::memcpy(buffer.base, bytes.data(), bytes.size());
  return buffer;
}

std::string to_bytes(const raft_buffer& buffer) {
  return {static_cast<const char*>(buffer.base), buffer.len};
}

std::string error_text(int code, const char* detail) {
  std::string text = raft_strerror(code);
  if (detail != nullptr && *detail != 0) text += std::string(": ") + detail;
  return text;
}

RaftStatus::Role to_role(int state) {
  if (state == RAFT_LEADER) return RaftStatus::Role::kLeader;
  if (state == RAFT_FOLLOWER) return RaftStatus::Role::kFollower;
  return RaftStatus::Role::kCandidate;
}

}  // namespace

thread_local RaftLog* RaftLog::current_ = nullptr;

RaftLog::RaftLog(RaftLoop& loop)
    : loop_(loop), state_(loop.settings().limits, loop.settings().hash_interval) {}

std::string RaftLog::run() {
  current_ = this;
  uv_loop_init(&uv_loop_);
  wake_.data = timer_.data = this;
  uv_async_init(&uv_loop_, &wake_, [](uv_async_t* wake) { static_cast<RaftLog*>(wake->data)->poll(); });
  uv_timer_init(&uv_loop_, &timer_);
  if (const int failed = open(); failed != 0) {
    close(open_error(failed));
  } else {
    loop_.set_open_log(this);
    uv_timer_start(
        &timer_, [](uv_timer_t* timer) { static_cast<RaftLog*>(timer->data)->poll(); }, 0, kPollMs);
  }
  uv_run(&uv_loop_, UV_RUN_DEFAULT);
  if (initialized_) raft_uv_close(&io_);
  raft_uv_tcp_close(&transport_);
  uv_loop_close(&uv_loop_);
  current_ = nullptr;
  return close_reason_;
}

int RaftLog::open() {
  if (const int failed = open_transport(); failed != 0) return failed;
  if (const int failed = open_storage(); failed != 0) return failed;
  set_state_machine();
  if (const int failed = open_raft(); failed != 0) return failed;
  if (const int failed = bootstrap(); failed != 0) return failed;
  return raft_start(&raft_);
}

int RaftLog::open_transport() {
  const std::string& address = loop_.settings().listen_address;
  int failed = raft_uv_tcp_init(&transport_, &uv_loop_);
  if (failed != 0) return failed;
  if (!address.empty()) failed = raft_uv_tcp_set_bind_address(&transport_, address.c_str());
  if (failed != 0) return failed;
  raft_connect_ = transport_.connect;
  transport_.connect = &RaftLog::connect;
  return 0;
}

int RaftLog::open_storage() {
  const int failed = raft_uv_init(&io_, &uv_loop_, loop_.settings().folder.c_str(), &transport_);
  if (failed != 0) return failed;
  raft_uv_set_connect_retry_delay(&io_, kConnectRetryMs);
  raft_append_ = io_.append;
  io_.append = &RaftLog::append;
  return 0;
}

void RaftLog::set_state_machine() {
  fsm_.version = 1;
  fsm_.data = this;
  fsm_.apply = [](raft_fsm* fsm, const raft_buffer* buffer, void** result) {
    *result = nullptr;
    return static_cast<RaftLog*>(fsm->data)->apply(*buffer);
  };
  fsm_.snapshot = &RaftLog::take_snapshot;
  fsm_.restore = &RaftLog::restore;
}

int RaftLog::open_raft() {
  const ReplicaSettings& settings = loop_.settings();
  const int failed = raft_init(&raft_, &io_, &fsm_, settings.id, settings.address.c_str());
  if (failed != 0) return failed;
  initialized_ = true;
  raft_set_election_timeout(&raft_, settings.election_ms);
  raft_set_heartbeat_timeout(&raft_, settings.heartbeat_ms);
  raft_set_snapshot_threshold(&raft_, settings.snapshot_threshold);
  raft_set_snapshot_trailing(&raft_, settings.snapshot_trailing);
  raft_set_pre_vote(&raft_, true);
  return 0;
}

int RaftLog::bootstrap() {
  const std::vector<Peer>& members = loop_.settings().bootstrap_members;
  if (members.empty()) return 0;
  int failed = 0;
  raft_configuration configuration;
  raft_configuration_init(&configuration);
  for (const Peer& peer : members) {
    if (failed != 0) break;
    failed = raft_configuration_add(&configuration, peer.id, peer.address.c_str(), RAFT_VOTER);
  }
  if (failed == 0) failed = raft_bootstrap(&raft_, &configuration);
  raft_configuration_close(&configuration);
  return failed == RAFT_CANTBOOTSTRAP ? 0 : failed;  // a log exists already
}

std::string RaftLog::open_error(int code) {
  if (initialized_) return error_text(code, raft_errmsg(&raft_));
  return error_text(code, io_.errmsg[0] != 0 ? io_.errmsg : transport_.errmsg);
}

int RaftLog::connect(raft_uv_transport* transport, raft_uv_connect* request, raft_id id, const char* address,
                     raft_uv_connect_cb callback) {
  const auto& overrides = current_->loop_.settings().dial_overrides;
  const auto it = overrides.find(address);
  const char* target = it == overrides.end() ? address : it->second.c_str();
  return current_->raft_connect_(transport, request, id, target, callback);
}

int RaftLog::append(raft_io* io, raft_io_append* request, const raft_entry entries[], unsigned count,
                    raft_io_append_cb callback) {
  RaftLog& self = *current_;
  self.appends_[request] = {callback, raft_state(&self.raft_) == RAFT_LEADER};
  const int failed = self.raft_append_(io, request, entries, count, &RaftLog::on_appended);
  if (failed != 0) {
    self.appends_.erase(request);
    self.close(error_text(failed, io->errmsg));
  }
  return failed;
}

void RaftLog::on_appended(raft_io_append* request, int status) {
  RaftLog& self = *current_;
  const Append append = self.appends_.extract(request).mapped();
  if (status != 0 && status != RAFT_CANCELED) self.close(error_text(status, self.io_.errmsg));
  // When a write of a leader fails, libraft 0.15 may look up requests that no longer exist and crash with a
  // segmentation fault. So a leader's callback is not called; closing the log ends its requests too. The
  // memory of that write, a few kilobytes, leaks until the process ends.
  if (status == 0 || !append.as_leader) append.callback(request, status);
}

int RaftLog::take_snapshot(raft_fsm* fsm, raft_buffer* buffers[], unsigned* count) {
  *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
  if (*buffers == nullptr) return RAFT_NOMEM;
  **buffers = to_buffer(static_cast<RaftLog*>(fsm->data)->state_.state().snapshot());
  if ((*buffers)->base == nullptr) return RAFT_NOMEM;
  *count = 1;
  return 0;
}

int RaftLog::restore(raft_fsm* fsm, raft_buffer* buffer) {
  RaftLog& self = *static_cast<RaftLog*>(fsm->data);
  try {
    self.state_.restore(to_bytes(*buffer));
  } catch (const std::exception& error) {
    self.report_divergence(std::string("cannot decode a snapshot: ") + error.what());
    return RAFT_MALFORMED;
  }
  raft_free(buffer->base);
  self.restored_ = true;
  return 0;
}

int RaftLog::apply(const raft_buffer& buffer) {
  publish_restored();
  const uint64_t index = raft_last_applied(&raft_) + 1;
  Command command;
  try {
    command = decode(to_bytes(buffer));
  } catch (const std::exception& error) {
    report_divergence("cannot decode log entry " + std::to_string(index) + ": " + error.what());
    return RAFT_MALFORMED;
  }
  if (const auto divergence = state_.find_divergence(command)) report_divergence(*divergence);
  state_.apply(index, command);
  loop_.notify([index, command = std::move(command), result = state_.last_result()](
                   const Replica::Listener& listener) { listener.applied(index, command, result); });
  return 0;
}

void RaftLog::publish_restored() {
  if (!std::exchange(restored_, false)) return;
  loop_.notify([index = raft_last_applied(&raft_), state = state_.state()](
                   const Replica::Listener& listener) { listener.restored(index, state); });
}

void RaftLog::report_divergence(const std::string& description) {
  loop_.notify([description](const Replica::Listener& listener) { listener.diverged(description); });
}

void RaftLog::poll() {
  if (closing_) return;
  publish_restored();
  RaftLoop::TaskBatch batch = loop_.take_tasks();
  for (RaftLoop::Task& task : batch.tasks) execute(task);
  if (batch.stopping) return close("");
  if (raft_state(&raft_) == RAFT_UNAVAILABLE) return close(error_text(RAFT_IOERR, raft_errmsg(&raft_)));
  loop_.publish_status(read_status());
}

RaftStatus RaftLog::read_status() {
  RaftStatus status;
  status.role = to_role(raft_state(&raft_));
  raft_id leader = 0;
  const char* address = nullptr;
  raft_leader(&raft_, &leader, &address);
  status.leader_id = leader;
  status.term = raft_.current_term;
  status.last_index = raft_last_index(&raft_);
  status.applied_index = raft_last_applied(&raft_);
  for (unsigned i = 0; i < raft_.configuration.n; ++i) {
    const raft_server& server = raft_.configuration.servers[i];
    status.members.push_back({server.id, server.address, server.role == RAFT_VOTER});
  }
  return status;
}

// Starts to close the log. The timer calls finish_close(), because closing within a callback of libraft would
// free objects that the callback still uses. At an orderly stop, writes in flight are finished first: a
// leader's write that closing cancels is lost like a failed one.
void RaftLog::close(const std::string& reason) {
  if (closing_) return;
  closing_ = true;
  close_reason_ = reason;
  loop_.set_open_log(nullptr);
  uv_close(reinterpret_cast<uv_handle_t*>(&wake_), nullptr);
  uv_timer_stop(&timer_);
  close_deadline_ = uv_now(&uv_loop_) + (reason.empty() ? kFinalWritesMs : 0);
  uv_timer_start(
      &timer_, [](uv_timer_t* timer) { static_cast<RaftLog*>(timer->data)->finish_close(); }, 0, 1);
}

void RaftLog::finish_close() {
  if (!appends_.empty() && uv_now(&uv_loop_) < close_deadline_) return;  // the timer calls this again
  uv_close(reinterpret_cast<uv_handle_t*>(&timer_), nullptr);
  if (initialized_) raft_close(&raft_, nullptr);
}

void RaftLog::execute(RaftLoop::Task& task) {
  using Kind = RaftLoop::Task::Kind;
  switch (task.kind) {
    case Kind::kPropose:
      return propose(task);
    case Kind::kBarrier:
      send<BarrierRequest>(task.ticket, [&](BarrierRequest* request) {
        return ::raft_barrier(&raft_, request, &RaftLog::on_completed<BarrierRequest>);
      });
      return;
    case Kind::kAddMember:
      return change_members(task, [&](raft_change* request, raft_change_cb callback) {
        return raft_add(&raft_, request, task.member_id, task.address.c_str(), callback);
      });
    case Kind::kPromoteMember:
      return change_members(task, [&](raft_change* request, raft_change_cb callback) {
        return raft_assign(&raft_, request, task.member_id, RAFT_VOTER, callback);
      });
    case Kind::kRemoveMember:
      return change_members(task, [&](raft_change* request, raft_change_cb callback) {
        return raft_remove(&raft_, request, task.member_id, callback);
      });
    case Kind::kTransferLeadership:
      send<TransferRequest>(task.ticket, [&](TransferRequest* request) {
        return ::raft_transfer(&raft_, request, task.member_id,
                               [](TransferRequest* done) { on_completed(done, 0); });
      });
      return;
  }
}

void RaftLog::propose(RaftLoop::Task& task) {
  state_.add_hash(task.command);
  raft_buffer buffer = to_buffer(encode(task.command));
  if (buffer.base == nullptr) {
    return loop_.complete(task.ticket, {ProposalOutcome::kRefused, {}, "no memory"});
  }
  const int failed = send<ApplyRequest>(task.ticket, [&](ApplyRequest* request) {
    return ::raft_apply(&raft_, request, &buffer, 1,
                        [](ApplyRequest* done, int status, void*) { on_completed(done, status); });
  });
  if (failed != 0) raft_free(buffer.base);
}

void RaftLog::change_members(const RaftLoop::Task& task,
                             const std::function<int(raft_change*, raft_change_cb)>& request_change) {
  if (change_in_flight_) {
    return loop_.complete(task.ticket,
                          {ProposalOutcome::kRefused, {}, "another change of the members is under way"});
  }
  change_in_flight_ = true;
  const int failed = send<raft_change>(task.ticket, [&](raft_change* request) {
    return request_change(request, [](raft_change* done, int status) {
      current_->change_in_flight_ = false;
      on_completed(done, status);
    });
  });
  if (failed != 0) change_in_flight_ = false;
}

// Sends a request, which libraft either refuses at once or completes exactly once.
template <typename Request>
int RaftLog::send(uint64_t ticket, const std::function<int(Request*)>& call) {
  auto* request = new Request{};
  request->data = new uint64_t(ticket);
  const int failed = call(request);
  if (failed != 0) on_completed(request, failed);
  return failed;
}

template <typename Request>
void RaftLog::on_completed(Request* request, int status) {
  const std::unique_ptr<Request> owned(request);
  const std::unique_ptr<uint64_t> ticket(static_cast<uint64_t*>(request->data));
  current_->loop_.complete(*ticket, current_->to_result(status));
}

ProposalResult RaftLog::to_result(int status) const {
  switch (status) {
    case 0:
      return {ProposalOutcome::kDone, state_.last_result(), ""};
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

}  // namespace turntally::registry
