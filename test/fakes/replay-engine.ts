/** A batching engine of the replays of load; times in milliseconds from the start. */
import type { QueuedRequest } from '../../src/core/dispatch/queueing.js'
import type { SlotSearch } from '../../src/core/dispatch/slot-requests.js'
import type { EngineFacts, Route } from '../../src/types/fleet.js'

/** Engine of every replay; about ten completions a second at full load. */
export const replayEngine: EngineFacts = { slots: 16, layers: 16, chunkCount: 96, chunkBytes: 24_576, models: ['weights-a'], stepMilliseconds: 9.27, promptTokensPerSecond: 20_700, stepsPerPass: 5, typicalPromptTokens: 979, typicalAnswerTokens: 92 }
/** Route of every replay; latency goal of 400 ms. */
export const replayRoute: Route = { name: 'r-1', host: 'one.example', pathPrefix: '/a/', kind: 'stream', isResumable: true, timeoutMilliseconds: 6000, latencyGoalMilliseconds: 400, eventGapGoalMilliseconds: 400, priority: 1, targets: [], maximumUpstreams: 2, isPublic: false, regions: [] }

/** Prompt tokens that an engine reads in one pass. */
const promptTokensPerPass = 2048

/** A request of a replay. */
export interface SimulatedRequest extends QueuedRequest {
  readonly arrivedAt: number
  readonly deadline: number
  readonly promptTokens: number
  readonly answerTokens: number
  /** Random number in [0, 1), compared with the refused share. */
  readonly refusalDraw: number
  readonly entry: number
  readonly search: SlotSearch
  /** Whether it was refused before. */
  readonly isRetry: boolean
  /** Time until which it may stay queued. */
  until: number
  /** When it was last offered to an upstream. */
  offeredAt: number
  /** When it is offered to an upstream for the first time. */
  readonly offeredFrom: number
  /** When it was queued. */
  queuedAt: number
}

/** A request at an engine. */
export interface EngineRequest { readonly request: SimulatedRequest, readonly sentNumber: number, promptTokensLeft: number, answerTokensLeft: number }

/** An engine that runs up to `slots` requests in passes, each of which reads prompts and generates tokens. */
export class ReplayEngine {
  private readonly waiting: EngineRequest[] = []
  private running: EngineRequest[] = []
  private passEndsAt = 0
  private started: EngineRequest[] = []

  /** `scale` gives how many times as long as usual a pass takes. */
  constructor (private readonly facts: EngineFacts, private readonly scale: (now: number) => number = () => 1) {}

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
    this.passEndsAt = now + this.runPass() * this.scale(now)
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
