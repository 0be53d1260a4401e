// The cases' courses of events. Each returns through Run::finish.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "site.hpp"

namespace review {

struct Run {
  Site& site;
  bool trouble = true;
  std::function<void(int)> finish;  // 0: the rule held, 1: it was broken, 2: the case could not run
};

// A job with one task on one cpu for two seconds, unless changed.
JobSpec small_job(JobId id);
// Waits until a controller leads and has served for some seconds.
void when_serving(const std::shared_ptr<Run>& run, std::function<void(int leader)> ready);

Options options_of(const std::string& name);
void start_case(const std::string& name, const std::shared_ptr<Run>& run);

}  // namespace review
