#include "net/toml.h"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <sstream>

namespace turntally::net {
namespace {

size_t edit_distance(const std::string& a, const std::string& b) {
  std::vector<size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t diagonal = std::exchange(row[0], i);
    for (size_t j = 1; j <= b.size(); ++j) {
      const size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row.back();
}

std::string format_number(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

std::string join(const std::set<std::string>& words) {
  std::string out;
  for (const std::string& word : words) out += (out.empty() ? "" : ", ") + word;
  return out;
}

}  // namespace

std::string nearest(const std::string& word, const std::set<std::string>& known) {
  std::string best;
  size_t best_distance = std::max<size_t>(2, word.size() / 2);
  for (const std::string& candidate : known) {
    const size_t candidate_distance = edit_distance(word, candidate);
    if (candidate_distance > best_distance || (candidate_distance == best_distance && !best.empty()))
      continue;
    best = candidate;
    best_distance = candidate_distance;
  }
  return best;
}

struct Section::State {
  std::shared_ptr<toml::table> root;
  const toml::table* table = nullptr;
  std::string file;
  std::string path;  // of this table, with a trailing dot; empty for the root
  std::set<std::string> read_keys;

  const toml::node* find(const std::string& key) {
    read_keys.insert(key);
    return table->get(key);
  }
};

Section Section::from_file(const std::string& path) {
  try {
    auto state = std::make_shared<State>();
    state->root = std::make_shared<toml::table>(toml::parse_file(path));
    state->table = state->root.get();
    state->file = path;
    return Section(std::move(state));
  } catch (const toml::parse_error& error) {
    const auto line = error.source().begin.line;
    throw InvalidInput(path + (line > 0 ? ":" + std::to_string(line) : "") + ": " +
                       std::string(error.description()));
  }
}

Section Section::from_text(const std::string& name, const std::string& toml) {
  try {
    auto state = std::make_shared<State>();
    state->root = std::make_shared<toml::table>(toml::parse(toml, name));
    state->table = state->root.get();
    state->file = name;
    return Section(std::move(state));
  } catch (const toml::parse_error& error) {
    throw InvalidInput(name + ":" + std::to_string(error.source().begin.line) + ": " +
                       std::string(error.description()));
  }
}

void Section::reject(const std::string& key, const std::string& what) const {
  const toml::node* node = state_->table->get(key);
  const auto line = node != nullptr ? node->source().begin.line : state_->table->source().begin.line;
  throw InvalidInput(state_->file + (line > 0 ? ":" + std::to_string(line) : "") + ": " + state_->path + key +
                     ": " + what);
}

bool Section::has(const std::string& key) const { return state_->find(key) != nullptr; }

double Section::number(const std::string& key, std::optional<double> fallback, double low,
                       double high) const {
  const toml::node* node = state_->find(key);
  if (node == nullptr && fallback) return *fallback;
  if (node == nullptr) reject(key, "is missing");
  const auto value = node->value<double>();
  if (!node->is_number() || !value || !std::isfinite(*value)) reject(key, "is no number");
  if (*value < low || *value > high) {
    reject(key,
           "is " + format_number(*value) + ", must be " + format_number(low) + " to " + format_number(high));
  }
  return *value;
}

int Section::integer(const std::string& key, std::optional<int> fallback, int low, int high) const {
  const double value = number(key, fallback ? std::optional<double>(*fallback) : std::nullopt, low, high);
  if (value != std::floor(value)) reject(key, "is not a whole number");
  return static_cast<int>(value);
}

bool Section::flag(const std::string& key, std::optional<bool> fallback) const {
  const toml::node* node = state_->find(key);
  if (node == nullptr && fallback) return *fallback;
  if (node == nullptr) reject(key, "is missing");
  if (!node->is_boolean()) reject(key, "must be true or false");
  return *node->value<bool>();
}

std::string Section::word(const std::string& key, const std::optional<std::string>& fallback,
                          const std::set<std::string>& allowed) const {
  const toml::node* node = state_->find(key);
  if (node == nullptr && fallback) return *fallback;
  if (node == nullptr) reject(key, "is missing");
  if (!node->is_string()) reject(key, "is not a string");
  auto value = *node->value<std::string>();
  if (!allowed.empty() && !allowed.contains(value)) {
    reject(key, "is '" + value + "', must be one of: " + join(allowed));
  }
  return value;
}

std::vector<std::string> Section::words(const std::string& key, const std::vector<std::string>& fallback,
                                        const std::set<std::string>& allowed) const {
  const toml::node* node = state_->find(key);
  if (node == nullptr) return fallback;
  if (!node->is_array()) return {word(key, {}, allowed)};
  std::vector<std::string> out;
  for (const toml::node& item : *node->as_array()) {
    const auto value = item.is_string() ? item.value<std::string>() : std::nullopt;
    if (!value) reject(key, "is not a list of strings");
    if (!allowed.empty() && !allowed.contains(*value)) {
      reject(key, "contains '" + *value + "', each item must be one of: " + join(allowed));
    }
    out.push_back(*value);
  }
  return out;
}

Range Section::range(const std::string& key, std::optional<Range> fallback, double low, double high) const {
  const toml::node* node = state_->find(key);
  if (node == nullptr && fallback) return *fallback;
  if (node != nullptr && !node->is_array()) {
    const double value = number(key, {}, low, high);
    return {value, value};
  }
  if (node == nullptr) reject(key, "is missing");
  const toml::array& pair = *node->as_array();
  const auto first = pair.size() == 2 ? pair.get(0)->value<double>() : std::nullopt;
  const auto second = pair.size() == 2 ? pair.get(1)->value<double>() : std::nullopt;
  if (!first || !second) reject(key, "must be a number or a list of two numbers");
  if (*first > *second || *first < low || *second > high) {
    reject(key, "must be an ascending pair of numbers within " + format_number(low) + " to " +
                    format_number(high));
  }
  return {*first, *second};
}

Section Section::table(const std::string& key) const {
  static const toml::table kEmpty;
  const toml::node* node = state_->find(key);
  if (node != nullptr && !node->is_table()) reject(key, "is not a table");
  auto state = std::make_shared<State>(*state_);
  state->table = node != nullptr ? node->as_table() : &kEmpty;
  state->path = state_->path + key + ".";
  state->read_keys.clear();
  return Section(std::move(state));
}

std::vector<Section> Section::tables(const std::string& key) const {
  const toml::node* node = state_->find(key);
  if (node == nullptr) return {};
  if (!node->is_array() || !node->as_array()->is_homogeneous(toml::node_type::table)) {
    reject(key, "is not a list of tables; write [[" + key + "]]");
  }
  std::vector<Section> out;
  for (size_t i = 0; i < node->as_array()->size(); ++i) {
    auto state = std::make_shared<State>(*state_);
    state->table = node->as_array()->get(i)->as_table();
    state->path = state_->path + key + "[" + std::to_string(i) + "].";
    state->read_keys.clear();
    out.push_back(Section(std::move(state)));
  }
  return out;
}

void Section::refuse_unknown_keys() const {
  for (const auto& [key, node] : *state_->table) {
    const std::string name(key.str());
    if (state_->read_keys.contains(name)) continue;
    const std::string near = nearest(name, state_->read_keys);
    reject(name, near.empty() ? "is not known" : "is not known; did you mean '" + near + "'?");
  }
}

}  // namespace turntally::net
