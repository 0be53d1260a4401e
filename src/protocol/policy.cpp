#include "protocol/policy.hpp"

#include <cmath>
#include <cstdlib>
#include <memory>
#include <sstream>

#include "constants.hpp"
#include "protocol/text_file.hpp"

extern "C" {
#include <lauxlib.h>
#include <lua.h>
#include <lualib.h>
}

namespace robinford::protocol {
namespace {

struct Arena {
  std::size_t used = 0;
};

// Lua asks for all its memory here, so a script can't eat the controller's.
void* bounded_alloc(void* context, void* block, std::size_t old_size, std::size_t new_size) {
  auto* arena = static_cast<Arena*>(context);
  const std::size_t had = block != nullptr ? old_size : 0;
  if (new_size == 0) {
    std::free(block);
    arena->used -= had;
    return nullptr;
  }
  if (arena->used - had + new_size > constants::kLuaMemoryBytes) return nullptr;
  void* result = std::realloc(block, new_size);
  if (result != nullptr) arena->used = arena->used - had + new_size;
  return result;
}

void too_long(lua_State* state, lua_Debug*) { luaL_error(state, "the script runs too long"); }

[[noreturn]] void fail(const std::string& what) { throw PolicyError("policy: " + what); }

double read_number(lua_State* state, const char* key, double least, double most, double otherwise) {
  lua_getfield(state, -1, key);
  double result = otherwise;
  if (!lua_isnil(state, -1)) {
    if (lua_type(state, -1) != LUA_TNUMBER) fail(std::string(key) + " must be a number");
    result = lua_tonumber(state, -1);
    if (!std::isfinite(result) || result < least || result > most) {
      std::ostringstream out;
      out << key << " must lie between " << least << " and " << most;
      fail(out.str());
    }
  }
  lua_pop(state, 1);
  return result;
}

// Runs under lua_pcall, since opening a library may run out of memory.
int open_libraries(lua_State* state) {
  luaL_requiref(state, "_G", luaopen_base, 1);
  luaL_requiref(state, LUA_MATHLIBNAME, luaopen_math, 1);
  luaL_requiref(state, LUA_TABLIBNAME, luaopen_table, 1);
  luaL_requiref(state, LUA_STRLIBNAME, luaopen_string, 1);
  // Nothing that reads files, loads code or prints stays in reach.
  for (const char* name : {"dofile", "loadfile", "load", "print", "collectgarbage", "require"}) {
    lua_pushnil(state);
    lua_setglobal(state, name);
  }
  return 0;
}

}  // namespace

Policy parse_policy(const std::string& script, const std::string& name) {
  Arena arena;
  std::unique_ptr<lua_State, decltype(&lua_close)> owner(lua_newstate(bounded_alloc, &arena), lua_close);
  lua_State* state = owner.get();
  if (state == nullptr) fail("out of memory");
  const auto run = [&](int results) {
    if (lua_pcall(state, 0, results, 0) != LUA_OK) {
      const char* message = lua_tostring(state, -1);
      fail(message != nullptr ? message : "unknown error");
    }
  };
  lua_pushcfunction(state, open_libraries);
  run(0);
  if (luaL_loadbufferx(state, script.data(), script.size(), name.c_str(), "t") != LUA_OK)
    fail(lua_tostring(state, -1));
  lua_sethook(state, too_long, LUA_MASKCOUNT, constants::kLuaInstructionsMax);
  run(1);
  lua_sethook(state, nullptr, 0, 0);
  if (!lua_istable(state, -1)) fail("the script must return a table");
  Policy policy;
  policy.jobs_per_machine =
      static_cast<int>(read_number(state, "jobs_per_machine", 1, 10000, policy.jobs_per_machine));
  policy.tasks_per_job =
      static_cast<int>(read_number(state, "tasks_per_job", 1, 10000, policy.tasks_per_job));
  policy.overbook = read_number(state, "overbook", 0, 1, policy.overbook);
  policy.spare_machines =
      static_cast<int>(read_number(state, "spare_machines", -1, 10000, policy.spare_machines));
  policy.idle_return_s = read_number(state, "idle_return_s", -1, 86400, policy.idle_return_s);
  lua_getfield(state, -1, "mapping");
  if (!lua_isnil(state, -1)) {
    const char* value = lua_type(state, -1) == LUA_TSTRING ? lua_tostring(state, -1) : "";
    const std::string mapping = value;
    if (mapping != "spread" && mapping != "concentrate")
      fail("mapping must be \"spread\" or \"concentrate\"");
    policy.concentrate = mapping == "concentrate";
  }
  lua_pop(state, 1);
  lua_getfield(state, -1, "shares");
  if (!lua_isnil(state, -1)) {
    if (!lua_istable(state, -1)) fail("shares must be a table");
    lua_pushnil(state);
    while (lua_next(state, -2) != 0) {
      if (lua_type(state, -2) != LUA_TSTRING || lua_type(state, -1) != LUA_TNUMBER)
        fail("shares must map team names to numbers");
      const double share = lua_tonumber(state, -1);
      if (!std::isfinite(share) || share <= 0 || share > 1e9) fail("a share must be above 0 and at most 1e9");
      policy.shares[lua_tostring(state, -2)] = share;
      lua_pop(state, 1);
    }
  }
  return policy;
}

Policy load_policy(const std::string& path) {
  const auto text = read_text_file(path);
  if (!text) fail("cannot read '" + path + "'");
  return parse_policy(*text, "=policy");
}

}  // namespace robinford::protocol
