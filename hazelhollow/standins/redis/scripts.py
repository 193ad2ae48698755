"""Runs scripts in Lua 5.1 (lupa), with Redis's conversions between Lua and RESP.

Source: the public pages "Scripting with Lua" and "Redis Lua API reference". A script can use only
the globals that are defined here. A script that executes too many instructions or uses too much
memory ends with an error.
"""

from __future__ import annotations

import hashlib
from typing import Any

import lupa.lua51 as lupa

from hazelhollow.standins.redis.engine import Engine
from hazelhollow.standins.redis.values import CommandError, NullArray, Reply, Status

MAX_MEMORY_BYTES = 32 * 2**20
MAX_INSTRUCTIONS = 5_000_000
NO_SCRIPT = "NOSCRIPT No matching script. Please use EVAL."

# Errors are tables with a field `err`: redis.pcall returns them and redis.call raises them.
PRELUDE = b"""
local host, most = ...
local sethook, setfenv, loadstring, type, error, pcall, tostring =
  debug.sethook, setfenv, loadstring, type, error, pcall, tostring
local redis = {LOG_DEBUG = 0, LOG_VERBOSE = 1, LOG_NOTICE = 2, LOG_WARNING = 3}
function redis.pcall(...) return host('call', ...) end
function redis.call(...)
  local result = host('call', ...)
  if type(result) == 'table' and result.err ~= nil then error(result, 0) end
  return result
end
function redis.error_reply(text) return {err = text} end
function redis.status_reply(text) return {ok = text} end
function redis.sha1hex(text) return host('sha1hex', text) end
function redis.log() end
function redis.setresp() end
function redis.replicate_commands() return true end
local globals, world = {redis = redis}, {}
for _, name in pairs({'assert', 'error', 'getmetatable', 'ipairs', 'math', 'next', 'pairs',
  'rawequal', 'rawget', 'select',
                      'string', 'table', 'tonumber', 'tostring', 'type', 'unpack'}) do
  globals[name] = _G[name]
end
globals.loadstring = function(text, name)
  local chunk, problem = loadstring(text, name)
  if chunk then return setfenv(chunk, world) end
  return nil, problem
end
globals._G = world
setmetatable(world, {
  __newindex = function() error({err = 'ERR Attempt to modify a readonly table'}, 0) end,
  __index = function(_, name)
    local found = globals[name]
    if found == nil then
      error({err = "ERR Script attempted to access nonexistent global variable '" ..
        tostring(name) .. "'"}, 0)
    end
    return found
  end,
})
local spent = false
local function too_long()
  spent = true
  error({err = 'ERR the script ran for too long'}, 0)
end
local function passed(...)  -- a pcall within a loop must not go on for ever
  if spent then too_long() end
  return ...
end
function globals.pcall(...) return passed(pcall(...)) end
local function run(chunk, keys, args)
  globals.KEYS, globals.ARGV = keys, args
  math.randomseed(0)
  spent = false
  sethook(too_long, '', most)
  local fine, result = pcall(chunk)
  sethook()
  if fine then return result end
  if type(result) == 'table' and result.err ~= nil then return {fault = result.err} end
  return {fault = 'ERR ' .. tostring(result)}
end
return globals.loadstring, run
"""


def script_digest(text: bytes) -> str:
    """Returns the SHA-1 of a script's text in hexadecimal, by which clients call it."""
    return hashlib.sha1(text).hexdigest()


class Scripts:
    """The scripts loaded into a server, and the Lua state in which they run."""

    def __init__(self, engine: Engine) -> None:
        self._engine, self._database = engine, 0
        self.loaded: dict[str, bytes] = {}  # text by digest
        self._chunks: dict[str, Any] = {}
        self._lua = lupa.LuaRuntime(
            encoding=None,
            unpack_returned_tuples=True,
            register_eval=False,
            register_builtins=False,
            max_memory=MAX_MEMORY_BYTES,
        )
        prelude = self._lua.compile(PRELUDE)
        self._compile, self._run = prelude(self._call_from_lua, MAX_INSTRUCTIONS)

    def load(self, text: bytes) -> str:
        """Compiles and stores a script; returns its digest.

        Raises:
            CommandError: the script does not compile.
        """
        digest = script_digest(text)
        if digest not in self._chunks:
            result = self._compile(text, b"@user_script")
            chunk, problem = result if isinstance(result, tuple) else (result, None)
            if chunk is None:
                raise CommandError(
                    "ERR Error compiling script (new function): "
                    f"{problem.decode('utf-8', 'replace')}"
                )
            self._chunks[digest] = chunk
        self.loaded[digest] = text
        return digest

    def flush(self) -> None:
        """Removes all scripts."""
        self.loaded.clear()

    def run(self, database: int, digest: str, keys: list[bytes], args: list[bytes]) -> Reply:
        """Runs a loaded script on a database; the server's time does not advance meanwhile.

        Raises:
            CommandError: the script is not loaded, or it failed.
        """
        digest = digest.lower()
        if digest not in self.loaded:
            raise CommandError(NO_SCRIPT)
        self._database = database
        self._engine.frozen_time = self._engine.now()
        try:
            result = self._run(
                self._chunks[digest], self._lua.table_from(keys), self._lua.table_from(args)
            )
        except lupa.LuaError as error:
            raise CommandError(f"ERR {error}") from None
        finally:
            self._engine.frozen_time = None
        if lupa.lua_type(result) == "table" and result[b"fault"] is not None:
            raise CommandError(f"{_text(result[b'fault'])} script: {digest}, on @user_script.")
        return self.to_reply(result)

    # Calls from scripts

    def _call_from_lua(self, function: bytes, *arguments: Any) -> Any:
        if function == b"sha1hex":
            return script_digest(_to_argument(arguments[0]) or b"").encode()
        try:
            converted = [_to_argument(argument) for argument in arguments]
            if not converted or None in converted:
                raise CommandError(
                    "ERR Lua redis lib command arguments must be strings or integers"
                )
            return self._to_lua(
                self._engine.call(
                    self._database, [c for c in converted if c is not None], scripted=True
                )
            )
        except CommandError as error:
            return self._lua.table_from({b"err": error.text.encode()})

    def _to_lua(self, reply: Reply) -> Any:
        if isinstance(reply, Status):
            return self._lua.table_from({b"ok": bytes(reply)})
        if reply is None or isinstance(reply, NullArray):
            return False
        if isinstance(reply, list):
            return self._lua.table_from([self._to_lua(part) for part in reply])
        return reply

    def to_reply(self, result: Any) -> Reply:
        """Converts a script's result to a reply as Redis does.

        Numbers are truncated to integers, `false` becomes null, and an array ends at its first nil.
        """
        if result is None or result is False:
            return None
        if result is True:
            return 1
        if isinstance(result, int | float):
            return int(result) if abs(result) < 2**63 else -(2**63)
        if isinstance(result, bytes):
            return result
        if lupa.lua_type(result) != "table":
            return None
        if result[b"err"] is not None:
            return CommandError(_text(result[b"err"]))
        if result[b"ok"] is not None:
            return Status(result[b"ok"])
        parts: list[Reply] = []
        while (part := result[len(parts) + 1]) is not None:
            parts.append(self.to_reply(part))
        return parts


def _text(value: Any) -> str:
    return value.decode("utf-8", "replace") if isinstance(value, bytes) else str(value)


def _to_argument(value: Any) -> bytes | None:
    """Converts a Lua string or number to a command's argument; None for any other type."""
    if isinstance(value, bytes):
        return value
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return b"%d" % value if value == int(value) and abs(value) < 1e15 else f"{value:.17g}".encode()
