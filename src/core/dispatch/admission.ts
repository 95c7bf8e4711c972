/** Admission: how many requests may be at an upstream before another one is sent there. */
import type { EngineFacts, Route } from '../../types/fleet.js'
import type { AdmissionLimits } from './placement.js'

/** What the admission of a request depends on. */
export interface AdmissionContext {
  readonly route: Route
  /** Undefined for a plain upstream. */
  readonly engine: EngineFacts | undefined
  /** Whether the latency goal has already passed, as for a retry after a refusal. */
  readonly isLate: boolean
  /** Whether the service is ranked: agents then decide by the order of service which requests get the last slots. */
  readonly isRanked?: boolean
  /** Median of the recent waits for a first event, milliseconds. */
  readonly waitMilliseconds: number
}

/** Share of the latency goal that may be spent in an engine's queue; the rest covers reading the prompt and the pass in progress. */
const queueGoalShare = 0.4
/** Share of the latency goal within which the first event must come; the current wait is subtracted from it. */
const firstEventGoalShare = 0.9
/** Requests for each slot up to which late requests are admitted; the other slots are reserved for requests that can still meet their goal. */
const lateRequestsPerSlot = 0.75
/** The same in a ranked service, where the order of service decides on the other slots too; the rest is reserved for first attempts. */
const lateRankedRequestsPerSlot = 0.92
/** Requests at a plain upstream for each slot: one that runs and two queued, since its answers are short. */
const plainRequestsPerSlot = 3

/** Admission of a request. Only on-time requests may be queued at an engine, and only as many as can still meet the latency goal. */
export function admissionFor (context: AdmissionContext): AdmissionLimits {
  if (context.engine === undefined) return { requestsPerSlot: plainRequestsPerSlot, waiting: 0 }
  if (context.isLate) return { requestsPerSlot: context.isRanked === true ? lateRankedRequestsPerSlot : lateRequestsPerSlot, waiting: 0 }
  const { latencyGoalMilliseconds: goalMilliseconds } = context.route
  const queueMilliseconds = Math.min(goalMilliseconds * queueGoalShare, goalMilliseconds * firstEventGoalShare - context.waitMilliseconds)
  const waiting = queueMilliseconds / completionIntervalMilliseconds(context.engine)
  // In a ranked service the engine serves its queue by rank, and agents learn of ended requests 50 ms late on average: a slot without a request that waits is lost for as long.
  return { requestsPerSlot: 1, waiting: Math.max(0, context.isRanked === true ? Math.ceil(waiting) : Math.floor(waiting)) }
}

/** Part of an engine's slots that are kept for the more urgent requests while there is contention. */
const reservedShare = 0.25
/** Time after which a kept slot is granted to any request, milliseconds: short against a request, so that little capacity is lost. */
const reservationMilliseconds = 40

/**
 * Part of the competing requests, the most urgent ones, that may use a free slot of an engine during contention, 1 or more for all
 * (trunk reservation): it rises with the number of free slots, and with the time since one was last granted or
 * none was free, so that slots do not stay unused where the urgent requests ask elsewhere.
 */
export function admittedShare (limit: number, load: number, idleMilliseconds: number): number {
  return (limit - load - 1) / Math.max(1, limit * reservedShare) + idleMilliseconds / reservationMilliseconds
}

/** Usual time from sending a request to an engine at full load to the end of its answer, milliseconds. */
export function answerMilliseconds (engine: EngineFacts): number {
  return completionIntervalMilliseconds(engine) * engine.slots
}

/** Usual time between two completions of an engine at full load, milliseconds. */
export function completionIntervalMilliseconds (engine: EngineFacts): number {
  const promptMilliseconds = engine.typicalPromptTokens / engine.promptTokensPerSecond * 1000
  const answerMilliseconds = engine.typicalAnswerTokens * engine.stepMilliseconds / engine.slots
  return promptMilliseconds + answerMilliseconds
}
