/**
 * Replays requests of many entries, each with a real `UpstreamPool`, on simulated upstreams whose agents grant slots with
 * the real `SlotGranter`, in simulated time. The last upstream is the one that starts or recovers. Times in milliseconds.
 */
import { SlotSearch } from '../../src/core/dispatch/slot-requests.js'
import { EngineSlots } from '../../src/roles/gateway/engine-slots.js'
import { UpstreamLimits } from '../../src/roles/gateway/upstream-limits.js'
import { UpstreamPool } from '../../src/roles/gateway/upstream-pool.js'
import type { Service, Upstream } from '../../src/types/fleet.js'
import type { NodeMessage, PermitRequest } from '../../src/types/node-messages.js'
import type { AnswerHead } from '../../src/types/ports.js'
import { monotonicNow } from '../../src/utils/clock.js'
import { seededRandom } from '../../src/utils/random.js'
import { Server, work, type ServerHost } from './start-server.js'

/** What happens to the last upstream at `eventAt`. */
export type StartEvent = 'start' | 'ejection' | 'unresponsiveness' | 'rest' | 'cut' | 'swap' | 'fails-again'

/** A replay. */
export interface StartPlan {
  readonly event: StartEvent
  /** Decisions of an adaptive service, those of any other, or without a cold rate. */
  readonly decisions: 'adaptive' | 'basic' | 'flood'
  readonly entries: number
  readonly seed: number
  /** Whether the upstreams are engines with agents. */
  readonly isEngine: boolean
  /** How long work takes at the last upstream; 1 for as long as at the others. */
  readonly slowness?: number
  /** Requests a second, all entries together, in requests that the upstreams complete at full load; 0.8 if not set. */
  readonly load?: number
  /** Share of the messages that are lost. */
  readonly lostShare?: number
  /** Share of the entries that are killed 0.3 s after the event. */
  readonly killedShare?: number
  /** Share of the entries that exchange no messages with agents and other entries from 0.3 s after the event on. */
  readonly cutShare?: number
  /** Share of the entries that start 0.3 s after the event. */
  readonly joiningShare?: number
  /** Whether the agent of the last upstream is killed 0.5 s after the event. */
  readonly isAgentKilled?: boolean
}

/** What the last upstream and the callers saw. */
export interface StartOutcome {
  /** Time until it starts as many answers as the others on average; Infinity for never. */
  readonly shareMilliseconds: number
  /** Longest time to a first event there from its return on. */
  readonly worstFirstEventMilliseconds: number
  /** Most requests that arrived there in any second while it was cold. */
  readonly busiestSecond: number
  /** Requests a second that arrived there while it was cold. */
  readonly coldPerSecond: number
  /** Share of the requests from the return on that no upstream took in time. */
  readonly refusedShare: number
  /** Ids of the upstreams in the order of their requests. */
  readonly sent: readonly string[]
}

/** Rate of a cold upstream, and the bound of one second, as the users' platform sets them. */
export const [coldPerSecond, coldMaximum] = [36, 59] as const
const [eventAt, coldMilliseconds, endAt] = [1500, 3000, 6000] as const
const upstreamCount = 5
const queueMilliseconds = 150
/** Time after which an entry that is not heard counts as dead. */
const deadMilliseconds = 2500
const head: AnswerHead = { status: 200, requestId: undefined, isSigned: true, isNotRun: false, isMisdirected: false, isEncoded: false, load: undefined, limit: { kind: 'none' }, rest: { kind: 'none' }, isLeaving: false }

/** Plays a plan; deterministic for its seed. */
export function replayStart (plan: StartPlan): StartOutcome {
  const [original, replay] = [performance.now, new Replay(plan)]
  performance.now = () => replay.now
  try {
    return replay.run()
  } finally {
    performance.now = original
  }
}

class Entry {
  readonly pool: UpstreamPool
  private readonly slots: EngineSlots
  private readonly limits: UpstreamLimits
  waiting: { readonly until: number, readonly search: SlotSearch | undefined }[] = []

  constructor (private readonly replay: Replay, readonly index: number, readonly startsAt: number, readonly diesAt: number) {
    const { plan } = replay
    this.slots = new EngineSlots({
      send: (message, ip) => {
        const server = replay.servers[Number(ip)]
        replay.post(() => {
          if (replay.isAgentDead(server) || this.isCut) return
          server?.granter[message.kind === 'slot-request' ? 'answer' : 'release'](message as never, String(index))
        })
      },
      answered: () => {
        this.poll()
        if (this.waiting.length === 0) this.slots.releaseAll(id => this.pool.find(id)?.upstream.address)
      }
    }, replay.random)
    const names = (): readonly string[] => replay.knownEntries
    this.limits = new UpstreamLimits({
      fleet: () => ({ self: this.name, ...replay.viewOf(this), isSettled: replay.now - startsAt > 500 }),
      send: (message, instance) => { replay.post(() => { replay.entryOf(instance)?.grantPermit(message, this) }) },
      startOf: id => this.pool.find(id)?.upstream.startedAt,
      coldRate: id => this.pool.coldPermitRate(id)
    })
    const { limits } = this
    this.pool = new UpstreamPool({ instance: this.name, dataCentre: 'a', regionOf: new Map(), cold: { factor: 1.5, slack: 5 }, limits, slots: this.slots, entries: names, knownEntries: names, isEvacuated: () => false, isAdaptive: () => plan.decisions === 'adaptive', upstreamGone: () => {}, upstreamLeaves: () => {} }, () => replay.service, replay.random)
  }

  get name (): string { return `entry-${this.index}` }
  get isCut (): boolean { return this.replay.now >= eventAt + 300 && this.index < (this.replay.plan.cutShare ?? 0) * this.replay.plan.entries }
  get isAlive (): boolean { return this.replay.now >= this.startsAt && this.replay.now < this.diesAt }

  receive (message: NodeMessage): void { if (this.isAlive && !this.isCut && message.kind === 'slot-reply') this.pool.receiveSlotReply(message) }

  /** Answers another entry's request for a permit. */
  grantPermit (request: PermitRequest, asking: Entry): void {
    const answer = this.isAlive && this.isCut === asking.isCut ? this.limits.answer(request, asking.name) : undefined
    if (answer !== undefined) this.replay.post(() => { if (asking.isAlive) asking.limits.receive(answer, this.name) })
  }

  request (): void {
    const search = new SlotSearch()
    if (!this.place(search)) this.waiting = [...this.waiting, { until: this.replay.now + queueMilliseconds, search }]
  }

  poll (): void {
    this.waiting = this.waiting.filter(({ until, search }) => {
      if (!this.isAlive || this.place(search)) return false
      if (until > this.replay.now) return true
      this.replay.refuse()
      return false
    })
  }

  private place (search: SlotSearch | undefined): boolean {
    const { replay, pool } = this
    const chosen = pool.choose({ service: replay.service, regions: undefined, admission: { requestsPerSlot: 1, waiting: replay.plan.isEngine ? 0 : 1 }, tried: new Set(), minimumVersion: undefined, streamVersion: undefined, search })
    if (typeof chosen === 'string') return false
    const { upstream } = chosen
    const [id, sentAt, time] = [upstream.id, monotonicNow(), replay.now]
    const server = replay.servers[Number(id)] as Server
    pool.recordSent(id)
    replay.sent.push(id)
    replay.at(time + replay.delay(), () => {
      const fault = replay.faultOf(upstream)
      if (fault !== undefined) {
        pool.recordStarted(id)
        if (fault === 'rest') pool.applyAnswerHead(upstream, { ...head, status: 503, isNotRun: true, rest: { kind: 'rest', milliseconds: 600 } }, sentAt)
        pool.recordEnded(id, fault === 'rest' ? 'shed' : 'unreachable', sentAt)
        return
      }
      server.arrive({
        sentAt: time,
        started: () => {
          pool.applyAnswerHead(upstream, { ...head, load: { running: server.running, waiting: server.waiting.length, slots: work.slots } }, sentAt)
          pool.recordActivity(id)
          pool.recordStarted(id, sentAt)
        },
        ended: () => {
          pool.recordActivity(id)
          pool.recordEnded(id, 'good', sentAt)
        }
      })
    })
    return true
  }
}

class Replay implements ServerHost {
  now = 0
  readonly random: () => number
  readonly servers: readonly Server[]
  readonly entries: readonly Entry[]
  readonly service: Service
  readonly sent: string[] = []
  private refused = 0
  private readonly due = new Map<number, (() => void)[]>()
  constructor (readonly plan: StartPlan) {
    this.random = seededRandom(plan.seed)
    this.service = { name: 'model-a', maximumConnections: 0, coldMilliseconds: plan.event === 'start' ? coldMilliseconds : 0, coldRequestsPerSecond: plan.decisions === 'flood' ? 0 : coldPerSecond, engine: undefined, origin: undefined }
    this.servers = Array.from({ length: upstreamCount }, (_, index) => new Server(this, { id: String(index), service: 'model-a', address: `${index}:80`, dataCentre: 'a', slots: work.slots, isDraining: false, coldMilliseconds: 0, startedAt: 1, weights: undefined, isEngine: plan.isEngine }, index === upstreamCount - 1 ? plan.slowness ?? 1 : 1))
    const [killed, joining] = [(plan.killedShare ?? 0) * plan.entries, plan.entries * (1 - (plan.joiningShare ?? 0))]
    this.entries = Array.from({ length: plan.entries }, (_, index) => new Entry(this, index, index < joining ? 0 : eventAt + 300, index < killed ? eventAt + 300 : Infinity))
  }

  private get last (): Server { return this.servers.at(-1) as Server }

  at (time: number, act: () => void): void {
    const key = Math.max(Math.ceil(time), this.now + 1)
    this.due.set(key, [...this.due.get(key) ?? [], act])
  }

  delay (): number { return 1 + this.random() * 4 }
  refuse (): void { if (this.now >= eventAt) this.refused += 1 }

  /** Delivers a message unless it is lost. */
  post (act: () => void): void {
    if (this.random() >= (this.plan.lostShare ?? 0)) this.at(this.now + this.delay(), act)
  }

  /** Entries as all of them know them: those that join after a quarter of a second at most, killed ones until they count as dead. */
  knownEntries: readonly string[] = []
  /** Killed entries that count as dead. */
  silentEntries: readonly string[] = []
  /** Entries that one of them takes for living and for silent. */
  viewOf ({ isCut }: Entry): { readonly ready: readonly string[], readonly silent: readonly string[] } {
    if (this.plan.cutShare === undefined || this.now < eventAt + 300 + deadMilliseconds) return { ready: this.knownEntries, silent: this.silentEntries }
    const isSame = (name: string): boolean => this.entryOf(name)?.isCut === isCut
    return { ready: this.knownEntries.filter(isSame), silent: this.knownEntries.filter(name => !isSame(name)) }
  }

  entryOf (name: string): Entry | undefined { return this.entries[Number(name.slice('entry-'.length))] }

  isAgentDead (server: Server | undefined): boolean { return server === this.last && this.plan.isAgentKilled === true && this.now >= eventAt + 500 }

  reply (message: NodeMessage, ip: string): void { this.post(() => { this.entries[Number(ip)]?.receive(message) }) }

  /** When work at an upstream goes on: at the end of the time in which it hangs. */
  resumeAt ({ id }: Upstream, time: number): number {
    return id === this.last.upstream.id && this.plan.event === 'unresponsiveness' && time >= eventAt - 900 && time < eventAt ? eventAt : time
  }

  faultOf (upstream: Upstream): 'unreachable' | 'rest' | undefined {
    const { plan: { event }, now } = this
    if (upstream.id !== this.last.upstream.id) return undefined
    if (event === 'rest') return now >= eventAt - 800 && now < eventAt ? 'rest' : undefined
    const isDown = now >= eventAt - 600 && now < eventAt
    return (event === 'fails-again' && now >= eventAt + 700 && now < eventAt + 1300) || (isDown && (event === 'ejection' || event === 'fails-again')) ? 'unreachable' : undefined
  }

  run (): StartOutcome {
    const { plan, entries, servers } = this
    const perSecond = (plan.load ?? 0.8) * upstreamCount * work.slots * 1000 / (work.answerMilliseconds + work.promptMilliseconds)
    for (const { pool } of entries) for (const { upstream } of servers) if (plan.event !== 'start' || upstream !== this.last.upstream) pool.putRecord(upstream, true)
    let nextAt = 0
    for (; this.now < endAt; this.now += 1) {
      const { now } = this
      if (now % 250 === 0) {
        this.knownEntries = entries.filter(({ startsAt, diesAt }) => now >= startsAt && now < diesAt + deadMilliseconds).map(({ name }) => name)
        this.silentEntries = entries.filter(({ diesAt }) => now >= diesAt + deadMilliseconds).map(({ name }) => name)
      }
      if (now === eventAt) this.happen()
      if (now % 50 === 0) for (const server of servers) server.granter.recordReport({ running: server.running, waiting: server.waiting.length } as never, !this.isSwapping(server))
      if (now % 100 === 0 && plan.isEngine) this.report()
      for (const act of this.due.get(now) ?? []) act()
      if (now % 20 === 0) for (const entry of entries) if (entry.waiting.length > 0) entry.poll()
      for (; nextAt <= now; nextAt += -Math.log(1 - this.random()) * 1000 / perSecond) {
        const alive = entries.filter(({ isAlive }) => isAlive)
        alive[Math.floor(this.random() * alive.length)]?.request()
      }
    }
    return this.outcome(perSecond)
  }

  private isSwapping (server: Server): boolean { return this.plan.event === 'swap' && server === this.last && this.now >= eventAt - 800 && this.now < eventAt }

  private happen (): void {
    const { upstream } = this.last
    for (const { pool } of this.entries) {
      if (this.plan.event === 'start') this.at(this.now + this.random() * 60, () => { pool.putRecord({ ...upstream, coldMilliseconds }, false) })
      if (this.plan.event !== 'cut') continue
      pool.dropRecord('4', monotonicNow() + 500)
      this.at(this.now + 100, () => { pool.putRecord(upstream, false) })
    }
  }

  private report (): void {
    for (const server of this.servers.filter(one => !this.isAgentDead(one))) {
      const report = { kind: 'load', startedAt: 1, orders: 0, running: server.running, waiting: server.waiting.length, model: 'm', version: server === this.last && this.plan.event === 'swap' && this.now >= eventAt ? 2 : 1, isSwapping: this.isSwapping(server), readyInMilliseconds: 0 } as const
      for (const entry of this.entries) this.post(() => { if (entry.isAlive && !entry.isCut) entry.pool.applyLoadReport(report, server.upstream.address.split(':')[0] ?? '') })
    }
  }

  private outcome (perSecond: number): StartOutcome {
    const { starts } = this.last
    const cold = this.last.arrivals.filter(at => at >= eventAt && at < eventAt + coldMilliseconds)
    const others = this.servers.slice(0, -1).flatMap(server => server.starts)
    const countIn = (from: readonly { readonly at: number }[], time: number): number => from.filter(({ at }) => at >= time && at < time + 400).length
    let shareAt = eventAt
    while (shareAt < endAt - 400 && countIn(starts, shareAt) < 0.8 / (this.plan.slowness ?? 1) * countIn(others, shareAt) / (upstreamCount - 1)) shareAt += 50
    return {
      shareMilliseconds: shareAt < endAt - 400 ? shareAt - eventAt : Infinity,
      worstFirstEventMilliseconds: Math.max(0, ...starts.filter(({ at, waited }) => at - waited >= eventAt).map(({ waited }) => waited)),
      busiestSecond: Math.max(0, ...cold.map(from => cold.filter(at => at >= from && at < from + 1000).length)),
      coldPerSecond: cold.length * 1000 / coldMilliseconds,
      refusedShare: this.refused / (perSecond * (endAt - eventAt) / 1000),
      sent: this.sent
    }
  }
}
