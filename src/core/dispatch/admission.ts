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
  /** Median of the recent waits for a first event, milliseconds. */
  readonly waitMilliseconds: number
}

/** Share of the latency goal that may be spent in an engine's queue; the rest covers reading the prompt and the pass in progress. */
const queueGoalShare = 0.4
/** Share of the latency goal within which the first event must come; the current wait is subtracted from it. */
const firstEventGoalShare = 0.9
/** Requests for each slot up to which late requests are admitted; the other slots are reserved for requests that can still meet their goal. */
const lateRequestsPerSlot = 0.75
/** Requests at a plain upstream for each slot: one that runs and two queued, since its answers are short. */
const plainRequestsPerSlot = 3

/** Admission of a request. Only on-time requests may be queued at an engine, and only as many as can still meet the latency goal. */
export function admissionFor (context: AdmissionContext): AdmissionLimits {
  if (context.engine === undefined) return { requestsPerSlot: plainRequestsPerSlot, waiting: 0 }
  if (context.isLate) return { requestsPerSlot: lateRequestsPerSlot, waiting: 0 }
  const { latencyGoalMilliseconds: goalMilliseconds } = context.route
  const queueMilliseconds = Math.min(goalMilliseconds * queueGoalShare, goalMilliseconds * firstEventGoalShare - context.waitMilliseconds)
  return { requestsPerSlot: 1, waiting: Math.max(0, Math.floor(queueMilliseconds / completionIntervalMilliseconds(context.engine))) }
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
