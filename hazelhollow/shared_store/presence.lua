-- Records a limiter's heartbeat and returns the limiters present. KEYS[1] is one hash for the fleet: for each limiter, until
-- when it counts as present by the store's clock and by its own clock, and the time of its last heartbeat by its own clock.
-- A limiter that is not present uses its even share by itself, so the others must not use that share.
--
-- ARGV: limiter's number, time of the call by the caller's clock, deadline of the call by the store's clock, term of a
--       heartbeat, margin for differences between the callers' clocks; all times and durations in ms.
-- Returns the store's time in ms and, as one text, the numbers of the limiters present, or 'late'.

local clock = redis.call('TIME')
local store_ms = clock[1] * 1000 + math.floor(clock[2] / 1000)
local limiter, caller_ms, deadline_ms, term, margin = ARGV[1], tonumber(ARGV[2]), tonumber(ARGV[3]), tonumber(ARGV[4]), tonumber(ARGV[5])
local CLOCK_JUMP, LATEST_SKEW, FORGET_AFTER = 1000, 60000, 600000  -- ms
local store_text = string.format('%.0f', store_ms)
if store_ms > deadline_ms then return {store_text, 'late'} end

local present, reply = {}, redis.call('HGETALL', KEYS[1])
local own_last_ms
for i = 1, #reply, 2 do
  local until_by_store, until_by_caller, sent_ms = string.match(reply[i + 1], '^(%-?%d+) (%-?%d+) (%-?%d+)$')
  if reply[i] == limiter then
    own_last_ms = tonumber(sent_ms)
  elseif until_by_store and store_ms < tonumber(until_by_store) and caller_ms < tonumber(until_by_caller) + margin
      and store_ms + term + CLOCK_JUMP > tonumber(until_by_store) then
    present[#present + 1] = reply[i]
  else
    redis.call('HDEL', KEYS[1], reply[i])
  end
end
if own_last_ms and own_last_ms > caller_ms and own_last_ms < caller_ms + LATEST_SKEW then  -- a newer heartbeat ran before
  return {store_text, 'late'}
end
redis.call('HSET', KEYS[1], limiter, string.format('%.0f %.0f %.0f', store_ms + term, caller_ms + term, caller_ms))
present[#present + 1] = limiter
redis.call('PEXPIRE', KEYS[1], FORGET_AFTER)
return {store_text, table.concat(present, ' ')}
