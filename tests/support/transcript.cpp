#include "tests/support/transcript.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>

namespace turntally::testing {
namespace {

constexpr size_t kMaxLineBytes = 2000;  // longer lines are cut: a reader gains nothing from the rest
constexpr size_t kContextLines = 3;     // unchanged lines around a difference

std::vector<std::string> lines_of(const std::string& text) {
  std::vector<std::string> out;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) out.push_back(line);
  return out;
}

struct Step {
  char mark = ' ';  // ' ', '-' or '+'
  std::string line;
};

// Uses the longest common subsequence; its quadratic cost is small, as transcripts are short.
std::vector<Step> steps_between(const std::vector<std::string>& a, const std::vector<std::string>& b) {
  std::vector<std::vector<size_t>> common(a.size() + 1, std::vector<size_t>(b.size() + 1));
  for (size_t i = a.size(); i-- > 0;) {
    for (size_t j = b.size(); j-- > 0;) {
      common[i][j] = a[i] == b[j] ? common[i + 1][j + 1] + 1 : std::max(common[i + 1][j], common[i][j + 1]);
    }
  }
  std::vector<Step> out;
  size_t i = 0;
  size_t j = 0;
  while (i < a.size() || j < b.size()) {
    if (i < a.size() && j < b.size() && a[i] == b[j]) {
      out.push_back({' ', a[i++]});
      ++j;
    } else if (i < a.size() && (j == b.size() || common[i + 1][j] >= common[i][j + 1])) {
      out.push_back({'-', a[i++]});
    } else {
      out.push_back({'+', b[j++]});
    }
  }
  return out;
}

}  // namespace

std::string unified(const std::string& before, const std::string& after) {
  const auto steps = steps_between(lines_of(before), lines_of(after));
  std::string out;
  size_t old_line = 1;
  size_t new_line = 1;
  for (size_t at = 0; at < steps.size();) {
    // Collects a hunk: it goes on while the next change is near enough to share context lines.
    const auto changed = [](const Step& step) { return step.mark != ' '; };
    const auto first = static_cast<size_t>(
        std::find_if(steps.begin() + static_cast<ptrdiff_t>(at), steps.end(), changed) - steps.begin());
    if (first == steps.size()) break;
    const size_t begin = std::max(at, first < kContextLines ? 0 : first - kContextLines);
    size_t end = first;
    for (size_t i = first; i < steps.size() && i <= end + 2 * kContextLines; ++i)
      if (changed(steps[i])) end = i;
    end = std::min(steps.size(), end + kContextLines + 1);
    old_line += begin - at;
    new_line += begin - at;
    std::string body;
    size_t old_count = 0;
    size_t new_count = 0;
    for (size_t i = begin; i < end; ++i) {
      body += steps[i].mark + steps[i].line + "\n";
      old_count += steps[i].mark != '+';
      new_count += steps[i].mark != '-';
    }
    std::ostringstream head;
    head << "@@ -" << (old_count == 0 ? old_line - 1 : old_line) << "," << old_count << " +"
         << (new_count == 0 ? new_line - 1 : new_line) << "," << new_count << " @@\n";
    out += head.str() + body;
    old_line += old_count;
    new_line += new_count;
    at = end;
  }
  if (out.empty() && before != after) return "@@ the last line's end differs @@\n";
  return out;
}

Transcript::Transcript(std::string name, std::string folder)
    : path_(std::move(folder) + "/" + std::move(name) + ".txt") {
  place("address", R"(\b(127\.\d+\.\d+\.\d+:\d+)\b)");
  place("id", R"(\b([0-9a-f]{16})\b)");
  place("revision", R"(\brevision":(\d+))");
  place("revision", R"(\bindex=(\d+))");
  place("revision", R"(\brevision (\d+))");
  place("revision", R"(\b[Ii]f-[Mm]atch: (\d+))");
  place("time", R"(\btime=(\S+))", false);
  place("ms", R"(\b\w+_ms=(\d+))", false);
}

void Transcript::place(const std::string& kind, const std::string& pattern, bool numbered) {
  rules_.push_back({kind, std::regex(pattern), numbered});
}

// Placeholders are numbered in the order of the text, whatever the order of the rules.
std::string Transcript::with_placeholders(const std::string& text) {
  struct Found {
    size_t length = 0;
    const Rule* rule = nullptr;
  };
  std::map<size_t, Found> found;
  for (const Rule& rule : rules_) {
    for (std::sregex_iterator it(text.begin(), text.end(), rule.pattern), end; it != end; ++it) {
      found.try_emplace(static_cast<size_t>(it->position(1)),
                        Found{static_cast<size_t>(it->length(1)), &rule});
    }
  }
  std::string out;
  size_t at = 0;
  for (const auto& [begin, what] : found) {
    if (begin < at) continue;  // overlaps the previous match
    auto& seen = seen_[what.rule->kind];
    const size_t number = seen.try_emplace(text.substr(begin, what.length), seen.size() + 1).first->second;
    out += text.substr(at, begin - at) + "<" + what.rule->kind;
    out += (what.rule->numbered ? std::to_string(number) : "") + ">";
    at = begin + what.length;
  }
  return out + text.substr(at);
}

void Transcript::title(const std::string& text) { text_ += "# " + text + "\n"; }

void Transcript::note(const std::string& text) { text_ += "\n== " + with_placeholders(text) + "\n"; }

void Transcript::add_message(const std::string& from, const std::string& to, const std::string& head,
                             const std::string& what) {
  text_ += "\n" + from + " -> " + to + ": " + with_placeholders(head) + "\n";
  for (const std::string& line : lines_of(with_placeholders(what))) {
    text_ += (line.empty() ? "" : "    ") + line.substr(0, kMaxLineBytes) +
             (line.size() > kMaxLineBytes ? " ...\n" : "\n");
  }
}

std::string Transcript::text() const { return text_; }

std::string Transcript::compare_with_approved() const {
  std::ifstream in(path_, std::ios::binary);
  const bool exists = in.good();
  const std::string approved{std::istreambuf_iterator<char>(in), {}};
  const char* const approve = std::getenv("TURNTALLY_APPROVE");
  if (approve != nullptr && std::string(approve) == "1") {
    std::ofstream(path_, std::ios::binary) << text_;
    return path_ + (approved == text_ ? " is as it was" : " is written anew: read it") +
           "; a run with TURNTALLY_APPROVE=1 fails in any case, run again without it\n" +
           unified(approved, text_);
  }
  if (exists && approved == text_) return "";
  return (exists ? "not as it was approved in " : "nothing is approved in ") + path_ + ":\n" +
         unified(approved, text_) +
         "If this is how it should be, run this test again with TURNTALLY_APPROVE=1, read the file's change, "
         "and "
         "commit it.\n";
}

void Transcript::check() const {
  if (const std::string why = compare_with_approved(); !why.empty()) ADD_FAILURE() << why;
}

Child::Child(std::vector<std::string> command, const std::string& folder,
             const std::map<std::string, std::string>& environment) {
  int pipe[2];
  if (::pipe2(pipe, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
  std::vector<char*> argv;
  for (std::string& word : command) argv.push_back(word.data());
  argv.push_back(nullptr);
  process_ = ::fork();
  if (process_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(pipe[1], 1);
    ::dup2(pipe[1], 2);
    for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
    if (::chdir(folder.c_str()) == 0) ::execv(argv[0], argv.data());
    ::_exit(127);
  }
  ::close(pipe[1]);
  output_ = pipe[0];
}

Child::~Child() {
  if (process_ > 0) kill(SIGKILL);
  ::close(output_);
}

int Child::kill(int signal) {
  ::kill(process_, signal);
  return wait().first;
}

std::pair<int, std::string> Child::wait() {
  std::string out;
  char bytes[4096];
  for (ssize_t got = 0; (got = ::read(output_, bytes, sizeof bytes)) > 0;)
    out.append(bytes, static_cast<size_t>(got));
  int status = 0;
  ::waitpid(std::exchange(process_, -1), &status, 0);
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status), out};
}

}  // namespace turntally::testing
