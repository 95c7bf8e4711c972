/** Which upstream an entry chooses after records, load reports, restarts, evacuations and its own calls. */
import { test } from 'tap'
import { EngineSlots } from '../src/roles/gateway/engine-slots.js'
import { UpstreamLimits } from '../src/roles/gateway/upstream-limits.js'
import { UpstreamPool } from '../src/roles/gateway/upstream-pool.js'
import type { UpstreamRequirements, SelectionFailure } from '../src/roles/gateway/upstream-selection.js'
import type { UpstreamView } from '../src/roles/gateway/upstream-view.js'
import type { Service, Upstream, VouchedLoad } from '../src/types/fleet.js'
import type { LoadReport } from '../src/types/node-messages.js'
import type { AnswerHead } from '../src/types/ports.js'
import { sleepUntil, monotonicNow } from '../src/utils/clock.js'

const service: Service = { name: 'model-a', maximumConnections: 0, coldMilliseconds: 3000, coldRequestsPerSecond: 36, engine: undefined, origin: undefined }
const upstream: Upstream = { id: 'i-1', service: 'model-a', address: '10.0.0.9:8080', dataCentre: 'zone-a', slots: 16, isDraining: false, coldMilliseconds: 0, startedAt: 1000, weights: { model: 'weights-a', version: 1 }, isEngine: true }
const requirements: UpstreamRequirements = { service, regions: undefined, admission: { requestsPerSlot: 1, waiting: 0 }, tried: new Set(), minimumVersion: 1, streamVersion: undefined, search: undefined }
const report = { kind: 'load', startedAt: 1000, orders: 0, running: 0, waiting: 0, model: 'weights-a', version: 1, isSwapping: false, readyInMilliseconds: 0 } as const

const answered: AnswerHead = { status: 200, requestId: undefined, isSigned: true, isNotRun: false, isMisdirected: false, isEncoded: false, load: undefined, limit: { kind: 'none' }, rest: { kind: 'none' }, isLeaving: false }
const resting: AnswerHead = { ...answered, status: 503, isSigned: false, isNotRun: true, rest: { kind: 'rest', milliseconds: 3000 } }

const unlimited = new UpstreamLimits({ fleet: () => ({ self: 'entry-1', ready: ['entry-1'], silent: [], isSettled: true }), send: () => {}, startOf: () => undefined, coldRate: () => undefined })

function makePool (evacuated: readonly string[] = [], upstreams: readonly Upstream[] = [upstream]): UpstreamPool {
  const pool = new UpstreamPool({
    instance: 'entry-1',
    dataCentre: 'zone-a',
    regionOf: new Map([['zone-a', 'north'], ['zone-b', 'south']]),
    cold: { factor: 1.5, slack: 5 },
    limits: unlimited,
    slots: new EngineSlots({ send: () => {}, answered: () => {} }),
    entries: () => ['entry-1'],
    knownEntries: () => ['entry-1'],
    isEvacuated: dataCentre => evacuated.includes(dataCentre),
    isAdaptive: () => false,
    upstreamGone: () => {},
    upstreamLeaves: () => {}
  }, () => service, () => 0)
  for (const one of upstreams) pool.putRecord(one, false)
  return pool
}

const idOf = (view: UpstreamView | SelectionFailure): string => typeof view === 'string' ? view : view.upstream.id

interface Case {
  readonly name: string
  readonly change: (pool: UpstreamPool) => void
  readonly requirements?: Partial<UpstreamRequirements>
  readonly is: string
}

const cases: readonly Case[] = [
  { name: 'a listed upstream is chosen', change: () => {}, is: 'i-1' },
  { name: 'not a draining upstream', change: pool => { pool.putRecord({ ...upstream, isDraining: true }, false) }, is: 'no-upstream' },
  { name: 'not an upstream that was called before', change: () => {}, requirements: { tried: new Set(['i-1']) }, is: 'no-upstream' },
  { name: 'not an upstream of another region', change: () => {}, requirements: { regions: ['south'] }, is: 'no-upstream' },
  { name: 'not an upstream with older weights', change: () => {}, requirements: { minimumVersion: 2 }, is: 'no-weights' },
  { name: 'an upstream whose load report has newer weights than its record', change: pool => { pool.applyLoadReport({ ...report, version: 2 }, '10.0.0.9') }, requirements: { minimumVersion: 2 }, is: 'i-1' },
  { name: 'not an upstream whose weights are being swapped', change: pool => { pool.applyLoadReport({ ...report, isSwapping: true }, '10.0.0.9') }, is: 'no-weights' },
  { name: 'not an upstream at capacity', change: pool => { pool.applyLoadReport({ ...report, running: 16 }, '10.0.0.9') }, is: 'full' },
  { name: 'not an upstream that has just refused a request', change: pool => { pool.recordEnded('i-1', 'shed') }, is: 'full' },
  { name: 'not an upstream that asked for rest', change: pool => { pool.applyAnswerHead(upstream, resting, monotonicNow()) }, is: 'resting' },
  { name: 'an upstream that asked another incarnation of it to rest', change: pool => { pool.applyAnswerHead({ ...upstream, startedAt: 500 }, resting, monotonicNow()) }, is: 'i-1' },
  { name: 'not an upstream that rests and has served another request meanwhile', change: pool => { pool.applyAnswerHead(upstream, resting, monotonicNow()); pool.applyAnswerHead(upstream, answered, monotonicNow()) }, is: 'resting' },
  { name: 'an upstream that started again since it asked for rest', change: pool => { pool.applyAnswerHead(upstream, resting, monotonicNow()); pool.putRecord({ ...upstream, startedAt: 2000 }, false) }, is: 'i-1' },
  { name: 'not an upstream that says that it leaves', change: pool => { pool.applyAnswerHead(upstream, { ...answered, isLeaving: true }, monotonicNow()) }, is: 'no-upstream' },
  { name: 'not an upstream of which another entry knows that it leaves', change: pool => { pool.availability.merge([{ upstreamId: 'i-1', startedAt: 1000 }], id => pool.find(id), 'entry-2') }, is: 'no-upstream' },
  { name: 'an upstream that started again since it said that it leaves', change: pool => { pool.applyAnswerHead(upstream, { ...answered, isLeaving: true }, monotonicNow()); pool.putRecord({ ...upstream, startedAt: 2000 }, false) }, is: 'i-1' },
  { name: 'a load report of another machine is ignored', change: pool => { pool.applyLoadReport({ ...report, running: 16 }, '10.0.0.8') }, is: 'i-1' },
  {
    name: 'an older record does not lower the version',
    change: pool => {
      pool.applyLoadReport({ ...report, version: 2 }, '10.0.0.9')
      pool.putRecord(upstream, false)
    },
    requirements: { minimumVersion: 2 },
    is: 'i-1'
  },
  {
    name: 'not an upstream on a version that its record names and its agent has not reported',
    change: pool => {
      pool.applyLoadReport(report, '10.0.0.9')
      pool.putRecord({ ...upstream, weights: { model: 'weights-a', version: 2 } }, false)
    },
    requirements: { minimumVersion: 2 },
    is: 'no-weights'
  },
  {
    name: 'not an upstream with other weights than expected, whatever its record names, until its agent reports again',
    change: pool => {
      pool.applyLoadReport(report, '10.0.0.9')
      pool.recordMisdirected('i-1')
      pool.putRecord({ ...upstream, weights: { model: 'weights-a', version: 2 } }, false)
    },
    is: 'no-weights'
  },
  {
    name: 'an upstream on a version that its record names while no agent has reported on it',
    change: pool => { pool.putRecord({ ...upstream, weights: { model: 'weights-a', version: 2 } }, false) },
    requirements: { minimumVersion: 2 },
    is: 'i-1'
  },
  {
    name: 'a restarted upstream has lost its weights',
    change: pool => {
      pool.applyLoadReport({ ...report, version: 2 }, '10.0.0.9')
      pool.putRecord({ ...upstream, startedAt: 2000, weights: undefined }, false)
    },
    is: 'no-weights'
  }
]

for (const { name, change, requirements: part = {}, is } of cases) {
  test(`upstream pool: ${name}`, async t => {
    const pool = makePool()
    change(pool)
    t.equal(idOf(pool.choose({ ...requirements, ...part })), is)
  })
}

test('upstream pool: a service states its pace once an answer of one of its upstreams does', async t => {
  const pool = makePool()
  pool.applyAnswerHead(upstream, { ...answered, load: { running: 1, waiting: 0, slots: 16 } }, monotonicNow())
  t.notOk(pool.statesPace('model-a'), 'a load without a pace')
  pool.applyAnswerHead(upstream, { ...answered, load: { running: 1, waiting: 0, slots: 16, pace: 2.5 } }, monotonicNow())
  t.ok(pool.statesPace('model-a'))
  t.notOk(pool.statesPace('desk'))
})

test('upstream pool: load reports find their engine after it was removed, listed again and moved to another machine', async t => {
  const pool = makePool()
  const isSwappingAfter = (ip: string): boolean => {
    pool.applyLoadReport({ ...report, isSwapping: true }, ip)
    return pool.all()[0]?.isSwapping === true
  }
  t.ok(isSwappingAfter('10.0.0.9'))
  pool.dropRecord('i-1', 0)
  t.notOk(isSwappingAfter('10.0.0.9'))
  pool.putRecord(upstream, false)
  t.ok(isSwappingAfter('10.0.0.9'))
  pool.putRecord({ ...upstream, address: '10.0.0.7:8080' }, false)
  t.notOk(isSwappingAfter('10.0.0.9'))
  t.ok(isSwappingAfter('10.0.0.7'))
  pool.putRecord({ ...upstream, address: '10.0.0.7:8080', isEngine: false }, false)
  pool.applyLoadReport(report, '10.0.0.7')
  t.ok(pool.all()[0]?.isSwapping, 'a plain upstream has no agent')
})

test('upstream pool: a choice reads the living entries once, however many upstreams there are', async t => {
  let reads = 0
  const pool = new UpstreamPool({
    instance: 'entry-1',
    dataCentre: 'zone-a',
    regionOf: new Map([['zone-a', 'north']]),
    cold: { factor: 1.5, slack: 5 },
    limits: unlimited,
    slots: new EngineSlots({ send: () => {}, answered: () => {} }),
    entries: () => {
      reads += 1
      return ['entry-1', 'entry-2']
    },
    knownEntries: () => ['entry-1', 'entry-2'],
    isEvacuated: () => false,
    isAdaptive: () => false,
    upstreamGone: () => {},
    upstreamLeaves: () => {}
  }, () => service, () => 0)
  for (let index = 0; index < 40; index += 1) pool.putRecord({ ...upstream, id: `i-${index}`, address: `10.0.0.${index}:8080`, coldMilliseconds: 3000 }, false)
  t.equal(typeof pool.choose(requirements), 'object')
  t.equal(reads, 1)
})

test('upstream pool: not an upstream of an evacuated data centre', async t => { t.equal(makePool(['zone-a']).choose(requirements), 'no-upstream') })

test('upstream pool: a stream resumes on the version on which it started, if some upstream serves it', async t => {
  const pool = makePool([], [upstream, { ...upstream, id: 'i-2', address: '10.0.0.10:8080', weights: { model: 'weights-a', version: 2 } }])
  t.equal(idOf(pool.choose({ ...requirements, streamVersion: 2 })), 'i-2')
  t.equal(idOf(pool.choose({ ...requirements, streamVersion: 3 })), 'i-1')
})

test('upstream pool: a restarted upstream is cold and gets requests at a limited rate', async t => {
  const pool = makePool()
  pool.applyLoadReport({ ...report, startedAt: 2000 }, '10.0.0.9')
  t.equal(idOf(pool.choose(requirements)), 'i-1')
  pool.recordSent('i-1')
  t.equal(pool.choose(requirements), 'full')
})

test('upstream pool: an unresponsive upstream gets no requests until it sends bytes, unless all are unresponsive', async t => {
  const pool = makePool([], [upstream, { ...upstream, id: 'i-2', address: '10.0.0.10:8080' }])
  const chosen = (): ReadonlySet<string> => new Set(Array.from({ length: 20 }, () => idOf(pool.choose(requirements))))
  pool.recordSent('i-1')
  for (let count = 0; count < 4; count += 1) pool.recordSent('i-2')
  t.same([...chosen()], ['i-1'])
  await sleepUntil(monotonicNow() + 700)
  pool.recordActivity('i-2')
  t.same([...chosen()], ['i-2'])
  pool.recordActivity('i-1')
  t.same([...chosen()], ['i-1'])
  await sleepUntil(monotonicNow() + 700)
  pool.dropRecord('i-2', 0)
  t.same([...chosen()], ['i-1'], 'used although unresponsive when no other is left')
})

test('upstream pool: an upstream with other weights than assumed gets no requests until its agent reports', async t => {
  const pool = makePool()
  pool.recordMisdirected('i-1')
  t.equal(pool.choose(requirements), 'no-weights')
  pool.applyLoadReport(report, '10.0.0.9')
  await sleepUntil(monotonicNow() + 200)
  t.equal(idOf(pool.choose(requirements)), 'i-1')
})

test('upstream pool: an upstream whose record may have lapsed is used until the grace period ends, and again once it is listed', async t => {
  const pool = makePool()
  pool.dropRecord('i-1', monotonicNow() + 60)
  t.equal(idOf(pool.choose(requirements)), 'i-1')
  pool.dropRecord('i-1', monotonicNow() + 500)
  t.equal(idOf(pool.choose(requirements)), 'i-1')
  await sleepUntil(monotonicNow() + 80)
  t.equal(pool.choose(requirements), 'no-upstream', 'a later removal of the same record does not extend it')
  pool.putRecord(upstream, false)
  t.equal(idOf(pool.choose(requirements)), 'i-1')
})

test('upstream pool: a record removed after the log is reachable again does not extend the grace period', async t => {
  const pool = makePool()
  const until = monotonicNow() + 60
  await sleepUntil(until - 20)
  pool.dropRecord('i-1', until)
  await sleepUntil(until + 20)
  t.equal(pool.choose(requirements), 'no-upstream')
})

const vouchedCases: readonly { readonly name: string, readonly reports: readonly Partial<LoadReport>[], readonly vouched: VouchedLoad | undefined }[] = [
  { name: 'nothing before a report', reports: [], vouched: undefined },
  { name: 'the load of an engine that accepts requests', reports: [{ version: 2, orders: 3 }], vouched: { startedAt: 1000, orders: 3, version: 2 } },
  { name: 'not the load of a closed engine', reports: [{ version: 2, orders: 3, isSwapping: true }], vouched: undefined },
  { name: 'the load before, while the engine is closed', reports: [{ version: 2, orders: 3 }, { version: 3, orders: 4, isSwapping: true }], vouched: { startedAt: 1000, orders: 3, version: 2 } },
  { name: 'nothing of an engine without weights', reports: [{ version: 0, orders: 3 }], vouched: undefined },
  { name: 'nothing of an agent of an earlier release', reports: [{ version: 2, orders: undefined }], vouched: undefined },
  { name: 'the load after a restart', reports: [{ version: 2, orders: 3 }, { startedAt: 2000, version: 2, orders: 1 }], vouched: { startedAt: 2000, orders: 1, version: 2 } }
]

for (const { name, reports, vouched } of vouchedCases) {
  test(`upstream pool: an agent vouches for ${name}`, async t => {
    const pool = makePool()
    for (const parts of reports) pool.applyLoadReport({ ...report, ...parts }, '10.0.0.9')
    t.same(pool.vouchedAt('10.0.0.9'), vouched)
    t.equal(pool.vouchedAt('10.0.0.8'), undefined, 'another agent')
  })
}
