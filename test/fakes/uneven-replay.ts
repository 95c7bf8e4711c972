/**
 * Simulates requests to upstreams of different speeds, each slow for a part of the time, behind entries that place them by
 * expected time, by number, or as one dispatcher would that knows all loads. Times in milliseconds from the start.
 */
import { completionIntervalMilliseconds } from '../../src/core/dispatch/admission.js'
import { computedTime, isExpectedInTime, placementCost, type UpstreamEstimate } from '../../src/core/dispatch/expected-time.js'
import { enginesToAsk, enginesToAskByTime, placeByTime, placeRequest, type Candidate } from '../../src/core/dispatch/placement.js'
import { SlotLedger } from '../../src/core/dispatch/slot-ledger.js'
import { SlotSearch } from '../../src/core/dispatch/slot-requests.js'
import { expectedPace, isNewsOf, UpstreamPaces, type StatedPace } from '../../src/core/dispatch/upstream-pace.js'
import { seededRandom } from '../../src/utils/random.js'
import { ReplayEngine, replayEngine, type EngineRequest } from './replay-engine.js'

/** Who chooses: entries by expected time or by number of requests, or one dispatcher that knows all loads and paces. */
export type UnevenPolicy = 'time' | 'number' | 'all-known'

/** Load of a replay. */
export interface UnevenLoad {
  readonly kind: 'engines' | 'plain'
  readonly entries: number
  readonly upstreams: number
  /** Share of what the upstreams can do on average. */
  readonly load: number
  readonly seed: number
  readonly milliseconds: number
  /** Whether entries of plain upstreams learn the paces that others have seen, as old as gossip brings them. */
  readonly isGossiping?: boolean
  /** Pace that an upstream states instead of its own. */
  readonly state?: (index: number, pace: number) => number
}

const [slowPace, slowShare, changeMilliseconds] = [2.5, 0.15, 600] as const
const usualPace = 1 + (slowPace - 1) * slowShare
const messageMilliseconds = 2
const warmUpMilliseconds = 4000
const LW = 60
const countMilliseconds = 100
const askIntervalMilliseconds = 15
/** Time for which an agent that had no slot is not asked, as in `SlotRequests`. */
const fullMilliseconds = 100
/** Mean time for which a pace is on its way in gossip, to 8 and to 300 entries. */
const gossipMilliseconds = 500
const plain = { slots: 6, workMilliseconds: 21, goalMilliseconds: 144, requestsPerSlot: 3 } as const
const engine = { slots: 12, goalMilliseconds: 402, waiting: 1 } as const
const engineFacts = { ...replayEngine, slots: engine.slots }

interface Running { readonly request: EngineRequest, left: number }

/** A plain upstream that runs up to its slots of requests at once, the others in order. */
class PlainServer {
  private queue: Running[] = []
  constructor (private readonly scale: (now: number) => number) {}
  get load (): number { return this.queue.length }
  add (request: EngineRequest): void { this.queue.push({ request, left: request.answerTokensLeft }) }
  advance (now: number): { readonly started: readonly EngineRequest[], readonly ended: readonly EngineRequest[] } {
    for (const running of this.queue.slice(0, plain.slots)) running.left -= 1 / this.scale(now)
    const ended = this.queue.filter(({ left }) => left <= 0).map(({ request }) => request)
    this.queue = this.queue.filter(({ left }) => left > 0)
    return { started: ended, ended }
  }
}

interface Entry { readonly paces: UpstreamPaces, readonly fullUntil: Map<string, number>, readonly inFlight: number[], readonly observed: { load: number, own: number, at: number }[] }
interface Sent { readonly entry: number, readonly arrivedAt: number, readonly sentAt: number, readonly computed: number, readonly pace: number }

/** Share of the requests served in time; deterministic for its seed. */
export function replayUneven (load: UnevenLoad, policy: UnevenPolicy): number {
  return new UnevenReplay(load, policy).run()
}

class UnevenReplay {
  private readonly random: () => number
  /** Of the paces and of the arrivals, which are the same for all policies. */
  private readonly paceRandom: () => number
  private readonly loadRandom: () => number
  private readonly speeds: readonly number[]
  private readonly slow: boolean[]
  private readonly servers: readonly (ReplayEngine | PlainServer)[]
  private readonly ledgers: readonly SlotLedger[]
  private readonly agents: (StatedPace | undefined)[] = []
  /** Paces in all heads so far, for the dispatcher that knows all. */
  private readonly heads: (StatedPace | undefined)[] = []
  private readonly entries: readonly Entry[]
  private readonly sent = new Map<number, Sent>()
  private readonly events = new Map<number, (() => void)[]>()
  private readonly work: { readonly promptTokens: number, readonly answerTokens: number, readonly goalMilliseconds: number }
  private requests = 0
  private onTime = 0
  private now = 0

  constructor (private readonly load: UnevenLoad, private readonly policy: UnevenPolicy) {
    this.random = seededRandom(load.seed)
    this.paceRandom = seededRandom(load.seed + 1000)
    this.loadRandom = seededRandom(load.seed + 2000)
    const indices = Array.from({ length: load.upstreams }, (_, index) => index)
    this.speeds = indices.map(index => 0.5 * 4 ** (index / Math.max(1, load.upstreams - 1)))
    this.slow = indices.map(() => this.paceRandom() < slowShare)
    const scaleOf = (index: number): number => this.paceOf(index) / (this.speeds[index] ?? 1)
    this.servers = indices.map(index => load.kind === 'engines' ? new ReplayEngine(engineFacts, () => scaleOf(index)) : new PlainServer(() => scaleOf(index)))
    this.ledgers = indices.map(() => new SlotLedger())
    this.entries = Array.from({ length: load.entries }, () => ({ paces: new UpstreamPaces(), fullUntil: new Map(), inFlight: indices.map(() => 0), observed: indices.map(() => ({ load: 0, own: 0, at: -Infinity })) }))
    this.work = { promptTokens: engineFacts.typicalPromptTokens, answerTokens: engineFacts.typicalAnswerTokens, goalMilliseconds: load.kind === 'engines' ? engine.goalMilliseconds : plain.goalMilliseconds }
  }

  run (): number {
    const interval = this.load.kind === 'engines' ? completionIntervalMilliseconds(engineFacts) : plain.workMilliseconds / plain.slots
    const perMillisecond = this.load.load * this.speeds.reduce((sum, speed) => sum + speed) * (1 - slowShare + slowShare / slowPace) / interval
    let nextAt = 0
    for (; this.now < this.load.milliseconds + this.work.goalMilliseconds; this.now += 1) {
      if (this.now % changeMilliseconds === 0) this.slow.forEach((_, index) => { this.slow[index] = this.paceRandom() < slowShare })
      if (this.now % countMilliseconds === 0) this.servers.forEach((server, index) => { this.ledgers[index]?.recordCount(server.load, this.now) })
      for (; nextAt <= this.now && nextAt < this.load.milliseconds; nextAt -= Math.log(1 - this.loadRandom()) / perMillisecond) this.arrive(this.now)
      for (const act of this.events.get(this.now) ?? []) act()
      this.events.delete(this.now)
      this.servers.forEach((server, index) => { this.advance(server, index) })
    }
    return this.onTime / this.requests
  }

  private get unmeasured (): number { return this.load.kind === 'plain' ? plain.workMilliseconds : 1 }

  private paceOf (index: number): number { return this.slow[index] === true ? slowPace : 1 }

  private after (milliseconds: number, act: () => void): void {
    const at = this.now + milliseconds
    this.events.set(at, [...this.events.get(at) ?? [], act])
  }

  private arrive (arrivedAt: number): void {
    if (arrivedAt >= warmUpMilliseconds) this.requests += 1
    const entry = Math.floor(this.loadRandom() * this.load.entries)
    if (this.policy === 'all-known') this.sendBest(entry, arrivedAt)
    else if (this.load.kind === 'plain') this.sendPlain(entry, arrivedAt)
    else this.ask(entry, arrivedAt)
  }

  /** The single dispatcher: least expected time of all upstreams by their true speeds, as long as one may take the request. */
  private sendBest (entry: number, arrivedAt: number): void {
    const limit = this.load.kind === 'engines' ? engine.slots + engine.waiting : plain.slots * plain.requestsPerSlot
    const costs = this.servers.map((server, index) => server.load < limit ? placementCost({ ...this.estimate(server.load), pace: expectedPace(this.heads[index], usualPace, this.now), measured: (this.load.kind === 'plain' ? plain.workMilliseconds : 1) / (this.speeds[index] ?? 1) }, this.work) : Infinity)
    const best = Math.min(...costs)
    if (best < Infinity) this.send(entry, costs.indexOf(best), arrivedAt, 1)
    else if (this.now - arrivedAt < this.work.goalMilliseconds / 2) this.after(askIntervalMilliseconds, () => { this.sendBest(entry, arrivedAt) })
  }

  private sendPlain (entry: number, arrivedAt: number): void {
    const state = this.entries[entry]
    if (state === undefined) return
    const candidates = this.servers.map((_, index): Candidate => {
      const own = state.inFlight[index] ?? 0
      const observed = state.observed[index]
      const load = this.policy === 'time' ? this.expectedLoad(state, index) : own + (observed !== undefined && this.now - observed.at < 3000 ? Math.max(0, observed.load - observed.own) : own)
      return this.candidate(index, load, plain.slots * plain.requestsPerSlot - load)
    })
    const chosen = this.choose(state, candidates, this.staleness(state))
    if (chosen !== undefined) this.send(entry, Number(chosen.id), arrivedAt, 1 + messageMilliseconds)
    else if (this.now - arrivedAt < this.work.goalMilliseconds / 2) this.after(askIntervalMilliseconds, () => { this.sendPlain(entry, arrivedAt) })
  }

  private candidate (index: number, load: number, freeSlots: number): Candidate {
    return { id: String(index), load, freeSlots, unstarted: 0, isSameDataCentre: true, penalty: 0 }
  }

  private ask (entry: number, arrivedAt: number): void {
    const state = this.entries[entry]
    if (state === undefined) return
    const engines = this.speeds.map((_, index) => this.candidate(index, this.expectedLoad(state, index), 1))
    const isFull = (id: string): boolean => (state.fullUntil.get(id) ?? 0) > this.now
    const asked = this.policy === 'number' ? enginesToAsk(engines, isFull, this.random) : enginesToAskByTime(engines, candidate => this.costOf(state, candidate), isFull, this.random)
    this.after(2 * messageMilliseconds, () => {
      const key = `${entry} ${this.requests} ${this.now} ${this.random()}`
      const granted = asked.flatMap(({ id }) => {
        const answer = this.ledgers[Number(id)]?.answer(key, engine.slots + engine.waiting, this.now)
        const stated = this.agents[Number(id)]
        if (answer !== undefined) state.paces.observeOthers(id, 0, answer.load, this.now)
        if (answer?.isGranted === false) state.fullUntil.set(id, this.now + fullMilliseconds)
        if (stated !== undefined) state.paces.observeRelayed(id, 0, stated)
        return answer?.isGranted === true ? [this.candidate(Number(id), answer.load - 1, 1)] : []
      })
      const isInTime = (candidate: Candidate): boolean => this.policy === 'number' || isExpectedInTime(this.estimateOf(state, candidate), { ...this.work, remainingMilliseconds: arrivedAt + this.work.goalMilliseconds - this.now })
      const inTime = granted.filter(isInTime)
      const mayWait = engines.some(candidate => isInTime(candidate) && !granted.some(({ id }) => id === candidate.id))
      const chosen = this.choose(state, inTime.length < granted.length && !mayWait ? granted : inTime, 0)
      for (const { id } of granted) if (id !== chosen?.id) this.ledgers[Number(id)]?.release(key, this.now)
      if (chosen !== undefined) this.send(entry, Number(chosen.id), arrivedAt, messageMilliseconds)
      else if (this.now - arrivedAt < this.work.goalMilliseconds / 2) this.after(askIntervalMilliseconds, () => { this.ask(entry, arrivedAt) })
    })
  }

  private choose (state: Entry, candidates: readonly Candidate[], spread: number): Candidate | undefined {
    if (this.policy === 'number') return placeRequest(candidates, this.random)
    return placeByTime(candidates, candidate => this.costOf(state, candidate), spread, this.random)
  }

  private staleness (_: Entry): number { return 0.2 }

  private costOf (state: Entry, candidate: Candidate): number {
    return placementCost(this.estimateOf(state, candidate), this.work)
  }

  private estimateOf ({ paces }: Entry, { id, load }: Candidate): UpstreamEstimate {
    return { ...this.estimate(load), pace: paces.paceOf(id, 0, this.now), measured: paces.measuredAt(id, 0) ?? this.unmeasured }
  }

  /** Requests at an upstream as an entry expects them, by its last message and the usual load. */
  private expectedLoad ({ paces, inFlight }: Entry, index: number): number {
    const work = this.load.kind === 'plain' ? LW : engineFacts.typicalAnswerTokens * engineFacts.stepMilliseconds
    const own = inFlight[index] ?? 0
    return this.load.kind === 'plain' ? own + (paces.othersAt(String(index), 0, work, this.now) ?? own) : paces.othersAt(String(index), 0, work, this.now) ?? own
  }

  private estimate (load: number): Omit<UpstreamEstimate, 'pace' | 'measured'> {
    return this.load.kind === 'engines' ? { slots: engine.slots, engine: engineFacts, load, unstarted: 0, isSameDataCentre: true } : { slots: plain.slots, engine: undefined, load, unstarted: 0, isSameDataCentre: true }
  }

  private send (entry: number, index: number, arrivedAt: number, delay: number): void {
    const state = this.entries[entry]
    if (state === undefined) return
    state.inFlight[index] = (state.inFlight[index] ?? 0) + 1
    const number = this.sent.size
    this.sent.set(number, { entry, arrivedAt, sentAt: this.now, computed: computedTime(this.estimate(this.servers[index]?.load ?? 0), this.work).firstEvent, pace: state.paces.paceOf(String(index), 0, this.now) })
    const size = 0.3 + 1.4 * this.random()
    const answer = this.load.kind === 'plain' ? plain.workMilliseconds * size : engineFacts.typicalAnswerTokens * (0.3 + 1.4 * this.random())
    this.after(delay, () => { this.servers[index]?.add({ request: { number, isLate: false, arrivedAt, deadline: Infinity, promptTokens: 0, answerTokens: 0, refusalDraw: 0, entry, search: new SlotSearch(), until: 0, offeredAt: 0, isRetry: false, offeredFrom: 0, queuedAt: 0 }, sentNumber: number, promptTokensLeft: engineFacts.typicalPromptTokens * size, answerTokensLeft: answer }) })
  }

  private advance (server: ReplayEngine | PlainServer, index: number): void {
    const { started, ended } = server.advance(this.now)
    const stated = { value: this.load.state?.(index, this.paceOf(index)) ?? this.paceOf(index), at: this.now }
    for (const { sentNumber } of started) {
      const sent = this.sent.get(sentNumber)
      const state = sent === undefined ? undefined : this.entries[sent.entry]
      if (sent === undefined || state === undefined) continue
      if (sent.arrivedAt >= warmUpMilliseconds && this.now + messageMilliseconds - sent.arrivedAt <= this.work.goalMilliseconds) this.onTime += 1
      this.after(messageMilliseconds, () => {
        this.heads[index] = stated
        state.observed[index] = { load: server.load, own: state.inFlight[index] ?? 0, at: this.now }
        const isNews = isNewsOf(stated.value, state.paces.statedBy(String(index), 0), state.paces.usualOf(String(index), 0), this.now)
        state.paces.observe(String(index), 0, stated)
        if (this.load.kind === 'plain') state.paces.observeOthers(String(index), 0, server.load - (state.inFlight[index] ?? 0), this.now)
        state.paces.recordMeasured(String(index), 0, (this.now - sent.sentAt) / (sent.computed * sent.pace), this.unmeasured)
        if (this.load.kind === 'engines' && isNews) this.after(messageMilliseconds, () => { this.agents[index] = stated })
        else if (this.load.kind === 'plain' && this.load.isGossiping === true) this.after(gossipMilliseconds, () => { for (const { paces } of this.entries) paces.observeRelayed(String(index), 0, stated) })
      })
    }
    for (const { sentNumber } of ended) {
      const sent = this.sent.get(sentNumber)
      const state = sent === undefined ? undefined : this.entries[sent.entry]
      if (state !== undefined) state.inFlight[index] = (state.inFlight[index] ?? 0) - 1
    }
  }
}
