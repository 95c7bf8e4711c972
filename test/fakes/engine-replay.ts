/**
 * Replays a load of streams on engines that batch, with entries that decide by `src/core/dispatch` and hear of each
 * other's requests a report late. Times in milliseconds from the start.
 */
import { admissionFor } from '../../src/core/dispatch/admission.js'
import { FirstEventWaits, refusedShare } from '../../src/core/dispatch/first-event-waits.js'
import { concurrencyLimit, placeRequest, type Admission, type Candidate } from '../../src/core/dispatch/placement.js'
import { chooseRetryAt } from '../../src/core/dispatch/caller-retry.js'
import { freeSlotsByReport, type ReportedLoad } from '../../src/core/dispatch/free-slots.js'
import { queueDeadline, orderQueue, type QueuedRequest } from '../../src/core/dispatch/queueing.js'
import type { EngineFacts, Route } from '../../src/types/fleet.js'
import { seededRandom } from '../../src/utils/random.js'

/** The load. */
export interface ReplayLoad {
  readonly seed: number
  readonly engines: number
  readonly entries: number
  readonly arrivalsPerSecond: number
  readonly milliseconds: number
}

/** What callers got. */
export interface ReplayOutcome {
  readonly asked: number
  /** First event within the goal. */
  readonly onTime: number
  /** First event later, or after a refusal. */
  readonly late: number
  /** Refused, and again when they came back. */
  readonly refusedTwice: number
}

/** Decisions that a replay may exchange, to compare them with others. */
export interface ReplayPolicy {
  admit (isLate: boolean, waitMilliseconds: number): Admission
  /** Requests that an entry may send to an engine that bears `limit`. */
  freeSlots (limit: number, reported: ReportedLoad, entries: number): number
}

/** The decisions of the entries. */
export const entryPolicy: ReplayPolicy = { admit: (isLate, waitMilliseconds) => admissionFor({ route: replayRoute, engine: replayEngine, isLate, waitMilliseconds }), freeSlots: freeSlotsByReport }

export const replayEngine: EngineFacts = { slots: 16, layers: 16, chunkCount: 96, chunkBytes: 24_576, models: ['weights-a'], stepMilliseconds: 9.27, promptTokensPerSecond: 20_700, stepsPerPass: 5, usualPromptTokens: 979, usualAnswerTokens: 92 }
export const replayRoute: Route = { name: 'r-1', host: 'one.example', pathPrefix: '/a/', kind: 'stream', isResumable: true, timeoutMilliseconds: 6000, goalMilliseconds: 400, gapMilliseconds: 400, priority: 1, targets: [], mostUpstreams: 2, isPublic: false, regions: [] }

const dataCentres = 3
const reportMilliseconds = 100
const pollMilliseconds = 20
const networkMilliseconds = 5
const promptTokensPerPass = 2048
const callerTimeoutMilliseconds = 6000

interface SimulatedRequest extends QueuedRequest {
  readonly arrivedAt: number
  readonly deadline: number
  readonly promptTokens: number
  readonly answerTokens: number
  readonly refusalDraw: number
  readonly entry: number
  until: number
}

interface EngineRequest { readonly call: SimulatedRequest, readonly sentNumber: number, promptTokensLeft: number, answerTokensLeft: number }

/** An engine that runs `slots` requests and reads prompts between the tokens of others. */
class ReplayEngine {
  private readonly waiting: EngineRequest[] = []
  private running: EngineRequest[] = []
  private passEndsAt = 0
  private begun: EngineRequest[] = []

  constructor (private readonly facts: EngineFacts) {}

  get load (): number {
    return this.waiting.length + this.running.length
  }

  add (request: EngineRequest): void {
    this.waiting.push(request)
    this.waiting.sort((left, right) => Number(left.call.isLate) - Number(right.call.isLate))
  }

  /** Moves on to `now`; returns the requests whose first token came, and those that ended. */
  advance (now: number): { readonly begun: readonly EngineRequest[], readonly ended: readonly EngineRequest[] } {
    if (now < this.passEndsAt) return { begun: [], ended: [] }
    const { begun } = this
    this.begun = []
    const ended = this.running.filter(({ promptTokensLeft: toRead, answerTokensLeft: toWrite }) => toRead <= 0 && toWrite <= 0)
    this.running = this.running.filter(request => !ended.includes(request))
    while (this.running.length < this.facts.slots && this.waiting.length > 0) this.running.push(...this.waiting.splice(0, 1))
    this.passEndsAt = now + this.runPass()
    return { begun, ended }
  }

  private runPass (): number {
    let left = promptTokensPerPass
    const writers = this.running.filter(({ promptTokensLeft: toRead }) => toRead <= 0)
    for (const request of this.running) {
      if (request.promptTokensLeft <= 0) continue
      const read = Math.min(left, request.promptTokensLeft)
      left -= read
      request.promptTokensLeft -= read
      if (request.promptTokensLeft <= 0) this.begun.push(request)
    }
    for (const writer of writers) writer.answerTokensLeft -= this.facts.stepsPerPass
    const reading = (promptTokensPerPass - left) / this.facts.promptTokensPerSecond * 1000
    return reading + (writers.length === 0 ? 0 : this.facts.stepsPerPass * this.facts.stepMilliseconds)
  }
}

/** One entry's view and its line. */
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

/** Plays the load. */
export function replayLoad (load: ReplayLoad, policy: ReplayPolicy = entryPolicy): ReplayOutcome {
  return new Replay(load, policy).run()
}

class Replay {
  private readonly random: () => number
  private readonly engines: readonly ReplayEngine[]
  private readonly entries: readonly ReplayEntry[]
  private readonly retries: { readonly at: number, readonly call: SimulatedRequest }[] = []
  private nextNumber = 0
  private now = 0
  private asked = 0
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
        this.asked += 1
        this.dispatch(this.createRequest(nextAt))
        nextAt += -Math.log(1 - this.random()) * 1000 / this.load.arrivalsPerSecond
      }
      for (const due of this.retries.filter(({ at }) => at <= this.now)) {
        this.retries.splice(this.retries.indexOf(due), 1)
        this.dispatch(due.call)
      }
      if (this.now % reportMilliseconds === 0) this.report()
      if (this.now % pollMilliseconds === 0) for (const entry of this.entries) this.pollQueue(entry)
      this.engines.forEach((engine, index) => { this.advance(engine, index) })
    }
    return { asked: this.asked, onTime: this.onTime, late: this.late, refusedTwice: this.refusedTwice }
  }

  private createRequest (at: number): SimulatedRequest {
    const spread = (mean: number): number => mean * (0.3 + 1.4 * this.random())
    return { number: this.nextNumber++, isLate: false, arrivedAt: at, deadline: at + callerTimeoutMilliseconds, promptTokens: spread(replayEngine.usualPromptTokens), answerTokens: spread(replayEngine.usualAnswerTokens), refusalDraw: this.random(), entry: this.pickEntry(), until: 0 }
  }

  private pickEntry (): number {
    return Math.floor(this.random() * this.load.entries)
  }

  private dispatch (call: SimulatedRequest): void {
    const entry = this.entries[call.entry]
    if (entry === undefined) return
    const isBehind = entry.queue.some(({ isLate }) => call.isLate || !isLate)
    if (!isBehind && this.place(call, entry)) return
    const until = queueDeadline({ now: this.now, arrivedAt: call.arrivedAt, deadline: call.deadline, goalMilliseconds: replayRoute.goalMilliseconds, isLate: call.isLate, reason: this.isRefusedForWaits(call, entry) ? 'waits' : 'full', expectedAt: undefined, waiting: entry.queue.filter(({ isLate }) => isLate === call.isLate).length })
    if (until === undefined) this.refuse(call)
    else entry.queue.push({ ...call, until })
  }

  private pollQueue (entry: ReplayEntry): void {
    for (const call of orderQueue(entry.queue)) {
      const isPlaced = this.place(call, entry)
      if (!isPlaced && this.now < call.until) continue
      entry.queue = entry.queue.filter(({ number }) => number !== call.number)
      if (!isPlaced) this.refuse(call)
    }
  }

  private isRefusedForWaits (call: SimulatedRequest, entry: ReplayEntry): boolean {
    const share = refusedShare(entry.waits.medianMilliseconds(this.now), replayRoute.goalMilliseconds, call.isLate)
    return call.isLate ? share > 0.2 : call.refusalDraw < share
  }

  private place (call: SimulatedRequest, entry: ReplayEntry): boolean {
    if (this.isRefusedForWaits(call, entry)) return false
    const limit = concurrencyLimit(replayEngine.slots, this.policy.admit(call.isLate, entry.waits.medianMilliseconds(this.now)))
    const chosen = placeRequest(this.candidates(call.entry, entry, limit), this.random)
    if (chosen === undefined) return false
    const index = Number(chosen.id)
    entry.updateReport(index, ({ sent }) => ({ sent: sent + 1 }))
    entry.inFlight[index] = (entry.inFlight[index] ?? 0) + 1
    entry.unstarted[index] = (entry.unstarted[index] ?? 0) + 1
    this.engines[index]?.add({ call, sentNumber: entry.waits.recordSent(this.now), promptTokensLeft: call.promptTokens, answerTokensLeft: call.answerTokens })
    return true
  }

  private candidates (number: number, entry: ReplayEntry, limit: number): readonly Candidate[] {
    return entry.reported.map((reported, index) => ({
      id: String(index),
      load: (entry.inFlight[index] ?? 0) + Math.max(0, reported.total - reported.local),
      freeSlots: this.policy.freeSlots(limit, reported, this.load.entries),
      unstarted: entry.unstarted[index] ?? 0,
      isSameDataCentre: index % dataCentres === number % dataCentres,
      penalty: 0
    }))
  }

  private refuse (call: SimulatedRequest): void {
    if (call.isLate) {
      this.refusedTwice += 1
      return
    }
    const at = chooseRetryAt(this.now, call.deadline, undefined, this.random)
    this.retries.push({ at, call: { ...call, isLate: true, entry: this.pickEntry() } })
  }

  private report (): void {
    for (const entry of this.entries) {
      entry.reported = this.engines.map((engine, index) => ({ total: engine.load, local: entry.inFlight[index] ?? 0, roundingOffset: this.random(), sent: 0, ended: 0 }))
    }
  }

  private advance (engine: ReplayEngine, index: number): void {
    const { begun, ended } = engine.advance(this.now)
    for (const { call, sentNumber } of begun) {
      const entry = this.entries[call.entry]
      entry?.waits.recordStarted(sentNumber, this.now, true)
      if (entry !== undefined) entry.unstarted[index] = (entry.unstarted[index] ?? 0) - 1
      if (!call.isLate && this.now + networkMilliseconds - call.arrivedAt <= replayRoute.goalMilliseconds) this.onTime += 1
      else this.late += 1
    }
    for (const { call } of ended) {
      const entry = this.entries[call.entry]
      if (entry === undefined) continue
      entry.inFlight[index] = (entry.inFlight[index] ?? 0) - 1
      entry.updateReport(index, ({ ended: before }) => ({ ended: before + 1 }))
    }
  }
}
