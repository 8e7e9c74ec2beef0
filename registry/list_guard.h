// What a relay lets a list do to it: a core without I/O or clock. The last list known is good until a newer
// one has earned its place: one that comes whole and would take much away at once, an empty one, or one of
// another name may be the registry's fault, so it is held until a second member says the same or a set time
// has passed. A drain is heeded at once, whoever tells it: heeding a wrong one costs a little, missing a
// right one breaks the rules.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "registry/state.h"

namespace turntally::registry {

class ListGuard {
 public:
  struct Limits {
    double most_removed = 0.3;  // of what is known, at once
    size_t removed_always = 2;  // but so many always may
    Millis hold_ms = 30'000;
  };
  explicit ListGuard(Limits limits) : limits_(limits) {}

  // A line of a watch, as discovery writes them, from a source that has a name. Returns the lines to heed, in
  // order; throws ListUnreadable on what is no line: nothing of it is heeded.
  std::vector<nlohmann::json> on_line(const nlohmann::json& line, const std::string& source, Millis now);
  std::vector<nlohmann::json> tick(Millis now);

  // What to request; -1: the whole list.
  int64_t revision() const { return revision_; }
  const std::string& identity() const { return identity_; }
  const std::map<std::string, nlohmann::json>& known() const { return known_; }  // by id
  bool holds() const { return unconfirmed_.has_value(); }
  const std::string& holder() const { return unconfirmed_->source; }  // the source of the list that is held
  uint64_t held_total() const { return unconfirmed_total_; }

  // To keep on disk. restore() throws ListUnreadable on what is none; it is passed on as a list like any
  // other. With an empty identity it may be of any list.
  nlohmann::json save() const;
  nlohmann::json restore(const nlohmann::json& saved);

 private:
  struct UnconfirmedList {
    std::string source;
    Millis since = 0;
    int64_t revision = 0;
    std::string identity;
    std::map<std::string, nlohmann::json> members;
  };

  bool suspicious(const std::map<std::string, nlohmann::json>& members, const std::string& identity) const;
  std::vector<nlohmann::json> drains(const std::map<std::string, nlohmann::json>& members);
  std::vector<nlohmann::json> on_changes(const nlohmann::json& line, const UnconfirmedList& changes);
  std::vector<nlohmann::json> on_complete_list(UnconfirmedList list);
  std::vector<nlohmann::json> accept(UnconfirmedList list);
  static void merge(std::map<std::string, nlohmann::json>& into, const nlohmann::json& members);

  Limits limits_;
  int64_t revision_ = -1;
  std::string identity_;
  std::map<std::string, nlohmann::json> known_;
  std::optional<UnconfirmedList> unconfirmed_;
  uint64_t unconfirmed_total_ = 0;
};

}  // namespace turntally::registry
