// Implements Policy: passes events to the components of the policy, combines their decisions and emits
// actions.
//
// The implementation is split over these files:
//   policy.cpp            the steps, and all events other than the end of an attempt
//   attempt_outcome.cpp   the end of an attempt
//   final_answers.cpp     messages that cannot be delivered, or are shed
//   dispatch.cpp          selection of the messages to send, and of their endpoints
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "policy/call_timeout.h"
#include "policy/calls_in_flight.h"
#include "policy/destination.h"
#include "policy/endpoint_directory.h"
#include "policy/endpoint_selector.h"
#include "policy/idle_connections.h"
#include "policy/list_watch.h"
#include "policy/load_report.h"
#include "policy/message.h"
#include "policy/message_ordering.h"
#include "policy/message_priority.h"
#include "policy/random.h"
#include "policy/route_persistence.h"
#include "policy/send_queue.h"
#include "policy/step_context.h"
#include "policy/tenant_quota.h"
#include "policy/time.h"
#include "policy/waiting_messages.h"
#include "turntally/policy.h"

namespace turntally::policy {

// Bounds of the random pause before a retry, or after an event that many relays see at the same time.
constexpr Time kMinRandomPause = 20 * kMillisecond;
constexpr Time kMaxRandomPause = 250 * kMillisecond;

class Policy::Impl {
 public:
  Impl(Settings settings, uint64_t seed);

  void step(Time now, std::span<const Event> events, std::vector<Action>& actions);
  size_t count_ejected_endpoints(Time now) const { return directory_.count_ejected(now); }

 private:
  struct StartedCall {
    uint64_t number = 0;
    Time connection_idle = 0;  // idle time of its connection before it was sent; 0: new or in use
  };

  // State of sending to one destination within a step.
  struct DestinationSchedule {
    int number = 0;
    const SendQueue& queue;
    Destination& destination;
    double latency_seconds = 0;
    SendOrder order;
    std::optional<SendCandidate> last_within_share;  // the last one sent within the destination's share
    bool is_over_share = false;
  };
  using DestinationSchedules = std::vector<DestinationSchedule>;

  // An attempt that ended, and the state that it affects.
  struct EndedAttempt {
    const AttemptEnded& event;
    const Attempt& attempt;
    EndpointState& endpoint;
    Route& route;
    Destination& destination;
  };

  // Handlers of the events.
  void handle(const EndpointListChanged& event);
  void handle(const MessageArrived& event);
  void handle(const AttemptEnded& event);
  void handle(const HealthCheckEnded& event);
  void handle(const MessageWithdrawn& event);
  void handle(const TimerFired& event);
  void handle(const GossipReceived& event);
  void handle(const ShutdownScheduled& event);
  void handle(const RetryBudgetState& event);
  void handle(const RouteState& event);
  void handle(const EndpointSlowStartState& event);
  void handle(const SettingsChanged& event);
  void handle(const EndpointSuspended& event);

  // Decisions of a step, in the order in which it takes them.
  void open_list_watch();
  void detect_outages();
  void finish_undeliverable();
  void dispatch();
  void shed_load();
  void persist_state();
  void schedule_timer();

  // Settings, endpoints and messages; in policy.cpp.
  void apply_settings(Settings settings);
  void requeue_waiting_messages();
  void update_endpoint(const EndpointInfo& info);
  void persist_retry_budget(int number, bool is_needed);
  void persist_slow_start(const EndpointState& endpoint);
  void move_to_restored_route(Route& route);
  void regroup_endpoints();
  void leave_route(const Route& former, const EndpointState& endpoint);
  void resume_call(Message& message);

  // The end of an attempt; in attempt_outcome.cpp.
  bool finish_attempt(const EndedAttempt& ended);
  void block_route(Route& route, Time until);
  void record_result(const EndedAttempt& ended);
  void record_success(const EndedAttempt& ended);
  void record_rejection(const EndedAttempt& ended, const LoadReport& report);
  void record_failure(const EndedAttempt& ended);
  void continue_message(Message& message, const EndedAttempt& ended);
  void prepare_next_attempt(Message& message, const EndedAttempt& ended);

  // Final answers; in final_answers.cpp.
  void finish_message(uint64_t id, const std::optional<Action>& answer = {});
  std::vector<uint64_t> undeliverable_messages();
  Time unblocked_at(int destination) const;
  Time client_retry_after(const Message& message);

  // Selection of messages and endpoints; in dispatch.cpp.
  void update_send_queues();
  void update_next_in_order(uint64_t ordering_key);
  DestinationSchedules destination_schedules();
  void send_by_priority(DestinationSchedules& turns, bool within_share);
  bool has_reached_share(const DestinationSchedule& turn) const;
  bool has_candidates_left(const DestinationSchedules& turns, const SendCandidate& sent,
                           bool within_share) const;
  bool try_send(DestinationSchedule& turn, const SendCandidate& candidate);
  TrialCalls::Decision decide_trial(EndpointState& endpoint);
  StartedCall start_call(Destination& destination, EndpointState& endpoint);
  void fill_batch(const DestinationSchedule& turn, EndpointState& endpoint, const StartedCall& call);
  void send(Message& message, Destination& destination, EndpointState& endpoint, const StartedCall& call);
  bool may_cancel_late_calls() const;
  void cancel_late_calls();
  void close_idle_connections(EndpointState& endpoint);

  // Requests another step at that time, if it is in the future.
  void wake_at(Time at);
  StepContext context() { return {now_, started_at_, longest_lifetime_, settings_, random_}; }
  Time suspicion_age(const EndpointState& endpoint);

  Settings settings_;
  Random random_;
  Time now_ = std::numeric_limits<Time>::min();
  Time started_at_ = kNever;  // time of the first step
  Time longest_lifetime_ = kSecond;
  Time shutdown_at_ = kNever;
  Time wake_at_ = kNever;   // when the next step is needed, as far as this step knows
  Time timer_at_ = kNever;  // time of the last timer that was set
  std::vector<Action>* actions_ = nullptr;

  EndpointDirectory directory_;
  RoutePersistence route_persistence_;
  Destinations destinations_;
  std::set<int> changed_retry_budgets_;      // destinations to check in persist_state()
  std::set<Endpoint> endpoints_to_regroup_;  // on restored routes that the present settings do not give them
  std::map<uint64_t, Message> messages_;
  WaitingMessages waiting_;                   // the messages that are not in flight
  std::map<int, Time> blocked_destinations_;  // latest end of a retry-after of the destination's routes
  std::map<AttemptKey, Attempt> attempts_;    // in flight
  CallsInFlight calls_;

  ListWatch list_watch_;
  TenantQuota tenant_quota_;
  MessageOrdering message_ordering_;
  IdleConnections idle_connections_;
  CallTimeout call_timeout_;
};

}  // namespace turntally::policy
