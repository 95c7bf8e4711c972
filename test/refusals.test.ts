/** Refusals and waiting by expected times; guards against callers that are held in vain, told to return in vain, or refused where they could be served. */
import { test } from 'tap'
import { answerMilliseconds, completionIntervalMilliseconds } from '../src/core/dispatch/admission.js'
import { chooseRetryAt, retryTimes } from '../src/core/dispatch/caller-retry.js'
import { EarlyRepeats } from '../src/core/dispatch/early-repeats.js'
import { ExpectedWaits, RecentRate } from '../src/core/dispatch/expected-wait.js'
import { FirstEventWaits, refusedShare, refusedShareOfPriority } from '../src/core/dispatch/first-event-waits.js'
import { expectedDeadline, offeredFrom, queueDeadline, type PlacementFailure, type QueueingContext, type ServiceExpectation } from '../src/core/dispatch/queueing.js'
import { RefusalDecision } from '../src/roles/gateway/refusal-decision.js'
import type { RoutedRequest, ServingContext } from '../src/roles/gateway/routed-request.js'
import { seededRandom } from '../src/utils/random.js'
import { replayLoad, replayRoute, type ReplayLoad } from './fakes/engine-replay.js'
import { replayEngine } from './fakes/replay-engine.js'
import { sumOutcomes } from './fakes/replay-outcome.js'

const slots = 12
const facts = { ...replayEngine, slots }
const capacityOf = (engines: number): number => engines * 1000 / completionIntervalMilliseconds(facts)

const base: QueueingContext = { now: 0, arrivedAt: 0, deadline: 6000, goalMilliseconds: 400, isLate: false, reason: 'full', expectedAt: undefined, waiting: 0 }
const expectation: ServiceExpectation = { waitMilliseconds: 0, answerMilliseconds: 1400, queued: 0, servable: 0 }
const deadlineCases: readonly { readonly name: string, readonly context?: Partial<QueueingContext>, readonly expectation?: Partial<ServiceExpectation>, readonly until: number | undefined }[] = [
  { name: 'an on-time request waits while it can meet its goal', until: 80 },
  { name: 'one whose turn comes later is refused at once', expectation: { waitMilliseconds: 81 }, until: undefined },
  { name: 'more than eight wait if all can be served in time', context: { waiting: 30 }, expectation: { waitMilliseconds: 70 }, until: 80 },
  { name: 'a late request waits as long as its answer can be complete', context: { isLate: true }, expectation: { waitMilliseconds: 3000 }, until: 4600 },
  { name: 'a late request that cannot be served by its deadline is refused at once', context: { isLate: true }, expectation: { waitMilliseconds: 4700 }, until: undefined },
  { name: 'no on-time request waits while first events are slow', context: { reason: 'waits' }, until: undefined },
  { name: 'none waits where no upstream may serve it', context: { reason: 'no-upstream' }, until: undefined },
  { name: 'one waits for the end of an outage before its deadline', context: { reason: 'no-weights', expectedAt: 4000 }, expectation: { servable: 1 }, until: 4600 },
  { name: 'not if the outage ends too late', context: { reason: 'no-weights', expectedAt: 4700 }, expectation: { servable: 1 }, until: undefined },
  { name: 'not if the end is not known', context: { reason: 'no-weights' }, expectation: { servable: 1 }, until: undefined },
  { name: 'not behind as many as can then be served', context: { reason: 'no-weights', expectedAt: 4000 }, expectation: { queued: 5, servable: 5 }, until: undefined },
  { name: 'limits decide as before', context: { reason: 'limited', expectedAt: 50 }, until: 80 }
]

for (const { name, context, expectation: expected, until } of deadlineCases) {
  test(`queue by expected waits: ${name}`, async t => { t.equal(expectedDeadline({ ...base, ...context }, { ...expectation, ...expected }), until) })
}

test('expected waits: the rate of two seconds decides, late requests get what on-time ones leave', async t => {
  const waits = new ExpectedWaits()
  t.equal(waits.waitMilliseconds(false, 7, 10_000), 0, 'a few wait while the rate is not known')
  t.equal(waits.waitMilliseconds(false, 8, 10_000), Infinity)
  for (let at = 10_000; at < 12_000; at += 100) {
    waits.recordStart(at)
    if (at % 200 === 0) waits.recordArrival(at, false, 1)
  }
  t.equal(waits.waitMilliseconds(false, 10, 11_950), 1000)
  t.equal(waits.waitMilliseconds(true, 10, 11_950), 2000)
  t.equal(waits.waitMilliseconds(false, 3, 11_950), 0, 'the next free slots may be at upstreams that those ahead do not use')
  t.equal(waits.servableBehindArrivals(30, 12_000, 14_000, 11_950), 20)
  t.equal(new RecentRate().perSecond(5), 0)
})

test('expected waits: requests that are refused together return at different times, within what callers accept', async t => {
  const random = seededRandom(7)
  const waits = new ExpectedWaits()
  const { earliest, latest } = retryTimes(0, 6000)
  const times = Array.from({ length: 200 }, () => waits.returnAt(earliest, latest, 0, 0, random))
  t.ok(times.every(time => time >= 1200 && time <= 2000))
  const counts = Array.from({ length: 8 }, (_, index) => times.filter(time => Math.floor((time - 1200) / 100) === index).length)
  t.ok(Math.max(...counts) <= 35, `at most ${Math.max(...counts)} of 200 in 100 ms`)
  t.equal(offeredFrom(1000, 3000, 5, 10), 2000)
  t.equal(offeredFrom(1000, 3000, 5, 0), 1000)
})

test('ranked service: the least urgent requests bear the refusals, up to three quarters of them', async t => {
  const arrivals = [50, 30, 20]
  const sharesOf = (share: number): readonly number[] => arrivals.map((_, priority) => Math.round(refusedShareOfPriority(share, priority, arrivals) * 1000) / 1000)
  t.same(sharesOf(0.1), [0, 0, 0.5])
  t.same(sharesOf(0.3), [0, 0.5, 0.75])
  t.same(sharesOf(0.75), [0.75, 0.75, 0.75])
  t.equal(refusedShareOfPriority(0.4, 5, arrivals), 0.4, 'a priority that has not arrived lately')
})

test('early repeats: a caller that ignores the time it was told is refused at once from the third time on', async t => {
  const repeats = new EarlyRepeats()
  const refuse = (now: number): void => { repeats.recordRefused('one', now, now + 1500) }
  refuse(0)
  t.equal(repeats.returnTimeOf('one', 10), undefined, 'once may be another request that is equal')
  refuse(10)
  t.equal(repeats.returnTimeOf('one', 20), 1510)
  t.equal(repeats.returnTimeOf('other', 20), undefined)
  t.equal(repeats.returnTimeOf('one', 1500), undefined, 'it returns when it was told to')
  t.equal(repeats.returnTimeOf('one', 4000), undefined, 'refusals are forgotten')
  for (let index = 0; index < 5000; index += 1) repeats.recordRefused(`many-${index}`, 20, 1000)
  t.equal(repeats.returnTimeOf('one', 30), undefined, 'the oldest are forgotten first')
})

/** Outcomes of a load under two seeds, with the decisions of other services and with expected times. */
function compare (load: Omit<ReplayLoad, 'seed' | 'slots' | 'placement'>): readonly ReturnType<typeof replayLoad>[] {
  return [false, true].map(isAdaptive => sumOutcomes([1, 2].map(seed => replayLoad({ ...load, seed, slots, isAdaptive, placement: 'grants', reportMilliseconds: 1000 }))))
}

for (const entries of [8, 24, 67]) {
  test(`load step: ${entries} entries, from 0.55 to 1.5 of capacity for 8 s and back`, async t => {
    const capacity = capacityOf(24)
    const steps = [{ from: 3000, arrivalsPerSecond: 1.5 * capacity }, { from: 11_000, arrivalsPerSecond: 0.55 * capacity }]
    const [basic, adaptive] = compare({ engines: 24, entries, arrivalsPerSecond: 0.55 * capacity, steps, milliseconds: 18_000 })
    if (basic === undefined || adaptive === undefined) return
    t.ok(adaptive.onTime >= basic.onTime - basic.requests * 0.01, `${adaptive.onTime} within the goal, ${basic.onTime} before`)
    t.ok(adaptive.late > basic.late, `${adaptive.late} late, ${basic.late} before`)
    t.ok(adaptive.refusedTwice < basic.refusedTwice, `${adaptive.refusedTwice} refused twice, ${basic.refusedTwice} before`)
    t.ok(adaptive.longestUnoffered <= replayRoute.latencyGoalMilliseconds / 8, `${adaptive.longestUnoffered} ms without an offer`)
    t.equal(adaptive.refusedBesideFreeSlots, 0)
  })
}

for (const length of [2000, 3500, 5000]) {
  for (const entries of [8, 67]) {
    test(`outage: ${entries} entries, no engine serves for ${length} ms, with a known end`, async t => {
      const [basic, adaptive] = compare({ engines: 16, entries, arrivalsPerSecond: 0.6 * capacityOf(16), outage: { from: 2000, until: 2000 + length, isEndKnown: true }, milliseconds: 9000 })
      if (basic === undefined || adaptive === undefined) return
      t.ok(adaptive.onTime >= basic.onTime, `${adaptive.onTime} within the goal, ${basic.onTime} before`)
      t.ok(adaptive.refusedTwice < basic.refusedTwice, `${adaptive.refusedTwice} refused twice, ${basic.refusedTwice} before`)
      t.ok(adaptive.refusedOnce < basic.refusedOnce, `${adaptive.refusedOnce} refused once, ${basic.refusedOnce} before`)
    })
  }
}

test('outage of unknown length: none waits in vain', async t => {
  const [, adaptive] = compare({ engines: 16, entries: 8, arrivalsPerSecond: 0.6 * capacityOf(16), outage: { from: 2000, until: 5500, isEndKnown: false }, milliseconds: 9000 })
  t.ok((adaptive?.longestInVain ?? Infinity) <= replayRoute.latencyGoalMilliseconds / 8, `${adaptive?.longestInVain} ms`)
})

test('other services: decisions are the same as those of before expected times', async t => {
  const random = seededRandom(11)
  const now = performance.timeOrigin + 50_000
  performance.now = () => 50_000
  t.teardown(() => { Reflect.deleteProperty(performance, 'now') })
  const reasons: readonly PlacementFailure[] = ['full', 'asked', 'resting', 'limited', 'waits', 'no-weights', 'no-upstream']
  for (let round = 0; round < 2000; round += 1) {
    const firstEvents = new FirstEventWaits()
    for (let index = 0; index < 4; index += 1) firstEvents.recordStarted(firstEvents.recordSent(now - random() * 800), now, true)
    const sample = random()
    const context = { random: () => sample, profileOfService: () => ({ isRanked: false, isPaced: false, placesByTime: false, isAdaptive: false }), firstEventWaitsOf: () => firstEvents } as unknown as ServingContext
    const arrivedAt = now - random() * 1000
    const request = { arrivedAt, deadline: arrivedAt + random() * 6000, callerDeadline: arrivedAt + 6000, isLate: random() < 0.5, route: replayRoute, service: { name: 'model-a', engine: random() < 0.8 ? facts : undefined }, traits: ['x'], body: Buffer.from('x') } as unknown as RoutedRequest
    const decision = new RefusalDecision(context, request)
    const reason = reasons[Math.floor(random() * reasons.length)] ?? 'full'
    const expectedAt = random() < 0.5 ? undefined : now + random() * 3000
    const waiting = Math.floor(random() * 12)
    t.equal(decision.queueDeadline({ reason, expectedAt }, waiting), queueDeadline({ now, arrivedAt, deadline: request.deadline, goalMilliseconds: 400, isLate: request.isLate, reason, expectedAt, waiting }), reason)
    const share = refusedShare(firstEvents.medianMilliseconds(now), 400, request.isLate)
    t.equal(decision.isRefusedForOverload(), request.service.engine !== undefined && (request.isLate ? share > 0.2 : sample < share))
    const isOutage = reason === 'no-weights' || reason === 'no-upstream'
    const expected = isOutage ? expectedAt ?? Infinity : reason === 'limited' || reason === 'resting' ? expectedAt : undefined
    t.equal(decision.retryAt(now, { reason, expectedAt }, waiting), chooseRetryAt(now, request.callerDeadline, expected, () => sample))
    t.equal(decision.returnTimeOfRepeat(), undefined)
    t.notOk(decision.isHopeless({ reason, expectedAt }) || decision.isHeldBack())
    t.equal(decision.isBehind, request.isLate)
  }
  t.ok(answerMilliseconds(facts) > completionIntervalMilliseconds(facts))
})
