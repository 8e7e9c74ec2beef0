#include "registry/list_guard.h"

#include <algorithm>

#include "registry/client_errors.h"

namespace turntally::registry {

using nlohmann::json;

namespace {

using Members = std::map<std::string, json>;

Members by_id(const json& members) {
  Members out;
  for (const json& one : members) out[one.at("id").get<std::string>()] = one;
  return out;
}

json line_of(int64_t revision, bool complete, const std::string& identity, json members) {
  return {{"revision", revision},
          {"complete", complete},
          {"identity", identity},
          {"members", std::move(members)}};
}

template <typename Read>
void parse_or_throw(Read read) {
  try {
    read();
  } catch (const json::exception& error) {
    throw ListUnreadable(error.what());
  }
}

bool active(const json& member) { return member.at("phase") == "active"; }

}  // namespace

void ListGuard::merge(Members& into, const json& members) {
  for (const json& one : members) {
    const std::string id = one.at("id");
    if (one.at("phase") == "left") {
      into.erase(id);
    } else {
      into[id] = one;
    }
  }
}

bool ListGuard::suspicious(const Members& members, const std::string& identity) const {
  if (known_.empty()) return false;
  const bool renamed = !identity_.empty() && identity != identity_;
  if (renamed || members.empty()) return true;
  const auto removed = static_cast<size_t>(std::count_if(
      known_.begin(), known_.end(), [&](const auto& one) { return !members.contains(one.first); }));
  return removed > std::max(limits_.removed_always,
                            static_cast<size_t>(limits_.most_removed * static_cast<double>(known_.size())));
}

// Only what is said of an endpoint: that it is not named says nothing yet.
std::vector<json> ListGuard::drains(const Members& members) {
  json out = json::array();
  for (auto& [id, member] : known_) {
    const auto it = members.find(id);
    if (it == members.end() || active(it->second) || !active(member)) continue;
    member = it->second;
    out.push_back(member);
  }
  if (out.empty()) return {};
  return {line_of(revision_, false, identity_, std::move(out))};
}

std::vector<json> ListGuard::accept(UnconfirmedList list) {
  unconfirmed_.reset();
  revision_ = list.revision;
  identity_ = list.identity;
  known_ = std::move(list.members);
  json all = json::array();
  for (const auto& [id, member] : known_) all.push_back(member);
  return {line_of(revision_, true, identity_, std::move(all))};
}

std::vector<json> ListGuard::on_line(const json& line, const std::string& source, Millis now) {
  UnconfirmedList list;
  list.source = source;
  list.since = now;
  bool complete = false;
  parse_or_throw([&] {
    list.revision = line.at("revision");
    complete = line.at("complete");
    list.identity = line.value("identity", "");
    list.members = by_id(line.at("members"));
    for (const auto& [id, member] : list.members) {
      if (!member.at("phase").is_string()) throw ListUnreadable("phase of '" + id + "' is no text");
    }
  });
  return complete ? on_complete_list(std::move(list)) : on_changes(line, list);
}

// Changes follow the list that waits for confirmation, or the known one.
std::vector<json> ListGuard::on_changes(const json& line, const UnconfirmedList& changes) {
  const json& members = line.at("members");
  if (unconfirmed_ && unconfirmed_->source == changes.source) {
    merge(unconfirmed_->members, members);
    unconfirmed_->revision = std::max(unconfirmed_->revision, changes.revision);
    return drains(changes.members);
  }
  if (changes.identity != identity_ || changes.revision < revision_) return drains(changes.members);
  unconfirmed_.reset();  // a member goes on from what is known
  if (members.empty() && changes.revision == revision_) return {};
  revision_ = changes.revision;
  merge(known_, members);
  return {line};
}

std::vector<json> ListGuard::on_complete_list(UnconfirmedList list) {
  const bool is_stale = list.identity == identity_ && list.revision < revision_;
  if (is_stale) return drains(list.members);
  if (!suspicious(list.members, list.identity)) return accept(std::move(list));
  const bool same_identity = unconfirmed_ && unconfirmed_->identity == list.identity;
  // Another member, with the same list or a later one of it.
  if (same_identity && unconfirmed_->source != list.source && list.revision >= unconfirmed_->revision) {
    return accept(std::move(list));
  }
  if (same_identity) {
    list.since = unconfirmed_->since;  // its time runs on, whichever member repeats it
  } else {
    ++unconfirmed_total_;
  }
  unconfirmed_ = std::move(list);
  return drains(unconfirmed_->members);
}

std::vector<json> ListGuard::tick(Millis now) {
  if (!unconfirmed_ || now - unconfirmed_->since < limits_.hold_ms) return {};
  return accept(std::move(*unconfirmed_));
}

json ListGuard::save() const {
  json all = json::array();
  for (const auto& [id, member] : known_) all.push_back(member);
  return line_of(revision_, true, identity_, std::move(all));
}

json ListGuard::restore(const json& saved) {
  UnconfirmedList list;
  parse_or_throw([&] {
    list = {"", 0, saved.at("revision"), saved.at("identity"), by_id(saved.at("members"))};
  });
  return accept(std::move(list)).front();
}

}  // namespace turntally::registry
