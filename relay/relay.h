// The relay's core. It owns the policy library: it queues events, runs one policy step per turn of the event
// loop and carries out the actions that the step returns.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "relay/call_batches.h"
#include "relay/clients.h"
#include "relay/config.h"
#include "relay/connection_log.h"
#include "relay/control.h"
#include "relay/delivery_terms.h"
#include "relay/directory.h"
#include "relay/discovery.h"
#include "relay/durable_clock.h"
#include "relay/errors.h"
#include "relay/fence.h"
#include "relay/final_answer_publisher.h"
#include "relay/finished_messages.h"
#include "relay/handover.h"
#include "relay/handover_frames.h"
#include "relay/journal.h"
#include "relay/memory_limits.h"
#include "relay/memory_pool.h"
#include "relay/message_ordering.h"
#include "relay/metrics.h"
#include "relay/pending_messages.h"
#include "relay/persisted_state.h"
#include "relay/resource_monitor.h"
#include "relay/route_waits.h"
#include "relay/upstream.h"

namespace turntally::relay {

// Accepts messages from clients, journals them and has them delivered as the policy decides. Runs on the
// thread of the io_context.
// Times are in microseconds: of the steady clock in memory, of the DurableClock in the journal.
// Invariants: a message is accepted only once its record is in the journal, and a call starts only once the
// record of its attempt is there. After a handover the relay neither writes to the journal nor runs the
// policy.
// The methods are defined by concern: relay.cpp (lifecycle, reload, shutdown), relay_endpoints.cpp,
// relay_recovery.cpp, relay_submission.cpp, relay_dispatch.cpp, relay_handover.cpp, relay_operators.cpp.
class Relay {
 public:
  // Recovers from the journal and starts to follow discovery or the registry. Later, once a list has come or
  // discovery has not answered in time, opens the listener and calls `on_listening` with its address. Throws
  // std::exception if it cannot serve.
  Relay(boost::asio::io_context& io, const Config& config,
        std::function<void(const tcp::endpoint&)> on_listening);

  // Reads the configuration file again and applies its discovery address and its settings; the rest takes
  // effect at the next start. If the file is unreadable, or a key is missing or out of range, nothing
  // changes.
  void reload();

  // Starts a graceful shutdown: keeps serving for a short time, lets calls finish, then stops the event loop.
  void stop();

  // Returns why the event loop has ended, for the log.
  const char* end_reason() const;

  // Returns the address for operator requests, or nullopt if none is configured.
  std::optional<tcp::endpoint> control_address() const;

 private:
  // A message from the journal, with the terms under which it was accepted.
  struct RecoveredMessage {
    policy::MessageArrived arrival;
    DeliveryTerms terms;
  };

  // The events that recovery queues for the policy, in this order.
  struct Recovery {
    std::vector<RecoveredMessage> arrivals;
    std::vector<policy::AttemptEnded> ends;
  };

  // An attempt in a call that the predecessor still has in flight.
  struct InheritedAttempt {
    uint64_t message_number = 0;  // 0: the message is not recovered yet
    int attempt = 0;
    policy::MessageArrived::InFlightCall call;
    // Set if the endpoint is no longer listed: the policy receives the message once the call has ended.
    std::optional<RecoveredMessage> deferred;
  };

  // A submission of this turn on which the policy has not decided yet.
  struct Submission {
    uint64_t message_number = 0;
    Clients::AnswerHandler answer;
  };

  // Lifecycle, reload and shutdown: relay.cpp.
  void start_serving();
  bool open_listener();
  void apply_config(const Config& next);
  void note_excess_messages();
  std::shared_ptr<policy::Settings> policy_settings() const;
  Time call_end_deadline() const;
  void finish_clients();
  bool finish_answers(Time stop_age);
  void poll_shutdown();
  bool is_watching_for_successor() const;
  bool is_handover_complete() const;
  bool is_idle() const;

  // The list of endpoints: relay_endpoints.cpp.
  void follow_registry();
  void on_registry_list(const nlohmann::json& line);
  void on_endpoint_list(const EndpointList& list);
  void record_list(const std::vector<policy::EndpointInfo>& changed, const std::vector<std::string>& pruned);
  void append_endpoint_facts(const Endpoint& endpoint, std::vector<Fact>& facts) const;
  void forget_if_removed(const Endpoint& endpoint);
  void on_endpoint_idle(const Endpoint& endpoint);
  Route route_of(const policy::EndpointInfo& endpoint) const;

  // Recovery from the journal: relay_recovery.cpp.
  void recover_endpoints();
  void recover_fact(const std::string& name, const nlohmann::json& value);
  void recover_messages();
  void recover_finished_messages();
  void on_notice_taken(const std::string& id);
  void recover_ordering_holds(Recovery& recovery);
  void recover_final_answer(const JournaledMessage& entry);
  void recover_message(const JournaledMessage& entry, Recovery& recovery);
  InheritedAttempt* find_inherited(const JournaledMessage& entry);
  bool resume_inherited(RecoveredMessage& message, InheritedAttempt& inherited);
  std::optional<policy::AttemptEnded> add_interrupted_call(policy::MessageArrived& arrival) const;
  void queue_arrivals(const std::vector<RecoveredMessage>& messages);
  int zone_of(const RecordedAttempt& attempt) const;
  void recover_route(const std::string& endpoint_id, policy::RouteState state);
  void record_route(const policy::RouteState& state);
  void recover_slow_start(const std::string& endpoint_id, policy::EndpointSlowStartState slow_start);
  void log_route_change(const policy::LogRouteChange& change);
  void record_slow_start(const policy::EndpointSlowStartState& state);
  const ListedEndpoint* find_listed(const Endpoint& endpoint) const;

  // Submission, delivery terms and ordering of messages: relay_submission.cpp.
  void accept_message(SubmittedMessage message, Clients::AnswerHandler answer);
  std::optional<std::string> rejection_reply(const SubmittedMessage& message);
  bool answer_finished(const SubmittedMessage& message, const Clients::AnswerHandler& answer);
  bool has_message_memory(size_t body_bytes) const;
  void submit(SubmittedMessage message, Clients::AnswerHandler answer);
  void answer_submissions(const std::vector<policy::Action>& actions);
  std::string decide_submission(uint64_t number, const std::map<uint64_t, std::string>& rejections);
  DeliveryTerms terms_of(const PendingMessage& message) const;
  void forget_unused_terms();
  bool needs_hold(const policy::ClassSettings& terms, uint64_t ordering_key) const;
  bool is_next_in_order(const PendingMessage& message) const;
  bool awaits_deferred_message(uint64_t ordering_key) const;
  int tenant_index(const std::string& name) const;

  // Decisions and calls: relay_dispatch.cpp.
  void queue_event(policy::Event event);
  void step();
  void schedule_timer();
  void carry_out(const policy::Action& action);
  void send_attempt(const policy::SendAttempt& action);
  void report_attempt_not_started(const policy::SendAttempt& action, PendingMessage* message);
  void cancel_attempt(const policy::Cancel& action);
  void send_health_check(const policy::SendHealthCheck& action);
  void add_to_batch(AttemptRequest call, int kind);
  void start_call(std::vector<AttemptRequest> batch);
  bool may_start(const AttemptRequest& call);
  void on_attempt_ended(const policy::AttemptEnded& end, bool call_started);
  void apply_retry_after(const policy::AttemptEnded& end, const PendingMessage* message);
  void record_attempt_end(const policy::AttemptEnded& end, bool call_started, const PendingMessage& message);
  void finish_message(uint64_t number, std::optional<FinalAnswer> answer);

  // Handover from the predecessor and to the successor: relay_handover.cpp.
  void take_over();
  void take_listener(HandoverFrame frame);
  void take_call(const InFlightCallFrame& call);
  void listen_to_predecessor();
  void on_predecessor_frame(std::optional<HandoverFrame> frame);
  void take_client(HandoverFrame frame);
  void reject_frame(const HandoverFrameInvalid& error);
  void on_predecessor_disconnected();
  void on_inherited_attempt_ended(const std::string& id, policy::AttemptEnded end, bool call_started);
  void queue_deferred_arrival(const InheritedAttempt& inherited, const policy::AttemptEnded& end,
                              bool call_started);
  void hand_over();
  void release_handed_over();
  void send_in_flight_calls();
  void send_listener();
  void send_clients();
  void on_successor_frame(const std::optional<HandoverFrame>& frame);
  void on_watch_answered();
  void forward_list(const EndpointList& list);
  void take_list(const HandoverFrame& frame);
  void forward_attempt_end(const std::string& id, const policy::AttemptEnded& end, bool call_started);
  void cancel_all_calls();

  // Operator requests: relay_operators.cpp.
  OperatorResponse handle_operator_call(const OperatorRequest& call);
  OperatorResponse readiness() const;
  OperatorResponse set_draining(bool draining);
  OperatorResponse set_suspended(const std::string& id, bool suspended);
  void raise_fencing_token(const LeaseClaim& claim);
  Metrics metrics() const;
  std::map<std::string, size_t> held_bytes() const;
  std::string describe_held_memory() const;

  boost::asio::io_context& io_;
  Config config_;
  RetiredClasses retired_classes_;
  EndpointTable directory_;
  // Constructed before handover_, so that a taken address fails before the folder is taken over.
  std::unique_ptr<ControlServer> control_;
  Handover handover_;
  bool handed_over_ = false;  // the successor owns all but the calls in flight
  bool successor_is_watching_ = false;
  Time watch_for_successor_until_ = 0;
  std::map<std::string, InheritedAttempt> inherited_attempts_;  // by message id
  uint64_t inherited_calls_ = 0;
  Descriptor inherited_listener_;       // the predecessor's, until clients_ uses it
  std::string inherited_list_;          // the frames so far of a list that the predecessor passes on
  bool missed_inherited_list_ = false;  // one of the predecessor's lists could not be read
  Journal journal_;
  DurableClock clock_;  // for all times in the journal
  PersistedState persisted_state_;
  DeliveryTermsStore delivery_terms_;
  MessageOrdering ordering_;
  FencingTokens fencing_tokens_;
  policy::Policy policy_;
  std::vector<policy::Event> events_;
  std::vector<Submission> submissions_;
  bool step_posted_ = false;
  std::shared_ptr<MemoryPool> message_memory_;
  PendingMessages messages_;
  FinishedMessages finished_messages_;
  uint64_t last_excess_number_ = 0;  // last message accepted under a higher max_pending_messages; 0: none
  RouteWaits route_waits_;
  CallBatches batches_;
  std::map<Endpoint, int> in_flight_;  // attempts and health checks
  Time wake_at_ = 0;                   // time of the step that the policy asked for; 0: none
  Time timer_set_for_ = 0;             // expiry of wake_timer_; 0: not set
  boost::asio::steady_timer wake_timer_;
  boost::asio::steady_timer stop_timer_;
  Time stopping_since_ = 0;  // 0: not stopping
  bool clients_finished_ = false;
  NoticeSender notices_;
  FinalAnswerPublisher final_answers_;
  Upstream upstream_;
  std::optional<DiscoveryWatch> watch_;             // set if discovery sends the list
  std::optional<registry::ListFollower> follower_;  // set if the registry sends the list
  std::string list_identity_;                       // of the registry's list; empty: the list is discovery's
  std::function<void(const tcp::endpoint&)> on_listening_;
  boost::asio::steady_timer start_timer_;
  bool messages_recovered_ = false;  // recover_messages() has run
  Time listen_retry_deadline_ = 0;   // until then the predecessor may still hold the address
  std::shared_ptr<ConnectionLog> connection_log_ = std::make_shared<ConnectionLog>();
  ResourceMonitor resources_;
  std::shared_ptr<MemoryPool> command_memory_;
  std::optional<Clients> clients_;  // set once messages are recovered and the listener is open
  bool draining_ = false;
  Metrics metrics_;  // the relay's own counters; metrics() adds the rest
};

}  // namespace turntally::relay
