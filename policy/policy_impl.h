// The front of the policy: it passes events to the modules, takes their decisions and emits actions.
//
// The order of a step is that of the calls in Impl::step. It is split over these files:
//   policy.cpp            the step; settings, list, messages and other events
//   attempt_outcome.cpp   what is learnt from an attempt's end
//   final_answers.cpp     messages that cannot be delivered, or are shed
//   dispatch.cpp          which messages are sent, and where
#pragma once

#include <map>
#include <optional>
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
#include "policy/step_context.h"
#include "policy/tenant_quota.h"
#include "policy/time.h"
#include "turntally/policy.h"

namespace turntally::policy {

// The random pause before a retry, or after something that many relays see at once.
constexpr Time kMinRandomPause = 20 * kMillisecond;
constexpr Time kMaxRandomPause = 250 * kMillisecond;

class Policy::Impl {
 public:
  Impl(Settings settings, uint64_t seed);

  void step(Time now, std::span<const Event> events, std::vector<Action>& actions);
  size_t ejected_endpoints(Time now) const { return directory_.count_ejected(now); }

 private:
  using SendCandidates = std::vector<SendCandidate>;

  struct StartedCall {
    uint64_t number = 0;
    Time connection_idle = 0;  // how long its connection had been idle; 0: fresh or busy
  };

  // The attempt that ended, and what it concerns.
  struct EndedCall {
    const AttemptEnded& event;
    const Attempt& attempt;
    EndpointState& endpoint;
    Route& route;
    Destination& destination;
  };

  // Events.
  void handle(const EndpointListChanged& event);
  void handle(const MessageArrived& event);
  void handle(const AttemptEnded& event);
  void handle(const HealthCheckEnded& event);
  void handle(const MessageWithdrawn& event);
  void handle(const TimerFired& event);
  void handle(const GossipReceived& event);
  void handle(const ShutdownScheduled& event);
  void handle(const DestinationState& event);
  void handle(const SettingsChanged& event);
  void handle(const EndpointSuspended& event);

  // What the events lead to, in the order of a step.
  void open_list_watch();
  void detect_outages();
  void finish_undeliverable();
  void dispatch();
  void shed_load();
  void persist_destinations();
  void schedule_timer();

  // Settings, list and messages.
  void apply_settings(Settings settings);
  void update_endpoint(const EndpointInfo& info);
  void resume_call(Message& message);

  // The end of an attempt.
  bool end_call(const EndedCall& ended);
  void learn_from(const EndedCall& ended);
  void learn_from_success(const EndedCall& ended);
  void learn_from_rejection(const EndedCall& ended, const LoadReport& report);
  void learn_from_failure(const EndedCall& ended);
  void continue_message(Message& message, const EndedCall& ended);

  // Final answers.
  void finish(uint64_t id, const std::optional<Action>& answer = {});
  bool is_blocked_past_deadline(const Message& message) const;
  Time client_retry_after(const Message& message);

  // Dispatch.
  SendCandidates send_candidates();
  bool is_next_in_order(const Message& message);
  void try_send(Message& message, Destination& destination, const SendCandidates& waiting);
  bool may_send_trial(EndpointState& endpoint);
  StartedCall start_call(Destination& destination, EndpointState& endpoint);
  void add_batch(const Message& first, Destination& destination, EndpointState& endpoint,
                 const StartedCall& call, const SendCandidates& waiting);
  void send(Message& message, Destination& destination, EndpointState& endpoint, const StartedCall& call);
  void cancel_late_calls();
  void close_idle_connections(EndpointState& endpoint);

  // Wakes the policy at that time, if it is later than now.
  void wake_at(Time at);
  StepContext context() { return {now_, started_at_, longest_lifetime_, settings_, random_}; }
  Time suspicion_age(const EndpointState& endpoint);

  Settings settings_;
  Random random_;
  Time now_ = std::numeric_limits<Time>::min();
  Time started_at_ = kNever;  // when the first step was
  Time longest_lifetime_ = kSecond;
  Time shutdown_at_ = kNever;
  Time wake_at_ = kNever;   // when this step wants the next one
  Time timer_at_ = kNever;  // of the last timer that was set
  std::vector<Action>* actions_ = nullptr;

  EndpointDirectory directory_;
  Destinations destinations_;
  std::map<uint64_t, Message> messages_;
  std::map<AttemptKey, Attempt> attempts_;  // in flight
  CallsInFlight calls_;

  ListWatch list_watch_;
  TenantQuota tenant_quota_;
  MessageOrdering message_ordering_;
  IdleConnections idle_connections_;
  CallTimeout call_timeout_;
};

}  // namespace turntally::policy
