#include "relay/relay.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "net/log.h"
#include "relay/descriptor_limits.h"
#include "relay/errors.h"
#include "relay/journal_facts.h"

namespace turntally::relay {
namespace {

constexpr Time kMs = 1000;
constexpr Time kServeAfterStop = 500 * kMs;      // new connections still arrive for a while after SIGTERM
constexpr Time kCallsEndAfterStop = 3500 * kMs;  // SIGKILL follows 3.7 s after SIGTERM at the soonest
constexpr Time kExitAfterStop = 3600 * kMs;      // latest exit
constexpr Time kStopPollInterval = 50 * kMs;
constexpr Time kFinalStopPollInterval = 2 * kMs;
constexpr auto kListenRetryDelay = std::chrono::milliseconds(20);
constexpr Time kFirstListTimeout = 300 * kMs;  // discovery answers at once, unless it is down

DurableClock clock_of(const Journal& journal) {
  const auto stored = journal.facts().find(fact::kClock);
  return {DurableClock::read_machine(), stored == journal.facts().end() ? "" : stored->second};
}

// Returns the index of the name, or -1 if it is not among the names.
int index_of(const std::string& name, const std::vector<std::string>& names) {
  const auto found = std::find(names.begin(), names.end(), name);
  return found == names.end() ? -1 : static_cast<int>(found - names.begin());
}

// Returns the new index of each previous zone, or -1 for a zone that is gone.
std::vector<int> map_zones(const std::vector<std::string>& previous, const std::vector<std::string>& next) {
  std::vector<int> zones;
  zones.reserve(previous.size());
  for (const std::string& zone : previous) zones.push_back(index_of(zone, next));
  return zones;
}

int mapped_zone(const std::vector<int>& zones, int previous) {
  return previous >= 0 && previous < static_cast<int>(zones.size()) ? zones[static_cast<size_t>(previous)]
                                                                    : -1;
}

}  // namespace

Relay::Relay(boost::asio::io_context& io, const Config& config,
             std::function<void(const tcp::endpoint&)> on_listening)
    : io_(io),
      config_(config),
      control_(config.control
                   ? std::make_unique<ControlServer>(
                         io, *config.control,
                         [this](const OperatorRequest& call) { return handle_operator_call(call); },
                         max_operators(config))
                   : nullptr),
      handover_(io, config.state_folder),
      journal_(config.state_folder, config.max_disk_bytes),
      clock_(clock_of(journal_)),
      persisted_state_(journal_, clock_),
      delivery_terms_(journal_),
      ordering_(journal_, clock_),
      policy_(limit_concurrent_calls(config), config.seed),
      message_memory_(std::make_shared<MemoryPool>(memory_limits(config).messages)),
      finished_messages_(memory_limits(config).finished_ids),
      wake_timer_(io),
      stop_timer_(io),
      notices_(io, config.discovery, [this](const std::string& id) { on_notice_taken(id); }),
      final_answers_(io, journal_, notices_),
      upstream_(
          io, upstream_limits(config), config.report_fields,
          [this](const AttemptRequest& call) { return may_start(call); },
          [this](const policy::AttemptEnded& end, bool call_started) { on_attempt_ended(end, call_started); },
          [this](const policy::HealthCheckEnded& end) {
            queue_event(end);
            on_endpoint_idle(end.endpoint);
          }),
      on_listening_(std::move(on_listening)),
      start_timer_(io),
      resources_(io, config.max_memory_bytes, [this] { return describe_held_memory(); }),
      command_memory_(std::make_shared<MemoryPool>(memory_limits(config).commands)) {
  if (!config.list_follower) {
    watch_.emplace(
        io, config.discovery, config.names,
        [this] { return directory_.endpoints().empty() ? -1 : directory_.revision(); },
        [this](const EndpointList& list) { handed_over_ ? forward_list(list) : on_endpoint_list(list); },
        [this] { on_watch_answered(); },
        DiscoveryWatch::CallPacing{config.settings.relay_count, !config.settings.list_needs_watch,
                                   config.seed});
  }
  config_.settings = limit_concurrent_calls(config_);
  journal_.record_fact(fact::kClock, clock_.text());
  recover_endpoints();
  on_endpoint_list(config_.known_endpoints);
  if (config.list_follower) follow_registry();
  if (handover_.has_predecessor()) take_over();
  handover_.await_successor([this] { hand_over(); });
  // After a handover clients are waiting, and the predecessor has followed discovery up to now.
  start_timer_.expires_after(std::chrono::microseconds(handover_.has_predecessor() ? 0 : kFirstListTimeout));
  start_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) start_serving();
  });
}

// Recovers the messages and starts to accept new ones. Runs once discovery has sent its current list, or
// after kFirstListTimeout.
void Relay::start_serving() {
  if (clients_ || stopping_since_ != 0 || handed_over_) return;
  if (!std::exchange(messages_recovered_, true)) recover_messages();
  if (!open_listener()) return;
  forget_unused_terms();
  listen_to_predecessor();
  if (draining_) clients_->drain();
  on_listening_(clients_->address());
}

// Opens the listener and returns whether it is open. A predecessor that did not hand its listener over may
// hold the address for a moment longer; until listen_retry_deadline_ a failure schedules another try.
bool Relay::open_listener() {
  try {
    clients_.emplace(
        io_, config_.listen, max_clients(config_),
        [this](SubmittedMessage message, Clients::AnswerHandler answer) {
          accept_message(std::move(message), std::move(answer));
        },
        inherited_listener_.release(),
        ClientResources{connection_log_, command_memory_,
                        [this](size_t bytes) { return has_message_memory(bytes); }});
    return true;
  } catch (const net::ListenError&) {
    if (steady_now() >= listen_retry_deadline_) throw;
  }
  start_timer_.expires_after(kListenRetryDelay);
  start_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) start_serving();
  });
  return false;
}

const char* Relay::end_reason() const {
  if (is_handover_complete()) return "handed_over";
  return stopping_since_ != 0 ? "stopped" : "unknown";
}

std::optional<tcp::endpoint> Relay::control_address() const {
  if (!control_) return {};
  return control_->address();
}

void Relay::reload() {
  if (handed_over_) return;
  const auto rejected = [this](const net::Error& error) {
    ++metrics_.reload_failure;
    net::log::failed(net::log::Level::kWarn, "reload_rejected", error);
  };
  try {
    Config next = load_config();
    require_keys(config_.file_text, next.file_text);
    retired_classes_.retire(config_.settings, next.settings, steady_now());
    apply_config(next);
    ++metrics_.reload_success;
    net::log::info("reloaded");
  } catch (const net::Error& error) {
    rejected(error);
  } catch (const std::exception& error) {  // from the policy: no content of the file may end the process
    rejected(BadConfig(error.what()));
  }
}

void Relay::apply_config(const Config& next) {
  const bool renamed = !(next.names == config_.names);
  std::vector<int> zones = map_zones(config_.names.zones, next.names.zones);
  config_.discovery = next.discovery;
  config_.settings = next.settings;
  config_.settings = limit_concurrent_calls(config_);
  config_.names = next.names;
  config_.report_fields = next.report_fields;
  config_.file_text = next.file_text;
  for (auto& [id, inherited] : inherited_attempts_) {
    if (!inherited.deferred) continue;
    int& zone = inherited.deferred->arrival.possibly_run_zone;
    zone = mapped_zone(zones, zone);
  }
  delivery_terms_.on_settings_changed();
  forget_unused_terms();
  note_excess_messages();
  queue_event(policy::SettingsChanged{policy_settings(), std::move(zones)});
  if (clients_) clients_->set_max_sessions(max_clients(config_));
  upstream_.set_limits(upstream_limits(config_), config_.report_fields);
  if (renamed) {
    if (watch_) watch_->set_names(config_.names);
    on_endpoint_list(directory_.reparse(config_.names));
  }
  if (watch_) watch_->set_address(config_.discovery);
  notices_.set_address(config_.discovery);
}

void Relay::note_excess_messages() {
  if (messages_.size() > static_cast<size_t>(config_.settings.max_pending_messages))
    last_excess_number_ = messages_.last_number();
}

// Returns the settings for the policy. A lowered max_pending_messages applies to new messages only: those
// accepted under a higher one are still tried. Until they fit with room to spare, the policy's limit is
// raised so that it rejects none of them for lack of room.
std::shared_ptr<policy::Settings> Relay::policy_settings() const {
  auto settings = std::make_shared<policy::Settings>(config_.settings);
  if (last_excess_number_ != 0) {
    settings->max_pending_messages =
        std::max(settings->max_pending_messages, 2 * static_cast<int>(messages_.size()));
  }
  return settings;
}

void Relay::stop() {
  if (stopping_since_ != 0) return;
  stopping_since_ = steady_now();
  net::log::info("stopping", "held", messages_.size(), "handed_over", handed_over_ ? 1 : 0);
  if (handed_over_) return;  // poll_shutdown() already ends the process as soon as possible
  queue_event(policy::ShutdownScheduled{call_end_deadline()});
  poll_shutdown();
}

Time Relay::call_end_deadline() const {
  return stopping_since_ == 0 ? std::numeric_limits<Time>::max() : stopping_since_ + kCallsEndAfterStop;
}

// Keeps this process's watch until the successor has its own, which relays of a large fleet open one after
// another.
bool Relay::is_watching_for_successor() const {
  const bool successor_may_watch = successor_is_watching_ || steady_now() > watch_for_successor_until_;
  return handover_.has_successor() && watch_ && watch_->is_open() && !successor_may_watch;
}

bool Relay::is_handover_complete() const {
  return handed_over_ && !is_watching_for_successor() && upstream_.in_flight_count() == 0 &&
         inherited_attempts_.empty() && (!clients_ || clients_->has_answered_all());
}

bool Relay::is_idle() const {
  return !handed_over_ && messages_.empty() && final_answers_.is_idle() && notices_.empty() &&
         (!clients_ || clients_->has_ended());
}

void Relay::finish_clients() {
  if (clients_finished_) return;
  clients_finished_ = true;
  if (clients_) clients_->finish();
}

// Stops reading from clients. Returns whether each request that was read has its answer, or no time is left.
bool Relay::finish_answers(Time stop_age) {
  if (clients_) clients_->stop_reading();
  if (!step_posted_ && (!clients_ || clients_->has_answered_all())) return true;
  if (stop_age < kExitAfterStop) return false;
  if (clients_) clients_->log_unanswered();
  return true;
}

void Relay::poll_shutdown() {
  if (handed_over_ && !handover_.has_successor()) cancel_all_calls();
  if (is_handover_complete()) return io_.stop();
  const Time age = stopping_since_ == 0 ? 0 : steady_now() - stopping_since_;
  if (age >= kServeAfterStop && !handed_over_) finish_clients();
  if (clients_finished_ && is_idle()) return io_.stop();
  const bool calls_ended = age >= kCallsEndAfterStop;
  if (calls_ended && finish_answers(age)) return io_.stop();
  stop_timer_.expires_after(
      std::chrono::microseconds(calls_ended ? kFinalStopPollInterval : kStopPollInterval));
  stop_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) poll_shutdown();
  });
}

}  // namespace turntally::relay
