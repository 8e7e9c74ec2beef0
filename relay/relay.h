// The relay: the only owner of the decision module. Collects what happens, lets the module decide once a turn
// of the event loop, and carries its decisions out.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "relay/clients.h"
#include "relay/config.h"
#include "relay/control.h"
#include "relay/delivery_terms.h"
#include "relay/directory.h"
#include "relay/discovery.h"
#include "relay/durable_clock.h"
#include "relay/fence.h"
#include "relay/handover.h"
#include "relay/journal.h"
#include "relay/message_ordering.h"
#include "relay/metrics.h"
#include "relay/upstream.h"

namespace turntally::relay {

class Relay {
 public:
  // Reads the journal, hears discovery if it answers, then opens the listener and says so. Throws
  // std::exception where it cannot serve.
  Relay(boost::asio::io_context& io, const Config& config,
        std::function<void(const tcp::endpoint&)> listening);

  // Takes the new configuration's discovery and settings over; the rest of it holds from the next start on.
  // Where it cannot be read, or something in it is missing or out of range, all stays as it was.
  void reload();

  // Planned end: serves a little longer, lets calls finish, and stops the event loop.
  void stop();

  // Where operators call, if anywhere.
  std::optional<tcp::endpoint> control_address() const;

 private:
  struct PendingMessage {
    SubmittedMessage handed;
    Time due = 0;
    int attempts = 0;
    bool accepted = false;  // its record is written
    int64_t rules = 0;      // what its class allowed when it came, by number; 0: not told
  };
  struct RecoveredMessage {  // a message of the process before
    policy::MessageArrived in;
    DeliveryTerms rules;
  };
  struct InheritedAttempt {  // a message whose call the process before still has out
    uint64_t number = 0;
    int attempt = 0;
    policy::MessageArrived::InFlightCall call;
    std::optional<RecoveredMessage> untold;  // its host is not listed any more: told once the call has ended
  };
  struct UnrecordedEnd {  // the disk did not take its record: told once it has, or when no process calls the
                          // message any more
    FinalAnswer notice;
    Time due = 0;
  };
  struct Pending {  // handed in during this turn, not yet decided on
    uint64_t number = 0;
    Clients::Answer answer;
  };

  Metrics metrics() const;
  OperatorReply suspend(const std::string& id, bool out);
  OperatorReply operate(const OperatorCall& call);
  void fence(const LeaseClaim& claim);
  void recall();
  void follow();
  void told_by_registry(const nlohmann::json& line);
  DeliveryTerms terms_of(const std::string& message_class, int64_t number) const;
  void forget_unused_terms();
  void arrive(const std::vector<RecoveredMessage>& messages);
  std::shared_ptr<policy::Settings> settings_told() const;
  int zone_of(const RecordedAttempt& sent) const;
  bool needs_hold(const policy::ClassSettings& terms, uint64_t ordering_key) const;
  bool is_next_in_order(const PendingMessage& held) const;
  std::optional<policy::AttemptEnded> cut_off(policy::MessageArrived& in) const;
  void open();
  void resume();
  void take_over();
  bool resume_away(RecoveredMessage& kept, InheritedAttempt& away);
  void on_predecessor_frame(std::optional<HandoverFrame> parcel);
  void away_ended(const std::string& id, policy::AttemptEnded end, bool began);
  void hand_over();
  void give_up_calls();
  void pass_on(const std::string& id, const policy::AttemptEnded& end, bool began);
  void remember(const policy::DestinationState& memory);
  void remember_host(const ListedHost& host);
  void forget_gone(const Endpoint& endpoint);
  void apply(const Config& next);
  int tenant_of(const std::string& name) const;
  void accept_message(SubmittedMessage handed, Clients::Answer answer);
  void on_endpoint_list(const HostList& list);
  bool may_start(const Call& call);
  void ended(const policy::AttemptEnded& end, bool began);
  void on_endpoint_idle(const Endpoint& endpoint);
  void queue_event(policy::Event event);
  void step();
  void answer_pending(const std::vector<policy::Action>& actions);
  void carry_out(const policy::Action& action);
  void join(Call call, int kind);
  void start_call(std::vector<Call> bundle);
  void finish(uint64_t number, std::optional<FinalAnswer> notice);
  void publish_outcome(UnrecordedEnd end);
  void record_ends();
  void arm();
  Time closing_at() const;
  void wait_for_end();
  std::pair<int, Endpoint> route_of(const policy::EndpointInfo& member) const;

  boost::asio::io_context& io_;
  Config config_;
  RetiredClasses retired_;
  Directory directory_;
  std::unique_ptr<Control> control_;  // before the folder is taken over: its address may not be free
  Handover handover_;
  bool handed_over_ = false;  // all but the calls that were out is another process's
  std::map<std::string, InheritedAttempt> inherited_attempts_;
  Descriptor listener_;  // of the process before
  Journal journal_;
  DurableClock clock_;  // of all times in the journal
  DeliveryTermsStore delivery_terms_;
  MessageOrdering ordering_;
  FencingTokens fences_;
  policy::Policy policy_;
  std::vector<policy::Event> events_;
  std::vector<Pending> pending_;
  bool step_posted_ = false;
  uint64_t last_number_ = 0;
  uint64_t last_over_ = 0;  // up to this number they were taken on under a greater cap; 0: none
  std::unordered_map<uint64_t, PendingMessage> pending_messages_;
  std::unordered_map<std::string, uint64_t> numbers_;
  std::map<std::pair<int, Endpoint>, Time> retry_after_until_;  // told waits: until when nothing goes there
  std::map<Endpoint, std::vector<Call>> joined_;  // what this turn sends to hosts that take bundles
  std::map<Endpoint, int> out_;                   // calls and probes out
  Time wake_ = 0;                                 // when the module wants to be asked again; 0: never
  Time armed_ = 0;                                // and for when the timer is set
  boost::asio::steady_timer wake_timer_;
  boost::asio::steady_timer stop_timer_;
  boost::asio::steady_timer record_timer_;
  std::vector<UnrecordedEnd> unrecorded_ends_;
  Time stopping_since_ = 0;  // 0: not stopping
  bool closed_ = false;      // clients were let go
  Notices notices_;
  Upstream upstream_;
  std::optional<Watch> watch_;                   // on discovery; or
  std::optional<registry::ListFollower> fleet_;  // on the registry
  std::string identity_;                         // of the registry's list; empty: the list is discovery's
  std::function<void(const tcp::endpoint&)> listening_;
  boost::asio::steady_timer open_timer_;
  std::optional<Clients> clients_;  // once what was taken on before is resumed
  bool draining_ = false;
  Metrics metrics_;  // what is counted here; the rest is looked up
};

}  // namespace turntally::relay
