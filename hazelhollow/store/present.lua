-- Who is there. KEYS[1] is one hash for the fleet: by limiter, until when it counts as present, by the store's clock and by
-- its own. A limiter that is not present has its even share for itself, so the others must leave it alone.
--
-- ARGV: limiter's number, caller's ms, store's ms after which this is too late, term ms, margin ms between callers' clocks.
-- Gives the store's ms and, as one text, the numbers of those present, or 'late'.

local clock = redis.call('TIME')
local store_ms = clock[1] * 1000 + math.floor(clock[2] / 1000)
local me, caller_ms, too_late, term, margin = ARGV[1], tonumber(ARGV[2]), tonumber(ARGV[3]), tonumber(ARGV[4]), tonumber(ARGV[5])
local said = string.format('%.0f', store_ms)
if store_ms > too_late then return {said, 'late'} end

local there, flat = {}, redis.call('HGETALL', KEYS[1])
local known
for i = 1, #flat, 2 do
  local by_store, by_caller, told = string.match(flat[i + 1], '^(%-?%d+) (%-?%d+) (%-?%d+)$')
  if flat[i] == me then
    known = tonumber(told)
  elseif by_store and store_ms < tonumber(by_store) and caller_ms < tonumber(by_caller) + margin
      and store_ms + term + 1000 > tonumber(by_store) then
    there[#there + 1] = flat[i]
  else
    redis.call('HDEL', KEYS[1], flat[i])
  end
end
if known and known > caller_ms and known < caller_ms + 60000 then return {said, 'late'} end  -- an older call that came late
redis.call('HSET', KEYS[1], me, string.format('%.0f %.0f %.0f', store_ms + term, caller_ms + term, caller_ms))
there[#there + 1] = me
redis.call('PEXPIRE', KEYS[1], 600000)
return {said, table.concat(there, ' ')}
