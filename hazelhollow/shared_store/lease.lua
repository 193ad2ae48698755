-- Grants, renews and returns leases of one customer. KEYS[1] is the customer's record, a hash; it holds one pool of units for
-- each limit, and the units of it that each limiter holds on lease. docs/design/redis-store.md proves the bound:
-- level + leased <= burst at all times, and the sum grows at most at the rate; therefore so do the units spent.
--
-- ARGV: slot (limiter and incarnation), sequence, time of the call by the caller's clock, deadline of the call by the store's
--       clock, start of the store's process by the store's clock, term of a lease, limiters present, limiters in the set,
--       highest total that the caller has seen, number of limits, then for each limit: rate per ms, burst, units spent since
--       the slot began, units held, units wanted, units needed, and the recent spending as `ms ago:units,...`, latest last.
-- Returns {status, total, wait, then for each limit: kept, granted, level}. Status: ok, late or stale.
-- All times and durations are in ms; `total` counts the units ever leased.

local clock = redis.call('TIME')
local store_ms = clock[1] * 1000 + math.floor(clock[2] / 1000)
local slot, sequence, caller_ms = ARGV[1], tonumber(ARGV[2]), tonumber(ARGV[3])
local deadline_ms, store_started_ms, term = tonumber(ARGV[4]), tonumber(ARGV[5]), tonumber(ARGV[6])
local present, set_size, known_total, limits = tonumber(ARGV[7]), tonumber(ARGV[8]), tonumber(ARGV[9]), tonumber(ARGV[10])
local CLOCK_JUMP, FORGET_AFTER, MARGIN = 1000, 600000, 50  -- ms

if store_ms > deadline_ms then return {'late', '0', '0'} end

local record, reply = {}, redis.call('HGETALL', KEYS[1])
for i = 1, #reply, 2 do record[reply[i]] = reply[i + 1] end

local function parse_numbers(text)
  local parsed = {}
  for part in string.gmatch(text, '[^ ]+') do parsed[#parsed + 1] = tonumber(part) end
  return parsed
end

-- `now` is the record's own time in ms. It advances by the smaller of the times elapsed on the store's clock and on the
-- callers' clocks, so that a jump of one of them adds no units.
-- The head consists of: time at the anchors, the store's clock and the callers' clock at the anchors, the callers' latest
-- clock, the store's clock at the last call, time from which the pool refills, limiters present at the last call, units ever
-- leased, time of the last call.
local head = record.head and parse_numbers(record.head)
local state_lost = not head or head[5] < store_started_ms or head[8] < known_total
local now, anchor_time, anchor_store_ms, anchor_caller_ms, latest_caller_ms, opens_at, last_present, total, last_time
if state_lost then
  -- The customer is new, or the store was restored empty or from an old snapshot: the leases that are outstanding are not
  -- known. The pool stays closed for as long as an earlier lease may last, and then refills from empty at the rate.
  now, anchor_time, anchor_store_ms, anchor_caller_ms, latest_caller_ms, last_time = 0, 0, store_ms, caller_ms, caller_ms, 0
  opens_at, last_present, total = term + MARGIN, present, math.max(known_total, head and head[8] or 0)
else
  anchor_time, anchor_store_ms, anchor_caller_ms, latest_caller_ms = head[1], head[2], head[3], math.max(head[4], caller_ms)
  opens_at, last_present, total, last_time = head[6], head[7], head[8], head[9]
  local by_store, by_callers = store_ms - anchor_store_ms, latest_caller_ms - anchor_caller_ms
  now = math.max(anchor_time + math.max(math.min(by_store, by_callers), 0), last_time)
  if math.abs(by_store - by_callers) > CLOCK_JUMP then
    anchor_time, anchor_store_ms, anchor_caller_ms, latest_caller_ms = now, store_ms, caller_ms, caller_ms
  end
end

-- Leases by slot: sequence, end, then units spent and units held for each limit. The units of a lease that has ended count
-- as spent.
local function ends_at(lease) return lease[2] end
local function spent_of(lease, i) return lease[1 + 2 * i] end
local function held_of(lease, i) return lease[2 + 2 * i] end

local own_lease, leases, ended = nil, {}, {}
for name, text in pairs(record) do
  if string.sub(name, 1, 2) == 'm:' then
    local lease = parse_numbers(text)
    if #lease == 2 + 2 * limits and not state_lost then
      if name == 'm:' .. slot then own_lease = lease end
      if ends_at(lease) <= now then ended[#ended + 1] = {name = name, at = ends_at(lease), lease = lease} end
      leases[#leases + 1] = lease
    elseif name ~= 'm:' .. slot then
      ended[#ended + 1] = {name = name, at = now}
    end
  end
end
if own_lease and sequence <= own_lease[1] then return {'stale', string.format('%.3f', total), '0'} end
table.sort(ended, function(a, b) return a.at < b.at end)
local own_is_good = own_lease and ends_at(own_lease) > now

-- The pool refills up to its burst minus the units on lease at each moment. A lease counts as outstanding until its end, and
-- the caller's own units until the time at which it reports them spent. Both times can only be later than the actual ones,
-- which is safe. If the pool refilled as if all units had been spent long ago, the burst would be exceeded.
local counted = math.min(present, last_present)  -- a limiter absent at either call may have used its share itself

-- The times, in ascending order, at which units ceased to be on lease. `reported` is the caller's `ms ago:units,...`.
local function releases(i, spent, reported)
  local found = {}
  for _, item in ipairs(ended) do
    if item.lease then found[#found + 1] = {at = item.at, units = held_of(item.lease, i)} end
  end
  if own_is_good then
    local left, steps = math.max(spent - spent_of(own_lease, i), 0), {}
    for ago, units in string.gmatch(reported, '([%d.]+):([%d.]+)') do
      steps[#steps + 1] = {at = now - tonumber(ago), units = tonumber(units)}
    end
    for n = #steps, 1, -1 do  -- earlier steps may have been reported already, so the latest are counted first
      local units = math.min(steps[n].units, left)
      left = left - units
      found[#found + 1] = {at = math.max(steps[n].at, last_time), units = units}
    end
  end
  table.sort(found, function(a, b) return a.at < b.at end)
  return found
end

-- Returns the current level of a pool that had `level` at the last call.
local function fill(i, rate, burst, level, spent, reported)
  local leased, from = 0, last_time
  for _, lease in ipairs(leases) do leased = leased + held_of(lease, i) end
  for _, release in ipairs(releases(i, spent, reported)) do
    level = math.min(level + rate * math.max(release.at - math.max(from, opens_at), 0), burst - leased)
    leased, from = leased - release.units, math.max(from, release.at)
  end
  return math.max(math.min(level + rate * math.max(now - math.max(from, opens_at), 0), burst - leased), 0)
end

local others, held_by_others = 0, {}  -- number of other limiters that hold leases, and their units of each limit
for i = 1, limits do held_by_others[i] = 0 end
for _, lease in ipairs(leases) do
  if lease ~= own_lease and ends_at(lease) > now then
    local held = 0
    for i = 1, limits do
      held_by_others[i] = held_by_others[i] + held_of(lease, i)
      held = held + held_of(lease, i)
    end
    if held > 0 then others = others + 1 end
  end
end

local answer, new_lease, levels, wait = {'ok', '', ''}, {sequence, now + term + MARGIN}, {}, 0
for i = 1, limits do
  local at = 10 + 7 * (i - 1)
  local rate, burst = tonumber(ARGV[at + 1]), tonumber(ARGV[at + 2])
  local spent, held, wanted, needed = tonumber(ARGV[at + 3]), tonumber(ARGV[at + 4]), tonumber(ARGV[at + 5]), tonumber(ARGV[at + 6])
  local level = fill(i, rate * counted / set_size, burst * counted / set_size, state_lost and 0 or tonumber(record['l' .. i] or '0'), spent, ARGV[at + 7])
  local kept = 0
  if state_lost then
    kept = math.min(held, burst)  -- only the caller's report is available
  elseif own_is_good then
    local recorded = math.max(held_of(own_lease, i) - math.max(spent - spent_of(own_lease, i), 0), 0)
    kept = math.min(held, recorded)
    level = level + recorded - kept  -- units of lost answers, and units that the caller returns, go back to the pool
  end
  -- If other limiters hold leases too, each gets at most an equal part of the units in the pool and on lease, or the units
  -- needed for one request.
  local part = (level + kept + held_by_others[i]) / (others + 1) - kept
  local granted = math.min(wanted, math.max(part, math.min(level, needed)))
  if granted < needed then
    if rate > 0 and present > 0 then
      wait = math.max(wait, (needed - level) / (rate * present / set_size) + math.max(opens_at - now, 0))
    end
    granted = 0
  end
  granted = math.max(math.min(granted, level), 0)
  level, total = level - granted, total + granted
  levels[i] = level
  new_lease[#new_lease + 1] = string.format('%.6f', spent)
  new_lease[#new_lease + 1] = string.format('%.6f', kept + granted)
  answer[#answer + 1] = string.format('%.6f', kept)
  answer[#answer + 1] = string.format('%.6f', granted)
  answer[#answer + 1] = string.format('%.6f', level)
end
answer[2], answer[3] = string.format('%.3f', total), string.format('%d', math.ceil(wait))

local fields = {'m:' .. slot, table.concat(new_lease, ' '),
  'head', string.format('%.0f %.0f %.0f %.0f %.0f %.0f %d %.3f %.0f', anchor_time, anchor_store_ms, anchor_caller_ms, latest_caller_ms, store_ms, opens_at, present, total, now)}
for i = 1, limits do
  fields[#fields + 1] = 'l' .. i
  fields[#fields + 1] = string.format('%.6f', levels[i])
end
if state_lost then redis.call('DEL', KEYS[1]) end
for _, item in ipairs(ended) do redis.call('HDEL', KEYS[1], item.name) end
redis.call('HSET', KEYS[1], unpack(fields))
redis.call('PEXPIRE', KEYS[1], FORGET_AFTER)
return answer
