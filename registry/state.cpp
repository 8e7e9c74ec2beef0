#include "registry/state.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <tuple>

namespace turntally::registry {
namespace {

using nlohmann::json;

constexpr int kFormat = 2;                 // 1: without leases and sources
constexpr Millis kForgetSource = 600'000;  // one that owns nothing any more
constexpr size_t kMostDrains = 10'000;

std::string to_bytes(const json& value) {
  const std::vector<uint8_t> bytes = json::to_cbor(value);
  return {bytes.begin(), bytes.end()};
}

json pack(const Entry& e) {
  json out = json::array({e.id, e.host_port, e.locality, e.kind, e.group, e.state, e.weight, e.up_since_ms,
                          e.ttl_ms, e.revision});
  if (!e.owner.empty()) out.insert(out.end(), {e.owner, e.source_state, e.drained_by_operator});
  return out;
}

Entry unpack(const json& j) {
  Entry out{j.at(0), j.at(1), j.at(2), j.at(3), j.at(4), j.at(5), j.at(6), j.at(7), j.at(8), j.at(9)};
  if (j.size() > 10) {
    out.owner = j.at(10);
    out.source_state = j.at(11);
    out.drained_by_operator = j.at(12);
  }
  return out;
}

json pack(const std::optional<Entry>& entry) { return entry ? pack(*entry) : json(); }

std::optional<Entry> unpack_some(const json& j) {
  if (j.is_null()) return {};
  return unpack(j);
}

json pack(const LeaseLimits& l) {
  return json::array({l.least_ttl_ms, l.most_ttl_ms, l.waiting, l.past, l.leases, l.record});
}

LeaseLimits unpack_limits(const json& j) { return {j.at(0), j.at(1), j.at(2), j.at(3), j.at(4), j.at(5)}; }

json pack(const LeaseCommand& c) {
  return json::array({static_cast<int>(c.kind), c.name, c.holder, c.ttl_ms, c.token, c.to, c.checkpoint});
}

LeaseCommand unpack_call(const json& j) {
  const int kind = j.at(0);
  if (kind < 0 || kind > static_cast<int>(LeaseCommand::Kind::kCheckpoint))
    throw std::invalid_argument("no such call of a lease");
  return {static_cast<LeaseCommand::Kind>(kind), j.at(1), j.at(2), j.at(3), j.at(4), j.at(5), j.at(6)};
}

}  // namespace

std::string encode(const Command& command) {
  json items = json::array();
  for (const Mutation& item : command.mutations) {
    items.push_back({item.id, pack(item.entry), item.if_match ? json(*item.if_match) : json()});
  }
  json out = {
      static_cast<int>(command.kind), command.now_ms, command.request, items, command.text, command.number};
  // What logs of before have nothing of is left out where it says nothing.
  const bool lease = command.kind == Command::Kind::kLease;
  if (lease || command.kind == Command::Kind::kMirror || !command.fence.empty()) {
    out.push_back(lease ? pack(command.lease) : json());
    out.push_back(command.fence);
    out.push_back(command.fence_token);
    out.push_back(command.whole);
    if (command.serial != 0) out.push_back(command.serial);
  }
  return to_bytes(out);
}

Command decode(const std::string& bytes) {
  const json j = json::from_cbor(bytes, false);  // a log may pad it
  Command out;
  const int kind = j.at(0);
  if (kind < 0 || kind > static_cast<int>(Command::Kind::kMirror))
    throw std::invalid_argument("no such command");
  out.kind = static_cast<Command::Kind>(kind);
  out.now_ms = j.at(1);
  out.request = j.at(2);
  for (const json& item : j.at(3)) {
    const json& match = item.at(2);
    out.mutations.push_back({item.at(0), unpack_some(item.at(1)),
                             match.is_null() ? std::nullopt : std::optional(match.get<Revision>())});
  }
  out.text = j.at(4);
  out.number = j.at(5);
  if (j.size() > 6) {
    if (!j.at(6).is_null()) out.lease = unpack_call(j.at(6));
    out.fence = j.at(7);
    out.fence_token = j.at(8);
    if (j.size() > 9) out.whole = j.at(9);
    if (j.size() > 10) out.serial = j.at(10);
  }
  return out;
}

std::optional<ApplyResult> State::refusal(const std::vector<Mutation>& items) const {
  for (const Mutation& item : items) {
    if (!item.if_match) continue;
    const auto it = entries_.find(item.id);
    const Revision has = it == entries_.end() ? 0 : it->second.revision;
    if (has != *item.if_match) return ApplyResult{ApplyResult::Kind::kConflict, has, item.id};
  }
  return {};
}

void State::set(Revision index, const std::string& id, std::optional<Entry> entry) {
  const auto it = entries_.find(id);
  Change change{index, id, {}, {}};
  if (entry) {
    entry->id = id;
    if (it != entries_.end()) entry->revision = it->second.revision;
    if (it != entries_.end() && it->second == *entry) return;
    entry->revision = index;
    entries_[id] = *entry;
    change.entry = std::move(entry);
  } else {
    if (it == entries_.end()) return;
    change.last = it->second;
    entries_.erase(it);
    due_.erase(id);
    lapsed_.erase(id);
  }
  revision_ = index;
  changes_.push_back(std::move(change));
  // A revision goes whole: a watch never gets a part of what was written at once.
  while (changes_.size() > limits_.kept_changes && changes_.front().revision != index) {
    compacted_ = changes_.front().revision;
    while (changes_.front().revision == compacted_) changes_.pop_front();
  }
}

// What is not renewed becomes leaving, then is gone. Many that would lapse at once speak against us, not
// them: then nothing lapses until they are renewed or fewer are due.
void State::expire(Revision index) {
  while (!lapses_.empty() && lapses_.front() <= now_ - limits_.expiry_window_ms) lapses_.pop_front();
  std::vector<std::string> due;
  std::vector<std::string> gone;
  for (const auto& [id, at] : due_) {
    if (at > now_) continue;
    (entries_.at(id).state == "leaving" ? gone : due).push_back(id);
  }
  const auto share = static_cast<size_t>(limits_.max_expired_share * static_cast<double>(due_.size()));
  expiry_paused_ = lapses_.size() + due.size() > std::max(limits_.expired_always_allowed, share);
  if (!expiry_paused_) {
    for (const std::string& id : due) {
      Entry entry = entries_.at(id);
      entry.state = "leaving";
      set(index, id, entry);
      due_[id] = now_ + limits_.leave_ms;
      lapsed_.insert(id);
      lapses_.push_back(now_);
    }
  }
  for (const std::string& id : gone) set(index, id, {});
}

void State::remember(const std::string& request, const ApplyResult& answer) {
  if (request.empty()) return;
  answers_[request] = answer;
  requests_.push_back(request);
  while (requests_.size() > limits_.kept_requests) {
    answers_.erase(requests_.front());
    requests_.pop_front();
  }
}

// What an operator or a deployment says. Of a mirrored entry only the phase is theirs: a drain, which lasts
// whatever the source says, until they take it back; and that it is to leave the list.
void State::write(Revision index, const Mutation& item) {
  const auto it = entries_.find(item.id);
  if (item.entry && item.entry->state == "active") drains_.erase(item.id);
  if (it != entries_.end() && !it->second.owner.empty()) {
    if (!item.entry) return leave(index, item.id);
    Entry entry = it->second;
    entry.drained_by_operator = item.entry->state == "leaving";
    entry.state = entry.drained_by_operator ? "leaving" : entry.source_state;
    return set(index, item.id, entry);
  }
  std::optional<Entry> entry = item.entry;
  if (entry) {
    entry->owner.clear();
    entry->source_state.clear();
    entry->drained_by_operator = false;
  }
  set(index, item.id, entry);
  lapsed_.erase(item.id);
  due_.erase(item.id);
  if (entry && entry->ttl_ms > 0) due_[item.id] = now_ + entry->ttl_ms;
}

// A mirrored entry goes; an operator's drain of it outlasts that.
void State::leave(Revision index, const std::string& id) {
  if (entries_.at(id).drained_by_operator) drains_[id] = index;
  if (drains_.size() > kMostDrains) {
    drains_.erase(std::min_element(drains_.begin(), drains_.end(), [](const auto& a, const auto& b) {
      return std::tie(a.second, a.first) < std::tie(b.second, b.first);
    }));
  }
  set(index, id, {});
}

// The lease keeps apart the calls of two holders; those of one may overtake each other on their way.
bool State::late(const Command& command) const {
  const auto it = sources_.find(command.text);
  return command.serial != 0 && it != sources_.end() && it->second.token == command.fence_token &&
         command.serial < it->second.serial;
}

void State::mirror(Revision index, const Command& command) {
  sources_[command.text] = {command.number, now_, command.fence_token, command.serial};
  std::set<std::string> named;
  for (const Mutation& item : command.mutations) {
    named.insert(item.id);
    const auto it = entries_.find(item.id);
    const bool there = it != entries_.end();
    if (there && it->second.owner != command.text) continue;
    if (!item.entry) {
      if (there) leave(index, item.id);
      continue;
    }
    Entry entry = *item.entry;
    entry.owner = command.text;
    entry.source_state = entry.state;
    entry.ttl_ms = 0;
    entry.drained_by_operator = there ? it->second.drained_by_operator : drains_.erase(item.id) > 0;
    if (entry.drained_by_operator) entry.state = "leaving";
    set(index, item.id, entry);
  }
  if (!command.whole) return;
  std::vector<std::string> gone;
  for (const auto& [id, entry] : entries_) {
    if (entry.owner == command.text && !named.contains(id)) gone.push_back(id);
  }
  for (const std::string& id : gone) leave(index, id);
}

// A source that was given up: nobody's watch is to speak of its age for ever.
void State::forget_sources() {
  std::erase_if(sources_, [this](const auto& source) {
    return now_ - source.second.confirmed_ms > kForgetSource &&
           std::none_of(entries_.begin(), entries_.end(),
                        [&](const auto& entry) { return entry.second.owner == source.first; });
  });
}

Millis State::source_ms() const {
  Millis out = -1;
  for (const auto& [name, source] : sources_) out = std::max(out, now_ - source.confirmed_ms);
  return out;
}

ApplyResult State::apply(uint64_t at, const Command& command) {
  Revision index = base_ + at;
  now_ = std::max(now_, command.now_ms);  // a new leader's clock may be behind
  if (const auto before = answers_.find(command.request);
      !command.request.empty() && before != answers_.end()) {
    return before->second;
  }
  if (!command.fence.empty()) {
    leases_.tick(index, now_);  // what has lapsed stands for nothing
    if (!leases_.holds(command.fence, command.fence_token)) {
      // Not remembered: the same may come again under another grant.
      return {ApplyResult::Kind::kFenced, leases_.standing(command.fence), command.fence};
    }
  }
  ApplyResult answer{ApplyResult::Kind::kApplied, revision_, ""};
  const bool one = command.mutations.size() == 1;
  switch (command.kind) {
    case Command::Kind::kWrite:
      if (const auto refused = refusal(command.mutations)) {
        answer = *refused;
        break;
      }
      for (const Mutation& item : command.mutations) write(index, item);
      answer.revision = revision_;
      break;
    case Command::Kind::kRegister:
      if (!one || !command.mutations[0].entry || command.mutations[0].entry->ttl_ms <= 0) {
        answer.kind = ApplyResult::Kind::kUnknown;
        break;
      }
      {
        Entry entry = *command.mutations[0].entry;
        entry.owner.clear();  // it speaks for itself from now on
        entry.source_state.clear();
        entry.drained_by_operator = false;
        const auto it = entries_.find(command.mutations[0].id);
        // Drained by somebody else: it stays so until they say otherwise.
        if (it != entries_.end() && it->second.state == "leaving" && !lapsed_.contains(it->first) &&
            (it->second.owner.empty() || it->second.drained_by_operator))
          entry.state = it->second.state;
        set(index, command.mutations[0].id, entry);
        lapsed_.erase(command.mutations[0].id);
        due_[command.mutations[0].id] = now_ + entry.ttl_ms;
      }
      answer.revision = revision_;
      break;
    case Command::Kind::kRenew: {
      const auto it = one ? entries_.find(command.mutations[0].id) : entries_.end();
      if (it == entries_.end() || !due_.contains(it->first)) {
        answer = {ApplyResult::Kind::kUnknown, revision_, one ? command.mutations[0].id : ""};
        break;
      }
      due_[it->first] = now_ + it->second.ttl_ms;
      if (lapsed_.erase(it->first) > 0) {  // it was only late
        Entry entry = it->second;
        entry.state = "active";
        set(index, entry.id, entry);
      }
      answer.revision = revision_;
      break;
    }
    case Command::Kind::kTick:
      leases_.tick(index, now_);
      expire(index);
      forget_sources();
      answer.revision = revision_;
      break;
    case Command::Kind::kBootstrap:
      if (identity_.empty()) {
        found(at, command);
        leases_.begin(now_);  // holders of the table before may still act
      }
      answer.revision = revision_;
      break;
    case Command::Kind::kRestore:
      found(at, command);
      answer.revision = revision_;
      break;
    case Command::Kind::kMember:
      if (command.text.empty()) members_.erase(command.number);
      if (!command.text.empty()) members_[command.number] = command.text;
      break;
    case Command::Kind::kLease:
      // Each call is safe to repeat, and must see the table as it is: no answer is remembered.
      if (identity_.empty()) {
        answer.lease = {LeaseResult::Kind::kRefused, 0, "", 0, false, "", leases_.limits().most_ttl_ms};
      } else {
        answer.lease = leases_.apply(index, now_, command.lease);
      }
      return answer;
    case Command::Kind::kLeaderElected:
      if (command.number > 0) leases_.set_most_ttl(static_cast<Millis>(command.number));
      leases_.lead(now_);
      break;
    case Command::Kind::kMirror:
      if (late(command)) {
        answer = {ApplyResult::Kind::kConflict, sources_.at(command.text).serial, command.text};
        break;
      }
      mirror(index, command);
      answer.revision = revision_;
      break;
  }
  remember(command.request, answer);
  return answer;
}

// Revisions never go back, also where a list begins anew that clients knew before: they begin above what the
// command names.
void State::found(uint64_t at, const Command& command) {
  base_ = std::max(base_, command.number);
  identity_ = command.text;
  entries_.clear();
  due_.clear();
  lapsed_.clear();
  lapses_.clear();
  answers_.clear();
  requests_.clear();
  sources_.clear();
  drains_.clear();
  for (const Mutation& item : command.mutations) {
    if (!item.entry) drains_[item.id] = base_ + at;
    if (item.entry && !item.entry->owner.empty()) sources_[item.entry->owner] = {0, now_, 0, 0};
    set(base_ + at, item.id, item.entry);
    if (item.entry && item.entry->ttl_ms > 0) due_[item.id] = now_ + item.entry->ttl_ms;
  }
  revision_ = base_ + at;
  compacted_ = revision_;  // nobody's watch goes on over it
  changes_.clear();
}

std::optional<std::vector<Change>> State::since(Revision revision) const {
  if (revision < compacted_ || revision > revision_) return {};
  std::vector<Change> out;
  std::set<std::string> seen;
  for (auto it = changes_.rbegin(); it != changes_.rend() && it->revision > revision; ++it) {
    if (seen.insert(it->id).second) out.push_back(*it);
  }
  std::reverse(out.begin(), out.end());
  return out;
}

std::string State::snapshot() const {
  json entries = json::array();
  for (const auto& [id, entry] : entries_) entries.push_back(pack(entry));
  json changes = json::array();
  for (const Change& c : changes_) changes.push_back({c.revision, c.id, pack(c.entry), pack(c.last)});
  json answers = json::array();
  for (const std::string& request : requests_) {
    const ApplyResult& a = answers_.at(request);
    answers.push_back({request, static_cast<int>(a.kind), a.revision, a.id});
  }
  json sources = json::object();
  for (const auto& [name, source] : sources_)
    sources[name] = {source.revision, source.confirmed_ms, source.token, source.serial};
  const json limits = {limits_.kept_changes,     limits_.kept_requests,     limits_.leave_ms,
                       limits_.expiry_window_ms, limits_.max_expired_share, limits_.expired_always_allowed};
  return to_bytes({kFormat, limits, base_, revision_, compacted_, now_, identity_, members_, entries, due_,
                   lapses_, expiry_paused_, changes, answers, lapsed_, pack(leases_.limits()), leases_.pack(),
                   sources, drains_});
}

State State::restore(const std::string& bytes) {
  const json j = json::from_cbor(bytes, false);  // a log may pad it
  if (j.at(0) != 1 && j.at(0) != kFormat)
    throw std::invalid_argument("a snapshot of format " + j.at(0).dump() + "; this program reads 1 and " +
                                std::to_string(kFormat));
  const json& l = j.at(1);
  State out({l.at(0), l.at(1), l.at(2), l.at(3), l.at(4), l.at(5)});
  out.base_ = j.at(2);
  out.revision_ = j.at(3);
  out.compacted_ = j.at(4);
  out.now_ = j.at(5);
  out.identity_ = j.at(6);
  out.members_ = j.at(7).get<std::map<uint64_t, std::string>>();
  for (const json& entry : j.at(8)) out.entries_[entry.at(0)] = unpack(entry);
  out.due_ = j.at(9).get<std::map<std::string, Millis>>();
  out.lapses_ = j.at(10).get<std::deque<Millis>>();
  out.expiry_paused_ = j.at(11);
  for (const json& c : j.at(12))
    out.changes_.push_back({c.at(0), c.at(1), unpack_some(c.at(2)), unpack(c.at(3))});
  for (const json& a : j.at(13))
    out.remember(a.at(0), {static_cast<ApplyResult::Kind>(a.at(1).get<int>()), a.at(2), a.at(3)});
  out.lapsed_ = j.at(14).get<std::set<std::string>>();
  if (j.at(0) == 1) return out;
  out.leases_ = LeaseTable::unpack(j.at(16), unpack_limits(j.at(15)));
  for (const auto& [name, source] : j.at(17).items()) {
    out.sources_[name] = {source.at(0), source.at(1), source.size() > 3 ? source.at(2).get<Token>() : 0,
                          source.size() > 3 ? source.at(3).get<uint64_t>() : 0};
  }
  out.drains_ = j.at(18).get<std::map<std::string, Revision>>();
  return out;
}

uint64_t State::hash() const {
  const std::string bytes = snapshot();
  return XXH3_64bits(bytes.data(), bytes.size());
}

json State::member(const Entry& e, const std::string& phase) {
  return {{"id", e.id},
          {"host_port", e.host_port},
          {"locality", e.locality},
          {"flavor", e.kind},
          {"cell", e.group},
          {"phase", phase},
          {"size", e.weight},
          {"up_since_ms", e.up_since_ms}};
}

json State::list() const {
  json out = {
      {"revision", revision_}, {"complete", true}, {"identity", identity_}, {"members", json::array()}};
  for (const auto& [id, entry] : entries_) out["members"].push_back(member(entry, entry.state));
  return out;
}

json State::line(const std::vector<Change>& changes) const {
  json out = {
      {"revision", revision_}, {"complete", false}, {"identity", identity_}, {"members", json::array()}};
  for (const Change& change : changes) {
    out["members"].push_back(change.entry ? member(*change.entry, change.entry->state)
                                          : member(change.last, "left"));
  }
  return out;
}

}  // namespace turntally::registry
