// Whole files as text.
#pragma once

#include <fstream>
#include <optional>
#include <sstream>
#include <string>

namespace robinford::protocol {

// Nothing when the file can't be opened.
inline std::optional<std::string> read_text_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return std::nullopt;
  std::ostringstream content;
  content << in.rdbuf();
  return content.str();
}

}  // namespace robinford::protocol
