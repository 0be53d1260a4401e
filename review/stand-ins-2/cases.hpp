#pragma once

#include <functional>
#include <map>
#include <string>

namespace standin {

struct CaseArguments {
  std::string folder, program;
  bool trouble = true;
};

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

const std::map<std::string, std::function<int(const CaseArguments&)>>& cases();

}  // namespace standin
