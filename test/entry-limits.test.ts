import fc from 'fast-check'
import { test } from 'tap'
import { earliestRetry, RetryBudget, addRetryJitter } from '../src/core/retry.js'
import { candidatesOf, chooseUpstream, LeastLoad, PrefixAffinity, TwoChoices, type UpstreamRequirements, type UpstreamView } from '../src/core/routing.js'
import { watchedUpstreams } from '../src/core/subset.js'
import { rankEntries, type LocatableEntry } from '../src/core/locate.js'
import type { ListedInstance } from '../src/types/platform.js'
import { rankMembers } from '../src/utils/rendezvous.js'
import { seededRandom } from '../src/utils/random.js'
import { configuration, eventually, TestCluster, newWeights, oldWeights } from './fakes/test-cluster.js'
import { refuseWith } from './fakes/agent.js'

const seed = 20_261_203
const runs = 500
const here = { dataCentre: 'east', region: 'one' }

test('the retry budget grants what a bucket filled millisecond by millisecond grants', async t => {
  const steps = fc.array(fc.record({ wait: fc.integer({ min: 0, max: 900 }), organisation: fc.constantFrom('a', 'b') }), { maxLength: 60 })
  fc.assert(fc.property(steps, fc.integer({ min: 1, max: 20 }), (taken, rate) => {
    const budget = new RetryBudget()
    const naive = new Map<string, number>()
    let now = 1_000_000
    return taken.every(({ wait, organisation }) => {
      for (let tick = 0; tick < wait; tick += 1) for (const [name, level] of naive) naive.set(name, Math.min(2000 * rate, level + rate))
      now += wait
      const level = naive.get(organisation) ?? 2000 * rate
      naive.set(organisation, level >= 1000 ? level - 1000 : level)
      return budget.take(organisation, rate, now) === (level >= 1000)
    })
  }), { seed, numRuns: runs })
  t.pass()
})

const view = fc.record({
  dataCentre: fc.constantFrom('east', 'west'),
  service: fc.constantFrom('citations', 'ledger'),
  state: fc.constantFrom('open' as const, 'closed' as const, 'out' as const, 'leaving' as const),
  weights: fc.constantFrom(newWeights, oldWeights, ''),
  load: fc.integer({ min: 0, max: 6 }),
  limit: fc.integer({ min: 1, max: 4 })
})
const views = fc.array(view, { maxLength: 8 }).map(list => list.map(({ load, limit, ...facts }, index): UpstreamView => ({
  region: configuration.dataCentres[facts.dataCentre]?.region ?? '',
  controlAddress: '',
  load,
  status: { instance: `i${index}`, incarnation: '', limit, inFlight: load, waiting: 0, cold: false, configurationNext: 0, address: '', wanted: '', chunksHeld: 0, chunksTotal: 0, suspects: [], ...facts }
})))
const demands = fc.record({ service: fc.constant('citations'), weights: fc.constantFrom([newWeights, oldWeights], [oldWeights], undefined), prefix: fc.constantFrom('', 'p', 'q'), suspectFingerprint: fc.constantFrom('', 'fingerprint') })
const dataCentreStates = fc.constantFrom('in' as const, 'out' as const)

/** Reference implementation: sorts all upstreams by every rule and returns the best ones. */
function naiveBest (list: readonly UpstreamView[], demand: UpstreamRequirements, west: 'in' | 'out', tried: ReadonlySet<string>): readonly UpstreamView[] {
  const eligible = list.filter(({ status }) => status.state === 'open' && status.service === demand.service && (status.dataCentre !== 'west' || west === 'in') && !tried.has(status.instance))
  const acceptable = demand.weights === undefined ? eligible : eligible.filter(({ status }) => demand.weights?.some(weights => weights === status.weights))
  const rank = (entry: UpstreamView): readonly number[] => demand.suspectFingerprint !== '' ? [] : [entry.load < entry.status.limit ? 0 : 1, demand.weights?.indexOf(entry.status.weights) ?? 0, entry.status.dataCentre === 'east' ? 0 : 1]
  const sorted = [...acceptable].sort((left, other) => rank(left).map((value, index) => value - (rank(other)[index] ?? 0)).find(difference => difference !== 0) ?? 0)
  return sorted.filter(entry => JSON.stringify(rank(entry)) === JSON.stringify(rank(sorted[0] ?? entry)))
}

/** Whether prefix affinity may choose an upstream: one of the prefix's two by rendezvous hashing among the newest weights and nearest data centre, beyond its limit only while nine tenths of the pool's slots are in use. */
function isAllowedByAffinity (chosen: UpstreamView, candidates: readonly UpstreamView[], demand: UpstreamRequirements): boolean {
  const emptied = candidates.map(entry => ({ ...entry, load: 0 }))
  const closest = naiveBest(emptied, demand, 'in', new Set()).map(({ status }) => status.instance)
  const pool = candidates.filter(({ status }) => closest.includes(status.instance))
  const preferred = rankMembers(demand.prefix, closest).slice(0, 2)
  const slots = pool.flatMap(({ status, load }) => Array.from({ length: status.limit }, (_, index) => index < load))
  const isBusy = slots.filter(isTaken => isTaken).length >= 0.9 * slots.length
  const maximumLoad = isBusy ? chosen.status.limit * 1.5 : chosen.status.limit
  return demand.prefix !== '' && preferred.includes(chosen.status.instance) && chosen.load < maximumLoad
}

test('every policy chooses among the best upstreams of the reference sort, and the least loaded one where it has to', async t => {
  fc.assert(fc.property(views, demands, dataCentreStates, fc.boolean(), (list, demand, west, first) => {
    const tried = new Set(first ? ['i0'] : [])
    const inForce = { ...configuration, dataCentres: { ...configuration.dataCentres, west: { region: 'two', state: west } } }
    const best = naiveBest(list, demand, west, tried)
    const lowest = Math.min(...best.map(({ load, status }) => load / status.limit))
    const candidates = candidatesOf(list, demand, inForce, tried)
    return [new LeastLoad(), new TwoChoices(seededRandom(1)), new PrefixAffinity(new LeastLoad())].every((policy, index) => {
      const chosen = chooseUpstream(candidates, demand, here, policy)
      if (chosen === undefined) return best.length === 0
      if (demand.suspectFingerprint !== '') return chosen.status.instance === rankMembers(demand.suspectFingerprint, best.map(({ status }) => status.instance))[0]
      if (policy instanceof PrefixAffinity && isAllowedByAffinity(chosen, candidates, demand)) return true
      const isLeastLoaded = chosen.load / chosen.status.limit === lowest
      return best.includes(chosen) && (isLeastLoaded || index > 0)
    })
  }), { seed, numRuns: runs })
  t.pass()
})

test('every upstream is watched by enough entries, and by all of them when there are few', async t => {
  const plan = fc.record({ entries: fc.integer({ min: 1, max: 20 }), upstreams: fc.integer({ min: 1, max: 10 }), watchers: fc.integer({ min: 1, max: 6 }) })
  fc.assert(fc.property(plan, ({ entries, upstreams, watchers }) => {
    const list = (role: 'entry' | 'upstream', index: number): ListedInstance => ({ instance: `${role}-${index}`, role, service: '', dataCentre: `d${index % 3}`, region: 'r', state: 'live', address: '', controlAddress: '' })
    const listed = [...Array.from({ length: entries }, (_, index) => list('entry', index)), ...Array.from({ length: upstreams }, (_, index) => list('upstream', index))]
    const watched = listed.filter(({ role }) => role === 'entry').map(entry => watchedUpstreams(listed, entry, watchers).map(({ instance }) => instance))
    const counts = Array.from({ length: upstreams }, (_, index) => watched.filter(names => names.includes(`upstream-${index}`)).length)
    return counts.every(count => count >= Math.min(watchers, entries))
  }), { seed, numRuns: 200 })
  t.pass()
})

const named = (address: string, dataCentre: string, change: Partial<LocatableEntry> = {}): LocatableEntry => ({ address, dataCentre, region: dataCentre === 'far' ? 'two' : 'one', leaving: false, inFlight: 0, ...change })
const locateCases: readonly { readonly name: string, readonly entries: readonly LocatableEntry[], readonly out: readonly string[], readonly order: readonly string[] }[] = [
  { name: 'nearest first', entries: [named('c', 'far'), named('b', 'next'), named('a', 'east')], out: [], order: ['a', 'b', 'c'] },
  { name: 'without leaving ones', entries: [named('a', 'east', { leaving: true }), named('b', 'next')], out: [], order: ['b'] },
  { name: 'without data centres that are out', entries: [named('a', 'east'), named('b', 'next')], out: ['east'], order: ['b'] },
  { name: 'all of them when every data centre is out', entries: [named('a', 'east')], out: ['east'], order: ['a'] },
  { name: 'overloaded ones last', entries: [named('a', 'east', { inFlight: 500 }), named('b', 'far'), named('c', 'far', { inFlight: 1 }), named('d', 'next')], out: [], order: ['d', 'b', 'c', 'a'] }
]

for (const { name, entries, out, order } of locateCases) {
  test(`locate ranks entries: ${name}`, async t => {
    const ranked = rankEntries(entries, 'key', here, dataCentre => !out.includes(dataCentre))
    t.same([...ranked].slice(0, 1).concat([...ranked].slice(1).sort()), [...order].slice(0, 1).concat([...order].slice(1).sort()))
  })
}

test('callers that are refused at the same time get different retry times', async t => {
  const times = Array.from({ length: 200 }, (_, index) => addRetryJitter(1000, `request ${index}`))
  t.ok(new Set(times).size > 100)
  t.ok(times.every(time => time >= 1000 && time < 1500))
  t.equal(addRetryJitter(1000, 'same'), addRetryJitter(1000, 'same'))
  t.equal(earliestRetry([0, 30, 20], 5), 20)
  t.equal(earliestRetry([0], 5), 5)
})

test('when every upstream refuses, a request reaches at most three and is refused with a retry time', async t => {
  const world = await TestCluster.start({ citations: ['east', 'east', 'west', 'west', 'west'] })
  t.teardown(() => { world.stop() })
  const earliest = Date.now() + 30_000
  world.agents.forEach(agent => { agent.behave = refuseWith('busy', 30_000) })
  const answer = await world.call('citations/completions', { prompt: 'x', maximumTokens: 2 })
  t.match(answer, { status: 503, failure: 'busy', outcome: 'not-run' })
  t.equal(world.requestCount, 3)
  t.ok((JSON.parse(answer.text) as { retryAt: number }).retryAt >= earliest)
  t.ok(Number(answer.headers.get('retry-after')) > 0)
})

test('an organisation\'s retries stay within its budget while every upstream refuses', async t => {
  const world = await TestCluster.start({ citations: ['east', 'east', 'west', 'west'] })
  t.teardown(() => { world.stop() })
  for (const agent of world.agents) agent.behave = refuseWith('busy')
  const started = Date.now()
  const calls = Array.from({ length: 40 }, async () => await world.call('citations/completions', { prompt: 'x', maximumTokens: 2 }, { 'pollendyke-organisation': 'patrol' }))
  for (const answer of await Promise.all(calls)) t.equal(answer.outcome, 'not-run')
  const refilled = Math.ceil((Date.now() - started) / 1000)
  t.ok(world.requestCount <= 40 + 2 + refilled, `${world.requestCount} attempts for 40 requests`)
})

test('a request is not retried while the pool is at capacity', async t => {
  const world = await TestCluster.start({ citations: ['east', 'west'] })
  t.teardown(() => { world.stop() })
  for (const agent of world.agents) {
    agent.behave = refuseWith('busy')
    agent.publish({ inFlight: 8 })
  }
  await eventually(async () => {
    return (await world.status(0)).upstreams.every(({ inFlight }) => inFlight === 8)
  })
  const answer = await world.call('citations/completions', { prompt: 'x', maximumTokens: 2 })
  t.equal(answer.failure, 'busy')
  t.equal(world.requestCount, 1)
})
