#ifndef REVIEW_SCENARIOS_H
#define REVIEW_SCENARIOS_H

#include <string>
#include <vector>

// Returns 0: the rule held, 1: it was broken, 2: the case could not run.
int run_scenario(const std::string &name, const std::vector<std::string> &command, bool trouble);
// Ends all controllers; may be called from a signal handler.
void end_processes();

#endif
