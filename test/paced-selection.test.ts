/** An entry before engines that state their pace: what it sends to agents, which slots it uses and gives back, and that nothing changes where no pace is stated. */
import { test } from 'tap'
import { concurrencyLimit, placeRequest } from '../src/core/dispatch/placement.js'
import { SlotSearch } from '../src/core/dispatch/slot-requests.js'
import { penaltyOf } from '../src/core/dispatch/upstream-health.js'
import { EngineSlots } from '../src/roles/gateway/engine-slots.js'
import { UpstreamLimits } from '../src/roles/gateway/upstream-limits.js'
import { UpstreamPool } from '../src/roles/gateway/upstream-pool.js'
import type { UpstreamRequirements } from '../src/roles/gateway/upstream-selection.js'
import { estimateLoad } from '../src/roles/gateway/upstream-view.js'
import type { Service, Upstream } from '../src/types/fleet.js'
import type { NodeMessage } from '../src/types/node-messages.js'
import type { AnswerHead, StatedLoad } from '../src/types/ports.js'
import { monotonicNow } from '../src/utils/clock.js'
import { seededRandom } from '../src/utils/random.js'
import { replayEngine } from './fakes/replay-engine.js'

let time = performance.now()
const realNow = performance.now.bind(performance)
performance.now = () => time

const work = { promptTokens: 1000, answerTokens: 90, goalMilliseconds: 400 }
const admission = { requestsPerSlot: 1, waiting: 1 }
const headOf = (load: StatedLoad): AnswerHead => ({ status: 200, requestId: 'id', isSigned: true, isNotRun: false, isMisdirected: false, isEncoded: false, load, limit: { kind: 'none' }, rest: { kind: 'none' }, isLeaving: false })

/** An entry among others before some upstreams, half of them in its data centre. */
class Entry {
  readonly sent: { readonly message: NodeMessage, readonly ip: string }[] = []
  readonly slots: EngineSlots
  readonly pool: UpstreamPool
  readonly service: Service

  constructor (upstreams: number, entries: number, isEngine: boolean, random: () => number) {
    this.service = { name: 'model-a', maximumConnections: 0, coldMilliseconds: 0, coldRequestsPerSecond: 0, engine: isEngine ? { ...replayEngine, slots: 12 } : undefined, origin: undefined }
    this.slots = new EngineSlots({ send: (message, ip) => { this.sent.push({ message, ip }) }, answered: () => {} }, random)
    const names = Array.from({ length: entries }, (_, index) => `entry-${index}`)
    this.pool = new UpstreamPool({
      instance: 'entry-0',
      dataCentre: 'zone-0',
      regionOf: new Map([['zone-0', 'north'], ['zone-1', 'north']]),
      cold: { factor: 1.5, slack: 5 },
      limits: new UpstreamLimits({ fleet: () => ({ self: 'entry-0', ready: names, silent: [], isSettled: true }), send: () => {}, startOf: () => undefined, coldRate: () => undefined }),
      slots: this.slots,
      entries: () => names,
      knownEntries: () => names,
      isEvacuated: () => false,
      isAdaptive: () => false,
      upstreamGone: () => {},
      upstreamLeaves: () => {}
    }, () => this.service, random)
    for (let number = 1; number <= upstreams; number += 1) {
      this.pool.putRecord({ id: `i-${number}`, service: 'model-a', address: `10.0.0.${number}:8080`, dataCentre: `zone-${number % 2}`, slots: 12, isDraining: false, coldMilliseconds: 0, startedAt: 1000, weights: { model: 'weights-a', version: 1 }, isEngine }, true)
      if (isEngine) this.pool.applyLoadReport({ kind: 'load', startedAt: 1000, orders: 0, running: 4, waiting: 0, model: 'weights-a', version: 1, isSwapping: false, readyInMilliseconds: 0 }, `10.0.0.${number}`)
    }
  }

  upstream (number: number): Upstream {
    const upstream = this.pool.find(`i-${number}`)?.upstream
    if (upstream === undefined) throw new Error(`no upstream ${number}`)
    return upstream
  }

  choose (search: SlotSearch | undefined, isPaced: boolean, remainingMilliseconds?: number): string {
    const requirements: UpstreamRequirements = { service: this.service, regions: undefined, admission, tried: new Set(), minimumVersion: 1, streamVersion: undefined, search, work: isPaced ? { ...work, remainingMilliseconds } : undefined }
    const view = this.pool.choose(requirements)
    return typeof view === 'string' ? view : view.upstream.id
  }

  /** Has the agent of an engine grant the slot that it was asked for last. */
  grant (number: number, pace?: { readonly value: number, readonly ageMilliseconds: number }): void {
    const numbers = this.sent.flatMap(({ message, ip }) => message.kind === 'slot-request' && ip === `10.0.0.${number}` ? [message.number] : [])
    this.pool.receiveSlotReply({ kind: 'slot-reply', number: numbers.at(-1) ?? 0, load: 5, isGranted: true, ...pace === undefined ? {} : { pace } })
  }

  kinds (kind: NodeMessage['kind']): readonly string[] {
    return this.sent.flatMap(({ message, ip }) => message.kind === kind ? [ip] : [])
  }
}

test('pace reports: sent where a head differs from what the agent knows, refreshed before it decays, and never at rest', async t => {
  const entry = new Entry(2, 99, true, seededRandom(7))
  const state = (pace: number): void => { entry.pool.applyAnswerHead(entry.upstream(1), headOf({ running: 4, waiting: 0, slots: 12, pace }), time) }
  const counts: number[] = []
  for (const [pace, wait] of [[1, 0], [1, 5000], [2.5, 0], [2.5, 5], [2.5, 400], [1, 50], [1, 5000]] as const) {
    time += wait
    state(pace)
    counts.push(entry.kinds('pace').length)
  }
  t.same(counts, [0, 0, 1, 1, 2, 3, 3])
  t.match(entry.sent.find(({ message }) => message.kind === 'pace'), { message: { startedAt: 1000, pace: 2.5 }, ip: '10.0.0.1' })
})

test('pace reports: not for an incarnation that is gone, and not to an agent that is silent', async t => {
  const entry = new Entry(2, 99, true, seededRandom(7))
  entry.pool.applyAnswerHead({ ...entry.upstream(1), startedAt: 1 }, headOf({ running: 4, waiting: 0, slots: 12, pace: 2.5 }), time)
  entry.choose(new SlotSearch(), true)
  time += 60
  entry.pool.applyAnswerHead(entry.upstream(1), headOf({ running: 4, waiting: 0, slots: 12, pace: 2.5 }), time)
  t.same(entry.kinds('pace'), [])
})

const replies: readonly { readonly name: string, readonly first: { readonly value: number, readonly ageMilliseconds: number } | undefined, readonly releases: number, readonly is: RegExp }[] = [
  { name: 'a slow engine is left and its slot given back', first: { value: 2.5, ageMilliseconds: 20 }, releases: 1, is: /i-2/ },
  { name: 'a pace older than a change says nothing', first: { value: 2.5, ageMilliseconds: 700 }, releases: 0, is: /i-[12]/ },
  { name: 'an invalid pace says nothing', first: { value: 1e6, ageMilliseconds: 20 }, releases: 0, is: /i-[12]/ },
  { name: 'a negative age says nothing', first: { value: 2.5, ageMilliseconds: -20 }, releases: 0, is: /i-[12]/ },
  { name: 'an agent of an earlier version sends none', first: undefined, releases: 0, is: /i-[12]/ }
]

for (const { name, first, releases, is } of replies) {
  test(`granted slots: ${name}`, async t => {
    const entry = new Entry(2, 99, true, seededRandom(7))
    const search = new SlotSearch()
    t.equal(entry.choose(search, true), 'asked')
    entry.grant(1, first)
    entry.grant(2)
    t.match(entry.choose(search, true), is)
    t.equal(entry.kinds('slot-release').length, releases)
  })
}

test('granted slots: a slow engine is used where no other one was granted', async t => {
  const entry = new Entry(2, 99, true, seededRandom(7))
  const search = new SlotSearch()
  entry.choose(search, true)
  entry.grant(1, { value: 2.5, ageMilliseconds: 20 })
  t.equal(entry.choose(search, true), 'i-1')
})

const lateSlots: readonly { readonly name: string, readonly otherPace: number, readonly remaining: number | undefined, readonly is: string }[] = [
  { name: 'not used while another engine is expected to serve it in time', otherPace: 1, remaining: 150, is: 'asked' },
  { name: 'used where no engine is', otherPace: 2.5, remaining: 150, is: 'i-1' },
  { name: 'used by a request that is late already', otherPace: 1, remaining: undefined, is: 'i-1' },
  { name: 'used where it is in time', otherPace: 1, remaining: 400, is: 'i-1' }
]

for (const { name, otherPace, remaining, is } of lateSlots) {
  test(`granted slots: one at which a request would be late is ${name}`, async t => {
    const entry = new Entry(2, 99, true, seededRandom(7))
    entry.pool.applyAnswerHead(entry.upstream(2), headOf({ running: 4, waiting: 0, slots: 12, pace: otherPace }), time)
    const search = new SlotSearch()
    entry.choose(search, true)
    entry.grant(1, { value: 2.5, ageMilliseconds: 10 })
    t.equal(entry.choose(search, true, remaining), is)
    t.equal(entry.kinds('slot-release').length, is === 'asked' ? 1 : 0)
  })
}

for (const entries of [8, 300]) {
  test(`differential: without a stated pace the choice of one of ${entries} entries is that of placement by number`, async t => {
    const random = seededRandom(entries)
    const draws: number[] = []
    const entry = new Entry(8, entries, false, () => draws.shift() ?? random())
    for (let round = 0; round < 500; round += 1) {
      time += 100 * random()
      const number = 1 + Math.floor(random() * 8)
      if (random() < 0.5) entry.pool.applyAnswerHead(entry.upstream(number), headOf({ running: Math.floor(random() * 13), waiting: 0, slots: 12 }), time)
      if (random() < 0.3) entry.pool.recordSent(`i-${number}`)
      if (random() < 0.2) entry.pool.recordEnded(`i-${number}`, random() < 0.5 ? 'error' : 'good')
      for (const { upstream } of entry.pool.all()) entry.pool.recordActivity(upstream.id)
      const expected = entry.pool.all().map(view => ({ id: view.upstream.id, load: estimateLoad(view, monotonicNow()), freeSlots: concurrencyLimit(12, admission) - estimateLoad(view, monotonicNow()), unstarted: view.unstarted, isSameDataCentre: view.upstream.dataCentre === 'zone-0', penalty: penaltyOf(view.health) }))
      const sequence = [random(), random(), random(), random()]
      const [left, right] = [[...sequence], [...sequence]]
      draws.push(...left)
      const chosen = entry.choose(undefined, false)
      draws.length = 0
      if (chosen !== (placeRequest(expected, () => right.shift() ?? 0)?.id ?? 'full')) t.fail(`round ${round}: ${chosen}`)
    }
    t.notOk(entry.pool.statesPace('model-a'))
    t.same(entry.kinds('pace'), [])
  })
}

/** Median time of a decision by time divided by that of one by number; both are measured alternately. */
function relativeCost (entries: number, isEngine: boolean): number {
  const entry = new Entry(32, entries, isEngine, seededRandom(3))
  for (let number = 1; number <= 32; number += 1) entry.pool.applyAnswerHead(entry.upstream(number), headOf({ running: 4, waiting: 0, slots: 12, pace: 1 }), time)
  const measure = (isPaced: boolean): number => {
    const from = realNow()
    for (let count = 0; count < 200; count += 1) {
      const search = isEngine ? new SlotSearch() : undefined
      entry.choose(search, isPaced)
      if (!isEngine) continue
      for (const { message } of entry.sent.splice(0)) if (message.kind === 'slot-request') entry.pool.receiveSlotReply({ kind: 'slot-reply', number: message.number, load: 5, isGranted: true })
      entry.choose(search, isPaced)
      entry.slots.releaseAll(() => undefined)
    }
    return realNow() - from
  }
  const quotients = Array.from({ length: 61 }, (_, index) => index % 2 === 0 ? measure(true) / measure(false) : 1 / (measure(false) / measure(true))).slice(20)
  return quotients.sort((left, right) => left - right)[20] ?? Infinity
}

for (const isEngine of [true, false]) {
  for (const entries of [8, 300]) {
    test(`cost of a decision by time, ${isEngine ? 'engines' : 'plain upstreams'}, ${entries} entries, against one by number`, async t => {
      const cost = relativeCost(entries, isEngine)
      t.ok(cost <= (entries === 8 ? 1 : 1.3), `${cost.toFixed(2)} of the cost by number`)
    })
  }
}
