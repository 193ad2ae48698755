-- One customer's limits. KEYS[1] is the customer's record, a hash; it holds one pool of units a limit, and what of it
-- each limiter holds on lease. docs/design/redis-store.md proves the bound:
--   level + leased <= burst at all times, and it grows at the rate at most; so what is spent does too.
--
-- ARGV: slot (limiter and life), sequence, caller's ms, store's ms after which this is too late, store's ms of its start,
--       term ms, limiters present, limiters in the set, highest total the caller has seen, number of limits,
--       then for each limit: rate a ms, burst, spent since the slot began, units held, units wanted, units needed, and when
--       what was spent lately was: `ms ago:units,...`, the latest last.
-- Gives {word, total, wait ms, then for each limit: kept, granted, level}. Words: ok, late, stale.

local clock = redis.call('TIME')
local store_ms = clock[1] * 1000 + math.floor(clock[2] / 1000)
local slot, seq, caller_ms = ARGV[1], tonumber(ARGV[2]), tonumber(ARGV[3])
local too_late, since, term = tonumber(ARGV[4]), tonumber(ARGV[5]), tonumber(ARGV[6])
local present, set, known, limits = tonumber(ARGV[7]), tonumber(ARGV[8]), tonumber(ARGV[9]), tonumber(ARGV[10])
local JUMP, FORGET, MARGIN = 1000, 600000, 50

if store_ms > too_late then return {'late', '0', '0'} end

local record, flat = {}, redis.call('HGETALL', KEYS[1])
for i = 1, #flat, 2 do record[flat[i]] = flat[i + 1] end

local function numbers(text)
  local found = {}
  for part in string.gmatch(text, '[^ ]+') do found[#found + 1] = tonumber(part) end
  return found
end

-- Time is what both the store's clock and the callers' clocks say has gone by: one of them that jumps gives nobody units.
-- Head: time at the anchors, the store's and the callers' ms there, the callers' latest ms, store's ms of the last call, time
-- from which the pool fills, limiters present then, units ever leased, time of the last call.
local head = record.head and numbers(record.head)
local lost = not head or head[5] < since or head[8] < known
local now, anchor, store_at, caller_at, latest, opens, were, total, last
if lost then
  -- A new customer, or a store that came back empty or old: nothing is known of what is on lease. It begins closed, for
  -- as long as any lease from before may last, and then opens at the rate.
  now, anchor, store_at, caller_at, latest, last = 0, 0, store_ms, caller_ms, caller_ms, 0
  opens, were, total = term + MARGIN, present, math.max(known, head and head[8] or 0)
else
  anchor, store_at, caller_at, latest = head[1], head[2], head[3], math.max(head[4], caller_ms)
  opens, were, total, last = head[6], head[7], head[8], head[9]
  local by_store, by_callers = store_ms - store_at, latest - caller_at
  now = math.max(anchor + math.max(math.min(by_store, by_callers), 0), last)
  if math.abs(by_store - by_callers) > JUMP then
    anchor, store_at, caller_at, latest = now, store_ms, caller_ms, caller_ms
  end
end

-- What is on lease, by slot: sequence, end, then spent and held for each limit. A lease that has ended counts as spent.
local mine, slots, ended = nil, {}, {}
for name, text in pairs(record) do
  if string.sub(name, 1, 2) == 'm:' then
    local found = numbers(text)
    if #found == 2 + 2 * limits and not lost then
      if name == 'm:' .. slot then mine = found end
      if found[2] <= now then ended[#ended + 1] = {name = name, at = found[2], found = found} end
      slots[#slots + 1] = found
    elseif name ~= 'm:' .. slot then
      ended[#ended + 1] = {name = name, at = now}
    end
  end
end
if mine and seq <= mine[1] then return {'stale', string.format('%.3f', total), '0'} end
table.sort(ended, function(a, b) return a.at < b.at end)

-- The pool fills up to its burst less what was on lease at each moment, as far as that can be known now: a lease until it
-- ended, the caller's own until it says that it spent it. (To let the pool fill as if all had been spent long ago would pass
-- the burst.) Both can only be later than they were.
local counted = math.min(present, were)  -- of those that were away meanwhile, the share was theirs
local function falls(i, spent, told)
  local found = {}
  for _, lease in ipairs(ended) do
    if lease.found then found[#found + 1] = {lease.at, lease.found[2 + 2 * i]} end
  end
  if mine and mine[2] > now then
    local left, steps = math.max(spent - mine[1 + 2 * i], 0), {}
    for ago, units in string.gmatch(told, '([%d.]+):([%d.]+)') do steps[#steps + 1] = {now - tonumber(ago), tonumber(units)} end
    for n = #steps, 1, -1 do  -- the store may have heard of the earlier ones
      local units = math.min(steps[n][2], left)
      left = left - units
      found[#found + 1] = {math.max(steps[n][1], last), units}
    end
  end
  table.sort(found, function(a, b) return a[1] < b[1] end)
  return found
end
local function fill(i, rate, burst, level, spent, told)
  local out, from = 0, last
  for _, found in ipairs(slots) do out = out + found[2 + 2 * i] end
  for _, fall in ipairs(falls(i, spent, told)) do
    level = math.min(level + rate * math.max(fall[1] - math.max(from, opens), 0), burst - out)
    out, from = out - fall[2], math.max(from, fall[1])
  end
  return math.max(math.min(level + rate * math.max(now - math.max(from, opens), 0), burst - out), 0)
end
local others, held_by_others = 0, {}
for i = 1, limits do held_by_others[i] = 0 end
for _, found in ipairs(slots) do
  if found ~= mine and found[2] > now then
    local any = 0
    for i = 1, limits do
      held_by_others[i] = held_by_others[i] + found[2 + 2 * i]
      any = any + found[2 + 2 * i]
    end
    if any > 0 then others = others + 1 end
  end
end

local answer, words, levels, wait = {'ok', '', ''}, {seq, now + term + MARGIN}, {}, 0
for i = 1, limits do
  local at = 10 + 7 * (i - 1)
  local rate, burst = tonumber(ARGV[at + 1]), tonumber(ARGV[at + 2])
  local spent, have, want, need = tonumber(ARGV[at + 3]), tonumber(ARGV[at + 4]), tonumber(ARGV[at + 5]), tonumber(ARGV[at + 6])
  local level = fill(i, rate * counted / set, burst * counted / set, lost and 0 or tonumber(record['l' .. i] or '0'), spent, ARGV[at + 7])
  local kept = 0
  if lost then
    kept = math.min(have, burst)  -- the caller tells what it holds
  elseif mine and mine[2] > now then
    local held = math.max(mine[2 + 2 * i] - math.max(spent - mine[1 + 2 * i], 0), 0)
    kept = math.min(have, held)
    level = level + held - kept  -- what the caller does not hold goes back: answers that it never had, and what is idle
  end
  -- Where others hold leases too, nobody holds more than its part of what is there and on lease, but for one request.
  local part = (level + kept + held_by_others[i]) / (others + 1) - kept
  local granted = math.min(want, math.max(part, math.min(level, need)))
  if granted < need then
    if rate > 0 and present > 0 then
      wait = math.max(wait, (need - level) / (rate * present / set) + math.max(opens - now, 0))
    end
    granted = 0
  end
  granted = math.max(math.min(granted, level), 0)
  level, total = level - granted, total + granted
  levels[i] = level
  words[#words + 1] = string.format('%.6f', spent)
  words[#words + 1] = string.format('%.6f', kept + granted)
  answer[#answer + 1] = string.format('%.6f', kept)
  answer[#answer + 1] = string.format('%.6f', granted)
  answer[#answer + 1] = string.format('%.6f', level)
end
answer[2], answer[3] = string.format('%.3f', total), string.format('%d', math.ceil(wait))

local fields = {'m:' .. slot, table.concat(words, ' '),
  'head', string.format('%.0f %.0f %.0f %.0f %.0f %.0f %d %.3f %.0f', anchor, store_at, caller_at, latest, store_ms, opens, present, total, now)}
for i = 1, limits do
  fields[#fields + 1] = 'l' .. i
  fields[#fields + 1] = string.format('%.6f', levels[i])
end
if lost then redis.call('DEL', KEYS[1]) end
for _, lease in ipairs(ended) do redis.call('HDEL', KEYS[1], lease.name) end
redis.call('HSET', KEYS[1], unpack(fields))
redis.call('PEXPIRE', KEYS[1], FORGET)
return answer
