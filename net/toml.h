// net: what every process of the project needs around its own job. This one: configuration in TOML, read key
// by key, so that whatever nobody asks for is refused with the nearest key that is known.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/error.h"

namespace turntally::net {

struct Range {
  double low = 0;
  double high = 0;
  bool operator==(const Range&) const = default;
};

// The known word that is nearest to the given one, by edit distance (Levenshtein, 1966); empty where none is
// near.
std::string nearest(const std::string& word, const std::set<std::string>& known);

// One table of a file. Each call names a key and so makes it known; all throw BadInput where the value does
// not fit. Copies read the same table.
class Section {
 public:
  static Section file(const std::string& path);
  static Section text(const std::string& name, const std::string& toml);

  bool has(const std::string& key) const;
  // Bounds are inclusive. Without a fallback the key must be there.
  double number(const std::string& key, std::optional<double> fallback, double low, double high) const;
  int integer(const std::string& key, std::optional<int> fallback, int low, int high) const;
  bool flag(const std::string& key, std::optional<bool> fallback) const;
  std::string word(const std::string& key, const std::optional<std::string>& fallback,
                   const std::set<std::string>& allowed = {}) const;  // allowed: empty for any
  std::vector<std::string> words(const std::string& key, const std::vector<std::string>& fallback,
                                 const std::set<std::string>& allowed = {}) const;
  // A number, or two in a list: from and to.
  Range range(const std::string& key, std::optional<Range> fallback, double low, double high) const;
  Section table(const std::string& key) const;  // an empty one where there is none
  std::vector<Section> tables(const std::string& key) const;

  [[noreturn]] void refuse(const std::string& key, const std::string& what) const;
  // Throws on the first key that was never asked for.
  void done() const;

 private:
  struct State;
  explicit Section(std::shared_ptr<State> state) : state_(std::move(state)) {}
  std::shared_ptr<State> state_;
};

}  // namespace turntally::net
