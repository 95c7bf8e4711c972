/**
 * Simulates a load of streams on batching engines, behind entries that decide with the functions of `src/core/dispatch`
 * and learn of each other's requests one load report late. Times in milliseconds from the start.
 */
import { admissionFor, answerMilliseconds } from '../../src/core/dispatch/admission.js'
import { refusedShare } from '../../src/core/dispatch/first-event-waits.js'
import { concurrencyLimit, enginesToAsk, placeRequest, type Candidate } from '../../src/core/dispatch/placement.js'
import { chooseRetryAt, retryTimes } from '../../src/core/dispatch/caller-retry.js'
import { freeSlotsByReport } from '../../src/core/dispatch/free-slots.js'
import { SlotLedger } from '../../src/core/dispatch/slot-ledger.js'
import { SlotSearch } from '../../src/core/dispatch/slot-requests.js'
import { expectedDeadline, offeredFrom, orderQueue, queueDeadline, type QueueingContext } from '../../src/core/dispatch/queueing.js'
import type { EngineFacts } from '../../src/types/fleet.js'
import { peakOf, type ReplayLoad, type ReplayOutcome, type ReplayPolicy } from './replay-outcome.js'
import { ReplayOutage } from './replay-outage.js'
import { ReplayEntry, type Message } from './replay-entry.js'
import { ReplayEngine, replayEngine, replayRoute, type SimulatedRequest } from './replay-engine.js'
import { seededRandom } from '../../src/utils/random.js'

export { replayRoute }
export type { ReplayLoad, ReplayOutcome, ReplayPolicy }

/** Decisions of real entries. */
export const entryPolicy: ReplayPolicy = { admit: (isLate, waitMilliseconds) => admissionFor({ route: replayRoute, engine: replayEngine, isLate, waitMilliseconds }), freeSlots: freeSlotsByReport }

const dataCentres = 3
/** Time between two counts of an engine's requests, and between two load reports unless a load names another one. */
const countMilliseconds = 100
/** Time that a message between an entry and an agent takes. */
const messageMilliseconds = 2
/** Time between two checks of an entry's queue. */
const pollMilliseconds = 20
/** Delay of a first event between engine and caller. */
const networkMilliseconds = 5
const callerTimeoutMilliseconds = 6000

/** Simulates a load; deterministic for its seed. */
export function replayLoad (load: ReplayLoad, policy: ReplayPolicy = entryPolicy): ReplayOutcome {
  return new Replay(load, policy).run()
}

class Replay {
  private readonly random: () => number
  /** Random numbers of arrivals, so that they are the same whatever is decided. */
  private readonly arrivalRandom: () => number
  private readonly engines: readonly ReplayEngine[]
  private readonly entries: readonly ReplayEntry[]
  /** What the agent of each engine grants. */
  private readonly ledgers: readonly SlotLedger[]
  private readonly facts: EngineFacts
  private readonly outage: ReplayOutage
  private readonly messages: Message[] = []
  private readonly retries: { readonly at: number, readonly request: SimulatedRequest }[] = []
  private nextNumber = 0
  private now = 0
  private requests = 0
  private onTime = 0
  private late = 0
  private refusedOnce = 0
  private refusedTwice = 0
  private longestUnoffered = 0
  private longestInVain = 0
  /** Attempts that arrived after the last step. */
  private readonly attemptsAfterSteps: number[] = []
  private refusedBesideFreeSlots = 0
  private messageCount = 0

  constructor (private readonly load: ReplayLoad, private readonly policy: ReplayPolicy) {
    this.random = seededRandom(load.seed)
    this.arrivalRandom = seededRandom(load.seed + 1000)
    this.facts = { ...replayEngine, slots: load.slots ?? replayEngine.slots }
    this.outage = new ReplayOutage(load, this.facts)
    this.engines = Array.from({ length: load.engines }, () => new ReplayEngine(this.facts))
    this.ledgers = this.engines.map(() => new SlotLedger())
    this.entries = Array.from({ length: load.entries }, () => new ReplayEntry(load.engines))
  }

  run (): ReplayOutcome {
    let nextAt = 0
    for (this.now = 0; this.now < this.load.milliseconds + callerTimeoutMilliseconds; this.now += 1) {
      while (nextAt <= this.now && nextAt < this.load.milliseconds) {
        this.requests += 1
        this.dispatch(this.createRequest(nextAt))
        nextAt += -Math.log(1 - this.arrivalRandom()) * 1000 / this.arrivalsPerSecondAt(nextAt)
      }
      for (const due of this.retries.filter(({ at }) => at <= this.now)) {
        this.retries.splice(this.retries.indexOf(due), 1)
        this.dispatch(due.request)
      }
      if (this.now % countMilliseconds === 0) this.count()
      if (this.now % (this.load.reportMilliseconds ?? countMilliseconds) === 0) this.report()
      this.deliverMessages()
      if (this.now % pollMilliseconds === 0) for (const entry of this.entries) this.pollQueue(entry)
      this.engines.forEach((engine, index) => { this.advance(engine, index) })
    }
    return { requests: this.requests, onTime: this.onTime, late: this.late, refusedOnce: this.refusedOnce, refusedTwice: this.refusedTwice, longestUnoffered: this.longestUnoffered, longestInVain: this.longestInVain, peakAfterSteps: peakOf(this.attemptsAfterSteps), refusedBesideFreeSlots: this.refusedBesideFreeSlots, messages: this.messageCount }
  }

  private arrivalsPerSecondAt (at: number): number {
    return this.load.steps?.filter(({ from }) => from <= at).at(-1)?.arrivalsPerSecond ?? this.load.arrivalsPerSecond
  }

  private createRequest (at: number): SimulatedRequest {
    const spread = (mean: number): number => mean * (0.3 + 1.4 * this.arrivalRandom())
    return { number: this.nextNumber++, isLate: false, isRetry: false, arrivedAt: at, deadline: at + callerTimeoutMilliseconds, promptTokens: spread(replayEngine.typicalPromptTokens), answerTokens: spread(replayEngine.typicalAnswerTokens), refusalDraw: this.random(), entry: this.pickEntry(), search: new SlotSearch(), until: 0, offeredAt: 0, queuedAt: 0, offeredFrom: 0 }
  }

  private pickEntry (): number {
    return Math.floor(this.random() * this.load.entries)
  }

  private dispatch (request: SimulatedRequest): void {
    const entry = this.entries[request.entry]
    if (entry === undefined) return
    entry.expected.recordArrival(this.now, request.isLate, replayRoute.priority)
    if (this.now >= (this.load.steps?.at(-1)?.from ?? Infinity)) this.attemptsAfterSteps.push(this.now)
    const hasRequestsAhead = entry.queue.some(({ isLate }) => request.isLate || !isLate)
    if (!hasRequestsAhead && this.place(request, entry)) return
    const until = this.deadlineInQueue(request, entry)
    if (until === undefined) this.refuse(request)
    else entry.queue.push({ ...request, isLate: request.isLate || this.isBehind(request), until, offeredAt: this.now, queuedAt: this.now, offeredFrom: this.offeredFrom(request, entry) })
  }

  /** Time until which a request may be queued; undefined if it is refused at once. */
  private deadlineInQueue (request: SimulatedRequest, entry: ReplayEntry): number | undefined {
    const countsLate = request.isLate || (this.outage.isOn(this.now) && this.load.isAdaptive === true)
    const waiting = entry.queue.filter(({ isLate }) => isLate === countsLate).length
    const context: QueueingContext = { now: this.now, arrivedAt: request.arrivedAt, deadline: request.deadline, goalMilliseconds: replayRoute.latencyGoalMilliseconds, isLate: request.isLate, reason: this.outage.isOn(this.now) ? 'no-weights' : this.isRefusedForWaits(request, entry) ? 'waits' : 'full', expectedAt: this.outage.expectedAt(this.now), waiting }
    if (this.load.isAdaptive !== true) return queueDeadline(context)
    const latest = request.deadline - answerMilliseconds(this.facts)
    return expectedDeadline(context, {
      waitMilliseconds: entry.expected.waitMilliseconds(request.isLate, waiting, this.now),
      answerMilliseconds: answerMilliseconds(this.facts),
      queued: waiting,
      servable: Math.floor(entry.expected.servableBehindArrivals(this.outage.servable(latest, this.now), this.outage.expectedAt(this.now) ?? Infinity, latest, this.now) + this.random())
    })
  }

  /** Time from which a request that is queued now is offered to engines. */
  private offeredFrom (request: SimulatedRequest, entry: ReplayEntry): number {
    if (!this.isBehind(request)) return 0
    const latest = request.deadline - answerMilliseconds(this.facts)
    return offeredFrom(this.outage.expectedAt(this.now) ?? this.now, latest, entry.queue.length, this.outage.servable(latest, this.now))
  }

  /** Whether a request that waits for the end of an outage past its goal goes behind those that can still meet theirs. */
  private isBehind ({ arrivedAt }: SimulatedRequest): boolean {
    return this.load.isAdaptive === true && (this.outage.expectedAt(this.now) ?? 0) > arrivedAt + replayRoute.latencyGoalMilliseconds
  }

  private send (arrive: () => void): void {
    this.messageCount += 1
    this.messages.push({ at: this.now + messageMilliseconds, arrive })
  }

  private deliverMessages (): void {
    const next = this.messages.findIndex(({ at }) => at > this.now)
    for (const { arrive } of this.messages.splice(0, next === -1 ? this.messages.length : next)) arrive()
  }

  /** Asks agents for a slot if the search may ask now. */
  private askForSlots (request: SimulatedRequest, entry: ReplayEntry, limit: number): void {
    if (!entry.slots.mayAsk(request.search, this.now)) return
    for (const { id } of enginesToAsk(this.candidates(request.entry, entry, limit), engine => entry.slots.isFull(engine, this.now), this.random)) {
      const number = entry.slots.ask(request.search, id, this.now)
      this.send(() => { this.answerSlotRequest(request.entry, entry, id, number, limit) })
    }
  }

  private answerSlotRequest (entryIndex: number, entry: ReplayEntry, id: string, number: number, limit: number): void {
    const answer = this.ledgers[Number(id)]?.answer(`${entryIndex} ${number}`, limit, this.now)
    if (answer === undefined) return
    this.send(() => {
      entry.updateReport(Number(id), () => ({ total: answer.load, local: entry.inFlight[Number(id)] ?? 0, sent: 0, ended: 0 }))
      if (!entry.slots.receive(number, answer, this.now)) return
      this.pollQueue(entry)
      if (entry.queue.length === 0) this.releaseSlots(entryIndex, entry)
    })
  }

  private releaseSlots (entryIndex: number, entry: ReplayEntry): void {
    for (const { upstreamId, number } of entry.slots.releaseAll()) this.send(() => { this.ledgers[Number(upstreamId)]?.release(`${entryIndex} ${number}`, this.now) })
  }

  private count (): void {
    this.engines.forEach((engine, index) => { this.ledgers[index]?.recordCount(engine.load, this.now) })
  }

  private pollQueue (entry: ReplayEntry): void {
    for (const request of orderQueue(entry.queue)) {
      const isPlaced = this.place(request, entry)
      if (!isPlaced && this.now < request.until) {
        this.longestUnoffered = Math.max(this.longestUnoffered, this.now - request.offeredAt)
        continue
      }
      entry.queue = entry.queue.filter(({ number }) => number !== request.number)
      if (isPlaced) continue
      this.longestInVain = Math.max(this.longestInVain, this.now - request.queuedAt)
      this.refuse(request)
    }
  }

  /** Whether a request is offered to engines now: where expected times decide, one that is late or queued always is. */
  private isOffered (request: SimulatedRequest, entry: ReplayEntry): boolean {
    if (this.load.isAdaptive === true && (request.isLate || request.until > 0)) return true
    return !this.isRefusedForWaits(request, entry)
  }

  private isRefusedForWaits (request: SimulatedRequest, entry: ReplayEntry | undefined): boolean {
    if (entry === undefined) return false
    const share = refusedShare(entry.waits.medianMilliseconds(this.now), replayRoute.latencyGoalMilliseconds, request.isLate)
    return request.isLate ? share > 0.2 : request.refusalDraw < share
  }

  private place (request: SimulatedRequest, entry: ReplayEntry): boolean {
    if (this.outage.isOn(this.now) || this.now < request.offeredFrom || !this.isOffered(request, entry)) return false
    request.offeredAt = this.now
    const limit = concurrencyLimit(this.facts.slots, this.policy.admit(request.isLate, entry.waits.medianMilliseconds(this.now)))
    const chosen = placeRequest(this.placeable(request.entry, entry, limit), this.random)
    if (chosen === undefined) {
      if (this.load.placement === 'grants') this.askForSlots(request, entry, limit)
      return false
    }
    const held = entry.slots.heldAt(chosen.id, limit, this.now)
    if (held !== undefined) entry.slots.take(held)
    const index = Number(chosen.id)
    entry.updateReport(index, ({ sent }) => ({ sent: sent + 1 }))
    entry.inFlight[index] = (entry.inFlight[index] ?? 0) + 1
    entry.unstarted[index] = (entry.unstarted[index] ?? 0) + 1
    this.engines[index]?.add({ request, sentNumber: entry.waits.recordSent(this.now), promptTokensLeft: request.promptTokens, answerTokensLeft: request.answerTokens })
    return true
  }

  /** Candidates with the slots that the entry may use now. */
  private placeable (entryIndex: number, entry: ReplayEntry, limit: number): readonly Candidate[] {
    const candidates = this.candidates(entryIndex, entry, limit)
    if (this.load.placement !== 'grants') return candidates
    return candidates.map(candidate => {
      const held = entry.slots.heldAt(candidate.id, limit, this.now)
      return held === undefined ? { ...candidate, freeSlots: 0 } : { ...candidate, freeSlots: 1, load: held.load - 1 }
    })
  }

  private candidates (entryIndex: number, entry: ReplayEntry, limit: number): readonly Candidate[] {
    return entry.reported.map((reported, index) => ({
      id: String(index),
      load: (entry.inFlight[index] ?? 0) + Math.max(0, reported.total - reported.local),
      freeSlots: this.policy.freeSlots(limit, reported, this.load.entries),
      unstarted: entry.unstarted[index] ?? 0,
      isSameDataCentre: index % dataCentres === entryIndex % dataCentres,
      penalty: 0
    }))
  }

  private refuse (request: SimulatedRequest): void {
    if (request.isRetry) {
      this.refusedTwice += 1
      return
    }
    this.refusedOnce += 1
    const free = this.engines.reduce((sum, { load }) => sum + Math.max(0, this.facts.slots - load), 0)
    if (free > this.engines.length * this.facts.slots / 10 && !this.isRefusedForWaits(request, this.entries[request.entry])) this.refusedBesideFreeSlots += 1
    const at = this.retryAt(request)
    this.retries.push({ at, request: { ...request, isLate: true, isRetry: true, until: 0, offeredFrom: 0, entry: this.pickEntry(), search: new SlotSearch() } })
  }

  private retryAt ({ deadline, entry: index }: SimulatedRequest): number {
    const entry = this.entries[index]
    if (this.load.isAdaptive !== true || entry === undefined || this.outage.isOn(this.now)) return chooseRetryAt(this.now, deadline, this.outage.isOn(this.now) ? this.outage.expectedAt(this.now) ?? Infinity : undefined, this.random)
    const { earliest, latest } = retryTimes(this.now, deadline)
    return entry.expected.returnAt(earliest, latest, entry.queue.length, this.now, this.random)
  }

  private report (): void {
    for (const entry of this.entries) {
      entry.reported = this.engines.map((engine, index) => ({ total: engine.load, local: entry.inFlight[index] ?? 0, roundingOffset: this.random(), sent: 0, ended: 0 }))
    }
  }

  private advance (engine: ReplayEngine, index: number): void {
    const { started, ended } = engine.advance(this.now)
    for (const { request, sentNumber } of started) {
      const entry = this.entries[request.entry]
      entry?.waits.recordStarted(sentNumber, this.now, true)
      entry?.expected.recordStart(this.now)
      if (entry !== undefined) entry.unstarted[index] = (entry.unstarted[index] ?? 0) - 1
      if (!request.isLate && this.now + networkMilliseconds - request.arrivedAt <= replayRoute.latencyGoalMilliseconds) this.onTime += 1
      else this.late += 1
    }
    for (const { request } of ended) {
      const entry = this.entries[request.entry]
      if (entry === undefined) continue
      entry.inFlight[index] = (entry.inFlight[index] ?? 0) - 1
      entry.updateReport(index, ({ ended: before }) => ({ ended: before + 1 }))
    }
  }
}
