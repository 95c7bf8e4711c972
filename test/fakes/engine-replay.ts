/**
 * Simulates a load of streams on batching engines, behind entries that decide with the functions of `src/core/dispatch`
 * and learn of each other's requests one load report late. Times in milliseconds from the start.
 */
import { admissionFor } from '../../src/core/dispatch/admission.js'
import { FirstEventWaits, refusedShare } from '../../src/core/dispatch/first-event-waits.js'
import { concurrencyLimit, placeRequest, type AdmissionLimits, type Candidate } from '../../src/core/dispatch/placement.js'
import { chooseRetryAt } from '../../src/core/dispatch/caller-retry.js'
import { freeSlotsByReport, type ReportedLoad } from '../../src/core/dispatch/free-slots.js'
import { orderQueue, queueDeadline, type QueuedRequest } from '../../src/core/dispatch/queueing.js'
import type { EngineFacts, Route } from '../../src/types/fleet.js'
import { seededRandom } from '../../src/utils/random.js'

/** Load of a replay. */
export interface ReplayLoad {
  readonly seed: number
  readonly engines: number
  readonly entries: number
  readonly arrivalsPerSecond: number
  /** Time in which requests arrive. */
  readonly milliseconds: number
}

/** Numbers of requests by what their callers got. */
export interface ReplayOutcome {
  /** All requests, retries not counted. */
  readonly requests: number
  /** First event within the goal. */
  readonly onTime: number
  /** First event later, or on the retry. */
  readonly late: number
  /** Refused, and refused again on the retry. */
  readonly refusedTwice: number
}

/** Decisions that a test can replace to compare them with others. */
export interface ReplayPolicy {
  admit (isLate: boolean, waitMilliseconds: number): AdmissionLimits
  /** Requests that an entry may send to an engine that handles `limit`. */
  freeSlots (limit: number, reported: ReportedLoad, entries: number): number
}

/** Decisions of real entries. */
export const entryPolicy: ReplayPolicy = { admit: (isLate, waitMilliseconds) => admissionFor({ route: replayRoute, engine: replayEngine, isLate, waitMilliseconds }), freeSlots: freeSlotsByReport }

/** Engine of every replay; about ten completions a second at full load. */
export const replayEngine: EngineFacts = { slots: 16, layers: 16, chunkCount: 96, chunkBytes: 24_576, models: ['weights-a'], stepMilliseconds: 9.27, promptTokensPerSecond: 20_700, stepsPerPass: 5, typicalPromptTokens: 979, typicalAnswerTokens: 92 }
/** Route of every replay; latency goal of 400 ms. */
export const replayRoute: Route = { name: 'r-1', host: 'one.example', pathPrefix: '/a/', kind: 'stream', isResumable: true, timeoutMilliseconds: 6000, latencyGoalMilliseconds: 400, eventGapGoalMilliseconds: 400, priority: 1, targets: [], maximumUpstreams: 2, isPublic: false, regions: [] }

const dataCentres = 3
/** Time between two load reports. */
const reportMilliseconds = 100
/** Time between two checks of an entry's queue. */
const pollMilliseconds = 20
/** Delay of a first event between engine and caller. */
const networkMilliseconds = 5
/** Prompt tokens that an engine reads in one pass. */
const promptTokensPerPass = 2048
const callerTimeoutMilliseconds = 6000

interface SimulatedRequest extends QueuedRequest {
  readonly arrivedAt: number
  readonly deadline: number
  readonly promptTokens: number
  readonly answerTokens: number
  /** Random number in [0, 1), compared with the refused share. */
  readonly refusalDraw: number
  readonly entry: number
  /** Time until which it may stay queued. */
  until: number
}

interface EngineRequest { readonly request: SimulatedRequest, readonly sentNumber: number, promptTokensLeft: number, answerTokensLeft: number }

/** An engine that runs up to `slots` requests in passes, each of which reads prompts and generates tokens. */
class ReplayEngine {
  private readonly waiting: EngineRequest[] = []
  private running: EngineRequest[] = []
  private passEndsAt = 0
  private started: EngineRequest[] = []

  constructor (private readonly facts: EngineFacts) {}

  get load (): number {
    return this.waiting.length + this.running.length
  }

  add (request: EngineRequest): void {
    this.waiting.push(request)
    this.waiting.sort((left, right) => Number(left.request.isLate) - Number(right.request.isLate))
  }

  /** Advances to `now`; returns the requests whose first token was generated, and those that ended. */
  advance (now: number): { readonly started: readonly EngineRequest[], readonly ended: readonly EngineRequest[] } {
    if (now < this.passEndsAt) return { started: [], ended: [] }
    const { started } = this
    this.started = []
    const ended = this.running.filter(({ promptTokensLeft, answerTokensLeft }) => promptTokensLeft <= 0 && answerTokensLeft <= 0)
    this.running = this.running.filter(request => !ended.includes(request))
    while (this.running.length < this.facts.slots && this.waiting.length > 0) this.running.push(...this.waiting.splice(0, 1))
    this.passEndsAt = now + this.runPass()
    return { started, ended }
  }

  /** Runs a pass; returns its duration. */
  private runPass (): number {
    let tokensLeft = promptTokensPerPass
    const generating = this.running.filter(({ promptTokensLeft }) => promptTokensLeft <= 0)
    for (const request of this.running) {
      if (request.promptTokensLeft <= 0) continue
      const read = Math.min(tokensLeft, request.promptTokensLeft)
      tokensLeft -= read
      request.promptTokensLeft -= read
      if (request.promptTokensLeft <= 0) this.started.push(request)
    }
    for (const request of generating) request.answerTokensLeft -= this.facts.stepsPerPass
    const readMilliseconds = (promptTokensPerPass - tokensLeft) / this.facts.promptTokensPerSecond * 1000
    return readMilliseconds + (generating.length === 0 ? 0 : this.facts.stepsPerPass * this.facts.stepMilliseconds)
  }
}

/** One entry: what it knows of the engines, and its queue. */
class ReplayEntry {
  readonly waits = new FirstEventWaits()
  readonly inFlight: number[]
  readonly unstarted: number[]
  reported: ReportedLoad[]
  queue: SimulatedRequest[] = []

  constructor (engines: number) {
    this.inFlight = Array.from({ length: engines }, () => 0)
    this.unstarted = [...this.inFlight]
    this.reported = this.inFlight.map(() => ({ total: 0, local: 0, roundingOffset: 0, sent: 0, ended: 0 }))
  }

  updateReport (index: number, change: (reported: ReportedLoad) => Partial<ReportedLoad>): void {
    const reported = this.reported[index]
    if (reported !== undefined) this.reported[index] = { ...reported, ...change(reported) }
  }
}

/** Simulates a load; deterministic for its seed. */
export function replayLoad (load: ReplayLoad, policy: ReplayPolicy = entryPolicy): ReplayOutcome {
  return new Replay(load, policy).run()
}

class Replay {
  private readonly random: () => number
  private readonly engines: readonly ReplayEngine[]
  private readonly entries: readonly ReplayEntry[]
  private readonly retries: { readonly at: number, readonly request: SimulatedRequest }[] = []
  private nextNumber = 0
  private now = 0
  private requests = 0
  private onTime = 0
  private late = 0
  private refusedTwice = 0

  constructor (private readonly load: ReplayLoad, private readonly policy: ReplayPolicy) {
    this.random = seededRandom(load.seed)
    this.engines = Array.from({ length: load.engines }, () => new ReplayEngine(replayEngine))
    this.entries = Array.from({ length: load.entries }, () => new ReplayEntry(load.engines))
  }

  run (): ReplayOutcome {
    let nextAt = 0
    for (this.now = 0; this.now < this.load.milliseconds + callerTimeoutMilliseconds; this.now += 1) {
      while (nextAt <= this.now && nextAt < this.load.milliseconds) {
        this.requests += 1
        this.dispatch(this.createRequest(nextAt))
        nextAt += -Math.log(1 - this.random()) * 1000 / this.load.arrivalsPerSecond
      }
      for (const due of this.retries.filter(({ at }) => at <= this.now)) {
        this.retries.splice(this.retries.indexOf(due), 1)
        this.dispatch(due.request)
      }
      if (this.now % reportMilliseconds === 0) this.report()
      if (this.now % pollMilliseconds === 0) for (const entry of this.entries) this.pollQueue(entry)
      this.engines.forEach((engine, index) => { this.advance(engine, index) })
    }
    return { requests: this.requests, onTime: this.onTime, late: this.late, refusedTwice: this.refusedTwice }
  }

  private createRequest (at: number): SimulatedRequest {
    const spread = (mean: number): number => mean * (0.3 + 1.4 * this.random())
    return { number: this.nextNumber++, isLate: false, arrivedAt: at, deadline: at + callerTimeoutMilliseconds, promptTokens: spread(replayEngine.typicalPromptTokens), answerTokens: spread(replayEngine.typicalAnswerTokens), refusalDraw: this.random(), entry: this.pickEntry(), until: 0 }
  }

  private pickEntry (): number {
    return Math.floor(this.random() * this.load.entries)
  }

  private dispatch (request: SimulatedRequest): void {
    const entry = this.entries[request.entry]
    if (entry === undefined) return
    const hasRequestsAhead = entry.queue.some(({ isLate }) => request.isLate || !isLate)
    if (!hasRequestsAhead && this.place(request, entry)) return
    const until = queueDeadline({ now: this.now, arrivedAt: request.arrivedAt, deadline: request.deadline, goalMilliseconds: replayRoute.latencyGoalMilliseconds, isLate: request.isLate, reason: this.isRefusedForWaits(request, entry) ? 'waits' : 'full', expectedAt: undefined, waiting: entry.queue.filter(({ isLate }) => isLate === request.isLate).length })
    if (until === undefined) this.refuse(request)
    else entry.queue.push({ ...request, until })
  }

  private pollQueue (entry: ReplayEntry): void {
    for (const request of orderQueue(entry.queue)) {
      const isPlaced = this.place(request, entry)
      if (!isPlaced && this.now < request.until) continue
      entry.queue = entry.queue.filter(({ number }) => number !== request.number)
      if (!isPlaced) this.refuse(request)
    }
  }

  private isRefusedForWaits (request: SimulatedRequest, entry: ReplayEntry): boolean {
    const share = refusedShare(entry.waits.medianMilliseconds(this.now), replayRoute.latencyGoalMilliseconds, request.isLate)
    return request.isLate ? share > 0.2 : request.refusalDraw < share
  }

  private place (request: SimulatedRequest, entry: ReplayEntry): boolean {
    if (this.isRefusedForWaits(request, entry)) return false
    const limit = concurrencyLimit(replayEngine.slots, this.policy.admit(request.isLate, entry.waits.medianMilliseconds(this.now)))
    const chosen = placeRequest(this.candidates(request.entry, entry, limit), this.random)
    if (chosen === undefined) return false
    const index = Number(chosen.id)
    entry.updateReport(index, ({ sent }) => ({ sent: sent + 1 }))
    entry.inFlight[index] = (entry.inFlight[index] ?? 0) + 1
    entry.unstarted[index] = (entry.unstarted[index] ?? 0) + 1
    this.engines[index]?.add({ request, sentNumber: entry.waits.recordSent(this.now), promptTokensLeft: request.promptTokens, answerTokensLeft: request.answerTokens })
    return true
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
    if (request.isLate) {
      this.refusedTwice += 1
      return
    }
    const at = chooseRetryAt(this.now, request.deadline, undefined, this.random)
    this.retries.push({ at, request: { ...request, isLate: true, entry: this.pickEntry() } })
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
