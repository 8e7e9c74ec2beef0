// A minimal user of the installed library: one message arrives and is sent.
#include <cstdio>
#include <memory>
#include <variant>
#include <vector>

#include "turntally/policy.h"

int main() {
  turntally::policy::Settings settings;
  settings.classes.resize(1);
  settings.classes[0].idempotency = turntally::policy::Idempotency::kIdempotent;
  settings.classes[0].latency_objective = 1'000'000;
  settings.classes[0].max_lifetime = 4'000'000;
  settings.kinds.resize(1);
  settings.max_concurrent_calls = 4;
  settings.max_pending_messages = 100;
  settings.max_attempts = 3;

  turntally::policy::Policy policy(settings, /*seed=*/1);
  std::vector<turntally::policy::Event> events;
  turntally::policy::EndpointListChanged list;
  list.endpoints =
      std::make_shared<std::vector<turntally::policy::EndpointInfo>>(1);  // one endpoint, of destination 0
  events.push_back(list);
  turntally::policy::MessageArrived message;
  message.id = 7;
  message.deadline = 4'000'000;
  events.push_back(message);

  std::vector<turntally::policy::Action> actions;
  policy.step(/*now=*/0, events, actions);
  for (const turntally::policy::Action& action : actions) {
    if (const auto* send = std::get_if<turntally::policy::SendAttempt>(&action)) {
      std::printf("send message %llu\n", static_cast<unsigned long long>(send->id));
      return 0;  // a relay would make the call here, and pass its AttemptEnded to a later step
    }
  }
  return 1;
}
