/** How many instances of a pool may swap their weights at the same time, and in which order. */
import fc from 'fast-check'
import { test } from 'tap'
import { maximumUnavailable, nextSwapStep, predecessorOf, type PaceView, type SwapPeer, type SwapStep, type SwapView } from '../src/core/weights/swap-pacing.js'
import { rankMembers } from '../src/utils/rendezvous.js'

const calm: PaceView = { now: 0, finishBy: 1_000_000, weighting: 'service', size: 8, remaining: 8, away: 0, inFlight: 0, limit: 64, largestLimit: 8, changeMilliseconds: 1000 }

const paces: readonly { readonly name: string, readonly view: Partial<PaceView>, readonly allowed: number }[] = [
  { name: 'a quarter of an idle pool for service', view: {}, allowed: 2 },
  { name: 'half of an idle pool for replicas', view: { weighting: 'replicas' }, allowed: 4 },
  { name: 'one of a pool of one', view: { size: 1, remaining: 1, limit: 8 }, allowed: 1 },
  { name: 'only as many as the load can spare', view: { weighting: 'replicas', inFlight: 40 }, allowed: 2 },
  { name: 'no more while the load can spare none beyond the unavailable ones', view: { weighting: 'replicas', inFlight: 40, away: 2, limit: 48 }, allowed: 2 },
  { name: 'fewer for service, which keeps more spare capacity', view: { inFlight: 40 }, allowed: 1 },
  { name: 'none under full load while there is time', view: { inFlight: 64 }, allowed: 0 },
  { name: 'one under full load for replicas', view: { weighting: 'replicas', inFlight: 64 }, allowed: 1 },
  { name: 'one under full load once swaps one at a time must begin', view: { inFlight: 64, finishBy: 48_000 }, allowed: 1 },
  { name: 'more under full load when the deadline is near', view: { inFlight: 64, finishBy: 24_000 }, allowed: 2 },
  { name: 'at most half for service, whatever the deadline', view: { inFlight: 64, finishBy: 6000 }, allowed: 3 },
  { name: 'all but one for replicas when the deadline demands it', view: { weighting: 'replicas', inFlight: 64, finishBy: 6000 }, allowed: 7 },
  { name: 'its usual share once the deadline has passed', view: { inFlight: 64, now: 2_000_000 }, allowed: 2 }
]

for (const { name, view, allowed } of paces) {
  test(`the pace allows ${name}`, async t => {
    t.equal(maximumUnavailable({ ...calm, ...view }), allowed)
  })
}

const names = ['a', 'b', 'c', 'd']
const order = rankMembers('new', names)
const [firstName = '', secondName = '', thirdName = '', lastName = ''] = order
const peer = (instance: string, swap: SwapPeer['swap'] = 'idle', served = 'old'): SwapPeer => ({ instance, wants: true, swap, served, inFlight: 0, limit: 1, changeMilliseconds: 0 })
const others = (instance: string, changes: Readonly<Record<string, SwapPeer>> = {}): readonly SwapPeer[] => order.filter(name => name !== instance).map(name => changes[name] ?? peer(name))
const base = { served: 'old', wanted: 'new', allowed: 1, isOverdue: false }

const swaps: readonly { readonly name: string, readonly view: SwapView, readonly step: SwapStep }[] = [
  { name: 'starts at once when it serves nothing', view: { ...base, instance: lastName, served: '', swap: 'idle', peers: others(lastName) }, step: 'start' },
  { name: 'announces when it is the first', view: { ...base, instance: firstName, swap: 'idle', peers: others(firstName) }, step: 'intend' },
  { name: 'does not wait for one that wants other weights', view: { ...base, instance: secondName, swap: 'idle', peers: others(secondName, { [firstName]: { ...peer(firstName), wants: false } }) }, step: 'intend' },
  { name: 'waits for the one before it', view: { ...base, instance: secondName, swap: 'idle', peers: others(secondName) }, step: 'wait' },
  { name: 'announces once the one before it is done', view: { ...base, instance: secondName, swap: 'idle', peers: others(secondName, { [firstName]: peer(firstName, 'idle', 'new') }) }, step: 'intend' },
  { name: 'announces when the one before it answers no more', view: { ...base, instance: secondName, swap: 'idle', peers: others(secondName).filter(({ instance }) => instance !== firstName) }, step: 'intend' },
  { name: 'announces out of order when it is overdue', view: { ...base, instance: lastName, isOverdue: true, swap: 'idle', peers: others(lastName) }, step: 'intend' },
  { name: 'announces nothing while none may be unavailable', view: { ...base, instance: firstName, allowed: 0, swap: 'idle', peers: others(firstName) }, step: 'wait' },
  { name: 'starts when no other instance is unavailable', view: { ...base, instance: firstName, swap: 'intending', peers: others(firstName) }, step: 'start' },
  { name: 'keeps its announcement while another is unavailable', view: { ...base, instance: secondName, swap: 'intending', peers: others(secondName, { [firstName]: peer(firstName, 'away') }) }, step: 'wait' },
  { name: 'withdraws before a better rank that announced', view: { ...base, instance: thirdName, swap: 'intending', peers: others(thirdName, { [secondName]: peer(secondName, 'intending') }) }, step: 'withdraw' },
  { name: 'keeps its announcement before a lower rank', view: { ...base, instance: firstName, swap: 'intending', peers: others(firstName, { [secondName]: peer(secondName, 'intending') }) }, step: 'wait' },
  { name: 'starts beside another when two may be unavailable', view: { ...base, instance: secondName, allowed: 2, swap: 'intending', peers: others(secondName, { [firstName]: peer(firstName, 'away') }) }, step: 'start' }
]

for (const { name, view, step } of swaps) {
  test(`an instance ${name}`, async t => {
    t.equal(nextSwapStep(view), step)
  })
}

test('the pool keeps the capacity that its load needs unless the deadline forces more swaps', async t => {
  const someView = fc.record({
    now: fc.constant(0),
    finishBy: fc.integer({ min: 100_000, max: 1_000_000 }),
    weighting: fc.constantFrom('replicas' as const, 'service' as const),
    size: fc.constant(8),
    remaining: fc.integer({ min: 1, max: 8 }),
    away: fc.nat(4),
    largestLimit: fc.integer({ min: 1, max: 10 }),
    inFlight: fc.nat(80),
    limit: fc.nat(80),
    changeMilliseconds: fc.constant(1000)
  })
  fc.assert(fc.property(someView, view => {
    const allowed = maximumUnavailable(view)
    const least = view.weighting === 'replicas' ? 1 : 0
    if (allowed > Math.max(view.away, least)) t.ok(view.limit - (allowed - view.away) * view.largestLimit >= view.inFlight, 'the remaining instances handle the load')
    t.ok(allowed <= 4)
  }), { seed: 7, numRuns: 1000 })
})

test('every instance but the first ones has a predecessor', async t => {
  t.same(order.map(name => predecessorOf('new', name, names, 2)), [undefined, undefined, firstName, secondName])
})
