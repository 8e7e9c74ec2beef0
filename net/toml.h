// Configuration in TOML, read key by key. A key that is never read is rejected, with the most similar known
// key as a suggestion.
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

// Returns the known word nearest to the given one by edit distance (Levenshtein, 1966), or an empty string
// if none is near.
std::string nearest(const std::string& word, const std::set<std::string>& known);

// One table of a file. Each read names a key and thereby makes it known; all reads throw InvalidInput if the
// value does not fit. Copies share the same table.
class Section {
 public:
  static Section from_file(const std::string& path);
  static Section from_text(const std::string& name, const std::string& toml);

  bool has(const std::string& key) const;
  // Bounds are inclusive. Without a fallback the key is required.
  double number(const std::string& key, std::optional<double> fallback, double low, double high) const;
  int integer(const std::string& key, std::optional<int> fallback, int low, int high) const;
  bool flag(const std::string& key, std::optional<bool> fallback) const;
  std::string word(const std::string& key, const std::optional<std::string>& fallback,
                   const std::set<std::string>& allowed = {}) const;  // `allowed`: empty for any word
  std::vector<std::string> words(const std::string& key, const std::vector<std::string>& fallback,
                                 const std::set<std::string>& allowed = {}) const;
  // Reads a number, or a list of two numbers: the lower and the upper bound.
  Range range(const std::string& key, std::optional<Range> fallback, double low, double high) const;
  Section table(const std::string& key) const;  // empty if the key is missing
  std::vector<Section> tables(const std::string& key) const;

  [[noreturn]] void reject(const std::string& key, const std::string& what) const;
  // Throws InvalidInput for the first key of the table that was never read.
  void refuse_unknown_keys() const;

 private:
  struct State;
  explicit Section(std::shared_ptr<State> state) : state_(std::move(state)) {}
  std::shared_ptr<State> state_;
};

}  // namespace turntally::net
