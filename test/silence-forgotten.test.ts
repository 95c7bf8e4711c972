/** Whether an engine counts as unresponsive after the callers of the requests that it held in silence have left. */
import { test } from 'tap'
import { UpstreamActivity } from '../src/core/dispatch/upstream-activity.js'
import { EngineSlots } from '../src/roles/gateway/engine-slots.js'
import { UpstreamLimits } from '../src/roles/gateway/upstream-limits.js'
import { UpstreamPool } from '../src/roles/gateway/upstream-pool.js'
import type { Service } from '../src/types/fleet.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'

interface Case {
  readonly name: string
  /** What happens after a call that was sent at 0 ended at 3,200 ms without a byte; milliseconds of the monotonic clock. */
  readonly then: (activity: UpstreamActivity) => void
  readonly at: number
  readonly isUnresponsive: boolean
}

const cases: readonly Case[] = [
  { name: 'just after its last caller left', then: () => {}, at: 3201, isUnresponsive: true },
  { name: 'two seconds later, nothing heard', then: () => {}, at: 5200, isUnresponsive: true },
  { name: 'once its machine has reported', then: activity => { activity.recordReport('i-1') }, at: 3300, isUnresponsive: false },
  { name: 'once bytes of another call have come', then: activity => { activity.recordReceived('i-1', 3300) }, at: 3301, isUnresponsive: false },
  { name: 'after five seconds, so that one request tries it', then: () => {}, at: 8300, isUnresponsive: false },
  { name: 'a new incarnation of its record', then: activity => { activity.forget('i-1') }, at: 3201, isUnresponsive: false }
]

for (const { name, then, at, isUnresponsive } of cases) {
  test(`silence forgotten: ${name}`, async t => {
    const activity = new UpstreamActivity()
    activity.recordSent('i-1', 0, 0)
    activity.recordEnded('i-1', 1, 3200)
    then(activity)
    t.equal(activity.isUnresponsive('i-1', 0, at), isUnresponsive)
  })
}

test('silence forgotten: a call that ended within the timeout says nothing', async t => {
  const activity = new UpstreamActivity()
  activity.recordSent('i-1', 0, 0)
  activity.recordEnded('i-1', 1, 300)
  t.equal(activity.isUnresponsive('i-1', 0, 301), false)
})

/** Time for which an engine is silent, milliseconds: longer than the inactivity timeout. */
const silenceMilliseconds = 750

test('silence forgotten: an engine whose only caller has left gets no request while another one goes on', async t => {
  const service: Service = { name: 'model-a', maximumConnections: 0, coldMilliseconds: 0, coldRequestsPerSecond: 36, engine: undefined, origin: undefined }
  const pool = new UpstreamPool({
    instance: 'entry-1',
    dataCentre: 'zone-a',
    regionOf: new Map([['zone-a', 'north']]),
    cold: { factor: 1.5, slack: 5 },
    limits: new UpstreamLimits({ fleet: () => ({ self: 'entry-1', ready: ['entry-1'], silent: [], isSettled: true }), send: () => {}, startOf: () => undefined }),
    slots: new EngineSlots({ send: () => {}, answered: () => {} }),
    entries: () => ['entry-1'],
    knownEntries: () => ['entry-1'],
    isEvacuated: () => false,
    upstreamGone: () => {},
    upstreamLeaves: () => {}
  }, () => service, () => 0)
  const report = { kind: 'load', startedAt: 1000, waiting: 0, model: 'weights-a', version: 1, isSwapping: false, readyInMilliseconds: 0 } as const
  const choose = (): string => {
    const view = pool.choose({ service, regions: undefined, admission: { requestsPerSlot: 1, waiting: 0 }, tried: new Set(), minimumVersion: 1, streamVersion: undefined, search: undefined })
    return typeof view === 'string' ? view : view.upstream.id
  }
  for (const [number, running] of [[1, 1], [2, 0]] as const) {
    pool.putRecord({ id: `i-${number}`, service: 'model-a', address: `10.0.0.${number}:8080`, dataCentre: 'zone-a', slots: 8, isDraining: false, coldMilliseconds: 0, startedAt: 1000, weights: { model: 'weights-a', version: 1 }, isEngine: true }, false)
    pool.applyLoadReport({ ...report, running }, `10.0.0.${number}`)
  }
  t.equal(choose(), 'i-2', 'the less loaded one')
  const sentAt = monotonicNow()
  pool.recordSent('i-2')
  await sleepUntil(sentAt + silenceMilliseconds)
  pool.applyLoadReport({ ...report, running: 1 }, '10.0.0.1')
  t.equal(choose(), 'i-1', 'the other is silent')
  pool.recordStarted('i-2')
  pool.recordEnded('i-2', 'none', sentAt)
  t.equal(choose(), 'i-1', 'and has not been heard of since')
  pool.applyLoadReport({ ...report, running: 0 }, '10.0.0.2')
  t.equal(choose(), 'i-2', 'it has reported')
})
