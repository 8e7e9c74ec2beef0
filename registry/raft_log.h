// The replicated log while it is open: libraft's objects on a libuv loop of their own, with libraft's disk
// log and TCP transport. Owned by RaftLoop and used only on its thread; at most one exists per thread.
#pragma once

#include <uv.h>

// libraft's headers are plain C without `extern "C"`. The headers that they include must come before this
// block.
extern "C" {
#include <raft.h>
#include <raft/uv.h>
}

#include <functional>
#include <string>
#include <unordered_map>

#include "registry/raft_loop.h"
#include "registry/replicated_state.h"

namespace turntally::registry {

class RaftLog {
 public:
  explicit RaftLog(RaftLoop& loop);
  RaftLog(const RaftLog&) = delete;
  RaftLog& operator=(const RaftLog&) = delete;

  // Runs the log until it is stopped or fails. Returns the reason of the failure; empty after a stop.
  std::string run();
  void wake() { uv_async_send(&wake_); }  // may be called from any thread

 private:
  // A write to disk in flight.
  struct Append {
    raft_io_append_cb callback = nullptr;
    bool as_leader = false;
  };

  // These open the log. Each returns libraft's error code, 0 for success.
  int open();
  int open_transport();
  int open_storage();
  int open_raft();
  int bootstrap();
  void set_state_machine();
  std::string open_error(int code);

  static int connect(raft_uv_transport* transport, raft_uv_connect* request, raft_id id, const char* address,
                     raft_uv_connect_cb callback);
  static int append(raft_io* io, raft_io_append* request, const raft_entry entries[], unsigned count,
                    raft_io_append_cb callback);
  static void on_appended(raft_io_append* request, int status);

  // Callbacks of libraft's state machine.
  static int take_snapshot(raft_fsm* fsm, raft_buffer* buffers[], unsigned* count);
  static int restore(raft_fsm* fsm, raft_buffer* buffer);
  int apply(const raft_buffer& buffer);
  void publish_restored();
  void report_divergence(const std::string& description);

  void poll();
  RaftStatus read_status();
  void close(const std::string& reason);
  void finish_close();

  // Requests to libraft. Each is completed through its ticket.
  void execute(RaftLoop::Task& task);
  void propose(RaftLoop::Task& task);
  void change_members(const RaftLoop::Task& task,
                      const std::function<int(raft_change*, raft_change_cb)>& request_change);
  template <typename Request>
  int send(uint64_t ticket, const std::function<int(Request*)>& call);
  template <typename Request>
  static void on_completed(Request* request, int status);
  ProposalResult to_result(int status) const;

  // The log of this thread: libraft passes no user pointer to its callbacks.
  static thread_local RaftLog* current_;

  RaftLoop& loop_;
  ReplicatedState state_;
  bool restored_ = false;          // a restored snapshot has not been published yet
  bool change_in_flight_ = false;  // a change of the members is in flight; one at a time

  uv_loop_t uv_loop_{};
  uv_async_t wake_{};
  uv_timer_t timer_{};
  raft_uv_transport transport_{};
  raft_io io_{};
  raft_fsm fsm_{};
  raft raft_{};
  bool initialized_ = false;  // raft_init has been called
  bool closing_ = false;
  uint64_t close_deadline_ = 0;  // by the libuv loop's clock, in milliseconds
  std::string close_reason_;

  // libraft's own functions, whose calls are intercepted because libraft does not report a failed disk.
  decltype(raft_io::append) raft_append_ = nullptr;
  decltype(raft_uv_transport::connect) raft_connect_ = nullptr;
  std::unordered_map<raft_io_append*, Append> appends_;
};

}  // namespace turntally::registry
