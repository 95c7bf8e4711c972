/** The upstreams as one entry sees them: lapsed records, restarts, versions, evacuations and reports. */
import { test } from 'tap'
import { UpstreamPool, type UpstreamRequirements, type SelectionFailure } from '../src/roles/gateway/upstream-pool.js'
import type { UpstreamView } from '../src/roles/gateway/upstream-view.js'
import type { Service, Upstream } from '../src/types/fleet.js'
import { sleepUntil, steadyNow } from '../src/utils/clock.js'

const service: Service = { name: 'model-a', mostConnections: 0, coldMilliseconds: 3000, coldPerSecond: 36, engine: undefined, origin: undefined }
const upstream: Upstream = { id: 'i-1', service: 'model-a', address: '10.0.0.9:8080', dataCentre: 'zone-a', slots: 16, isDraining: false, coldMilliseconds: 0, startedAt: 1000, weights: { model: 'weights-a', version: 1 }, isEngine: true }
const need: UpstreamRequirements = { service, regions: undefined, admission: { requestsPerSlot: 1, waiting: 0 }, tried: new Set(), minimumVersion: 1, streamVersion: undefined }
const report = { kind: 'load', startedAt: 1000, running: 0, waiting: 0, model: 'weights-a', version: 1, isChanging: false, readyInMilliseconds: 0 } as const

function makePool (evacuated: readonly string[] = [], upstreams: readonly Upstream[] = [upstream]): UpstreamPool {
  const pool = new UpstreamPool({
    instance: 'entry-1',
    dataCentre: 'zone-a',
    regionOf: new Map([['zone-a', 'north'], ['zone-b', 'south']]),
    cold: { factor: 1.5, slack: 5 },
    entries: () => ['entry-1'],
    isEvacuated: dataCentre => evacuated.includes(dataCentre)
  }, () => service, () => 0)
  for (const one of upstreams) pool.putRecord(one, false)
  return pool
}

const idOf = (view: UpstreamView | SelectionFailure): string => typeof view === 'string' ? view : view.upstream.id

interface Case {
  readonly name: string
  readonly change: (pool: UpstreamPool) => void
  readonly need?: Partial<UpstreamRequirements>
  readonly is: string
}

const cases: readonly Case[] = [
  { name: 'a listed one', change: () => {}, is: 'i-1' },
  { name: 'a draining one', change: pool => { pool.putRecord({ ...upstream, isDraining: true }, false) }, is: 'no-upstream' },
  { name: 'one that was tried', change: () => {}, need: { tried: new Set(['i-1']) }, is: 'no-upstream' },
  { name: 'one of another region', change: () => {}, need: { regions: ['south'] }, is: 'no-upstream' },
  { name: 'one with older weights', change: () => {}, need: { minimumVersion: 2 }, is: 'no-weights' },
  { name: 'one whose report tells newer weights', change: pool => { pool.applyLoadReport({ ...report, version: 2 }, '10.0.0.9') }, need: { minimumVersion: 2 }, is: 'i-1' },
  { name: 'one whose weights change', change: pool => { pool.applyLoadReport({ ...report, isChanging: true }, '10.0.0.9') }, is: 'no-weights' },
  { name: 'one that is full', change: pool => { pool.applyLoadReport({ ...report, running: 16 }, '10.0.0.9') }, is: 'full' },
  { name: 'one that shed a request just now', change: pool => { pool.recordEnded('i-1', 'shed') }, is: 'full' },
  { name: 'a report of another machine', change: pool => { pool.applyLoadReport({ ...report, running: 16 }, '10.0.0.8') }, is: 'i-1' },
  {
    name: 'an older record does not take the version back',
    change: pool => {
      pool.applyLoadReport({ ...report, version: 2 }, '10.0.0.9')
      pool.putRecord(upstream, false)
    },
    need: { minimumVersion: 2 },
    is: 'i-1'
  },
  {
    name: 'a restarted one holds nothing of before',
    change: pool => {
      pool.applyLoadReport({ ...report, version: 2 }, '10.0.0.9')
      pool.putRecord({ ...upstream, startedAt: 2000, weights: undefined }, false)
    },
    is: 'no-weights'
  }
]

for (const { name, change, need: part = {}, is } of cases) {
  test(`upstream pool: ${name}`, async t => {
    const pool = makePool()
    change(pool)
    t.equal(idOf(pool.choose({ ...need, ...part })), is)
  })
}

test('upstream pool: none of an evacuated data centre', async t => { t.equal(makePool(['zone-a']).choose(need), 'no-upstream') })

test('upstream pool: a stream goes on at the version on which it began', async t => {
  const pool = makePool([], [upstream, { ...upstream, id: 'i-2', address: '10.0.0.10:8080', weights: { model: 'weights-a', version: 2 } }])
  t.equal(idOf(pool.choose({ ...need, streamVersion: 2 })), 'i-2')
  t.equal(idOf(pool.choose({ ...need, streamVersion: 3 })), 'i-1')
})

test('upstream pool: a restarted one is cold, and gets its share of the rate', async t => {
  const pool = makePool()
  pool.applyLoadReport({ ...report, startedAt: 2000 }, '10.0.0.9')
  t.equal(idOf(pool.choose(need)), 'i-1')
  pool.recordSent('i-1')
  t.equal(pool.choose(need), 'full')
})

test('upstream pool: one that says nothing gets no more requests while another is there, until it is heard', async t => {
  const pool = makePool([], [upstream, { ...upstream, id: 'i-2', address: '10.0.0.10:8080' }])
  const chosen = (): ReadonlySet<string> => new Set(Array.from({ length: 20 }, () => idOf(pool.choose(need))))
  pool.recordSent('i-1')
  for (let count = 0; count < 4; count += 1) pool.recordSent('i-2')
  t.same([...chosen()], ['i-1'])
  await sleepUntil(steadyNow() + 700)
  pool.recordActivity('i-2')
  t.same([...chosen()], ['i-2'])
  pool.recordActivity('i-1')
  t.same([...chosen()], ['i-1'])
  await sleepUntil(steadyNow() + 700)
  pool.dropRecord('i-2', 0)
  t.same([...chosen()], ['i-1'], 'never all')
})

test('upstream pool: one that has other weights than believed gets nothing until its agent tells', async t => {
  const pool = makePool()
  pool.recordMisdirected('i-1')
  t.equal(pool.choose(need), 'no-weights')
  pool.applyLoadReport(report, '10.0.0.9')
  await sleepUntil(steadyNow() + 200)
  t.equal(idOf(pool.choose(need)), 'i-1')
})

test('upstream pool: a record that may have lapsed is kept until the log has been back for a while, and no longer', async t => {
  const pool = makePool()
  pool.dropRecord('i-1', Infinity)
  t.equal(idOf(pool.choose(need)), 'i-1')
  pool.limitRetention(steadyNow() + 60)
  t.equal(idOf(pool.choose(need)), 'i-1')
  await sleepUntil(steadyNow() + 80)
  t.equal(pool.choose(need), 'no-upstream')
  pool.putRecord(upstream, false)
  t.equal(idOf(pool.choose(need)), 'i-1')
})

test('upstream pool: a record dropped after the log came back is kept no longer than those dropped before', async t => {
  const pool = makePool()
  const until = steadyNow() + 60
  await sleepUntil(until - 20)
  pool.dropRecord('i-1', until)
  await sleepUntil(until + 20)
  t.equal(pool.choose(need), 'no-upstream')
})
