// Protects a relay from a faulty registry's list: a core without I/O or clock. It keeps the last accepted
// list. A complete list that would remove many endpoints at once, is empty or has another identity may be the
// registry's fault: it is held back until a second member confirms it or `hold_ms` have passed. Drains are
// passed on at once, whichever member reports them: a needless drain costs little, a missed one breaks the
// delivery rules.
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
    double max_removed_share = 0.3;     // of the known endpoints, removed by one list without confirmation
    size_t removed_always_allowed = 2;  // this many removals never need confirmation
    Millis hold_ms = 30'000;            // how long an unconfirmed list is held back
  };
  explicit ListGuard(Limits limits) : limits_(limits) {}

  // Processes a line of a watch on the member `source`, in discovery's format. Returns the lines to apply, in
  // order. Throws ListUnreadable if the line is malformed; then none of it is applied.
  std::vector<nlohmann::json> on_line(const nlohmann::json& line, const std::string& source, Millis now);
  // Returns the lines to apply if the unconfirmed list has been held back for `hold_ms`.
  std::vector<nlohmann::json> tick(Millis now);

  // The revision to resume a watch from; -1: request the complete list.
  int64_t revision() const { return revision_; }
  const std::string& identity() const { return identity_; }
  const std::map<std::string, nlohmann::json>& members() const { return members_; }  // endpoints by id
  bool has_unconfirmed_list() const { return unconfirmed_.has_value(); }
  // The source of the unconfirmed list, which must exist.
  const std::string& unconfirmed_source() const { return unconfirmed_->source; }
  uint64_t unconfirmed_total() const { return unconfirmed_total_; }  // lists held back so far

  // Returns the accepted list, to be stored on disk.
  nlohmann::json save() const;
  // Accepts a saved list and returns it as a line. Throws ListUnreadable if it is malformed. A saved list
  // with an empty identity may be of any list.
  nlohmann::json restore(const nlohmann::json& saved);

 private:
  struct UnconfirmedList {
    std::string source;
    Millis since = 0;
    int64_t revision = 0;
    std::string identity;
    std::map<std::string, nlohmann::json> members;
  };

  bool is_suspicious(const std::map<std::string, nlohmann::json>& members, const std::string& identity) const;
  std::vector<nlohmann::json> extract_drains(const std::map<std::string, nlohmann::json>& members);
  std::vector<nlohmann::json> on_changes(const nlohmann::json& line, const UnconfirmedList& changes);
  std::vector<nlohmann::json> on_complete_list(UnconfirmedList list);
  std::vector<nlohmann::json> accept(UnconfirmedList list);
  static void merge(std::map<std::string, nlohmann::json>& target, const nlohmann::json& members);

  Limits limits_;
  int64_t revision_ = -1;
  std::string identity_;
  std::map<std::string, nlohmann::json> members_;
  std::optional<UnconfirmedList> unconfirmed_;
  uint64_t unconfirmed_total_ = 0;
};

}  // namespace turntally::registry
