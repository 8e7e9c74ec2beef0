#include "registry/list_guard.h"

#include <algorithm>

#include "registry/client_errors.h"

namespace turntally::registry {

using nlohmann::json;

namespace {

using Members = std::map<std::string, json>;

Members by_id(const json& members) {
  Members result;
  for (const json& member : members) result[member.at("id").get<std::string>()] = member;
  return result;
}

json make_line(int64_t revision, bool complete, const std::string& identity, json members) {
  return {{"revision", revision},
          {"complete", complete},
          {"identity", identity},
          {"members", std::move(members)}};
}

template <typename Read>
void translate_json_errors(Read read) {
  try {
    read();
  } catch (const json::exception& error) {
    throw ListUnreadable(error.what());
  }
}

bool is_active(const json& member) { return member.at("phase") == "active"; }

}  // namespace

void ListGuard::merge(Members& target, const json& members) {
  for (const json& member : members) {
    const std::string id = member.at("id");
    if (member.at("phase") == "left") {
      target.erase(id);
    } else {
      target[id] = member;
    }
  }
}

bool ListGuard::is_suspicious(const Members& members, const std::string& identity) const {
  if (members_.empty()) return false;
  const bool identity_changed = !identity_.empty() && identity != identity_;
  if (identity_changed || members.empty()) return true;
  const auto removed = static_cast<size_t>(std::count_if(
      members_.begin(), members_.end(), [&](const auto& member) { return !members.contains(member.first); }));
  return removed >
         std::max(limits_.removed_always_allowed,
                  static_cast<size_t>(limits_.max_removed_share * static_cast<double>(members_.size())));
}

// Takes over the drains of known endpoints. An endpoint that is merely missing is not drained.
std::vector<json> ListGuard::extract_drains(const Members& members) {
  json drained = json::array();
  for (auto& [id, member] : members_) {
    const auto it = members.find(id);
    if (it == members.end() || is_active(it->second) || !is_active(member)) continue;
    member = it->second;
    drained.push_back(member);
  }
  if (drained.empty()) return {};
  return {make_line(revision_, false, identity_, std::move(drained))};
}

std::vector<json> ListGuard::accept(UnconfirmedList list) {
  unconfirmed_.reset();
  revision_ = list.revision;
  identity_ = list.identity;
  members_ = std::move(list.members);
  json entries = json::array();
  for (const auto& [id, member] : members_) entries.push_back(member);
  return {make_line(revision_, true, identity_, std::move(entries))};
}

std::vector<json> ListGuard::on_line(const json& line, const std::string& source, Millis now) {
  UnconfirmedList list;
  list.source = source;
  list.since = now;
  bool complete = false;
  translate_json_errors([&] {
    list.revision = line.at("revision");
    complete = line.at("complete");
    list.identity = line.value("identity", "");
    list.members = by_id(line.at("members"));
    for (const auto& [id, member] : list.members) {
      if (!member.at("phase").is_string()) throw ListUnreadable("phase of '" + id + "' is not a string");
    }
  });
  return complete ? on_complete_list(std::move(list)) : on_changes(line, list);
}

// Applies changes to the unconfirmed list if they come from its source, else to the accepted list.
std::vector<json> ListGuard::on_changes(const json& line, const UnconfirmedList& changes) {
  const json& members = line.at("members");
  if (unconfirmed_ && unconfirmed_->source == changes.source) {
    merge(unconfirmed_->members, members);
    unconfirmed_->revision = std::max(unconfirmed_->revision, changes.revision);
    return extract_drains(changes.members);
  }
  if (changes.identity != identity_ || changes.revision < revision_) return extract_drains(changes.members);
  unconfirmed_.reset();  // this member continues the accepted list
  if (members.empty() && changes.revision == revision_) return {};
  revision_ = changes.revision;
  merge(members_, members);
  return {line};
}

std::vector<json> ListGuard::on_complete_list(UnconfirmedList list) {
  const bool is_stale = list.identity == identity_ && list.revision < revision_;
  if (is_stale) return extract_drains(list.members);
  if (!is_suspicious(list.members, list.identity)) return accept(std::move(list));
  const bool same_identity = unconfirmed_ && unconfirmed_->identity == list.identity;
  // Another member confirms it with the same or a later revision.
  if (same_identity && unconfirmed_->source != list.source && list.revision >= unconfirmed_->revision) {
    return accept(std::move(list));
  }
  if (same_identity) {
    list.since = unconfirmed_->since;  // the hold time continues, whichever member repeats the list
  } else {
    ++unconfirmed_total_;
  }
  unconfirmed_ = std::move(list);
  return extract_drains(unconfirmed_->members);
}

std::vector<json> ListGuard::tick(Millis now) {
  if (!unconfirmed_ || now - unconfirmed_->since < limits_.hold_ms) return {};
  return accept(std::move(*unconfirmed_));
}

json ListGuard::save() const {
  json entries = json::array();
  for (const auto& [id, member] : members_) entries.push_back(member);
  return make_line(revision_, true, identity_, std::move(entries));
}

json ListGuard::restore(const json& saved) {
  UnconfirmedList list;
  translate_json_errors([&] {
    list = {"", 0, saved.at("revision"), saved.at("identity"), by_id(saved.at("members"))};
  });
  return accept(std::move(list)).front();
}

}  // namespace turntally::registry
