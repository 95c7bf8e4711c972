/** Compares routing policies and retry rules on one seeded load: upstreams and entries are plain objects, time is an event queue. */
import { maximumAttempts, RetryBudget } from '../../src/core/retry.js'
import { chooseUpstream, hasFreeSlot, LeastLoad, PrefixAffinity, RoutingPolicy, TwoChoices, type UpstreamRequirements, type UpstreamView } from '../../src/core/routing.js'
import { rankMembers } from '../../src/utils/rendezvous.js'
import { seededRandom } from '../../src/utils/random.js'
import { percentile } from '../percentile.js'
import type { MeasureTable, PlotRequest } from './table.js'

const upstreamCount = 12
const entryCount = 3
const limit = 8
const waitingRoom = 4
const cachedPrefixes = 8
const prefixCount = 60
const statusMilliseconds = 200
const loadSeconds = 120
const missMilliseconds = 300
const hitMilliseconds = 60
const retriesPerSecond = 20
const tokens = 40
const tokenMilliseconds = 20
/** Requests a second that all upstreams bear when every prefix is a miss. */
const capacity = upstreamCount * limit / (missMilliseconds + tokens * tokenMilliseconds) * 1000
const boundFactor = 1.25
const here = { dataCentre: 'here', region: 'here' }

/** The loser: hash order, passed over while the load is above the average by a factor, and never a wait. */
class BoundedAffinity extends RoutingPolicy {
  choose (candidates: readonly UpstreamView[], demand: UpstreamRequirements): UpstreamView | undefined {
    const mean = candidates.reduce((sum, view) => sum + view.load, 0) / candidates.length
    const byInstance = new Map(candidates.map(view => [view.status.instance, view]))
    const ranked = rankMembers(demand.prefix, [...byInstance.keys()]).flatMap(instance => byInstance.get(instance) ?? [])
    return ranked.find(view => view.load < Math.ceil((mean + 1) * boundFactor))
  }
}

/** What varies between the trials. */
interface Trial {
  readonly name: string
  readonly policy: (random: () => number) => RoutingPolicy
  /** Whether an entry counts its own sends since the last status. */
  readonly countsOwn: boolean
  /** Whether `locate` sends callers of one prefix to one entry. */
  readonly locates: boolean
  /** Whether retries are bounded by the budget, and by room in the entry's own view. */
  readonly bounded: boolean
}

const leastLoad = (): RoutingPolicy => new LeastLoad()
const affinity = (): RoutingPolicy => new PrefixAffinity(new LeastLoad())
const trials: readonly Trial[] = [
  { name: 'least load, status alone', policy: leastLoad, countsOwn: false, locates: false, bounded: true },
  { name: 'least load, own sends', policy: leastLoad, countsOwn: true, locates: false, bounded: true },
  { name: 'two choices, own sends', policy: random => new TwoChoices(random), countsOwn: true, locates: false, bounded: true },
  { name: 'bounded prefix affinity, own sends', policy: () => new BoundedAffinity(), countsOwn: true, locates: false, bounded: true },
  { name: 'prefix affinity, own sends', policy: affinity, countsOwn: true, locates: false, bounded: true },
  { name: 'prefix affinity, own sends, locate', policy: affinity, countsOwn: true, locates: true, bounded: true },
  { name: 'least load, own sends, unbounded retries', policy: leastLoad, countsOwn: true, locates: false, bounded: false }
]

interface Upstream { readonly name: string, running: number, highestRunning: number, readonly queue: Request[], readonly cache: string[] }
interface Request { readonly prefix: string, readonly arrivedAt: number, ended: () => void }
interface SeenUpstream { view: UpstreamView, own: number, since: number }
interface Entry { readonly policy: RoutingPolicy, readonly budget: RetryBudget, readonly seen: readonly SeenUpstream[] }

/** Runs every trial at several loads. */
export async function measureRouting (seed: number): Promise<MeasureTable> {
  const rows = [0.7, 0.9, 1.1, 1.5].flatMap(share => trials.map(trial => ({ load: `${Math.round(share * 100)}%`, policy: trial.name, ...new Experiment(trial, seed, share).run() })))
  return { subject: `routing policies, ${upstreamCount} upstreams, ${entryCount} entries, seed ${seed}, ${loadSeconds} s of load, 100% = ${Math.round(capacity)} requests/s without any cache hit`, plots, rows }
}

const plots: readonly PlotRequest[] = [
  { title: 'first token, 95th percentile, milliseconds', x: 'load', y: 'p95', kind: 'ordinal', series: ['policy'] },
  { title: 'cache hits, per cent', x: 'load', y: 'hitsPercent', kind: 'ordinal', series: ['policy'] }
]

class Experiment {
  private readonly random: () => number
  private readonly events = new EventQueue()
  private readonly upstreams: readonly Upstream[]
  private readonly entries: readonly Entry[]
  private now = 0
  private readonly firstTokens: number[] = []
  private readonly counts = { requests: 0, attempts: 0, refused: 0, hits: 0, started: 0 }

  constructor (private readonly trial: Trial, seed: number, private readonly share: number) {
    this.random = seededRandom(seed)
    this.upstreams = Array.from({ length: upstreamCount }, (_, index) => ({ name: `upstream-${index}`, running: 0, highestRunning: 0, queue: [], cache: [] }))
    const policyRandom = seededRandom(seed + 1)
    this.entries = Array.from({ length: entryCount }, () => ({ policy: trial.policy(policyRandom), budget: new RetryBudget(), seen: this.upstreams.map(upstream => ({ view: viewOf(upstream, 0, 0), own: 0, since: 0 })) }))
  }

  run (): Readonly<Record<string, number>> {
    this.arrive()
    this.entries.forEach((entry, index) => { this.events.add(index * statusMilliseconds / entryCount, () => { this.hear(entry) }) })
    for (;;) {
      const event = this.events.take()
      if (event === undefined || event.at > loadSeconds * 1000) break
      this.now = event.at
      event.act()
    }
    const { requests, attempts, refused, hits, started } = this.counts
    return {
      p50: percentile(this.firstTokens, 0.5),
      p95: percentile(this.firstTokens, 0.95),
      p99: percentile(this.firstTokens, 0.99),
      hitsPercent: round(100 * hits / started),
      refusedPercent: round(100 * refused / requests),
      attemptsPerRequest: round(attempts / requests),
      highestRunning: Math.max(...this.upstreams.map(upstream => upstream.highestRunning))
    }
  }

  private arrive (): void {
    const gap = -Math.log(1 - this.random()) / (capacity * this.share) * 1000
    this.events.add(this.now + gap, () => {
      const prefix = `prefix-${Math.floor(prefixCount * this.random() ** 2)}`
      const number = Math.floor(this.random() * entryCount)
      const names = Array.from({ length: entryCount }, (_, index) => String(index))
      const entry = this.entries[this.trial.locates ? Number(rankMembers(prefix, names)[0]) : number]
      if (entry !== undefined) this.route(entry, prefix)
      this.arrive()
    })
  }

  private route (entry: Entry, prefix: string): void {
    this.counts.requests += 1
    const tried = new Set<string>()
    const demand: UpstreamRequirements = { service: 's', weights: undefined, prefix, suspectFingerprint: '' }
    for (let attempt = 0; attempt < maximumAttempts; attempt += 1) {
      const candidates = entry.seen.map(({ view }) => view).filter(view => !tried.has(view.status.instance) && (attempt === 0 || !this.trial.bounded || hasFreeSlot(view)))
      const chosen = chooseUpstream(candidates, demand, here, entry.policy)
      if (chosen === undefined) break
      if (attempt > 0 && this.trial.bounded && !entry.budget.take('organisation', retriesPerSecond, this.now)) break
      tried.add(chosen.status.instance)
      if (this.send(entry, chosen, prefix)) return
    }
    this.counts.refused += 1
  }

  private send (entry: Entry, chosen: UpstreamView, prefix: string): boolean {
    this.counts.attempts += 1
    const upstream = this.upstreams.find(({ name }) => name === chosen.status.instance)
    const seen = entry.seen.find(({ view }) => view === chosen)
    if (upstream === undefined || seen === undefined) return false
    if (upstream.running >= limit && upstream.queue.length >= waitingRoom) return false
    this.countOwn(seen, 1)
    const request: Request = { prefix, arrivedAt: this.now, ended: () => { this.countOwn(seen, -1) } }
    if (upstream.running < limit) this.begin(upstream, request)
    else upstream.queue.push(request)
    return true
  }

  private begin (upstream: Upstream, request: Request): void {
    const hit = useCache(upstream.cache, request.prefix)
    upstream.running += 1
    upstream.highestRunning = Math.max(upstream.highestRunning, upstream.running)
    this.counts.started += 1
    this.counts.hits += hit ? 1 : 0
    const firstTokenAt = this.now + (hit ? hitMilliseconds : missMilliseconds)
    this.firstTokens.push(firstTokenAt - request.arrivedAt)
    this.events.add(firstTokenAt + tokens * tokenMilliseconds, () => {
      upstream.running -= 1
      request.ended()
      const next = upstream.queue.shift()
      if (next !== undefined) this.begin(upstream, next)
    })
  }

  /** Every status arrives at once, and late for all changes since the last one. */
  private hear (entry: Entry): void {
    entry.seen.forEach((seen, index) => {
      const upstream = this.upstreams[index]
      if (upstream === undefined) return
      seen.since = 0
      seen.view = viewOf(upstream, upstream.running + upstream.queue.length, 0)
    })
    this.events.add(this.now + statusMilliseconds, () => { this.hear(entry) })
  }

  private countOwn (seen: SeenUpstream, change: number): void {
    if (!this.trial.countsOwn) return
    seen.own += change
    seen.since += change
    const { inFlight } = seen.view.status
    seen.view = { ...seen.view, load: Math.max(seen.own, inFlight + seen.since) }
  }
}

function viewOf (upstream: Upstream, inFlight: number, since: number): UpstreamView {
  const status = { instance: upstream.name, incarnation: '', dataCentre: 'here', service: 's', state: 'open' as const, weights: '', limit, inFlight, waiting: 0, cold: false, configurationNext: 0, address: '', wanted: '', chunksHeld: 0, chunksTotal: 0, suspects: [] }
  return { status, region: 'here', controlAddress: upstream.name, load: inFlight + since }
}

/** Whether a prefix was cached; it is the latest used one afterwards. */
function useCache (cache: string[], prefix: string): boolean {
  const position = cache.indexOf(prefix)
  if (position >= 0) cache.splice(position, 1)
  cache.push(prefix)
  if (cache.length > cachedPrefixes) cache.shift()
  return position >= 0
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}

interface TimedEvent { readonly at: number, readonly act: () => void }

/** Events in the order of their time. */
class EventQueue {
  private readonly events: TimedEvent[] = []

  add (at: number, act: () => void): void {
    let low = 0
    let high = this.events.length
    while (low < high) {
      const middle = (low + high) >> 1
      if ((this.events[middle]?.at ?? 0) > at) low = middle + 1
      else high = middle
    }
    this.events.splice(low, 0, { at, act })
  }

  take (): TimedEvent | undefined {
    return this.events.pop()
  }
}
