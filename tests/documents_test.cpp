/// @file
/// The documents agree with the sources: links lead to files, and the log lines and metrics that the
/// operators' pages quote exist. Guards against a rename that leaves operators searching for a line or metric
/// that no build writes any more.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace robinford {
namespace {
namespace fs = std::filesystem;

constexpr std::string_view kGap = "...";                  // in a quoted log line: text that varies
constexpr std::string_view kArrow = " -> ";               // in a quoted log line: a change of state
constexpr std::string_view kHeaderField = "Retry-After";  // quoted too; Beast has its name, not a literal

fs::path root() { return SOURCE_DIR; }

std::string read_file(const fs::path& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("can't read " + path.string());
  return {std::istreambuf_iterator<char>(file), {}};
}

std::vector<fs::path> files_below(const fs::path& folder, const std::set<std::string>& extensions) {
  std::vector<fs::path> found;
  for (const auto& entry : fs::recursive_directory_iterator(folder))
    if (entry.is_regular_file() && extensions.contains(entry.path().extension().string()))
      found.push_back(entry.path());
  std::sort(found.begin(), found.end());
  return found;
}

std::vector<fs::path> documents() {
  auto found = files_below(root() / "docs", {".md"});
  for (const char* name : {"README.md", "CONTRIBUTING.md"})
    if (fs::exists(root() / name)) found.push_back(root() / name);
  return found;
}

std::vector<std::string> split(const std::string& text, std::string_view separator) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  for (std::size_t end = 0; (end = text.find(separator, begin)) != std::string::npos;
       begin = end + separator.size())
    parts.push_back(text.substr(begin, end - begin));
  parts.push_back(text.substr(begin));
  return parts;
}

std::string trimmed(const std::string& text) {
  const auto first = text.find_first_not_of(' ');
  if (first == std::string::npos) return "";
  return text.substr(first, text.find_last_not_of(' ') - first + 1);
}

/// The texts in `backticks` in one line of a document.
std::vector<std::string> quotes(const std::string& line) {
  std::vector<std::string> found;
  const auto parts = split(line, "`");
  for (std::size_t part = 1; part + 1 < parts.size(); part += 2) found.push_back(parts[part]);
  return found;
}

/// A document's table, found by its first line: the cells of each row below it.
std::vector<std::vector<std::string>> table_rows(const fs::path& document, const std::string& header) {
  std::istringstream lines(read_file(document));
  std::vector<std::vector<std::string>> rows;
  bool inside = false;
  for (std::string line; std::getline(lines, line);) {
    if (line == header) {
      inside = true;
      continue;
    }
    if (inside && !line.starts_with("|")) break;
    if (!inside || line.starts_with("| ---")) continue;
    auto cells = split(line, "|");
    cells.erase(cells.begin());
    rows.push_back(cells);
  }
  return rows;
}

/// The string literals of the sources; adjacent ones are joined, comments are left out.
class SourceLiterals {
 public:
  SourceLiterals() {
    for (const auto& path : files_below(root() / "src", {".cpp", ".hpp"})) scan(read_file(path));
  }

  bool is_literal(const std::string& text) const { return literals_.contains(text); }

  /// Whether some literal holds all pieces of the text between its gaps, in their order, and then `end`.
  bool contains(const std::string& text, std::string_view end = "") const {
    // "N jobs": a capital letter by itself stands for a number or a name.
    static const std::regex variable("\\b[A-Z]\\b");
    auto pieces = split(std::regex_replace(text, variable, std::string(kGap)), kGap);
    pieces.emplace_back(end);
    return std::any_of(literals_.begin(), literals_.end(), [&](const std::string& literal) {
      std::size_t from = 0;
      for (const auto& piece : pieces) {
        const auto found = literal.find(trimmed(piece), from);
        if (found == std::string::npos) return false;
        from = found + trimmed(piece).size();
      }
      return true;
    });
  }

  /// Whether the program can write such a line: as one literal, as a change of state ("subject: old -> new"),
  /// or as a literal with another behind its colon ("what: why").
  bool can_be_logged(const std::string& line) const {
    if (line.find(kArrow) != std::string::npos) return can_be_logged_as_change(line);
    if (contains(line)) return true;
    const auto colon = line.rfind(": ");
    return colon != std::string::npos && contains(line.substr(0, colon), ": {}") &&
           is_literal(line.substr(colon + 2));
  }

 private:
  bool can_be_logged_as_change(const std::string& line) const {
    const auto colon = line.rfind(": ");
    const std::string subject = colon == std::string::npos ? "" : line.substr(0, colon);
    const auto states = split(colon == std::string::npos ? line : line.substr(colon + 2), kArrow);
    return contains(subject, ": {} -> {}") &&
           std::all_of(states.begin(), states.end(),
                       [&](const std::string& state) { return state == kGap || is_literal(state); });
  }

  void scan(const std::string& source) {
    // A comment, a character, an include, or one or more adjacent strings.
    static const std::regex token_pattern(
        R"re(//[^\n]*|'(?:\\.|[^'\\\n])'|#include[^\n]*|"(?:\\.|[^"\\\n])*"(?:\s*"(?:\\.|[^"\\\n])*")*)re");
    static const std::regex seam(R"re(([^\\])"\s*")re");
    for (std::sregex_iterator token(source.begin(), source.end(), token_pattern), end; token != end;
         ++token) {
      const std::string text = token->str();
      if (text.front() != '"') continue;
      literals_.insert(std::regex_replace(text.substr(1, text.size() - 2), seam, "$1"));
    }
  }

  std::set<std::string> literals_;
};

const SourceLiterals& literals() {
  static const SourceLiterals all;
  return all;
}

bool looks_like_metric(const std::string& text) {
  static const std::regex metric("[a-z]+(_[a-z]+)+");
  return std::regex_match(text, metric);
}

/// The symptoms that operators look up, and what to look at.
std::vector<std::vector<std::string>> symptoms() {
  return table_rows(root() / "docs/operations.md", "| symptom | look at | likely cause | what to do |");
}

TEST(Documents, LinksLeadToFiles) {
  static const std::regex link_pattern(R"(\]\(([^)#\s]+)[^)]*\))");
  for (const auto& document : documents()) {
    const std::string text = read_file(document);
    for (std::sregex_iterator link(text.begin(), text.end(), link_pattern), end; link != end; ++link) {
      const std::string target = (*link)[1];
      if (target.find("://") != std::string::npos || target.starts_with("mailto:")) continue;
      EXPECT_TRUE(fs::exists(document.parent_path() / target)) << document << " links to " << target;
    }
  }
}

// The documents refer to each other by paths in backticks. docs/results.md is a record of what was measured
// when, and names files as they were named then.
TEST(Documents, PathsInBackticksLeadToFiles) {
  static const std::regex path_pattern(R"(`((?:docs|src|tests|deploy)/[A-Za-z0-9_./-]+)`)");
  std::size_t checked = 0;
  for (const auto& document : documents()) {
    if (document == root() / "docs/results.md") continue;
    const std::string text = read_file(document);
    for (std::sregex_iterator path(text.begin(), text.end(), path_pattern), end; path != end;
         ++path, ++checked)
      EXPECT_TRUE(fs::exists(root() / (*path)[1].str())) << document << " names " << (*path)[1];
  }
  EXPECT_GT(checked, 0U);
}

TEST(Documents, RenamedMetricsExist) {
  const auto rows = table_rows(root() / "docs/operations.md", "| old | new |");
  EXPECT_FALSE(rows.empty());
  for (const auto& row : rows) {
    const auto names = quotes(row.at(1));
    EXPECT_EQ(names.size(), 1U) << row.at(1);
    for (const auto& name : names) EXPECT_TRUE(literals().is_literal(name)) << "no metric " << name;
  }
}

TEST(Documents, MetricsToLookAtExist) {
  std::size_t checked = 0;
  for (const auto& row : symptoms())
    for (const auto& name : quotes(row.at(1))) {
      if (!looks_like_metric(name)) continue;
      ++checked;
      EXPECT_TRUE(literals().is_literal(name)) << "no metric or setting " << name;
    }
  EXPECT_GT(checked, 0U);
}

TEST(Documents, MetricsOfQuotaLeasesExist) {
  const auto rows = table_rows(root() / "docs/operations/quota-leases.md", "| gauge | meaning |");
  EXPECT_FALSE(rows.empty());
  for (const auto& row : rows)
    for (const auto& name : quotes(row.at(0)))
      EXPECT_TRUE(literals().is_literal(name)) << "no metric " << name;
}

TEST(Documents, LogLinesOfSymptomsExist) {
  const auto rows = symptoms();
  EXPECT_FALSE(rows.empty());
  for (const auto& row : rows)
    for (const auto& line : quotes(row.at(0))) {
      if (line == kHeaderField) continue;
      EXPECT_TRUE(literals().can_be_logged(line)) << "no log line " << line;
    }
}

TEST(Documents, LogLinesToLookAtExist) {
  for (const auto& row : symptoms())
    for (const auto& line : quotes(row.at(1))) {
      if (looks_like_metric(line)) continue;
      EXPECT_TRUE(literals().can_be_logged(line)) << "no log line or key " << line;
    }
}

// Of several words: single ones are levels, settings and constants.
TEST(Documents, LogLinesOfProceduresExist) {
  std::istringstream lines(read_file(root() / "docs/operations.md"));
  std::size_t checked = 0;
  for (std::string line; std::getline(lines, line);) {
    const bool is_step = line.size() > 2 && line[0] >= '1' && line[0] <= '9' && line.substr(1, 2) == ". ";
    const bool continues_step = line.starts_with("   ") && !line.starts_with("    ");
    if (!is_step && !continues_step) continue;
    for (const auto& quote : quotes(line)) {
      if (quote.find(' ') == std::string::npos) continue;
      ++checked;
      EXPECT_TRUE(literals().can_be_logged(quote)) << "no log line " << quote;
    }
  }
  EXPECT_GT(checked, 0U);
}

TEST(Documents, LogLinesOfQuotaLeasesExist) {
  const auto rows = table_rows(root() / "docs/operations/quota-leases.md", "| line | meaning | what to do |");
  EXPECT_FALSE(rows.empty());
  for (const auto& row : rows)
    for (const auto& line : quotes(row.at(0)))
      EXPECT_TRUE(literals().can_be_logged(line)) << "no log line " << line;
}

}  // namespace
}  // namespace robinford
