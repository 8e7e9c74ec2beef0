#include "sim/wire.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace turntally::sim {
namespace {

constexpr size_t kListEntryBytes = 24;
constexpr uint32_t kMaxLists = 16;  // lists of endpoints are numbered below this
constexpr size_t kMaxTextBytes = 0xffff;
constexpr uint16_t kAllPeers = 0xffff;

// Names of the wire protocol, which are used in this file only: codes of records, and fields as error
// messages name them.
enum class EventCode : uint8_t {
  kPowerOn = 1,
  kView = 2,
  kRequest = 3,
  kFirst = 4,
  kOutcome = 5,
  kDropped = 6,
  kBell = 7,
  kHealth = 8,
  kWhisper = 9,
  kKill = 10,
  kDefineList = 11,
  kSwitchTo = 12
};

enum class ActionCode : uint8_t {
  kRelease = 1,
  kPushBack = 2,
  kWakeMe = 3,
  kSpeaking = 4,
  kCallOff = 5,
  kPanic = 6,
  kRoute = 7,
  kStreamChanges = 8,
  kLog = 10,
  kSignal = 11,
  kLose = 12,
  kSoundOut = 13
};

enum ListForm : uint8_t { kDelta = 0, kCached = 2, kFailed = 3, kFull = 4 };
enum Readiness : uint8_t { kGone = 0, kReady = 1, kDraining = 2 };

namespace field {

constexpr char kEndpoint[] = "host";
constexpr char kLoadReport[] = "metrics";
constexpr char kListing[] = "readiness";
constexpr char kZone[] = "area";
constexpr char kWeight[] = "power_hint";
constexpr char kEntryDestination[] = "cell";
constexpr char kStartTime[] = "start_time_s";
constexpr char kKind[] = "hw";
constexpr char kMessageId[] = "op_id";
constexpr char kMessageClass[] = "category";
constexpr char kTenant[] = "customer";
constexpr char kOrderingKey[] = "entity";
constexpr char kDeadline[] = "due_s";
constexpr char kEffort[] = "effort_s";
constexpr char kMessageDestination[] = "terminates_at";
constexpr char kOptions[] = "options";
constexpr char kOutcome[] = "state_code";
constexpr char kLatency[] = "took_s";
constexpr char kFinal[] = "final";
constexpr char kRetryAfter[] = "note";
constexpr char kAttempt[] = "hop";
constexpr char kGossipFrom[] = "by";
constexpr char kGossip[] = "octets";
constexpr char kSeed[] = "prng";
constexpr char kSettings[] = "facts";
constexpr char kList[] = "ref";
constexpr char kForm[] = "form";
constexpr char kRevision[] = "gen";
constexpr char kTimerToken[] = "mark";
constexpr char kListEntries[] = "nodes_list";
constexpr char kInstance[] = "relay_id";
constexpr char kStreamedPart[] = "first";

}  // namespace field

constexpr size_t kStreamedPartBytes = 23;

// Reads big-endian fields, and reports the position of malformed ones.
class Reader {
 public:
  Reader(std::string_view bytes, size_t origin) : bytes_(bytes), origin_(origin) {}

  size_t remaining() const { return bytes_.size() - offset_; }
  size_t position() const { return origin_ + offset_; }

  std::string_view raw(size_t count, const char* field_name) {
    if (count > remaining()) fail(std::string(field_name) + " is cut short");
    offset_ += count;
    return bytes_.substr(offset_ - count, count);
  }

  template <typename T>
  T number(const char* field_name) {
    uint64_t value = 0;
    for (const char byte : raw(sizeof(T), field_name)) value = (value << 8) | static_cast<uint8_t>(byte);
    return static_cast<T>(value);
  }

  uint8_t u8(const char* field_name) { return number<uint8_t>(field_name); }
  uint16_t u16(const char* field_name) { return number<uint16_t>(field_name); }
  uint32_t u32(const char* field_name) { return number<uint32_t>(field_name); }
  uint64_t u64(const char* field_name) { return number<uint64_t>(field_name); }
  float f32(const char* field_name) { return std::bit_cast<float>(u32(field_name)); }

  Time time(const char* field_name) {
    const auto seconds = std::bit_cast<double>(u64(field_name));
    if (!(std::abs(seconds) < 1e12)) fail(std::string(field_name) + " is out of range");
    return std::llround(seconds * 1e6);
  }

  Endpoint endpoint() {
    Endpoint out;
    out.address = u32(field::kEndpoint);
    out.port = u16(field::kEndpoint);
    return out;
  }

  std::vector<float> report() {
    const size_t count = u8(field::kLoadReport);
    if (count * sizeof(float) > remaining()) fail(std::string(field::kLoadReport) + " is cut short");
    std::vector<float> out(count);
    for (float& value : out) value = f32(field::kLoadReport);
    return out;
  }

  [[noreturn]] void fail(const std::string& problem) const {
    throw WireError(problem + " at byte " + std::to_string(position()));
  }

 private:
  std::string_view bytes_;
  size_t origin_;
  size_t offset_ = 0;
};

policy::EndpointInfo read_endpoint(Reader& in) {
  policy::EndpointInfo out;
  const uint8_t state = in.u8(field::kListing);
  if (state > kDraining) in.fail(std::string("unknown ") + field::kListing);
  out.listing = state == kReady      ? policy::Listing::kReady
                : state == kDraining ? policy::Listing::kDraining
                                     : policy::Listing::kGone;
  out.zone = in.u8(field::kZone);
  out.weight = in.f32(field::kWeight);
  if (!std::isfinite(out.weight)) out.weight = 0;
  out.endpoint = in.endpoint();
  out.destination = in.u16(field::kEntryDestination);
  in.time(field::kStartTime);
  out.kind = in.u16(field::kKind);
  return out;
}

policy::MessageArrived read_message(Reader& in) {
  policy::MessageArrived out;
  out.id = in.u64(field::kMessageId);
  out.message_class = in.u8(field::kMessageClass);
  out.tenant = in.u16(field::kTenant);
  out.ordering_key = in.u64(field::kOrderingKey);
  out.deadline = in.time(field::kDeadline);
  in.time(field::kEffort);
  const float destination = in.f32(field::kMessageDestination);
  if (!(destination >= 0 && destination <= 0xffff))
    in.fail(std::string(field::kMessageDestination) + " is out of range");
  out.destination = static_cast<int>(destination);
  in.u8(field::kOptions);
  return out;
}

policy::Outcome to_outcome(Reader& in) {
  constexpr policy::Outcome kByCode[] = {policy::Outcome::kError,         policy::Outcome::kOk,
                                         policy::Outcome::kRejected,      policy::Outcome::kTimeout,
                                         policy::Outcome::kConnectFailed, policy::Outcome::kReset,
                                         policy::Outcome::kCancelled,     policy::Outcome::kNotStarted};
  const uint8_t code = in.u8(field::kOutcome);
  if (code >= std::size(kByCode)) in.fail(std::string("unknown ") + field::kOutcome);
  return kByCode[code];
}

policy::AttemptEnded read_outcome(Reader& in) {
  policy::AttemptEnded out;
  out.id = in.u64(field::kMessageId);
  out.endpoint = in.endpoint();
  out.latency = in.time(field::kLatency);
  out.outcome = to_outcome(in);
  out.final = in.u8(field::kFinal) != 0;
  const uint32_t retry_after_ms = in.u32(field::kRetryAfter);
  if (out.outcome == policy::Outcome::kRejected) out.retry_after = Time{retry_after_ms} * 1000;
  out.attempt = in.u8(field::kAttempt);
  out.load_report = in.report();
  return out;
}

policy::HealthCheckEnded read_health_check(Reader& in) {
  policy::HealthCheckEnded out;
  out.endpoint = in.endpoint();
  out.ok = to_outcome(in) == policy::Outcome::kOk;
  out.latency = in.time(field::kLatency);
  out.load_report = in.report();
  return out;
}

InstanceStart read_power_on(Reader& in) {
  InstanceStart out;
  out.seed = in.u64(field::kSeed);
  const uint32_t count = in.u32(field::kSettings);
  out.settings_text = in.raw(count, field::kSettings);
  return out;
}

policy::GossipReceived read_gossip(Reader& in) {
  policy::GossipReceived out;
  out.from = in.u16(field::kGossipFrom);
  const uint16_t count = in.u16(field::kGossip);
  out.bytes = in.raw(count, field::kGossip);
  return out;
}

using Lists = std::map<uint32_t, std::shared_ptr<const std::vector<policy::EndpointInfo>>>;

void define_list(Reader& in, Lists& lists) {
  const uint32_t number = in.u32(field::kList);
  const uint32_t count = in.u32(field::kListEntries);
  if (number >= kMaxLists) in.fail("list number is out of range");
  if (count > in.remaining() / kListEntryBytes) in.fail(std::string(field::kListEntries) + " is cut short");
  auto list = std::make_shared<std::vector<policy::EndpointInfo>>();
  list->reserve(count);
  for (uint32_t i = 0; i < count; ++i) list->push_back(read_endpoint(in));
  lists[number] = std::move(list);
}

policy::EndpointListChanged read_list_change(Reader& in, const Lists& lists) {
  using Form = policy::EndpointListChanged::Form;
  const uint32_t number = in.u32(field::kList);
  const uint8_t form = in.u8(field::kForm);
  in.u32(field::kRevision);
  policy::EndpointListChanged event;
  if (form == kFailed) {
    event.form = Form::kFailed;
    return event;
  }
  if (form != kDelta && form != kCached && form != kFull) in.fail("unknown form");
  event.form = form == kDelta ? Form::kDelta : Form::kFull;
  const auto list = lists.find(number);
  if (list == lists.end()) in.fail("view of an undefined list");
  event.endpoints = list->second;
  return event;
}

// `start` is the byte position of the record.
std::variant<policy::Event, InstanceStart, InstanceKill> read_event(EventCode code, Reader& in,
                                                                    const Lists& lists, size_t start) {
  switch (code) {
    case EventCode::kPowerOn:
      return read_power_on(in);
    case EventCode::kView:
      return policy::Event(read_list_change(in, lists));
    case EventCode::kRequest:
      return policy::Event(read_message(in));
    case EventCode::kOutcome:
      return policy::Event(read_outcome(in));
    case EventCode::kDropped:
      return policy::Event(policy::MessageWithdrawn{in.u64(field::kMessageId)});
    case EventCode::kBell:
      return policy::Event(policy::TimerFired{in.u64(field::kTimerToken)});
    case EventCode::kHealth:
      return policy::Event(read_health_check(in));
    case EventCode::kWhisper:
      return policy::Event(read_gossip(in));
    case EventCode::kKill:
      return InstanceKill{};
    default:
      throw WireError("unknown event code " + std::to_string(static_cast<int>(code)) + " at byte " +
                      std::to_string(start));
  }
}

template <typename T>
void put(std::string& out, T value) {
  for (int shift = 8 * (static_cast<int>(sizeof(T)) - 1); shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((static_cast<uint64_t>(value) >> shift) & 0xff));
  }
}

void put_code(std::string& out, ActionCode code) { put(out, static_cast<uint8_t>(code)); }

void put_time(std::string& out, Time value) {
  put(out, std::bit_cast<uint64_t>(static_cast<double>(value) / 1e6));
}

void put_endpoint(std::string& out, const Endpoint& endpoint) {
  put(out, endpoint.address);
  put(out, endpoint.port);
}

void put_text(std::string& out, std::string_view text) {
  text = text.substr(0, kMaxTextBytes);
  put(out, static_cast<uint16_t>(text.size()));
  out.append(text);
}

std::string text_of(const policy::LogRouteChange& change) {
  using State = policy::LogRouteChange::State;
  const std::string route = "destination " + std::to_string(change.destination) + ": ";
  switch (change.state) {
    case State::kOutage:
      return route + "outage, " + std::string(change.reason) +
             "; rate before: " + std::to_string(std::lround(60 * change.rate_before_outage)) +
             " calls per minute";
    case State::kSuspicionCleared:
      return route + "suspicion cleared, calls were only slow";
    case State::kRecovering:
      return route + "recovering, slow start begins";
    case State::kRecoveryFailed:
      return route + "recovery failed";
    case State::kWarmedUp:
      break;
  }
  return route + "warm";
}

// Writes one action's code and fields.
struct ActionWriter {
  std::string& out;

  void operator()(const policy::SendAttempt& a) const {
    put_code(out, ActionCode::kRoute);
    put(out, a.id);
    put_endpoint(out, a.endpoint);
    put_time(out, a.timeout);
  }
  void operator()(const policy::Reject& a) const {
    put_code(out, ActionCode::kPushBack);
    put(out, a.id);
    put_time(out, a.retry_after);
  }
  void operator()(const policy::Fail& a) const {
    put_code(out, ActionCode::kLose);
    put(out, a.id);
  }
  void operator()(const policy::Cancel& a) const {
    put_code(out, ActionCode::kCallOff);
    put(out, a.id);
    put(out, static_cast<uint8_t>(a.attempt));
  }
  void operator()(const policy::SendHealthCheck& a) const {
    put_code(out, ActionCode::kSoundOut);
    put_endpoint(out, a.endpoint);
  }
  void operator()(const policy::CloseIdleConnections& a) const {
    put_code(out, ActionCode::kRelease);
    put_endpoint(out, a.endpoint);
  }
  void operator()(const policy::SetTimer& a) const {
    put_code(out, ActionCode::kWakeMe);
    put(out, a.token);
    put_time(out, a.at);
  }
  void operator()(const policy::OpenListWatch&) const {
    put_code(out, ActionCode::kStreamChanges);
    put<uint8_t>(out, 1);  // enabled
  }
  void operator()(const policy::SendGossip& a) const {
    put_code(out, ActionCode::kSignal);
    put(out, kAllPeers);
    put_text(out, a.bytes);
  }
  void operator()(const policy::PersistRetryBudget&) const {}
  void operator()(const policy::PersistRoute&) const {}
  void operator()(const policy::PersistEndpointSlowStart&) const {}
  void operator()(const policy::LogRouteChange& a) const {
    put_code(out, ActionCode::kLog);
    put_text(out, text_of(a));
  }
};

}  // namespace

Header decode_header(std::string_view bytes) {
  Reader in(bytes, 0);
  Header out;
  out.length = in.u32("length");
  out.records = in.u32("number of records");
  if (out.records > out.length) in.fail("number of records is impossible");
  out.clock = in.time("clock");
  return out;
}

std::vector<InstanceEvent> Decoder::decode(const Header& header, std::string_view body) {
  Reader in(body, kHeaderBytes);
  std::vector<InstanceEvent> out;
  int instance = -1;
  for (uint32_t i = 0; i < header.records; ++i) {
    const size_t start = in.position();
    const auto code = static_cast<EventCode>(in.u8("event code"));
    if (code == EventCode::kSwitchTo) {
      instance = in.u16(field::kInstance);
    } else if (code == EventCode::kDefineList) {
      define_list(in, lists_);
    } else if (code == EventCode::kFirst) {  // streamed answers are not used
      in.raw(kStreamedPartBytes, field::kStreamedPart);
    } else {
      auto event = read_event(code, in, lists_, start);
      if (instance < 0) in.fail("event before switch_to");
      out.push_back({instance, std::move(event)});
    }
  }
  if (in.remaining() > 0) in.fail("bytes left over");
  return out;
}

void Encoder::begin_instance(int instance) {
  put_code(body_, ActionCode::kSpeaking);
  put(body_, static_cast<uint16_t>(instance));
  ++records_;
}

void Encoder::add_actions(int instance, std::span<const policy::Action> actions) {
  const auto is_persistence = [](const policy::Action& action) {
    return std::holds_alternative<policy::PersistRetryBudget>(action) ||
           std::holds_alternative<policy::PersistRoute>(action) ||
           std::holds_alternative<policy::PersistEndpointSlowStart>(action);
  };
  if (std::all_of(actions.begin(), actions.end(), is_persistence)) return;
  begin_instance(instance);
  for (const policy::Action& action : actions) {
    if (is_persistence(action)) continue;  // a simulated relay has no persistent state
    std::visit(ActionWriter{body_}, action);
    ++records_;
  }
}

void Encoder::add_panic(int instance, std::string_view text) {
  begin_instance(instance);
  put_code(body_, ActionCode::kPanic);
  put_text(body_, text);
  ++records_;
}

std::string Encoder::frame() const {
  std::string out;
  put(out, static_cast<uint32_t>(body_.size()));
  put(out, records_);
  return out + body_;
}

}  // namespace turntally::sim
