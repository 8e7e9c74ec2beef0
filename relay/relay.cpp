#include "relay/relay.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>

#include "net/log.h"
#include "relay/errors.h"

namespace turntally::relay {
namespace {

const std::string kHost = "host ";  // names of what is remembered
const std::string kDestination = "destination ";
const std::string kGone = "gone ";
const std::string kSuspended = "suspended ";
const std::string kRevision = "revision";
const std::string kIdentity = "identity";
const std::string kDestinations = "destinations";
const std::string kClock = "clock";
const std::string kFence = Journal::kSynced;

const std::string kRefused = "-BUSY";
const std::string kBusy = kRefused + " 500";  // no room: some messages end within that time

constexpr Time kMs = 1000;
constexpr Time kServeOn = 500 * kMs;      // after SIGTERM: new connections still come for a while
constexpr Time kLastCall = 3500 * kMs;    // SIGKILL follows 3.7 s after SIGTERM at the soonest
constexpr Time kLastMoment = 3600 * kMs;  // by then it has ended
constexpr Time kStopPoll = 50 * kMs;
constexpr Time kLastPoll = 2 * kMs;
constexpr Time kFirstWord = 300 * kMs;   // discovery answers at once, unless it is down
constexpr Time kClockSlack = 100 * kMs;  // clients round what they measure
constexpr Time kRecordPause = 50 * kMs;  // between two tries of what the disk does not take
constexpr Time kTransit = 2 * kMs;       // a message's time runs from its client's sending

// The descriptors: those of the process itself, clients, and calls with their idle connections. Calls have
// what they need, then clients, who need a third for requests, half; idle connections what is left.
// Standard ones, event loop, signals, listeners, journal twice, watches, notices, handover.
constexpr size_t kOwnDescriptors = 24;
// Operators, and what another process needs during an upgrade beside clients and calls; less where few are
// told.
constexpr size_t kOtherDescriptors = Control::kMostCallers + 24;
constexpr size_t kProbes = 8;

size_t other_descriptors(const Config& config) { return std::min(kOtherDescriptors, config.sockets / 8); }

// One more operator is let in before another goes.
size_t most_operators(const Config& config) {
  return std::min(Control::kMostCallers, other_descriptors(config) - 1);
}

size_t own_descriptors(const Config& config) { return kOwnDescriptors + other_descriptors(config); }

size_t most_calls(const Config& config) {
  const size_t half = (config.sockets - own_descriptors(config)) / 2;
  return std::min(half, static_cast<size_t>(config.settings.max_concurrent_calls) + kProbes);
}

size_t most_clients(const Config& config) {
  return std::min(config.sockets / 2, config.sockets - own_descriptors(config) - most_calls(config));
}

// What the module may have out has a descriptor each: a connection that cannot be opened for want of one
// would pass for a host that is gone.
policy::Settings within_descriptors(const Config& config) {
  policy::Settings out = config.settings;
  const size_t most = most_calls(config);
  out.max_concurrent_calls =
      std::min(out.max_concurrent_calls, most > kProbes ? static_cast<int>(most - kProbes) : 1);
  return out;
}

Upstream::Limits upstream_limits(const Config& config) {
  Upstream::Limits out;
  out.connect_timeout = config.settings.connect_timeout;
  out.idle = config.settings.connection_idle_timeout;
  out.most_open = config.sockets - own_descriptors(config) - most_clients(config);
  return out;
}

// -1: it is not among them.
int place_of(const std::string& name, const std::vector<std::string>& names) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

int zone_now(const std::vector<int>& zones, int before) {
  return before >= 0 && before < static_cast<int>(zones.size()) ? zones[static_cast<size_t>(before)] : -1;
}

bool never_ran(policy::Outcome outcome) {
  return outcome == policy::Outcome::kRejected || outcome == policy::Outcome::kConnectFailed ||
         outcome == policy::Outcome::kNotStarted;
}

DurableClock clock_of(const Journal& journal) {
  const auto stored = journal.remembered().find(kClock);
  return {DurableClock::read_machine(), stored == journal.remembered().end() ? "" : stored->second};
}

const char* name_of(policy::Outcome outcome) {
  constexpr const char* kNames[] = {"ok",    "error",     "full", "timeout", "connect_failed",
                                    "reset", "cancelled", "moot", "spoilt"};
  return kNames[static_cast<size_t>(outcome)];
}

}  // namespace

Relay::Relay(boost::asio::io_context& io, const Config& config,
             std::function<void(const tcp::endpoint&)> listening)
    : io_(io),
      config_(config),
      control_(config.control
                   ? std::make_unique<Control>(
                         io, *config.control, [this](const OperatorCall& call) { return operate(call); },
                         most_operators(config))
                   : nullptr),
      handover_(io, config.state),
      journal_(config.state, config.disk_bytes),
      clock_(clock_of(journal_)),
      delivery_terms_(journal_),
      ordering_(journal_, clock_),
      policy_(within_descriptors(config), config.seed),
      wake_timer_(io),
      stop_timer_(io),
      record_timer_(io),
      notices_(io, config.discovery,
               [this](const std::string& id) {
                 journal_.record_acknowledged(id);
                 ordering_.acknowledge(id);
               }),
      upstream_(
          io, upstream_limits(config), config.report_fields,
          [this](const Call& call) { return may_start(call); },
          [this](const policy::AttemptEnded& end, bool began) { ended(end, began); },
          [this](const policy::HealthCheckEnded& end) {
            queue_event(end);
            on_endpoint_idle(end.endpoint);
          }),
      listening_(std::move(listening)),
      open_timer_(io) {
  if (!config.fleet) {
    watch_.emplace(
        io, config.discovery, config.names,
        [this] { return directory_.hosts().empty() ? -1 : directory_.revision(); },
        [this](const HostList& list) { on_endpoint_list(list); }, [this] { open(); },
        Watch::Pace{config.settings.relay_count, !config.settings.list_needs_watch, config.seed});
  }
  config_.settings = within_descriptors(config_);
  journal_.remember(kClock, clock_.text());
  recall();
  on_endpoint_list(config_.known);
  if (config.fleet) follow();
  if (handover_.taken_over()) take_over();
  handover_.offer([this] { hand_over(); });
  // The process before has listened to discovery up to now, and clients wait.
  open_timer_.expires_after(std::chrono::microseconds(handover_.taken_over() ? 0 : kFirstWord));
  open_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) open();
  });
}

// What the process before knew of hosts and destinations. The configuration's list may be older: hosts that
// were told to drain would be sent to again.
void Relay::recall() {
  const auto& facts = journal_.remembered();
  HostList list;
  list.complete = true;
  std::vector<policy::DestinationState> memories;
  const auto steady = [this](Time t) { return t == 0 ? 0 : clock_.to_steady(t); };
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [name, value] : facts) {
    const nlohmann::json fact = nlohmann::json::parse(value);
    if (name == kRevision) list.revision = fact.get<int64_t>();
    if (name == kIdentity) identity_ = fact.get<std::string>();
    if (name.starts_with(kGone)) directory_.add_gone(name.substr(kGone.size()), fact.get<Time>());
    if (name == kDestinations) {
      for (const int destination : fact.get<std::vector<int>>()) directory_.add_destination(destination);
    }
    if (name.starts_with(kSuspended)) directory_.suspend(name.substr(kSuspended.size()));
    if (name.starts_with(kFence)) fences_.recall(name.substr(kFence.size()), fact.get<Token>());
    if (name.starts_with(kHost)) members.push_back(fact);
    if (name.starts_with(kDestination)) {
      memories.push_back(
          {std::stoi(name.substr(kDestination.size())), fact.at("tokens").get<int>(),
           steady(fact.at("out_since").get<Time>()), steady(fact.at("back_since").get<Time>()),
           fact.at("base").get<double>(),
           handover_.taken_over() ? steady(fact.value("wait_until", Time{0})) : 0});  // a restart ends a wait
    }
  }
  const bool registrys = !identity_.empty();
  if (registrys != config_.fleet.has_value()) {  // the other one's list, whose revisions say nothing here
    list.revision = 0;
    identity_.clear();
    journal_.remember(kIdentity, "");
  }
  list.hosts =
      parse_list({{"revision", list.revision}, {"complete", true}, {"members", members}}, config_.names)
          .hosts;
  if (!list.hosts.empty()) on_endpoint_list(list);
  for (const policy::DestinationState& memory : memories) queue_event(memory);
}

// What is known so far is what the guard begins from.
void Relay::follow() {
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [handle, host] : directory_.hosts()) {
    if (host.member.listing != policy::Listing::kGone) members.push_back(nlohmann::json::parse(host.text));
  }
  registry::ListFollower::Listener listener;
  listener.told = [this](const nlohmann::json& line) { told_by_registry(line); };
  listener.current = [this] { open(); };
  fleet_.emplace(io_, *config_.fleet,
                 nlohmann::json{{"revision", identity_.empty() ? -1 : directory_.revision()},
                                {"complete", true},
                                {"identity", identity_},
                                {"members", std::move(members)}},
                 std::move(listener));
}

void Relay::told_by_registry(const nlohmann::json& line) {
  const HostList list = parse_list(line, config_.names);
  const std::string identity = line.value("identity", "");
  if (identity != identity_) {
    net::log::info("registry", "identity", identity, "revision", list.revision);
    identity_ = identity;
    journal_.remember(kIdentity, nlohmann::json(identity).dump());
    directory_.renamed();
  }
  on_endpoint_list(list);
}

// The module takes messages under rules that the settings have no more.
void Relay::arrive(const std::vector<RecoveredMessage>& messages) {
  auto all = settings_told();
  std::vector<policy::MessageArrived> arrivals;
  for (const auto& [in, rules] : messages) {
    const policy::ClassSettings& message_class = rules;
    const auto place = std::find(all->classes.begin(), all->classes.end(), message_class);
    arrivals.push_back(in);
    arrivals.back().message_class = static_cast<int>(place - all->classes.begin());
    if (place == all->classes.end()) all->classes.push_back(message_class);
  }
  const bool more = all->classes.size() > config_.settings.classes.size() || last_over_ != 0;
  if (more) queue_event(policy::SettingsChanged{all, {}});
  for (const policy::MessageArrived& in : arrivals) queue_event(in);
  if (more) queue_event(policy::SettingsChanged{settings_told(), {}});
}

// A lower cap is for what comes: what was taken on under a greater one is still tried, and the module gives
// nothing back for want of room until it fits well.
std::shared_ptr<policy::Settings> Relay::settings_told() const {
  auto out = std::make_shared<policy::Settings>(config_.settings);
  if (last_over_ != 0)
    out->max_pending_messages =
        std::max(out->max_pending_messages, 2 * static_cast<int>(pending_messages_.size()));
  return out;
}

void Relay::remember(const policy::DestinationState& memory) {
  const auto durable = [this](Time t) { return t == 0 ? 0 : clock_.from_steady(t); };
  const nlohmann::json fact = {{"tokens", memory.retry_tokens},
                               {"out_since", durable(memory.outage_since)},
                               {"back_since", durable(memory.recovering_since)},
                               {"base", memory.rate_before_outage},
                               {"wait_until", durable(memory.wait_until)}};
  journal_.remember(kDestination + std::to_string(memory.destination), fact.dump());
}

// A tenant that the settings do not name has no share that could be used up.
int Relay::tenant_of(const std::string& name) const {
  const auto& tenants = config_.settings.tenants;
  const auto it = std::find_if(tenants.begin(), tenants.end(), [&](const auto& t) { return t.name == name; });
  return it == tenants.end() ? -1 : static_cast<int>(it - tenants.begin());
}

DeliveryTerms Relay::terms_of(const std::string& message_class, int64_t number) const {
  return delivery_terms_.find(config_.settings, message_class, number);
}

// Before all messages are recovered nothing is known of the terms in use.
void Relay::forget_unused_terms() {
  if (!clients_) return;
  std::set<std::string> in_use;
  for (const auto& [number, message] : pending_messages_)
    in_use.insert(DeliveryTermsStore::fact_name(message.handed.message_class, message.rules));
  delivery_terms_.forget_unused(config_.settings, in_use);
}

// Only now messages are taken on or resumed: what discovery had to tell at once has been heard.
void Relay::open() {
  if (clients_ || stopping_since_ != 0 || handed_over_) return;
  resume();
  clients_.emplace(
      io_, config_.listen, most_clients(config_),
      [this](SubmittedMessage handed, Clients::Answer answer) {
        accept_message(std::move(handed), std::move(answer));
      },
      listener_.release());
  forget_unused_terms();
  handover_.hear([this](std::optional<HandoverFrame> parcel) { on_predecessor_frame(std::move(parcel)); });
  if (draining_) clients_->drain();
  listening_(clients_->address());
}

std::optional<tcp::endpoint> Relay::control_address() const {
  if (!control_) return {};
  return control_->address();
}

Metrics Relay::metrics() const {
  Metrics out = metrics_;
  for (const policy::ClassSettings& c : config_.settings.classes) out.classes.try_emplace(c.name);
  out.dispatches = upstream_.written();
  out.concurrent =
      handed_over_
          ? 0
          : static_cast<size_t>(std::count_if(pending_messages_.begin(), pending_messages_.end(),
                                              [](const auto& held) { return held.second.accepted; }));
  const auto& hosts = directory_.hosts();
  out.targets = static_cast<size_t>(std::count_if(hosts.begin(), hosts.end(), [](const auto& host) {
    return host.second.member.listing != policy::Listing::kGone;
  }));
  out.targets_disabled = policy_.ejected_endpoints(steady_now());
  if (fleet_) {
    out.registry = RegistryMetrics{static_cast<double>(fleet_->heard_ms()) / 1000, fleet_->guard().holds(),
                                   fleet_->guard().held_total(), fleet_->moves()};
  }
  return out;
}

OperatorReply Relay::operate(const OperatorCall& call) {
  if (handed_over_ && call.what != OperatorCall::What::kMetrics) return {503, "handed over\n"};
  if (call.claim) fence(*call.claim);
  if (call.claim && call.claim->raise_only) {
    const nlohmann::ordered_json raised = {{"lease", call.claim->lease}, {"token", call.claim->token}};
    return {200, raised.dump() + "\n", true};
  }
  switch (call.what) {
    case OperatorCall::What::kReady:
      if (!clients_) return {503, "starting\n"};
      if (stopping_since_ != 0) return {503, "stopping\n"};
      return draining_ ? OperatorReply{503, "draining\n"} : OperatorReply{200, "ready\n"};
    case OperatorCall::What::kDrain:
      draining_ = true;
      if (clients_) clients_->drain();
      return {200, "draining\n"};
    case OperatorCall::What::kActivate:
      draining_ = false;
      if (clients_) clients_->activate();
      return {200, "active\n"};
    case OperatorCall::What::kMetrics:
      return {200, metrics().text()};
    case OperatorCall::What::kSuspend:
    case OperatorCall::What::kResume:
    case OperatorCall::What::kFence:  // always with a claim, and answered above
      break;
  }
  return suspend(call.id, call.what == OperatorCall::What::kSuspend);
}

// What is carried out under a token is preceded on the disk by that token: else a holder of before could act
// after its successor, with a restart between the two.
void Relay::fence(const LeaseClaim& claim) {
  try {
    fences_.raise(claim);
    if (!journal_.remember_synced(claim.lease, std::to_string(claim.token))) throw FenceNotKept(claim.lease);
  } catch (const FenceError& error) {
    net::log::warn(error.code(), "lease", claim.lease, "token", claim.token);
    throw;
  }
}

// An endpoint that is out by hand may not be listed just now: it can be put back all the same.
OperatorReply Relay::suspend(const std::string& id, bool out) {
  const ListedHost* host = directory_.find(directory_.handle(id));
  const bool listed = host != nullptr && host->member.listing != policy::Listing::kGone;
  if (!listed && !directory_.suspended(id)) return {404, "no such endpoint\n"};
  out ? directory_.suspend(id) : directory_.resume(id);
  journal_.remember(kSuspended + id, out ? "1" : "");
  if (host != nullptr) {
    if (out) upstream_.close_idle(host->member.endpoint);
    queue_event(policy::EndpointSuspended{host->member.endpoint, out});
  }
  return {200, out ? "suspended\n" : "resumed\n"};
}

// Messages from before a restart are the module's to decide on, like any other.
void Relay::resume() {
  std::vector<RecoveredMessage> arrivals;
  std::vector<policy::AttemptEnded> ends;
  for (const uint64_t ordering_key : ordering_.held_back_keys()) {
    RecoveredMessage finished;  // its message may have ended, and is here for its call alone
    finished.rules.in_order = true;
    finished.in.id = ++last_number_;
    finished.in.tenant = -1;
    finished.in.ordering_key = ordering_key;
    finished.in.attempts = 1;
    auto end = cut_off(finished.in);
    if (!end) continue;
    end->final = true;
    ends.push_back(std::move(*end));
    arrivals.push_back(std::move(finished));
  }
  for (const Recovered& entry : journal_.recovered()) {
    if (entry.unacknowledged_answer) {
      const SubmittedMessage& over = entry.message;
      if (is_ordered(terms_of(over.message_class, entry.rules), over.ordering_key))
        ordering_.add_unacknowledged(over.id, over.ordering_key);
      notices_.add(*entry.unacknowledged_answer);
      continue;
    }
    const uint64_t number = ++last_number_;
    PendingMessage& held = pending_messages_[number];
    held.handed = entry.message;
    held.due = clock_.to_steady(entry.due);
    held.attempts = entry.attempts;
    held.accepted = true;
    held.rules = entry.rules;
    numbers_[entry.message.id] = number;
    policy::MessageArrived in;
    in.id = number;
    in.tenant = tenant_of(entry.message.tenant);
    in.deadline = held.due;
    in.destination = entry.message.destination;
    in.ordering_key = entry.message.ordering_key;
    in.attempts = entry.attempts;
    auto unsettled = entry.unsettled;
    auto away = inherited_attempts_.find(entry.message.id);
    // What had no record yet never began, and the process before begins nothing any more.
    if (away != inherited_attempts_.end() && !unsettled.contains(away->second.attempt)) {
      inherited_attempts_.erase(std::exchange(away, inherited_attempts_.end()));
    }
    if (away != inherited_attempts_.end()) {
      held.attempts = in.attempts = std::max(in.attempts, away->second.attempt + 1);
      const auto out = unsettled.find(away->second.attempt);
      in.possibly_run_zone = zone_of(out->second);  // where its host is listed no more
      unsettled.erase(out);                         // its end is still to come
    }
    if (!unsettled.empty()) {
      const RecordedAttempt& sent = unsettled.begin()->second;
      in.may_have_run = true;
      in.possibly_run_since = clock_.to_steady(sent.sent_at);
      in.possibly_run_zone = zone_of(sent);
    }
    RecoveredMessage kept{in, terms_of(entry.message.message_class, entry.rules)};
    const int allowed = kept.rules.max_attempts > 0 ? kept.rules.max_attempts : config_.settings.max_attempts;
    kept.in.max_attempts = allowed + entry.attempts - entry.begun;
    if (in.may_have_run && away == inherited_attempts_.end() && needs_hold(kept.rules, in.ordering_key)) {
      if (auto end = cut_off(kept.in)) ends.push_back(std::move(*end));
      ordering_.hold(in.ordering_key, config_.settings.ordering_pause);
    }
    if (away != inherited_attempts_.end() && !resume_away(kept, away->second)) continue;
    arrivals.push_back(std::move(kept));
  }
  if (pending_messages_.size() > static_cast<size_t>(config_.settings.max_pending_messages))
    last_over_ = last_number_;
  arrive(arrivals);
  for (policy::AttemptEnded& end : ends) queue_event(std::move(end));
  std::erase_if(inherited_attempts_, [](const auto& away) { return away.second.number == 0; });
}

// For the module a call that ended with the process, or in it, ends now: what comes later under its key
// waits. The host that it went to is not known, and nothing is learnt of the one that stands for it.
std::optional<policy::AttemptEnded> Relay::cut_off(policy::MessageArrived& in) const {
  const auto& hosts = directory_.hosts();
  const auto host = std::find_if(hosts.begin(), hosts.end(), [](const auto& entry) {
    return entry.second.member.listing != policy::Listing::kGone;
  });
  if (host == hosts.end()) return {};
  constexpr uint64_t kCutOff = uint64_t{1} << 62;  // apart from the calls that are out
  in.in_flight = policy::MessageArrived::InFlightCall{host->first, in.possibly_run_since, kCutOff | in.id};
  policy::AttemptEnded end;
  end.id = in.id;
  end.attempt = in.attempts - 1;
  end.endpoint = host->first;
  end.outcome = policy::Outcome::kCancelled;
  return end;
}

bool Relay::needs_hold(const policy::ClassSettings& terms, uint64_t ordering_key) const {
  return is_ordered(terms, ordering_key) && config_.settings.ordering_pause > 0;
}

// Settings may list zones in another order than before. One that they do not name takes no repeat.
int Relay::zone_of(const RecordedAttempt& sent) const {
  if (sent.zone_name.empty()) return sent.zone;  // of a version before
  return place_of(sent.zone_name, config_.names.zones);
}

// What the process before has out. The rest of what it gives is heard while clients are served.
void Relay::take_over() {
  uint64_t number = 0;
  while (auto parcel = handover_.next_frame()) {
    if (parcel->kind == HandoverFrame::kListener) {
      const bool same = config_.listen.port() == 0 || parcel->text == net::text_of(config_.listen);
      if (same) listener_ = std::move(parcel->descriptor);
      return;
    }
    if (parcel->kind != HandoverFrame::kCall) continue;
    const auto call = nlohmann::json::parse(parcel->text);
    const Endpoint endpoint = directory_.handle(call.at("host").get<std::string>());
    ++number;
    for (const auto& [id, attempt] : call.at("messages").items()) {
      inherited_attempts_[id] = {0, attempt.get<int>(), {endpoint, call.at("since").get<Time>(), number}, {}};
    }
  }
}

// Whether the module is to be told now.
bool Relay::resume_away(RecoveredMessage& kept, InheritedAttempt& away) {
  away.number = kept.in.id;
  if (directory_.find(away.call.endpoint) == nullptr) {
    away.untold = kept;
    return false;
  }
  kept.in.in_flight = away.call;
  ++out_[away.call.endpoint];
  return true;
}

void Relay::on_predecessor_frame(std::optional<HandoverFrame> parcel) {
  if (!parcel) {  // it is gone: what it had out may have run
    while (!inherited_attempts_.empty()) {
      policy::AttemptEnded lost;
      lost.outcome = policy::Outcome::kReset;
      const std::string id = inherited_attempts_.begin()->first;
      away_ended(id, lost, true);
    }
  } else if (parcel->kind == HandoverFrame::kClient && handed_over_) {
    handover_.send_frame(HandoverFrame::kClient, parcel->text, parcel->descriptor.get());
  } else if (parcel->kind == HandoverFrame::kClient) {
    clients_->adopt(parcel->text, parcel->descriptor.release());
  } else if (parcel->kind == HandoverFrame::kEnded) {
    const auto told = nlohmann::json::parse(parcel->text);
    policy::AttemptEnded end;
    end.outcome = static_cast<policy::Outcome>(told.at("outcome").get<int>());
    end.final = told.at("final").get<bool>();
    end.latency = told.at("took").get<Time>();
    end.retry_after = told.at("wait").get<Time>();
    for (const auto& value : told.at("report")) {
      end.load_report.push_back(value.is_null() ? std::numeric_limits<float>::quiet_NaN()
                                                : value.get<float>());
    }
    away_ended(told.at("id").get<std::string>(), std::move(end), told.at("began").get<bool>());
  }
}

void Relay::away_ended(const std::string& id, policy::AttemptEnded end, bool began) {
  const auto found = inherited_attempts_.find(id);
  if (found == inherited_attempts_.end()) return;
  const InheritedAttempt away = std::move(found->second);
  inherited_attempts_.erase(found);
  end.id = away.number;
  end.attempt = away.attempt;
  end.endpoint = away.call.endpoint;
  if (handed_over_) return pass_on(id, end, began);
  ended(end, began);
  if (!away.untold || end.final) return;
  RecoveredMessage kept = *away.untold;
  policy::MessageArrived& in = kept.in;
  in.ahead_in_order = true;
  if (began && !never_ran(end.outcome) && !in.may_have_run) {
    in.may_have_run = true;
    in.possibly_run_since = away.call.sent;
  }
  arrive({std::move(kept)});
}

// In one turn all goes to the process that asked, but the calls that are out: their ends follow.
void Relay::hand_over() {
  queue_event(policy::ShutdownScheduled{steady_now()});
  step();
  // Without what the disk had no room for the next process would take messages up that have ended.
  if (!journal_.settle() || !handover_.give_folder()) {
    handover_.withdraw();
    return queue_event(policy::ShutdownScheduled{closing_at()});
  }
  handed_over_ = true;
  events_.clear();
  net::log::info("handing_over");
  const auto tell = [&](const Endpoint& endpoint, Time since, const nlohmann::json& messages) {
    const ListedHost* host = directory_.find(endpoint);
    const nlohmann::json call = {
        {"host", host == nullptr ? "" : host->id}, {"since", since}, {"messages", messages}};
    handover_.send_frame(HandoverFrame::kCall, call.dump());
  };
  for (const Upstream::Out& call : upstream_.calls_out()) {
    nlohmann::json messages = nlohmann::json::object();
    for (const auto& [number, attempt] : call.messages) {
      if (const auto held = pending_messages_.find(number); held != pending_messages_.end())
        messages[held->second.handed.id] = attempt;
    }
    tell(call.endpoint, call.since, messages);
  }
  for (const auto& [id, away] : inherited_attempts_)
    tell(away.call.endpoint, away.call.sent, {{id, away.attempt}});
  const int listener = clients_ ? clients_->listener() : listener_.get();
  handover_.send_frame(HandoverFrame::kListener,
                       listener < 0 ? "" : net::text_of(clients_ ? clients_->address() : config_.listen),
                       listener);
  if (clients_) {
    clients_->hand_over([this](const std::string& state, int descriptor) {
      handover_.send_frame(HandoverFrame::kClient, state, descriptor);
    });
  } else {  // asked before it has opened: what the process before has to tell still passes through
    handover_.hear([this](std::optional<HandoverFrame> parcel) { on_predecessor_frame(std::move(parcel)); });
    listener_ = Descriptor();
  }
  handover_.hear_successor([this](std::optional<HandoverFrame> parcel) {
    if (!parcel || parcel->kind != HandoverFrame::kCancel) return;
    if (inherited_attempts_.contains(parcel->text))
      handover_.tell_before(HandoverFrame::kCancel, parcel->text);
    const auto number = numbers_.find(parcel->text);
    if (number != numbers_.end())
      upstream_.cancel(number->second, pending_messages_.at(number->second).attempts - 1);
  });
  if (watch_) watch_->close();
  if (fleet_) fleet_->close();
  notices_.close();
  upstream_.close_idle();
  wait_for_end();
}

void Relay::pass_on(const std::string& id, const policy::AttemptEnded& end, bool began) {
  nlohmann::json report = nlohmann::json::array();  // what is no number becomes null
  for (const float value : end.load_report) report.push_back(value);
  const nlohmann::json told = {{"id", id},
                               {"outcome", static_cast<int>(end.outcome)},
                               {"final", end.final},
                               {"took", end.latency},
                               {"wait", end.retry_after},
                               {"report", report},
                               {"began", began}};
  handover_.send_frame(HandoverFrame::kEnded, told.dump());
}

void Relay::accept_message(SubmittedMessage handed, Clients::Answer answer) {
  if (const auto number = numbers_.find(handed.id); number != numbers_.end()) {  // sent once more
    if (pending_messages_.at(number->second).accepted) return answer("+OK");
    pending_.push_back({number->second, std::move(answer)});
    return;
  }
  const int message_class = class_index(config_.settings, handed.message_class);
  if (message_class < 0) return answer("-ERR unknown class");
  const policy::ClassSettings& settings = config_.settings.classes[message_class];
  const RetiredClasses::Allowance allowance = retired_.allowance(settings, steady_now());
  if (allowance.removed) return answer("-ERR unknown class");
  if (settings.idempotency == policy::Idempotency::kIdempotentWithKey && handed.key.empty())
    return answer("-ERR no idempotency key");
  if (handed.time_to_live > allowance.max_lifetime + kClockSlack) return answer("-ERR d is too long");
  ClassMetrics& figures = metrics_.classes[handed.message_class];
  if (!directory_.known(handed.destination)) {
    ++figures.error;
    return answer("-ERR unknown destination");
  }
  if (pending_messages_.size() >= static_cast<size_t>(config_.settings.max_pending_messages)) {
    ++figures.overload;
    net::log::debug("put", "id", handed.id, "class", handed.message_class, "destination", handed.destination,
                    "life_ms", handed.time_to_live / kMs, "answer", kBusy);
    return answer(kBusy);
  }
  const uint64_t number = ++last_number_;
  policy::MessageArrived in;
  in.id = number;
  in.message_class = message_class;
  in.tenant = tenant_of(handed.tenant);
  in.deadline = steady_now() + handed.time_to_live - std::min(kTransit, handed.time_to_live);
  in.destination = handed.destination;
  in.ordering_key = handed.ordering_key;
  numbers_[handed.id] = number;
  const int64_t rules = delivery_terms_.current_number(config_.settings, handed.message_class);
  pending_messages_[number] = {std::move(handed), in.deadline, 0, false, rules};
  pending_.push_back({number, std::move(answer)});
  queue_event(in);
}

void Relay::on_endpoint_list(const HostList& list) {
  const Time now = clock_.now();
  const auto destinations = directory_.destinations().size();
  auto change = directory_.apply(list, now);
  journal_.remember(kRevision, std::to_string(directory_.revision()));
  for (const std::string& id : directory_.prune(now)) journal_.remember(kGone + id, "");
  if (!change) return;
  const auto members = change->endpoints;
  net::log::debug("list", "revision", directory_.revision(), "changed", members->size());
  queue_event(std::move(*change));
  for (const policy::EndpointInfo& member : *members) {
    const ListedHost* host = directory_.find(member.endpoint);
    if (host != nullptr) remember_host(*host);
    if (host != nullptr && directory_.suspended(host->id))
      queue_event(policy::EndpointSuspended{member.endpoint, true});
    forget_gone(member.endpoint);
  }
  if (directory_.destinations().size() != destinations) {
    journal_.remember(kDestinations, nlohmann::json(directory_.destinations()).dump());
  }
  std::erase_if(retry_after_until_, [now = steady_now()](const auto& wait) { return wait.second <= now; });
}

void Relay::remember_host(const ListedHost& host) {
  const bool gone = host.member.listing == policy::Listing::kGone;
  journal_.remember(kHost + host.id, gone ? "" : host.text);
  journal_.remember(kGone + host.id, gone ? std::to_string(directory_.gone().at(host.id)) : "");
}

// Its connections are of no use, and a machine that takes its address over must not get them. It is known
// until its last call has ended.
void Relay::forget_gone(const Endpoint& endpoint) {
  const ListedHost* host = directory_.find(endpoint);
  if (host == nullptr || host->member.listing != policy::Listing::kGone) return;
  upstream_.close_idle(endpoint);
  if (!out_.contains(endpoint)) directory_.forget(endpoint);
}

void Relay::on_endpoint_idle(const Endpoint& endpoint) {
  const auto out = out_.find(endpoint);
  if (out == out_.end() || --out->second > 0) return;
  out_.erase(out);
  forget_gone(endpoint);
}

void Relay::reload() {
  if (handed_over_) return;
  const auto rejected = [this](const net::Error& error) {
    ++metrics_.reload_failure;
    net::log::failed(net::log::Level::kWarn, "reload_rejected", error);
  };
  try {
    Config next = load_config();
    require_keys(config_.text, next.text);
    retired_.retire(config_.settings, next.settings, steady_now());
    apply(next);
    ++metrics_.reload_success;
    net::log::info("reloaded");
  } catch (const net::Error& error) {
    rejected(error);
  } catch (const std::exception& error) {  // of the module: nothing that a file holds may end the process
    rejected(BadConfig(error.what()));
  }
}

void Relay::apply(const Config& next) {
  const bool renamed = !(next.names == config_.names);
  std::vector<int> zones;
  for (const std::string& zone : config_.names.zones) zones.push_back(place_of(zone, next.names.zones));
  config_.discovery = next.discovery;
  config_.settings = next.settings;
  config_.settings = within_descriptors(config_);
  config_.names = next.names;
  config_.report_fields = next.report_fields;
  config_.text = next.text;
  for (auto& [id, away] : inherited_attempts_) {
    if (away.untold) away.untold->in.possibly_run_zone = zone_now(zones, away.untold->in.possibly_run_zone);
  }
  delivery_terms_.on_settings_changed();
  forget_unused_terms();
  if (pending_messages_.size() > static_cast<size_t>(config_.settings.max_pending_messages))
    last_over_ = last_number_;
  queue_event(policy::SettingsChanged{settings_told(), std::move(zones)});
  if (clients_) clients_->limit(most_clients(config_));
  upstream_.set(upstream_limits(config_), config_.report_fields);
  if (renamed) {
    if (watch_) watch_->rename(config_.names);
    on_endpoint_list(directory_.read_again(config_.names));
  }
  if (watch_) watch_->move(config_.discovery);
  notices_.move(config_.discovery);
}

std::pair<int, Endpoint> Relay::route_of(const policy::EndpointInfo& member) const {
  const auto& kinds = config_.settings.kinds;
  const bool apart = member.kind < static_cast<int>(kinds.size()) && kinds[member.kind].independent_endpoints;
  return {member.destination, apart ? member.endpoint : Endpoint{}};
}

// A message that ended by a notice is over for others only once that is taken, and one whose call is out in
// the process before once the module is told of it: until then none that came later under its key goes out.
bool Relay::is_next_in_order(const PendingMessage& held) const {
  const uint64_t about = held.handed.ordering_key;
  if (about == 0) return true;
  const bool waits =
      ordering_.awaits_acknowledgement(about) ||
      std::any_of(inherited_attempts_.begin(), inherited_attempts_.end(), [&](const auto& entry) {
        const auto& untold = entry.second.untold;
        return untold && untold->in.ordering_key == about && untold->rules.in_order;
      });
  return !waits || !is_ordered(terms_of(held.handed.message_class, held.rules), about);
}

// The last look before a call's first byte. While its connection came up the host may have been drained, its
// destination may have told another call to wait, or the message may be over.
bool Relay::may_start(const Call& call) {
  const auto held = pending_messages_.find(call.id);
  const ListedHost* host = directory_.find(call.endpoint);
  if (handed_over_ || held == pending_messages_.end() || !directory_.active(call.endpoint) ||
      steady_now() > call.start_by)
    return false;
  const auto wait = retry_after_until_.find(route_of(host->member));
  if (wait != retry_after_until_.end() && wait->second > steady_now()) return false;
  if (!is_next_in_order(held->second)) return false;
  net::log::debug("call", "id", held->second.handed.id, "attempt", call.attempt, "destination",
                  held->second.handed.destination, "host", host->id, "timeout_ms", call.timeout / kMs);
  const auto zone = static_cast<size_t>(host->member.zone);
  const auto& zones = config_.names.zones;
  return journal_.record_attempt(held->second.handed.id, call.attempt, clock_.now(), host->member.zone,
                                 zone < zones.size() ? zones[zone] : "");
}

void Relay::ended(const policy::AttemptEnded& end, bool began) {
  const auto held = pending_messages_.find(end.id);
  if (handed_over_) {
    if (held != pending_messages_.end()) pass_on(held->second.handed.id, end, began);
    return;
  }
  const ListedHost* host = directory_.find(end.endpoint);
  if (end.retry_after > 0 && (host != nullptr || held != pending_messages_.end())) {
    // A host that is listed no more told it for its destination; where routes are apart, for a route that is
    // gone.
    const auto lane =
        host != nullptr ? route_of(host->member) : std::pair(held->second.handed.destination, Endpoint{});
    Time& until = retry_after_until_[lane];
    until = std::max(until, steady_now() + end.retry_after);
  }
  if (held != pending_messages_.end()) {
    net::log::debug("call_ended", "id", held->second.handed.id, "attempt", end.attempt, "destination",
                    held->second.handed.destination, "host", host == nullptr ? "" : host->id.c_str(),
                    "outcome", name_of(end.outcome), "took_ms", end.latency / kMs, "wait_ms",
                    end.retry_after / kMs, "final", static_cast<int>(end.final));
    const bool hanging = end.outcome == policy::Outcome::kTimeout || end.outcome == policy::Outcome::kReset ||
                         end.outcome == policy::Outcome::kCancelled ||
                         end.outcome == policy::Outcome::kMalformedResponse;
    const SubmittedMessage& handed = held->second.handed;
    if (hanging && needs_hold(terms_of(handed.message_class, held->second.rules), handed.ordering_key))
      ordering_.hold(handed.ordering_key, config_.settings.ordering_pause);
    if (end.final) {
      if (end.outcome == policy::Outcome::kOk) ++metrics_.classes[held->second.handed.message_class].success;
      finish(end.id, {});
    } else if (began && never_ran(end.outcome)) {
      journal_.record_not_started(held->second.handed.id, end.attempt);
    }
  }
  policy::AttemptEnded told = end;
  told.call_started = began;
  queue_event(std::move(told));
  on_endpoint_idle(end.endpoint);
}

void Relay::queue_event(policy::Event event) {
  if (handed_over_) return;
  events_.push_back(std::move(event));
  if (step_posted_) return;
  step_posted_ = true;
  boost::asio::post(io_, [this] { step(); });
}

void Relay::step() {
  step_posted_ = false;
  if (handed_over_) return;
  std::vector<policy::Event> events;
  events.swap(events_);
  std::vector<policy::Action> actions;
  policy_.step(steady_now(), events, actions);
  answer_pending(actions);
  for (const policy::Action& action : actions) carry_out(action);
  for (auto& [endpoint, bundle] : std::exchange(joined_, {})) start_call(std::move(bundle));
  arm();
}

// A message is the relay's from the moment that its record is written; only then its client is told, and only
// then it may be sent.
void Relay::answer_pending(const std::vector<policy::Action>& actions) {
  std::map<uint64_t, std::string> turned_away;
  if (!pending_.empty()) {
    for (const policy::Action& action : actions) {
      if (const auto* refuse = std::get_if<policy::Reject>(&action)) {
        const Time ms = (refuse->retry_after + kMs - 1) / kMs;
        turned_away[refuse->id] = ms > 0 ? kRefused + " " + std::to_string(ms) : kRefused;
      } else if (const auto* fail = std::get_if<policy::Fail>(&action)) {
        turned_away[fail->id] = "-ERR failed";
      }
    }
  }
  std::vector<Pending> pending;
  pending.swap(pending_);
  std::map<uint64_t, std::string> answers;  // one for all who handed the same message in
  for (const Pending& item : pending) {
    const auto [line, fresh] = answers.try_emplace(item.number, "+OK");
    const auto held = pending_messages_.find(item.number);
    if (fresh && held != pending_messages_.end()) {
      const SubmittedMessage& handed = held->second.handed;
      ClassMetrics& figures = metrics_.classes[handed.message_class];
      if (const auto away = turned_away.find(item.number); away != turned_away.end()) {
        line->second = away->second;
        ++(line->second.starts_with(kRefused) ? figures.overload : figures.error);
      } else if (journal_.record_accepted(handed, clock_.from_steady(held->second.due), held->second.rules)) {
        held->second.accepted = true;
      } else {
        line->second = kBusy;  // no room on the disk
        ++figures.overload;
        queue_event(policy::MessageWithdrawn{item.number});
      }
      net::log::debug("put", "id", handed.id, "class", handed.message_class, "destination",
                      handed.destination, "life_ms", handed.time_to_live / kMs, "answer", line->second);
      if (!held->second.accepted) {
        numbers_.erase(handed.id);
        pending_messages_.erase(held);
      }
    }
    item.answer(line->second);
  }
}

void Relay::carry_out(const policy::Action& action) {
  if (const auto* send = std::get_if<policy::SendAttempt>(&action)) {
    const auto held = pending_messages_.find(send->id);
    const ListedHost* host = directory_.find(send->endpoint);
    if (held == pending_messages_.end() || host == nullptr) {
      policy::AttemptEnded moot;
      moot.id = send->id;
      moot.endpoint = send->endpoint;
      moot.outcome = policy::Outcome::kNotStarted;
      moot.call_started = false;
      moot.final = held == pending_messages_.end();  // given back in this very turn for want of room
      if (!moot.final) moot.attempt = held->second.attempts++;
      return queue_event(std::move(moot));
    }
    Call call;
    call.id = send->id;
    call.endpoint = send->endpoint;
    call.attempt = held->second.attempts++;
    call.address = host->address;
    call.call_id = held->second.handed.id;
    call.key = held->second.handed.key;
    call.body = held->second.handed.body;
    call.timeout = send->timeout;
    call.start_by = send->latest_start;
    call.last = steady_now() + send->timeout >= held->second.due;
    ++out_[call.endpoint];
    join(std::move(call), host->member.kind);
  } else if (const auto* refuse = std::get_if<policy::Reject>(&action)) {
    const auto held = pending_messages_.find(refuse->id);
    if (held != pending_messages_.end())
      finish(refuse->id, FinalAnswer{held->second.handed.id, true, refuse->retry_after});
  } else if (const auto* fail = std::get_if<policy::Fail>(&action)) {
    const auto held = pending_messages_.find(fail->id);
    if (held != pending_messages_.end()) finish(fail->id, FinalAnswer{held->second.handed.id, false, 0});
  } else if (const auto* cancel = std::get_if<policy::Cancel>(&action)) {
    upstream_.cancel(cancel->id, cancel->attempt);
    const auto held = pending_messages_.find(cancel->id);
    if (held != pending_messages_.end() && inherited_attempts_.contains(held->second.handed.id)) {
      handover_.tell_before(HandoverFrame::kCancel, held->second.handed.id);
    }
  } else if (const auto* probe = std::get_if<policy::SendHealthCheck>(&action)) {
    const ListedHost* host = directory_.find(probe->endpoint);
    if (host == nullptr) return queue_event(policy::HealthCheckEnded{probe->endpoint, false, 0, {}});
    ++out_[probe->endpoint];
    upstream_.probe(probe->endpoint, host->address);
  } else if (const auto* close = std::get_if<policy::CloseIdleConnections>(&action)) {
    upstream_.close_idle(close->endpoint);
  } else if (const auto* timer = std::get_if<policy::SetTimer>(&action)) {
    wake_ = timer->at;  // only the newest counts: it is set anew in each step that needs one
  } else if (const auto* memory = std::get_if<policy::PersistDestinationState>(&action)) {
    remember(memory->state);
  } else if (const auto* log = std::get_if<policy::Log>(&action)) {
    net::log::info("decision", "text", log->text);
  }
}

// What goes to one host in one turn travels as one call where its kind allows it: the module counts on that
// one slot and one place under the host's limit.
void Relay::join(Call call, int kind) {
  const auto& kinds = config_.settings.kinds;
  const size_t most =
      kind < static_cast<int>(kinds.size()) ? static_cast<size_t>(kinds[kind].max_batch_size) : 1;
  if (most <= 1) return upstream_.call(std::move(call));
  std::vector<Call>& bundle = joined_[call.endpoint];
  size_t bytes = bundle_line(call).size();
  for (const Call& other : bundle) bytes += bundle_line(other).size();
  if (bundle.size() == most || (!bundle.empty() && bytes > kMostBundle)) {
    start_call(std::exchange(bundle, {}));
  }
  bundle.push_back(std::move(call));
}

// The message that lives longest goes first: a host is held to the time of the first, and an answer after it
// counts for none of them, though others have time left.
void Relay::start_call(std::vector<Call> bundle) {
  std::stable_sort(bundle.begin(), bundle.end(), [this](const Call& a, const Call& b) {
    return pending_messages_.at(a.id).due > pending_messages_.at(b.id).due;
  });
  upstream_.call(std::move(bundle));
}

// The message is over; with a notice, that is still owed.
void Relay::finish(uint64_t number, std::optional<FinalAnswer> notice) {
  const auto held = pending_messages_.find(number);
  net::log::debug("end", "id", held->second.handed.id, "destination", held->second.handed.destination,
                  "state",
                  !notice            ? "settled"
                  : notice->returned ? "returned"
                                     : "failed",
                  "after_ms", notice ? notice->retry_after / kMs : 0);
  if (notice) {
    ClassMetrics& figures = metrics_.classes[held->second.handed.message_class];
    ++(notice->returned ? figures.overload : figures.error);
    const SubmittedMessage& over = held->second.handed;
    if (is_ordered(terms_of(over.message_class, held->second.rules), over.ordering_key))
      ordering_.add_unacknowledged(over.id, over.ordering_key);
    publish_outcome({std::move(*notice), held->second.due});
  } else {
    journal_.record_acknowledged(held->second.handed.id);
  }
  numbers_.erase(held->second.handed.id);
  pending_messages_.erase(held);
  if (last_over_ == 0) return;
  const auto over = std::count_if(pending_messages_.begin(), pending_messages_.end(),
                                  [this](const auto& entry) { return entry.first <= last_over_; });
  if (2 * over > config_.settings.max_pending_messages) return;
  last_over_ = 0;
  queue_event(policy::SettingsChanged{settings_told(), {}});
}

// Its client may hand a message in again once it is told of the end: the next process must not call it then.
// So the record comes first; without one the notice waits until the message's time is over, when no process
// calls it either.
void Relay::publish_outcome(UnrecordedEnd end) {
  if (journal_.record_final_answer(end.notice) || end.due <= steady_now() + kRecordPause)
    return notices_.add(std::move(end.notice));
  unrecorded_ends_.push_back(std::move(end));
  if (unrecorded_ends_.size() == 1) record_ends();
}

void Relay::record_ends() {
  record_timer_.expires_after(std::chrono::microseconds(kRecordPause));
  record_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error || handed_over_) return;
    const bool recorded = journal_.settle();
    const Time over = steady_now() + kRecordPause;
    std::vector<UnrecordedEnd> left;
    for (UnrecordedEnd& end : std::exchange(unrecorded_ends_, {})) {
      recorded || end.due <= over ? notices_.add(std::move(end.notice)) : left.push_back(std::move(end));
    }
    unrecorded_ends_ = std::move(left);
    if (!unrecorded_ends_.empty()) record_ends();
  });
}

void Relay::arm() {
  if (wake_ == armed_) return;
  armed_ = wake_;
  if (armed_ == 0) return;
  wake_timer_.expires_at(at_time(armed_));
  wake_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    armed_ = 0;
    queue_event(policy::TimerFired{static_cast<uint64_t>(std::exchange(wake_, 0))});
  });
}

void Relay::stop() {
  if (stopping_since_ != 0) return;
  stopping_since_ = steady_now();
  net::log::info("stopping", "held", pending_messages_.size(), "handed_over", handed_over_ ? 1 : 0);
  if (handed_over_) return;  // it ends as soon as it can
  queue_event(policy::ShutdownScheduled{closing_at()});
  wait_for_end();
}

Time Relay::closing_at() const {
  return stopping_since_ == 0 ? std::numeric_limits<Time>::max() : stopping_since_ + kLastCall;
}

// Nobody is there who could be told their ends: the process that comes next sends again, and must find none
// of them out.
void Relay::give_up_calls() {
  for (const Upstream::Out& call : upstream_.calls_out()) {
    upstream_.cancel(call.messages.front().first, call.messages.front().second);
  }
  for (const auto& [id, away] : inherited_attempts_) handover_.tell_before(HandoverFrame::kCancel, id);
}

void Relay::wait_for_end() {
  if (handed_over_ && !handover_.has_successor()) give_up_calls();
  if (handed_over_ && upstream_.out() == 0 && inherited_attempts_.empty() &&
      (!clients_ || clients_->answered())) {
    return io_.stop();
  }
  const Time age = stopping_since_ == 0 ? 0 : steady_now() - stopping_since_;
  if (age >= kServeOn && !closed_ && !handed_over_) {
    closed_ = true;
    if (clients_) clients_->finish();
  }
  const bool idle = !handed_over_ && pending_messages_.empty() && unrecorded_ends_.empty() &&
                    notices_.empty() && (!clients_ || clients_->ended());
  if (closed_ && idle) return io_.stop();
  const bool last = age >= kLastCall;
  if (last) {  // a request that was read has its answer
    if (clients_) clients_->read_no_more();
    const bool answered = !step_posted_ && (!clients_ || clients_->answered());
    if (answered || age >= kLastMoment) return io_.stop();
  }
  stop_timer_.expires_after(std::chrono::microseconds(last ? kLastPoll : kStopPoll));
  stop_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) wait_for_end();
  });
}

}  // namespace turntally::relay
