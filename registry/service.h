// One member of the registry as a process has it: the list that this member knows, its HTTP address, its
// watches, its part in the log, and how it comes into that.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "net/clock.h"
#include "net/http.h"
#include "registry/config.h"
#include "registry/errors.h"
#include "registry/replica.h"
#include "registry/state.h"
#include "registry/watch_broadcaster.h"

namespace turntally::registry {

// An entry as clients write it. Throws std::invalid_argument with what is wrong; `id` may be missing from the
// JSON, where it must be `id`.
Entry entry_of(const nlohmann::json& json, const std::string& id);
nlohmann::json json_of(const Entry& entry);  // with TTL and revision

class Service {
 public:
  // Listens at once; throws std::exception. `fatal`: this member must end, and why.
  Service(boost::asio::io_context& io, Config config, std::function<void(const std::string&)> fatal);
  ~Service();

  const State& state() const { return state_; }

 private:
  class Join;
  struct Write;
  using Answer = std::shared_ptr<net::HttpAnswer>;

  void open(uint64_t id, bool found);
  void handle(const net::HttpRequest& request, const Answer& answer);
  void list(const net::HttpRequest& request, const Answer& answer);
  void write(const net::HttpRequest& request, const Answer& answer, Command command);
  void targets(const net::HttpRequest& request, const Answer& answer);
  void registrations(const net::HttpRequest& request, const Answer& answer);
  void members(const net::HttpRequest& request, const Answer& answer);
  void restore(const net::HttpRequest& request, const Answer& answer);
  void join(uint64_t number, const MemberAddress& address, const Answer& answer);
  void drop(uint64_t number, std::function<void(const ProposalResult&)> then);
  void at_leader(const net::HttpRequest& request, const Answer& answer,
                 const std::function<void()>& here);  // here, or says where
  void mirror(const net::HttpRequest& request, const Answer& answer);
  void leases(const net::HttpRequest& request, const Answer& answer);
  void read(const net::HttpRequest& request, const Answer& answer, std::function<void()> then);
  void barrier(std::function<void(const ProposalResult&)> then);
  void begin_barrier();

  void applied(uint64_t index, const Command& command, const registry::ApplyResult& answer);
  void standing(const RaftStatus& now);
  void tick();
  bool leads() const { return status_.role == RaftStatus::Role::kLeader; }
  Millis now_ms();                       // a reading of the log's clock, while this member leads
  int64_t heard_ms() const;              // since this member last heard from a majority; -1: never
  std::optional<Error> refusal() const;  // why no write can be taken here
  std::string http_of(uint64_t number) const;
  net::HttpReply head() const;
  net::HttpReply reply_of(const Command& command, const registry::ApplyResult& said) const;
  net::HttpReply lease_reply(const LeaseCommand& call, const LeaseResult& said, Revision revision) const;
  nlohmann::json status() const;
  std::string metrics() const;

  boost::asio::io_context& io_;
  Config config_;
  std::function<void(const std::string&)> fatal_;
  State state_;
  uint64_t index_ = 0;   // of the log, that state_ is at
  uint64_t id_ = 0;      // this member's in the log; 0: not in it yet
  std::string trouble_;  // why the log is closed
  RaftStatus status_;
  net::Time heard_ = 0;     // steady
  net::Time clock_us_ = 0;  // of the log, as this leader read it last,
  net::Time read_ = 0;      // and when, steady
  bool lead_told_ = false;  // the log has this leader's kLead
  size_t in_flight_ = 0;
  std::vector<std::function<void(const ProposalResult&)>> barrier_next_;
  bool barrier_out_ = false;
  boost::asio::steady_timer tick_;

  struct Figures {
    uint64_t writes = 0;
    uint64_t refused = 0;  // conflicts, and bad input
    uint64_t unknown = 0;  // writes whose fate was not known in time
    uint64_t redirected = 0;
    LeaseTable::Counts leases;  // as this member has applied the log
    uint64_t reads = 0;
    uint64_t consistent = 0;
    uint64_t leader_changes = 0;
    uint64_t compactions = 0;  // revisions by which the oldest that is kept has moved
    uint64_t reopened = 0;
    std::vector<uint64_t> commit_buckets;
    double commit_sum_s = 0;
  } figures_;

  std::unique_ptr<WatchBroadcaster> hub_;
  std::unique_ptr<net::HttpServer> server_;
  std::unique_ptr<Replica> replica_;
  std::shared_ptr<Join> join_;
};

}  // namespace turntally::registry
